package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lycheepond/core/ident"
	"lycheepond/core/once"
	"lycheepond/core/store"
	"lycheepond/core/wire"
	"lycheepond/entry/sched"
)

// pipeListener accepts the connections that are sent to conns.
type pipeListener struct {
	conns chan net.Conn
	ctx   context.Context
	stop  context.CancelFunc
}

func newPipeListener() *pipeListener {
	l := &pipeListener{conns: make(chan net.Conn)}
	l.ctx, l.stop = context.WithCancel(context.Background())
	return l
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error { l.stop(); return nil }

func (l *pipeListener) Addr() net.Addr { return new(net.TCPAddr) }

// answerFunc writes the answer to a test's request.
type answerFunc func(ctx context.Context, s *sched.Sink) sched.Result

// runExchange runs one exchange with an entry on the test's fake clock. It sends
// one request with body, whose answer serve writes, and then passes the connection
// to client.
func runExchange(t *testing.T, log zapcore.Core, body string, serve answerFunc, client func(c net.Conn)) {
	t.Helper()
	runExchangeOver(t, log, body, func(c net.Conn) net.Conn { return c }, serve, client)
}

// runExchangeOver is runExchange over the connection that wrap returns.
func runExchangeOver(t *testing.T, log zapcore.Core, body string, wrap func(net.Conn) net.Conn, serve answerFunc, client func(c net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		st := store.New()
		seed(t, st, nil)
		start := time.Now()
		yes, no := func() bool { return true }, func() bool { return false }
		server := &http.Server{Handler: New(Config{
			Store: st, NewID: func() ident.ID { return ident.Make(1, 1) }, Now: func() time.Duration { return time.Since(start) },
			Serve: func(ctx context.Context, _ *sched.Job, s *sched.Sink) sched.Result { return serve(ctx, s) },
			Ready: yes, Leaving: no, OnResult: func(*sched.Job, *sched.Result) {}, Metrics: http.NotFoundHandler(), OnPanic: func() {}, OnUnread: func() {}, Log: zap.New(log),
		})}
		ln := newPipeListener()
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(ln) }()
		near, far := net.Pipe()
		ln.conns <- wrap(far)
		req, err := http.NewRequest(http.MethodPost, "http://entry/v1/completions", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+stubKey)
		// A request that is refused early need not be sent to its end.
		sent := make(chan error, 1)
		go func() { sent <- req.Write(near) }()
		client(near)
		near.Close()
		<-sent
		server.Close()
		<-ended
		// The server keeps a connection with the rest of a refused request open for
		// half a second.
		time.Sleep(time.Second)
	})
}

// readAnswer reads an answer to its end.
func readAnswer(t *testing.T, r io.Reader) string {
	t.Helper()
	_, body := readResponse(t, r)
	return body
}

func readResponse(t *testing.T, r io.Reader) (*http.Response, string) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(r), nil)
	if err != nil {
		t.Errorf("no answer: %v", err)
		return nil, ""
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Errorf("the answer broke off after %d bytes: %v", len(data), err)
	}
	return res, string(data)
}

func okHead() []wire.Field {
	return []wire.Field{{Name: "Content-Type", Value: "text/event-stream"}}
}

// A model pauses for longer than callerTimeout and then sends more at once than the
// server's buffer holds. The caller reads all the time and must get the whole
// answer. When only flushes set the deadline, that of the first event still applied
// to the second write, and the caller got 11 of 16403 bytes.
func TestStreamContinuesAfterALongPause(t *testing.T) {
	const pause = callerTimeout + 10*time.Second
	big := "data: " + strings.Repeat("x", 16<<10) + "\n\n"
	serve := func(_ context.Context, s *sched.Sink) sched.Result {
		s.Head(http.StatusOK, okHead())
		s.Data([]byte("data: one\n\n"))
		s.Flush()
		time.Sleep(pause)
		s.Data([]byte(big))
		s.Flush()
		return sched.Result{Outcome: once.Complete, Status: http.StatusOK}
	}
	runExchange(t, zapcore.NewNopCore(), completion(true), serve, func(c net.Conn) {
		if got := readAnswer(t, c); got != "data: one\n\n"+big {
			t.Errorf("%d bytes, want %d", len(got), len(big)+len("data: one\n\n"))
		}
	})
}

// A caller on a slow connection reads a large answer steadily for longer than one
// write may take. It must get the whole answer. When the answer was written at once
// under one deadline, it broke off after 1399916 of 4194304 bytes while the caller
// was still reading.
func TestSlowSteadyReaderGetsWholeAnswer(t *testing.T) {
	const (
		size = 4 << 20
		// bytesPerSecond takes three times callerTimeout for the whole answer.
		bytesPerSecond = size / (3 * int(callerTimeout/time.Second))
	)
	body := strings.Repeat("x", size)
	serve := func(_ context.Context, s *sched.Sink) sched.Result {
		s.Head(http.StatusOK, nil)
		s.Data([]byte(body))
		return sched.Result{Outcome: once.Complete, Status: http.StatusOK}
	}
	runExchange(t, zapcore.NewNopCore(), completion(false), serve, func(c net.Conn) {
		if got := readAnswer(t, &slowReader{c, bytesPerSecond}); got != body {
			t.Errorf("%d bytes, want %d", len(got), size)
		}
	})
}

// slowReader reads at bytesPerSecond.
type slowReader struct {
	io.Reader
	bytesPerSecond int
}

// Read takes as long as the bytes need at that rate.
func (l *slowReader) Read(p []byte) (int, error) {
	n, err := l.Reader.Read(p[:min(len(p), l.bytesPerSecond/10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
	return n, err
}

// A caller sends a request and then reads nothing. The short answer fits the
// server's buffer, which is written after the handler has returned. The connection
// must still end within the time of one write. When the deadline was removed at the
// end of the answer, the connection was still waiting after 1m0s, and a planned
// stop would have waited with it.
func TestUnreadAnswerEndsConnection(t *testing.T) {
	serve := func(_ context.Context, s *sched.Sink) sched.Result {
		s.Head(http.StatusOK, nil)
		s.Data([]byte("one"))
		return sched.Result{Outcome: once.Complete, Status: http.StatusOK}
	}
	runExchange(t, zapcore.NewNopCore(), completion(false), serve, func(c net.Conn) {
		time.Sleep(2 * callerTimeout)
		if n, err := io.ReadFull(c, make([]byte, 1)); n != 0 {
			t.Errorf("the connection still waited after %v: read %d bytes, %v", 2*callerTimeout, n, err)
		}
	})
}

// slowConn is a connection that is read through reader, at its rate.
type slowConn struct {
	net.Conn
	reader slowReader
}

// Read implements io.Reader.
func (c *slowConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// A caller on a slow connection sends a large request steadily, for longer than one
// piece may take. It must be served. When one deadline applied to the whole body,
// the request was refused while it was still being sent.
func TestSlowSteadySenderIsServed(t *testing.T) {
	const (
		size           = 2 << 20
		bytesPerSecond = size / (3 * int(callerTimeout/time.Second))
	)
	body := completion(false)
	body = body[:len(body)-1] + `,"user":"` + strings.Repeat("x", size) + `"}`
	serve := func(_ context.Context, s *sched.Sink) sched.Result {
		s.Head(http.StatusOK, nil)
		s.Data([]byte("one"))
		return sched.Result{Outcome: once.Complete, Status: http.StatusOK}
	}
	slow := func(c net.Conn) net.Conn { return &slowConn{c, slowReader{c, bytesPerSecond}} }
	runExchangeOver(t, zapcore.NewNopCore(), body, slow, serve, func(c net.Conn) {
		if got := readAnswer(t, c); got != "one" {
			t.Errorf("answer %q", got)
		}
	})
}
