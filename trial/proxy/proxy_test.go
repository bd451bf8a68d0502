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

// startProxy starts a proxy and returns it with a function that opens a
// connection through it and returns the client's and the server's end.
func startProxy(t *testing.T, wholeFrames bool) (*Proxy, func() (client, server net.Conn)) {
	t.Helper()
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, err := New(Config{Listen: "127.0.0.1:0", Upstream: upstream.Addr().String(), WholeFrames: wholeFrames})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		upstream.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return p, func() (client, server net.Conn) {
		client, err := net.Dial("tcp", p.Addr())
		if err != nil {
			t.Fatal(err)
		}
		server, err = upstream.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close(); server.Close() })
		return client, server
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

// Checks that a cut closes open and new connections, and that new connections
// work again after it.
func TestCut(t *testing.T) {
	p, dial := startProxy(t, false)
	client, server := dial()
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(server, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	p.SetFault(Fault{Cut: true})
	if n, err := io.Copy(io.Discard, server); n != 0 {
		t.Errorf("%d bytes arrived after the cut, %v", n, err)
	}
	secondConn, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer secondConn.Close()
	if n, _ := secondConn.Read(make([]byte, 1)); n != 0 {
		t.Error("a new connection carried data during the cut")
	}
	p.SetFault(Fault{})
	client, server = dial()
	if _, err := client.Write([]byte("y")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(server, make([]byte, 1)); err != nil {
		t.Errorf("after the cut: %v", err)
	}
}

// Checks that no frame arrives before the delay has passed.
func TestDelay(t *testing.T) {
	const delay = 50 * time.Millisecond
	p, dial := startProxy(t, true)
	client, server := dial()
	p.SetFault(Fault{Delay: spec.Duration(delay), Direction: Up})
	sentAt := time.Now()
	for range 20 {
		send(t, client, &wire.Deny{ID: ident.Make(1, 3)})
	}
	r := wire.NewReader(server)
	for range 20 {
		if _, err := r.Next(); err != nil {
			t.Fatal(err)
		}
		if d := time.Since(sentAt); d < delay {
			t.Fatalf("a frame arrived after only %v", d)
		}
	}
}

// Checks that a freeze of one direction holds back only the bytes of this
// direction, and that they arrive after the freeze.
func TestFreezeOneDirection(t *testing.T) {
	p, dial := startProxy(t, false)
	client, server := dial()
	p.SetFault(Fault{Freeze: true, Direction: Up})
	if _, err := client.Write([]byte("held")); err != nil {
		t.Fatal(err)
	}
	if _, err := server.Write([]byte("free")); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 4)
	if _, err := io.ReadFull(client, buf); err != nil || string(buf) != "free" {
		t.Fatalf("the direction that is not frozen: %q, %v", buf, err)
	}
	server.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	var timeout net.Error
	if n, err := server.Read(buf); n != 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Fatalf("the frozen direction: %d bytes, %v", n, err)
	}
	server.SetReadDeadline(time.Time{})
	p.SetFault(Fault{})
	if _, err := io.ReadFull(server, buf); err != nil || string(buf) != "held" {
		t.Fatalf("after the freeze: %q, %v", buf, err)
	}
}

// Checks which frames arrive, and in which order, after a fault of each action.
func TestFrameFaults(t *testing.T) {
	id := ident.Make(1, 1)
	tests := []struct {
		action Action
		want   []wire.Kind
	}{
		{Duplicate, []wire.Kind{wire.KindGrant, wire.KindGrant, wire.KindDeny}},
		{Delay, []wire.Kind{wire.KindDeny, wire.KindGrant}},
		{CutBefore, nil},
		{CutAfter, []wire.Kind{wire.KindGrant}},
	}
	for _, test := range tests {
		t.Run(string(test.action), func(t *testing.T) {
			p, dial := startProxy(t, true)
			client, server := dial()
			p.AddFrameFault(FrameFault{Kind: wire.KindGrant, Action: test.action, Hold: spec.Duration(100 * time.Millisecond)})
			send(t, client, &wire.Grant{ID: id})
			send(t, client, &wire.Deny{ID: id})
			r := wire.NewReader(server)
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
				t.Error("a frame arrived after the cut")
			}
		})
	}
}

// Checks that AwaitFrames returns when the frame has been forwarded.
func TestAwaitFrames(t *testing.T) {
	p, dial := startProxy(t, true)
	client, server := dial()
	send(t, client, &wire.Deny{ID: ident.Make(1, 2)})
	if _, err := wire.NewReader(server).Next(); err != nil {
		t.Fatal(err)
	}
	if err := p.AwaitFrames(context.Background(), Up, wire.KindDeny, 1); err != nil {
		t.Fatal(err)
	}
}
