package kept

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// The first bytes of a request come in one packet with the request before it, and
// are fewer than the four that the server waits for. They were read with a request
// that is served, so the connection must not count as idle.
func TestFirstBytesBehindARequest(t *testing.T) {
	for _, stop := range []bool{false, true} {
		st := newStand(t, ok)
		c := dial(t, st.addr)
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET")
		if err := c.answer(); err != nil {
			t.Fatal(err)
		}
		k := st.one(t)
		await(t, "the server to wait", func() bool {
			k.mu.Lock()
			defer k.mu.Unlock()
			return k.waiting && (k.phase == idle || k.phase == begun)
		})
		st.bound.Store(int64(time.Millisecond))
		k.mu.Lock()
		k.bound = time.Millisecond
		k.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		if stop {
			go st.set.Drain(t.Context())
			time.Sleep(2 * settle)
		} else {
			st.set.Sweep()
		}
		io.WriteString(c, " / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		if err := c.answer(); err != nil {
			t.Errorf("stop %v: %v", stop, err)
		}
	}
}

// A large body is read past the server's buffer, in larger steps. Behind it the
// connection is idle like any other, and is closed at the bound on idle time.
func TestIdleBehindALargeBody(t *testing.T) {
	st := newStand(t, func(w http.ResponseWriter, r *http.Request) {
		io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{r.Body}, make([]byte, 64<<10))
		ok(w, r)
	})
	c := dial(t, st.addr)
	const size = 1 << 20
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
	c.Write(make([]byte, size))
	if err := c.answer(); err != nil {
		t.Fatal(err)
	}
	st.in(t, idle)
	k := st.one(t)
	k.mu.Lock()
	k.since = k.since.Add(-time.Hour)
	k.mu.Unlock()
	st.set.Sweep()
	if n := st.counter("connections_closed", IdleBound); n != 1 {
		t.Errorf("%d connections closed as idle", n)
	}
}
