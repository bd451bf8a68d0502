package door

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/route"
	"lycheepond/entry/direct"
	"lycheepond/entry/kept"
)

// testServer is a server without endpoints, for one test.
type testServer struct {
	server  *Server
	addr    string
	log     logBuffer
	metrics *meter.Set
	// idleBound is the operator's idle bound, routeTimeout the timeout of the route.
	idleBound, routeTimeout atomic.Int64
	hasSynced               atomic.Bool
	// admitted counts the requests that reached Serve, interrupted those whose connection the
	// process had closed when Serve returned, running those that are in Serve.
	admitted, interrupted, running atomic.Int64
	stop                           context.CancelFunc
	// readyLn is the listener for the balancer's readiness check.
	readyLn net.Listener
	runErr  chan error
}

// logBuffer keeps the log. A test may block the goroutine that writes a line of an event.
type logBuffer struct {
	mu           sync.Mutex
	lines        bytes.Buffer
	blockedEvent string
	blocked      chan bool
}

// Write keeps a line. It blocks on the first line of the event given to blockOn.
func (o *logBuffer) Write(line []byte) (int, error) {
	o.mu.Lock()
	o.lines.Write(line)
	var blocked chan bool
	if o.blocked != nil && bytes.Contains(line, []byte(`"event":"`+o.blockedEvent+`"`)) {
		blocked, o.blocked = o.blocked, nil
	}
	o.mu.Unlock()
	if blocked != nil {
		blocked <- true
		<-blocked
	}
	return len(line), nil
}

// blockOn blocks the first write of a line of the event. The returned channel delivers a value
// once the write is blocked; sending a value to it unblocks the write.
func (o *logBuffer) blockOn(event string) chan bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.blockedEvent, o.blocked = event, make(chan bool)
	return o.blocked
}

// firstLine returns the first line of an event, empty if there is none.
func (o *logBuffer) firstLine(event string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for l := range strings.Lines(o.lines.String()) {
		if strings.Contains(l, `"event":"`+event+`"`) {
			return l
		}
	}
	return ""
}

type serveFunc func(ctx context.Context, j *direct.Job, s direct.Sink) direct.Result

// answerOK answers with a short body.
func answerOK(_ context.Context, _ *direct.Job, s direct.Sink) direct.Result {
	s.Head(http.StatusOK, http.Header{}, 2)
	if s.Write([]byte("ok")) != nil {
		return direct.Result{Outcome: direct.CallerLeft, Reason: "caller left"}
	}
	return direct.Result{Outcome: direct.Complete}
}

func newTestServer(t *testing.T, grace time.Duration, serve serveFunc) *testServer {
	t.Helper()
	srv := &testServer{metrics: meter.New(), runErr: make(chan error, 1)}
	srv.idleBound.Store(int64(time.Minute))
	srv.routeTimeout.Store(int64(time.Minute))
	srv.hasSynced.Store(true)
	srv.server = New(Config{
		ListenAddr: anyPort, ReadyAddr: anyPort, ReadyPath: "/readyz", Grace: grace, BodyMemory: 64 << 20,
		RequestID: func(r *http.Request) string { return r.URL.Path },
		ParseHead: func(r *http.Request, _ *route.Table) (*direct.Job, *Refusal) {
			return &direct.Job{ID: r.URL.Path, Route: &route.Route{Timeout: time.Duration(srv.routeTimeout.Load())}}, nil
		},
		Table: func() *route.Table {
			return route.NewTable(route.Config{Limits: route.Limits{IdleTime: time.Duration(srv.idleBound.Load())}})
		},
		HasSynced: srv.hasSynced.Load,
		BeginStop: func(time.Time) {},
		Serve: func(ctx context.Context, j *direct.Job, s direct.Sink) direct.Result {
			srv.admitted.Add(1)
			srv.running.Add(1)
			defer srv.running.Add(-1)
			res := serve(ctx, j, s)
			if kept.Cause(ctx) != nil {
				srv.interrupted.Add(1)
			}
			return res
		},
		RunningJobs: func() int { return int(srv.running.Load()) },
		Metrics:     srv.metrics, Log: logs.NewTo(&srv.log, "info", "entry"),
	})
	ctx, stop := context.WithCancel(context.Background())
	srv.stop = stop
	ln, err := srv.server.conns.Listen(anyPort)
	if err != nil {
		t.Fatal(err)
	}
	srv.addr = ln.Addr().String()
	if srv.readyLn, err = net.Listen("tcp", srv.server.cfg.ReadyAddr); err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		srv.runErr <- srv.server.serveOn(ctx, ln, srv.readyLn)
	}()
	waitFor(t, "the server", func() bool {
		nc, err := net.Dial("tcp", srv.addr)
		if err == nil {
			nc.Close()
		}
		return err == nil
	})
	t.Cleanup(func() {
		stop()
		<-stopped
	})
	return srv
}

// anyPort has the system choose a free port.
const anyPort = "127.0.0.1:0"

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("gave up waiting for " + what)
		}
	}
}

// client is a kept connection.
type client struct {
	net.Conn
	r *bufio.Reader
}

func (srv *testServer) dial() (*client, error) {
	nc, err := net.Dial("tcp", srv.addr)
	if err != nil {
		return nil, err
	}
	return &client{Conn: nc, r: bufio.NewReader(nc)}, nil
}

// connectIdle returns a connection that has received an answer and has been idle since.
func (srv *testServer) connectIdle(t *testing.T) *client {
	t.Helper()
	c, err := srv.dial()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if got := c.get("/first"); got != http.StatusOK {
		t.Fatalf("the first answer: %d", got)
	}
	return c
}

func (c *client) sendRequest(path string) error {
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
	return err
}

// readStatus returns the status of a complete answer, zero if there is none.
func (c *client) readStatus() int {
	c.SetReadDeadline(time.Now().Add(time.Minute))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (c *client) get(path string) int {
	if c.sendRequest(path) != nil {
		return 0
	}
	return c.readStatus()
}
