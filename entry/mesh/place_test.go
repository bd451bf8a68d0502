package mesh

import (
	"io"
	"net"
	"testing"
	"time"

	"lycheepond/core/wire"
)

// Guards against place messages that end the link to a peer of an older version, because it has not
// said that it reads them or because only its previous process has.
func TestOlderPeersAreSentBasicPlaceMessages(t *testing.T) {
	for name, tc := range map[string]struct {
		reads       bool
		incarnation uint64
		fields      []byte
	}{
		"older":            {false, 1, []byte{0x9c, 0x94, 0x9f}},
		"previous process": {true, 2, []byte{0x9c, 0x94, 0x9f}},
		"same version":     {true, 1, []byte{0x9f, 0x95, 0xdc, 0x95, 0x92, 0x94}},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer far.Close()
			_ = far.SetReadDeadline(time.Now().Add(10 * time.Second))
			link := wire.New(near, wire.Hello{Name: "a", Incarnation: 1}, wire.Config{})
			go link.Run(t.Context(), func(wire.Message) {})
			m := New(Config{})
			m.peers["a"], m.dials["x"] = &peer{addr: "x", incarnation: tc.incarnation, readsPlaceExtensions: tc.reads}, &dial{peer: "a", link: link}
			m.Send("a", &wire.PlaceRequest{Fingerprint: 9})
			m.Send("a", &wire.PlaceReport{Outcome: wire.PlaceDropped})
			_ = m.sendReply(link, &wire.PlaceReply{Plan: 2})
			load, hold, bookings := m.Send("a", &wire.PlaceReport{Load: new(wire.StatedLoad)}), m.sendReply(link, new(wire.PlaceHold)), m.Send("a", new(wire.PlaceBookings))
			if n := len(tc.fields); load != (n > 3) || (hold == nil) != load || bookings != load {
				t.Errorf("sent: load %t, hold %v, bookings %t", load, hold, bookings)
			}
			link.Finish()
			for i := -1; i < len(tc.fields); i++ {
				var head [6]byte
				if _, err := io.ReadFull(far, head[:]); err != nil {
					t.Fatal(err)
				}
				if _, err := io.CopyN(io.Discard, far, int64(head[2])<<8+int64(head[3])-1); err != nil {
					t.Fatal(err)
				}
				// The first message of a link is a heartbeat.
				if i >= 0 && head[5] != tc.fields[i] {
					t.Errorf("message %d of kind %d begins with %x, want %x", i, head[4], head[5], tc.fields[i])
				}
			}
		})
	}
}

// Guards against a booking for a caller that its entry, of an older version, cannot tell the plan.
func TestFingerprintOfOlderPeerIsDropped(t *testing.T) {
	t.Parallel()
	a := start(t, "a")
	b := start(t, "b", a.addr)
	ask := func(id, want uint64) {
		await(t, "a request", func() bool {
			b.mesh.Send("a", &wire.PlaceRequest{ID: id, Fingerprint: 9})
			m := a.asked.Load()
			return m != nil && m.ID == id && m.Fingerprint == want
		})
	}
	ask(1, 9)
	a.mesh.mu.Lock()
	a.mesh.peers["b"].readsPlaceExtensions = false
	a.mesh.mu.Unlock()
	ask(2, 0)
}
