package wire

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// thinLine lets perSecond bytes through in the direction that is read.
type thinLine struct {
	net.Conn
	perSecond int
}

// Read takes as long as the bytes need.
func (c *thinLine) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), c.perSecond/100+1)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.perSecond))
	return n, err
}

// A request of the largest size crosses a thin line between two availability
// zones. It takes longer than the peer may be silent, but the line never is, and
// the other requests on the link must not lose it. With one deadline for a whole
// frame at each end the link ended: "write pipe: i/o timeout" here, "unexpected
// EOF" there.
func TestLargeFrameOverThinLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			size = 4 << 20
			// takes is how long the frame takes.
			takes = 4 * MissedHeartbeats * DefaultHeartbeat
		)
		near, far := net.Pipe()
		a := New(near, Hello{}, Config{})
		b := New(&thinLine{far, size / int(takes/time.Second)}, Hello{}, Config{})
		ctx, cancel := context.WithTimeout(context.Background(), 2*takes)
		defer cancel()
		got := make(chan Message, 100)
		ended := make(chan error, 2)
		go func() { ended <- a.Run(ctx, func(Message) {}) }()
		go func() { ended <- b.Run(ctx, func(m Message) { got <- m }) }()
		if err := a.Send(&Grant{Body: make([]byte, size)}); err != nil {
			t.Fatal(err)
		}
		for whole, open := false, 2; open > 0; {
			select {
			case m := <-got:
				whole = whole || m.Kind() == KindGrant
				if whole {
					cancel()
				}
			case err := <-ended:
				open--
				if !whole {
					t.Errorf("the link ended before the frame had come: %v", err)
				}
			}
		}
	})
}
