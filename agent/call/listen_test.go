package call

import (
	"context"
	"net"
	"testing"
)

// The check decides whether a truncated answer counts as a crash of the endpoint.
// Only a refused connection may count as one.
func TestConnectionCheck(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepts := NewConnectionCheck("http://" + ln.Addr().String())
	if !accepts(context.Background()) {
		t.Error("an endpoint that listens counts as crashed")
	}
	ln.Close()
	if accepts(context.Background()) {
		t.Error("an endpoint that has ended counts as listening")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if !accepts(ctx) {
		t.Error("a check that was cancelled counts as a crash")
	}
}
