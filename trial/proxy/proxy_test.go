package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"lycheepond/core/ident"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

// pair returns a proxy and a function that makes a connection through it, as
// seen from both ends.
func pair(t *testing.T, frames bool) (*Proxy, func() (near, far net.Conn)) {
	t.Helper()
	up, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, err := New(Config{Listen: "127.0.0.1:0", Upstream: up.Addr().String(), Frames: frames})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		up.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return p, func() (near, far net.Conn) {
		near, err := net.Dial("tcp", p.Addr())
		if err != nil {
			t.Fatal(err)
		}
		far, err = up.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { near.Close(); far.Close() })
		return near, far
	}
}

func send(t *testing.T, c net.Conn, m wire.Message) {
	t.Helper()
	b, err := wire.Append(nil, m)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(b); err != nil {
		t.Fatal(err)
	}
}

func TestCut(t *testing.T) {
	p, dial := pair(t, false)
	near, far := dial()
	if _, err := near.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(far, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	p.Set(Fault{Cut: true})
	if n, err := io.Copy(io.Discard, far); n != 0 {
		t.Errorf("%d bytes after the cut, %v", n, err)
	}
	again, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if n, _ := again.Read(make([]byte, 1)); n != 0 {
		t.Error("a new connection passed the cut")
	}
	p.Set(Fault{})
	near, far = dial()
	if _, err := near.Write([]byte("y")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(far, make([]byte, 1)); err != nil {
		t.Errorf("after the cut: %v", err)
	}
}

func TestDelay(t *testing.T) {
	const delay = 50 * time.Millisecond
	p, dial := pair(t, true)
	near, far := dial()
	p.Set(Fault{Delay: spec.Duration(delay), Direction: Up})
	sent := time.Now()
	for range 20 {
		send(t, near, &wire.Deny{ID: ident.Make(1, 3)})
	}
	r := wire.NewReader(far)
	for range 20 {
		if _, err := r.Next(); err != nil {
			t.Fatal(err)
		}
		if d := time.Since(sent); d < delay {
			t.Fatalf("a frame came after %v", d)
		}
	}
}

func TestFreezeOneDirection(t *testing.T) {
	p, dial := pair(t, false)
	near, far := dial()
	p.Set(Fault{Freeze: true, Direction: Up})
	if _, err := near.Write([]byte("held")); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Write([]byte("free")); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 4)
	if _, err := io.ReadFull(near, buf); err != nil || string(buf) != "free" {
		t.Fatalf("the free direction: %q, %v", buf, err)
	}
	far.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	var timeout net.Error
	if n, err := far.Read(buf); n != 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Fatalf("the frozen direction: %d bytes, %v", n, err)
	}
	far.SetReadDeadline(time.Time{})
	p.Set(Fault{})
	if _, err := io.ReadFull(far, buf); err != nil || string(buf) != "held" {
		t.Fatalf("after the freeze: %q, %v", buf, err)
	}
}

func TestTricks(t *testing.T) {
	id := ident.Make(1, 1)
	tests := []struct {
		action Action
		want   []wire.Kind
	}{
		{Duplicate, []wire.Kind{wire.KindGrant, wire.KindGrant, wire.KindDeny}},
		{Late, []wire.Kind{wire.KindDeny, wire.KindGrant}},
		{CutBefore, nil},
		{CutAfter, []wire.Kind{wire.KindGrant}},
	}
	for _, test := range tests {
		t.Run(string(test.action), func(t *testing.T) {
			p, dial := pair(t, true)
			near, far := dial()
			p.Play(Trick{Kind: wire.KindGrant, Action: test.action, Hold: spec.Duration(100 * time.Millisecond)})
			send(t, near, &wire.Grant{ID: id})
			send(t, near, &wire.Deny{ID: id})
			r := wire.NewReader(far)
			for i, want := range test.want {
				m, err := r.Next()
				if err != nil || m.Kind() != want {
					t.Fatalf("frame %d: %v, %v, want %v", i, m, err, want)
				}
			}
			if test.want != nil && test.action != CutAfter {
				return
			}
			if _, err := r.Next(); err == nil {
				t.Error("a frame came after the cut")
			}
		})
	}
}

func TestAwait(t *testing.T) {
	p, dial := pair(t, true)
	near, far := dial()
	send(t, near, &wire.Deny{ID: ident.Make(1, 2)})
	if _, err := wire.NewReader(far).Next(); err != nil {
		t.Fatal(err)
	}
	if err := p.Await(context.Background(), Up, wire.KindDeny, 1); err != nil {
		t.Fatal(err)
	}
}
