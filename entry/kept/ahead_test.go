package kept

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// The first bytes of a request arrive in one packet with the previous request, and are fewer
// than the four that the server waits for. They are read together with the previous request, so
// nothing more arrives after its answer. The connection must not count as idle.
func TestPartialNextRequestIsNotIdle(t *testing.T) {
	for _, stop := range []bool{false, true} {
		srv := newTestServer(t, answerOK)
		c := dial(t, srv.addr)
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET")
		if err := c.readAnswer(); err != nil {
			t.Fatal(err)
		}
		k := srv.onlyConn(t)
		waitFor(t, "the server to wait for data", func() bool {
			k.mu.Lock()
			defer k.mu.Unlock()
			return k.serverWaiting && (k.phase == phaseIdle || k.phase == phaseReading)
		})
		srv.bound.Store(int64(time.Millisecond))
		k.mu.Lock()
		k.idleBound = time.Millisecond
		k.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		if stop {
			go srv.set.Drain(t.Context())
			time.Sleep(2 * newConnGrace)
		} else {
			srv.set.CloseExpired()
		}
		io.WriteString(c, " / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		if err := c.readAnswer(); err != nil {
			t.Errorf("stop %v: %v", stop, err)
		}
	}
}

// A large body is read past the server's buffer, in larger steps. After it the connection is
// idle like any other and is closed at the idle bound.
func TestIdleAfterLargeBody(t *testing.T) {
	srv := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{r.Body}, make([]byte, 64<<10))
		answerOK(w, r)
	})
	c := dial(t, srv.addr)
	const size = 1 << 20
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
	c.Write(make([]byte, size))
	if err := c.readAnswer(); err != nil {
		t.Fatal(err)
	}
	srv.awaitPhase(t, phaseIdle)
	k := srv.onlyConn(t)
	k.mu.Lock()
	k.phaseSince = k.phaseSince.Add(-time.Hour)
	k.mu.Unlock()
	srv.set.CloseExpired()
	if n := srv.counter("connections_closed", IdleBound); n != 1 {
		t.Errorf("%d connections closed as idle", n)
	}
}
