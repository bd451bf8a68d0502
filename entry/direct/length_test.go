package direct

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lycheepond/core/route"
)

// Guards against a stream that looks complete to its caller before its last event, because it
// was announced with the length of an answer that broke off and another endpoint went on with it.
func TestLengthOfFirstEndpointDoesNotBindTheNext(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		events := streamEvent(1) + streamEvent(2)
		first := newTestEndpoint(t, func(_ *testEndpoint, c net.Conn, _ *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(events), streamEvent(1))
		})
		second := newTestEndpoint(t, func(_ *testEndpoint, c net.Conn, req *http.Request) {
			writeStreamHead(c)
			for i := lastEventOf(req) + 1; i <= 3; i++ {
				writeChunk(c, streamEvent(i))
			}
			writeStreamEnd(c)
		})
		h := newHarness(t, route.Route{Attempts: 2, Target: time.Second, Timeout: time.Minute, Stream: true, Resumable: resumable}, first, second)
		var length int64
		now := time.Now()
		j := &Job{ID: "x", Route: &h.cfg.Routes[0], Pool: &h.cfg.Pools[0], Method: "GET", Target: "/", Host: "h", Header: make(http.Header), AcceptedAt: now, Deadline: now.Add(time.Minute)}
		res := h.d.Serve(t.Context(), j, Sink{
			Head:  func(_ int, _ http.Header, n int64) { length = n },
			Write: func(p []byte) error { _, err := io.Discard.Write(p); return err },
			Flush: func() error { return nil },
		})
		if want := map[bool]int64{true: -1, false: int64(len(events))}[resumable]; length != want || (res.Outcome == Complete) != resumable {
			t.Errorf("resumable %v: length %d, want %d, %v", resumable, length, want, res.Outcome)
		}
	}
}
