package kept

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/meter"
)

// stand is a server with a set, for one test.
type stand struct {
	set   *Set
	addr  string
	bound atomic.Int64
	// handed counts requests that were handed on, cut those that then saw their
	// connection closed by the set.
	handed, cut atomic.Int64
	served      chan error
}

func newStand(t *testing.T, h http.HandlerFunc) *stand {
	t.Helper()
	st := &stand{served: make(chan error, 1)}
	st.bound.Store(int64(time.Minute))
	st.set = New(Config{
		Bound:   func() time.Duration { return time.Duration(st.bound.Load()) },
		Metrics: meter.New(), Log: zap.NewNop(),
	})
	ln, err := st.set.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	st.addr = ln.Addr().String()
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !st.set.Admit(r) {
			panic(http.ErrAbortHandler)
		}
		st.handed.Add(1)
		h(w, r)
		if Cause(r.Context()) != nil {
			st.cut.Add(1)
		}
	})}
	st.set.Attach(server)
	go func() { st.served <- server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	return st
}

// counter reads a counter of the set.
func (st *stand) counter(name string, why Why) int64 {
	return st.set.cfg.Metrics.Counter(name, why.label()).Count()
}

// client is one kept connection.
type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return &client{Conn: nc, r: bufio.NewReader(nc)}
}

// answer reads one answer.
func (c *client) answer() error {
	c.SetReadDeadline(time.Now().Add(time.Minute))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func (c *client) ask(path string) error {
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path); err != nil {
		return err
	}
	return c.answer()
}

func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("gave up waiting for " + what)
		}
	}
}

// one returns the only connection of the set.
func (st *stand) one(t *testing.T) *conn {
	t.Helper()
	all := st.set.all()
	if len(all) != 1 {
		t.Fatalf("%d connections", len(all))
	}
	return all[0]
}

// in waits until the only connection is in a phase and the server waits for more.
func (st *stand) in(t *testing.T, p phase) {
	t.Helper()
	c := st.one(t)
	await(t, "the phase", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.phase == p && c.waiting
	})
}

func ok(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }
