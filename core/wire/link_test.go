package wire

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"lycheepond/core/ident"
)

// handshakePair returns two links over loopback whose handshake is done, or the
// errors of the handshake.
func handshakePair(t *testing.T, a, b Keys) (*Link, *Link, error, error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	type result struct {
		l   *Link
		err error
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	open := func(conn net.Conn, name string, keys Keys) result {
		peer, err := Handshake(ctx, conn, Hello{Role: RoleAgent, Name: name, Zone: "z"}, keys)
		if err != nil {
			conn.Close()
			return result{nil, err}
		}
		return result{New(conn, peer, Config{}), nil}
	}
	accepted := make(chan result, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			accepted <- result{nil, err}
			return
		}
		accepted <- open(conn, "b", b)
	}()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	ra := open(conn, "a", a)
	rb := <-accepted
	return ra.l, rb.l, ra.err, rb.err
}

// receiveFirstHeartbeat receives the heartbeat that is the first message on a link.
func receiveFirstHeartbeat(t *testing.T, got <-chan Message) {
	t.Helper()
	if m := <-got; m.Kind() != KindHeartbeat {
		t.Fatalf("the first message is %s", m.Kind())
	}
}

// A message must arrive unchanged, the traffic counts of both ends must agree, and a
// link that has ended must refuse messages.
func TestLinkCarriesMessages(t *testing.T) {
	keys := OneKey([]byte("k"))
	a, b, errA, errB := handshakePair(t, keys, keys)
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	if a.Peer().Name != "b" || b.Peer().Name != "a" {
		t.Fatalf("peers %q and %q", a.Peer().Name, b.Peer().Name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan Message, 8)
	ended := make(chan error, 2)
	go func() { ended <- a.Run(ctx, func(Message) {}) }()
	go func() { ended <- b.Run(ctx, func(m Message) { got <- m }) }()
	want := &Offer{ID: ident.Make(1, 2), Pool: "roster", Customer: "metro", Tier: 3, KeyCreatedMS: 1 << 60, KeyHash: []byte{9, 8}}
	if err := a.Send(want); err != nil {
		t.Fatal(err)
	}
	receiveFirstHeartbeat(t, got)
	m := <-got
	o, ok := m.(*Offer)
	if !ok || o.ID != want.ID || o.Pool != want.Pool || string(o.KeyHash) != string(want.KeyHash) || o.KeyCreatedMS != want.KeyCreatedMS {
		t.Fatalf("got %#v", m)
	}
	cancel()
	<-ended
	<-ended
	if err := a.Send(want); !errors.Is(err, ErrClosed) {
		t.Fatalf("Send on an ended link: %v", err)
	}
	if a.Counts().ControlOut == 0 || b.Counts().ControlIn != a.Counts().ControlOut {
		t.Fatalf("counts %+v and %+v", a.Counts(), b.Counts())
	}
}

// A process of another fleet, or one that was left out when the fleet key was
// replaced, dials a link port. Its operator must see the remedy, and none of its
// messages may be handled.
func TestHandshakeRefusesOtherKey(t *testing.T) {
	_, _, errA, errB := handshakePair(t, OneKey([]byte("one")), OneKey([]byte("two")))
	if !errors.Is(errA, ErrFleetKey) && !errors.Is(errB, ErrFleetKey) {
		t.Fatalf("errors %v and %v", errA, errB)
	}
	if errA == nil || errB == nil {
		t.Fatalf("one end accepted: %v and %v", errA, errB)
	}
}

// The fleet key is being replaced: one process already uses the new key and the other
// still uses the old one. Both accept both keys, so the link must open.
func TestHandshakeAcceptsBothKeysDuringReplacement(t *testing.T) {
	oldKey, newKey := []byte("old"), []byte("new")
	_, _, errA, errB := handshakePair(t, Keys{Current: oldKey, Accepted: [][]byte{oldKey, newKey}}, Keys{Current: newKey, Accepted: [][]byte{newKey, oldKey}})
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
}

// A caller reads slowly, so the pieces of its answer fill the link's queue. Claims
// and returns must still be accepted: a link that ended under load would be dialled
// again by every peer at once. The notice that an answer was joined must arrive
// before the answer.
func TestFullAnswerQueueAcceptsControlMessages(t *testing.T) {
	keys := OneKey([]byte("k"))
	a, b, errA, errB := handshakePair(t, keys, keys)
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for i := range uint32(queueSize) {
		if err := a.SendWait(ctx, &Chunk{Seq: i}); err != nil {
			t.Fatal(err)
		}
	}
	canceled, cancelNow := context.WithCancel(ctx)
	cancelNow()
	if err := a.SendWait(canceled, &Chunk{}); !errors.Is(err, context.Canceled) {
		t.Fatalf("SendWait into a full queue did not wait: %v", err)
	}
	if err := a.Send(&KeyStatus{}); err != nil {
		t.Fatal(err)
	}
	got := make(chan Message, 2*queueSize)
	ended := make(chan error, 2)
	go func() { ended <- a.Run(ctx, func(Message) {}) }()
	go func() { ended <- b.Run(ctx, func(m Message) { got <- m }) }()
	receiveFirstHeartbeat(t, got)
	if m := <-got; m.Kind() != KindKeyStatus {
		t.Fatalf("the first message is %s", m.Kind())
	}
	for i := range uint32(queueSize) {
		if c, ok := (<-got).(*Chunk); !ok || c.Seq != i {
			t.Fatalf("piece %d: %#v", i, c)
		}
	}
	if err := a.Send(&KeyStatus{}); err != nil {
		t.Fatal(err)
	}
	if err := a.SendWait(ctx, &Head{}); err != nil {
		t.Fatal(err)
	}
	if m := <-got; m.Kind() != KindKeyStatus {
		t.Fatalf("%s arrived before the notice", m.Kind())
	}
	<-got
	cancel()
	<-ended
	<-ended
	if !a.AllWritten() {
		t.Fatal("AllWritten is false although every message has arrived")
	}
}
