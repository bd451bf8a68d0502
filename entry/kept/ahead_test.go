package kept

import (
	"io"
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
