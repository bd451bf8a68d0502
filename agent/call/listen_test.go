package call

import (
	"context"
	"net"
	"testing"
)

// Guards against taking a truncated answer for a crash of the endpoint.
func TestListening(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listening := Listening("http://" + ln.Addr().String())
	if !listening(context.Background()) {
		t.Error("an endpoint that listens counts as crashed")
	}
	ln.Close()
	if listening(context.Background()) {
		t.Error("an endpoint that has ended counts as listening")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if !listening(ctx) {
		t.Error("a check that was cancelled counts as a crash")
	}
}
