package wire

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// slowConn limits reads to bytesPerSecond.
type slowConn struct {
	net.Conn
	bytesPerSecond int
}

// Read takes the time that the bytes need at the limited rate.
func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), c.bytesPerSecond/100+1)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.bytesPerSecond))
	return n, err
}

// A request of the largest size is sent over a slow connection between two
// availability zones. The frame takes longer than the peer may be silent, but bytes
// arrive all the time, so the link and the other requests on it must continue. With
// one deadline per whole frame, the link ended with "write pipe: i/o timeout" at the
// sender and "unexpected EOF" at the receiver.
func TestLargeFrameOverSlowConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			size = 4 << 20
			// transferTime is the time that the frame takes.
			transferTime = 4 * MissedHeartbeats * DefaultHeartbeat
		)
		near, far := net.Pipe()
		sender := New(near, Hello{}, Config{})
		receiver := New(&slowConn{far, size / int(transferTime/time.Second)}, Hello{}, Config{})
		ctx, cancel := context.WithTimeout(context.Background(), 2*transferTime)
		defer cancel()
		got := make(chan Message, 100)
		ended := make(chan error, 2)
		go func() { ended <- sender.Run(ctx, func(Message) {}) }()
		go func() { ended <- receiver.Run(ctx, func(m Message) { got <- m }) }()
		if err := sender.Send(&Grant{Body: make([]byte, size)}); err != nil {
			t.Fatal(err)
		}
		for arrived, running := false, 2; running > 0; {
			select {
			case m := <-got:
				arrived = arrived || m.Kind() == KindGrant
				if arrived {
					cancel()
				}
			case err := <-ended:
				running--
				if !arrived {
					t.Errorf("the link ended before the frame arrived: %v", err)
				}
			}
		}
	})
}
