package slot

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"lycheepond/agent/engine"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

// newOrderHarness returns a harness and a channel with the orders that the engine
// got.
func newOrderHarness(t *testing.T) (*harness, chan engine.Order) {
	h := newHarness(t, testBound)
	got := make(chan engine.Order, 8)
	h.o.cfg.SendOrder = func(_ context.Context, o engine.Order) error {
		if err := o.Guard.Check(); err != nil {
			return err
		}
		got <- o
		return nil
	}
	return h, got
}

func (p *testLink) sendAssignment(version, epoch int64, weights string) {
	data, err := json.Marshal(spec.Assign{Epoch: epoch, Endpoints: map[string]spec.Assignment{"a": {Version: weights}}})
	if err != nil {
		p.h.t.Fatal(err)
	}
	p.send(&wire.ObjectUpdate{ObjectKind: spec.KindAssign, Name: "roster", Version: version, Data: data})
}

func (h *harness) nextOrder(got chan engine.Order) engine.Order {
	h.t.Helper()
	h.advance(0)
	h.applyUntil(func() bool { return len(got) > 0 && !h.o.orderState.isSending })
	return <-got
}

// An order must be sent when its assignment is confirmed, and only once.
func TestOrderFollowsConfirmedAssignment(t *testing.T) {
	h, got := newOrderHarness(t)
	p := h.newLink(entryIncarnation)
	p.sendAssignment(10, 1, "v2")
	h.advance(time.Second)
	if h.o.orderState.isSending {
		t.Fatal("an order was sent without a confirmation")
	}
	p.confirmEpoch(1, 0)
	if o := h.nextOrder(got); o.Fence != 10 || o.Model != "roster" || o.Version != "v2" {
		t.Fatalf("order %+v", o)
	}
	h.advance(time.Second)
	if h.o.orderState.isSending {
		t.Fatal("the order was sent twice")
	}
}

// The agent is paused while operators change an assignment twice, and resumes with
// the older change in its socket. The engine accepts any order, so the older one
// must not be sent: the pool would serve two versions until the next change.
func TestStaleAssignmentSendsNoOrder(t *testing.T) {
	h, got := newOrderHarness(t)
	p := h.newLink(entryIncarnation)
	p.sendAssignment(10, 1, "v2")
	p.confirmEpoch(1, 0)
	h.nextOrder(got)
	p.sendAssignment(11, 2, "v3")
	h.now += time.Minute
	h.advance(0)
	if h.o.orderState.isSending {
		t.Fatal("an order was sent on an expired confirmation")
	}
	// By now the entry knows a newer epoch.
	p.confirmEpoch(3, 0)
	h.advance(0)
	if h.o.orderState.isSending {
		t.Fatal("an order was sent although a newer assignment exists")
	}
	p.sendAssignment(12, 3, "v4")
	p.confirmEpoch(3, 0)
	if o := h.nextOrder(got); o.Fence != 12 {
		t.Fatalf("order %+v", o)
	}
	// An accepted order is sent again only if the endpoint serves something else,
	// for example after a restart in which it forgot the order.
	h.o.orderState.servedModel, h.o.orderState.servedVersion = "roster", "v4"
	p.discardMessages()
	h.advance(orderRepeatDelay + time.Millisecond)
	expectNone[*wire.LeaseRequest](p)
	if h.o.orderState.isSending {
		t.Fatal("an order was sent to an endpoint that already serves the assignment")
	}
	h.o.orderState.servedVersion = "v1"
	p.confirmEpoch(3, 0)
	if o := h.nextOrder(got); o.Fence != 12 {
		t.Fatalf("order %+v", o)
	}
	// An update that only confirms the assignment, or one that a watch repeats, has
	// no effect.
	p.discardMessages()
	p.sendAssignment(13, 3, "v3")
	p.sendAssignment(11, 2, "v3")
	h.advance(time.Second)
	expectNone[*wire.LeaseRequest](p)
	if h.o.orderState.isSending || len(got) > 0 || h.o.orderState.assignments["roster"].version != 12 {
		t.Fatal("an old update had an effect")
	}
}

// discardMessages discards the messages that have been sent so far.
func (p *testLink) discardMessages() {
	for len(p.messages) > 0 {
		<-p.messages
	}
}
