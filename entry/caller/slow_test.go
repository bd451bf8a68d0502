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

// pipeListener accepts what is sent to it.
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

// server writes the answer of a test's request.
type server func(ctx context.Context, s *sched.Sink) sched.Result

// onClock asks an entry over a connection on which time is the test's: it sends one
// request whose answer serve writes, and read has the connection from then on.
func onClock(t *testing.T, log zapcore.Core, body string, serve server, read func(c net.Conn)) {
	t.Helper()
	overLine(t, log, body, func(c net.Conn) net.Conn { return c }, serve, read)
}

// overLine is onClock with a line of its own to the entry.
func overLine(t *testing.T, log zapcore.Core, body string, line func(net.Conn) net.Conn, serve server, read func(c net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		st := store.New()
		seed(t, st, nil)
		start := time.Now()
		yes, no := func() bool { return true }, func() bool { return false }
		server := &http.Server{Handler: New(Config{
			Store: st, NewID: func() ident.ID { return ident.Make(1, 1) }, Now: func() time.Duration { return time.Since(start) },
			Serve: func(ctx context.Context, _ *sched.Job, s *sched.Sink) sched.Result { return serve(ctx, s) },
			Ready: yes, Leaving: no, Done: func(*sched.Job, *sched.Result) {}, Metrics: http.NotFoundHandler(), Panicked: func() {}, Unread: func() {}, Log: zap.New(log),
		})}
		ln := newPipeListener()
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(ln) }()
		near, far := net.Pipe()
		ln.conns <- line(far)
		req, err := http.NewRequest(http.MethodPost, "http://entry/v1/completions", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+stubKey)
		// What is refused before its end need not be sent to its end.
		sent := make(chan error, 1)
		go func() { sent <- req.Write(near) }()
		read(near)
		near.Close()
		<-sent
		server.Close()
		<-ended
		// A connection with the rest of a refused request lingers for half a second.
		time.Sleep(time.Second)
	})
}

// answerOf reads an answer to its end.
func answerOf(t *testing.T, r io.Reader) string {
	t.Helper()
	_, body := answerAndHead(t, r)
	return body
}

func answerAndHead(t *testing.T, r io.Reader) (*http.Response, string) {
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

// A model thinks for longer than a caller may take to read, and then sends much
// at once, more than the server's buffer holds. The caller reads all the time and
// gets the whole answer. With the deadline set only by flushes, the one of the
// first event still stood when the second was written: "the answer broke off
// after 11 bytes: unexpected EOF", 11 of 16403.
func TestStreamOutlastsAPause(t *testing.T) {
	const pause = callerPatience + 10*time.Second
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
	onClock(t, zapcore.NewNopCore(), completion(true), serve, func(c net.Conn) {
		if got := answerOf(t, c); got != "data: one\n\n"+big {
			t.Errorf("%d bytes, want %d", len(got), len(big)+len("data: one\n\n"))
		}
	})
}

// A caller on a thin line reads a large answer steadily, without ever stopping,
// for longer than one write may take. It gets the whole answer. Written at once
// under one deadline it ended with its caller still reading: "the answer broke
// off after 1399916 bytes: unexpected EOF", of 4194304.
func TestSteadyReaderGetsAll(t *testing.T) {
	const (
		size = 4 << 20
		// perSecond takes three times callerPatience for the whole answer.
		perSecond = size / (3 * int(callerPatience/time.Second))
	)
	body := strings.Repeat("x", size)
	serve := func(_ context.Context, s *sched.Sink) sched.Result {
		s.Head(http.StatusOK, nil)
		s.Data([]byte(body))
		return sched.Result{Outcome: once.Complete, Status: http.StatusOK}
	}
	onClock(t, zapcore.NewNopCore(), completion(false), serve, func(c net.Conn) {
		if got := answerOf(t, &thinLine{c, perSecond}); got != body {
			t.Errorf("%d bytes, want %d", len(got), size)
		}
	})
}

// thinLine lets perSecond bytes through.
type thinLine struct {
	io.Reader
	perSecond int
}

// Read takes as long as the bytes need.
func (l *thinLine) Read(p []byte) (int, error) {
	n, err := l.Reader.Read(p[:min(len(p), l.perSecond/10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(l.perSecond))
	return n, err
}

// A caller asks and then reads nothing. The short answer fits the server's
// buffer, which is written after the answer's end. The connection ends within
// the time of one write all the same: nobody waits for such a caller for good.
// With the deadline taken away at the answer's end "the connection still waited
// after 1m0s", and a planned stop would have waited with it.
func TestUnreadAnswerEnds(t *testing.T) {
	serve := func(_ context.Context, s *sched.Sink) sched.Result {
		s.Head(http.StatusOK, nil)
		s.Data([]byte("one"))
		return sched.Result{Outcome: once.Complete, Status: http.StatusOK}
	}
	onClock(t, zapcore.NewNopCore(), completion(false), serve, func(c net.Conn) {
		time.Sleep(2 * callerPatience)
		if n, err := io.ReadFull(c, make([]byte, 1)); n != 0 {
			t.Errorf("the connection still waited after %v: read %d bytes, %v", 2*callerPatience, n, err)
		}
	})
}

// thinConn is a connection that thinLine reads.
type thinConn struct {
	net.Conn
	line thinLine
}

// Read implements io.Reader.
func (c *thinConn) Read(p []byte) (int, error) { return c.line.Read(p) }

// A caller on a thin line sends a large request steadily, for longer than one piece
// may take. It is served. With one deadline for the whole body it was refused while
// it sent: "the body could not be read to its end".
func TestSteadySenderIsServed(t *testing.T) {
	const (
		size      = 2 << 20
		perSecond = size / (3 * int(callerPatience/time.Second))
	)
	body := completion(false)
	body = body[:len(body)-1] + `,"user":"` + strings.Repeat("x", size) + `"}`
	serve := func(_ context.Context, s *sched.Sink) sched.Result {
		s.Head(http.StatusOK, nil)
		s.Data([]byte("one"))
		return sched.Result{Outcome: once.Complete, Status: http.StatusOK}
	}
	thin := func(c net.Conn) net.Conn { return &thinConn{c, thinLine{c, perSecond}} }
	overLine(t, zapcore.NewNopCore(), body, thin, serve, func(c net.Conn) {
		if got := answerOf(t, c); got != "one" {
			t.Errorf("answer %q", got)
		}
	})
}
