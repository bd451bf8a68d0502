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

// oneConn is a listener that accepts one connection.
type oneConn struct {
	conns chan net.Conn
	net.Listener
}

// Accept implements net.Listener.
func (l *oneConn) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *oneConn) Close() error {
	close(l.conns)
	return nil
}

// bodySize is what the callers of these tests announce.
const bodySize = 1 << 20

// sending has a caller send a body, on a clock of its own. The route gives it
// timeout. write sends the body, or a part of it. It returns the answer's status,
// when it came and when the connection had ended.
func sending(t *testing.T, timeout time.Duration, write func(c net.Conn)) (status int, answered, ended time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		r := &route.Route{Name: "r", Timeout: timeout}
		d := New(Config{
			Memory: 2 * bodySize, ID: func(*http.Request) string { return "x" }, Log: zap.NewNop(),
			Accept:   func(*http.Request, *route.Table) (*direct.Job, *Refusal) { return &direct.Job{Route: r}, nil },
			Table:    func() *route.Table { return route.NewTable(route.Config{}) },
			Informed: func() bool { return true },
			Serve: func(_ context.Context, j *direct.Job, s direct.Sink) direct.Result {
				if len(j.Body) != bodySize {
					t.Errorf("a body of %d bytes is served", len(j.Body))
				}
				s.Head(http.StatusOK, nil, 0)
				return direct.Result{Outcome: direct.Complete}
			},
		})
		near, far := net.Pipe()
		ln := &oneConn{conns: make(chan net.Conn, 1)}
		ln.conns <- far
		server := &http.Server{Handler: http.HandlerFunc(d.serve)}
		done := make(chan error, 2)
		go func() { done <- server.Serve(ln) }()
		began := time.Now()
		go func() {
			fmt.Fprintf(near, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bodySize)
			write(near)
			done <- nil
		}()
		near.SetReadDeadline(began.Add(20 * bodyTime))
		in := bufio.NewReader(near)
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Errorf("no answer: %v", err)
		} else {
			status, answered = res.StatusCode, time.Since(began)
			if status != http.StatusOK {
				in.WriteTo(new(strings.Builder))
				ended = time.Since(began)
			}
		}
		near.Close()
		server.Close()
		<-done
		<-done
		// A connection that is closed with a part of the body lingers for half a second.
		time.Sleep(time.Second)
	})
	return status, answered, ended
}

// steadily sends the body in equal pieces, one each second.
func steadily(takes time.Duration) func(c net.Conn) {
	return func(c net.Conn) {
		n := int(takes / time.Second)
		piece := make([]byte, bodySize/n+1)
		for left := bodySize; left > 0; left -= len(piece) {
			time.Sleep(time.Second)
			if _, err := c.Write(piece[:min(left, len(piece))]); err != nil {
				return
			}
		}
	}
}

// A caller on a thin line sends a large body steadily, for longer than it may be
// silent. It is served. With one deadline for the whole body it got "status 400 after
// 26s" while it sent, which callers do not send again.
func TestSteadySenderIsServed(t *testing.T) {
	status, after, _ := sending(t, 10*bodyTime, steadily(3*bodyTime))
	if status != http.StatusOK {
		t.Errorf("status %d after %v", status, after)
	}
}

// A caller sends half of its body and then nothing more. It is told so once it has
// been silent for too long, and its connection ends: nobody waits for it for good.
// With the deadline taken away at the end of the reading there was "no answer: read
// pipe: i/o timeout": before it answers, the server reads the rest of the body.
func TestSilentSenderIsRefused(t *testing.T) {
	status, answered, ended := sending(t, 10*bodyTime, func(c net.Conn) { c.Write(make([]byte, bodySize/2)) })
	if status != http.StatusRequestTimeout || answered > bodyTime+time.Second || ended > bodyTime+2*time.Second {
		t.Errorf("status %d after %v, connection ended after %v", status, answered, ended)
	}
}

// A caller sends steadily, but its request is over before the body is whole. It is
// told then that the request has not run.
func TestBodyIsNotAwaitedBeyondTheRequestsEnd(t *testing.T) {
	const timeout = 2 * bodyTime
	status, answered, ended := sending(t, timeout, steadily(3*bodyTime))
	if status != http.StatusRequestTimeout || answered > timeout+time.Second || ended > timeout+2*time.Second {
		t.Errorf("status %d after %v, connection ended after %v", status, answered, ended)
	}
}

// A request has no time left as it comes, with its body. It is handed on, so that
// it is told what it lacks, and does not look like one whose caller has left.
func TestBodyOfARequestWithoutTimeIsRead(t *testing.T) {
	status, answered, _ := sending(t, 0, func(c net.Conn) { c.Write(make([]byte, bodySize)) })
	if status != http.StatusOK {
		t.Errorf("status %d after %v", status, answered)
	}
}
