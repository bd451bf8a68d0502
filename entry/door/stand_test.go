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

// stand is a door without endpoints, for one test.
type stand struct {
	door    *Door
	addr    string
	log     output
	metrics *meter.Set
	// idle is the operator's bound on idle time, timeout that of the route.
	idle, timeout atomic.Int64
	informed      atomic.Bool
	// handed counts requests that reached Serve, cut those whose connection the
	// process had closed when Serve returned.
	handed, cut, running atomic.Int64
	stop                 context.CancelFunc
	// ready is the balancer's listener.
	ready net.Listener
	ended chan error
}

// output keeps the log. A test may hold back whoever writes a line of an event.
type output struct {
	mu    sync.Mutex
	lines bytes.Buffer
	event string
	held  chan bool
}

// Write keeps a line. The first one of the event that is held waits.
func (o *output) Write(line []byte) (int, error) {
	o.mu.Lock()
	o.lines.Write(line)
	var held chan bool
	if o.held != nil && bytes.Contains(line, []byte(`"event":"`+o.event+`"`)) {
		held, o.held = o.held, nil
	}
	o.mu.Unlock()
	if held != nil {
		held <- true
		<-held
	}
	return len(line), nil
}

// hold returns a channel that tells that a line of an event waits, and lets it go
// on.
func (o *output) hold(event string) chan bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.event, o.held = event, make(chan bool)
	return o.held
}

// line returns the first line of an event, empty if there is none.
func (o *output) line(event string) string {
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

// fine answers with a short body.
func fine(_ context.Context, _ *direct.Job, s direct.Sink) direct.Result {
	s.Head(http.StatusOK, http.Header{}, 2)
	if s.Write([]byte("ok")) != nil {
		return direct.Result{Outcome: direct.CallerLeft, Reason: "caller left"}
	}
	return direct.Result{Outcome: direct.Complete}
}

func newStand(t *testing.T, grace time.Duration, serve serveFunc) *stand {
	t.Helper()
	st := &stand{metrics: meter.New(), ended: make(chan error, 1)}
	st.idle.Store(int64(time.Minute))
	st.timeout.Store(int64(time.Minute))
	st.informed.Store(true)
	st.door = New(Config{
		Listen: anyPort, Ready: anyPort, ReadyPath: "/readyz", Grace: grace, Memory: 64 << 20,
		ID: func(r *http.Request) string { return r.URL.Path },
		Accept: func(r *http.Request, _ *route.Table) (*direct.Job, *Refusal) {
			return &direct.Job{ID: r.URL.Path, Route: &route.Route{Timeout: time.Duration(st.timeout.Load())}}, nil
		},
		Table: func() *route.Table {
			return route.NewTable(route.Config{Limits: route.Limits{IdleTime: time.Duration(st.idle.Load())}})
		},
		Informed: st.informed.Load,
		Serve: func(ctx context.Context, j *direct.Job, s direct.Sink) direct.Result {
			st.handed.Add(1)
			st.running.Add(1)
			defer st.running.Add(-1)
			res := serve(ctx, j, s)
			if kept.Cause(ctx) != nil {
				st.cut.Add(1)
			}
			return res
		},
		Running: func() int { return int(st.running.Load()) },
		Metrics: st.metrics, Log: logs.NewTo(&st.log, "info", "entry"),
	})
	ctx, stop := context.WithCancel(context.Background())
	st.stop = stop
	front, err := st.door.conns.Listen(anyPort)
	if err != nil {
		t.Fatal(err)
	}
	st.addr = front.Addr().String()
	if st.ready, err = net.Listen("tcp", st.door.cfg.Ready); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		st.ended <- st.door.serveOn(ctx, front, st.ready)
	}()
	await(t, "the door", func() bool {
		nc, err := net.Dial("tcp", st.addr)
		if err == nil {
			nc.Close()
		}
		return err == nil
	})
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return st
}

// anyPort has the system choose a port that nobody listens on.
const anyPort = "127.0.0.1:0"

func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("gave up waiting for " + what)
		}
	}
}

// client is one kept connection.
type client struct {
	net.Conn
	r *bufio.Reader
}

func (st *stand) dial() (*client, error) {
	nc, err := net.Dial("tcp", st.addr)
	if err != nil {
		return nil, err
	}
	return &client{Conn: nc, r: bufio.NewReader(nc)}, nil
}

// connect returns a connection that has got an answer and is idle since.
func (st *stand) connect(t *testing.T) *client {
	t.Helper()
	c, err := st.dial()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if got := c.ask("/first"); got != http.StatusOK {
		t.Fatalf("the first answer: %d", got)
	}
	return c
}

func (c *client) send(path string) error {
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
	return err
}

// answer returns the status of a whole answer, zero if there is none.
func (c *client) answer() int {
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

func (c *client) ask(path string) int {
	if c.send(path) != nil {
		return 0
	}
	return c.answer()
}
