package direct

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// endlessBody is a form of a body that never ends.
type endlessBody struct{ name, head, part string }

// endlessBodies are the forms in which endpoints send bodies without end.
var endlessBodies = []endlessBody{
	{"chunks", "Transfer-Encoding: chunked\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
	{"length", "Content-Length: 99999999999\r\n", strings.Repeat("x", 1<<10)},
	{"no framing", "", strings.Repeat("x", 1<<10)},
}

// serve returns an endpoint's answer with a status and the body, of which a part is sent in each
// interval until the connection is closed.
func (b endlessBody) serve(status int, interval time.Duration) func(*testEndpoint, net.Conn, *http.Request) {
	return func(_ *testEndpoint, c net.Conn, _ *http.Request) {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\nConnection: close\r\n%s\r\n", status, b.head)
		for err == nil {
			_, err = fmt.Fprint(c, b.part)
			time.Sleep(interval)
		}
	}
}

// Guards against an error with an endless body that delays the request at another endpoint, for as
// long as the body arrives.
func TestEndlessErrorDoesNotDelayRetry(t *testing.T) {
	for _, b := range endlessBodies {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			sound := newTestEndpoint(t, func(_ *testEndpoint, c net.Conn, _ *http.Request) { writeWhole(c, http.StatusOK, "answer") })
			h := newHarness(t, unaryRoute, newTestEndpoint(t, b.serve(http.StatusInternalServerError, time.Millisecond)), sound)
			start := time.Now()
			got := h.send(t.Context(), "x", callerAnswer{})
			if got.Outcome != Complete || got.body.String() != "answer" {
				t.Errorf("%v, %q", got.Outcome, got.Reason)
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("answered after %v", took)
			}
		})
	}
}
