package door

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/route"
	"lycheepond/entry/direct"
)

// singleConnListener is a listener that accepts one connection.
type singleConnListener struct {
	conns chan net.Conn
	net.Listener
}

// Accept implements net.Listener.
func (l *singleConnListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *singleConnListener) Close() error {
	close(l.conns)
	return nil
}

// bodyBytes is the size in bytes of the body that the callers in these tests announce.
const bodyBytes = 1 << 20

// sendBody sends a request with a body to a server, with a fake clock. timeout is the route's
// timeout. write sends the body or a part of it. The results are the status of the answer and
// the times from the start to the answer and to the end of the connection, which is measured
// only after a refusal.
func sendBody(t *testing.T, timeout time.Duration, write func(c net.Conn)) (status int, answered, ended time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		r := &route.Route{Name: "r", Timeout: timeout}
		s := New(Config{
			BodyMemory: 2 * bodyBytes, RequestID: func(*http.Request) string { return "x" }, Log: zap.NewNop(),
			ParseHead: func(*http.Request, *route.Table) (*direct.Job, *Refusal) { return &direct.Job{Route: r}, nil },
			Table:     func() *route.Table { return route.NewTable(route.Config{}) },
			HasSynced: func() bool { return true },
			Serve: func(_ context.Context, j *direct.Job, s direct.Sink) direct.Result {
				if len(j.Body) != bodyBytes {
					t.Errorf("a body of %d bytes was served", len(j.Body))
				}
				s.Head(http.StatusOK, nil, 0)
				return direct.Result{Outcome: direct.Complete}
			},
		})
		clientConn, serverConn := net.Pipe()
		ln := &singleConnListener{conns: make(chan net.Conn, 1)}
		ln.conns <- serverConn
		server := &http.Server{Handler: http.HandlerFunc(s.serve)}
		done := make(chan error, 2)
		go func() { done <- server.Serve(ln) }()
		start := time.Now()
		go func() {
			fmt.Fprintf(clientConn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bodyBytes)
			write(clientConn)
			done <- nil
		}()
		clientConn.SetReadDeadline(start.Add(20 * bodyIdleTimeout))
		in := bufio.NewReader(clientConn)
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Errorf("no answer: %v", err)
		} else {
			status, answered = res.StatusCode, time.Since(start)
			if status != http.StatusOK {
				in.WriteTo(new(strings.Builder))
				ended = time.Since(start)
			}
		}
		clientConn.Close()
		server.Close()
		<-done
		<-done
		// A connection that is closed with a part of the body unread lingers for half a
		// second.
		time.Sleep(time.Second)
	})
	return status, answered, ended
}

// steadySender sends the body in equal pieces, one per second.
func steadySender(duration time.Duration) func(c net.Conn) {
	return func(c net.Conn) {
		n := int(duration / time.Second)
		piece := make([]byte, bodyBytes/n+1)
		for remaining := bodyBytes; remaining > 0; remaining -= len(piece) {
			time.Sleep(time.Second)
			if _, err := c.Write(piece[:min(remaining, len(piece))]); err != nil {
				return
			}
		}
	}
}

// A caller on a slow connection sends a large body steadily, for longer than it may be silent.
// It must be served. With one deadline for the whole body it would get "status 400 after 26s"
// while it sends, and callers do not retry after that status.
func TestSteadySenderIsServed(t *testing.T) {
	status, after, _ := sendBody(t, 10*bodyIdleTimeout, steadySender(3*bodyIdleTimeout))
	if status != http.StatusOK {
		t.Errorf("status %d after %v", status, after)
	}
}

// A caller sends half of its body and nothing more. It must get a refusal once it has been
// silent for too long, and its connection must end, so that nothing waits for it forever. If
// the deadline is removed when the reading fails, the test reports "no answer: read pipe: i/o
// timeout", because the server reads the rest of the body before it answers.
func TestSilentSenderIsRefused(t *testing.T) {
	status, answered, ended := sendBody(t, 10*bodyIdleTimeout, func(c net.Conn) { c.Write(make([]byte, bodyBytes/2)) })
	if status != http.StatusRequestTimeout || answered > bodyIdleTimeout+time.Second || ended > bodyIdleTimeout+2*time.Second {
		t.Errorf("status %d after %v, connection ended after %v", status, answered, ended)
	}
}

// A caller sends steadily, but its request ends before the body is complete. It must then get
// a refusal, which says that the request has not run.
func TestBodyReadEndsAtDeadline(t *testing.T) {
	const timeout = 2 * bodyIdleTimeout
	status, answered, ended := sendBody(t, timeout, steadySender(3*bodyIdleTimeout))
	if status != http.StatusRequestTimeout || answered > timeout+time.Second || ended > timeout+2*time.Second {
		t.Errorf("status %d after %v, connection ended after %v", status, answered, ended)
	}
}

// A request arrives with its body and has no time left. It must still reach Serve, so that its
// caller gets the reason and the request does not look like one whose caller has left.
func TestBodyOfExpiredRequestIsRead(t *testing.T) {
	status, answered, _ := sendBody(t, 0, func(c net.Conn) { c.Write(make([]byte, bodyBytes)) })
	if status != http.StatusOK {
		t.Errorf("status %d after %v", status, answered)
	}
}
