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

// orderBench records the orders that the engine got.
func orderBench(t *testing.T) (*bench, chan engine.Order) {
	b := newBench(t, testBound)
	got := make(chan engine.Order, 8)
	b.o.cfg.Order = func(_ context.Context, o engine.Order) error {
		if err := o.Guard.Check(); err != nil {
			return err
		}
		got <- o
		return nil
	}
	return b, got
}

func (p *peer) assign(version, epoch int64, weights string) {
	data, err := json.Marshal(spec.Assign{Epoch: epoch, Endpoints: map[string]spec.Assignment{"a": {Version: weights}}})
	if err != nil {
		p.b.t.Fatal(err)
	}
	p.send(&wire.ObjectUpdate{ObjectKind: spec.KindAssign, Name: "roster", Version: version, Data: data})
}

func (b *bench) ordered(got chan engine.Order) engine.Order {
	b.t.Helper()
	b.after(0)
	b.pump(func() bool { return len(got) > 0 && !b.o.orders.busy })
	return <-got
}

func TestOrderFollowsConfirmedAssignment(t *testing.T) {
	b, got := orderBench(t)
	p := b.link(entryInc)
	p.assign(10, 1, "v2")
	b.after(time.Second)
	if b.o.orders.busy {
		t.Fatal("an order was given without a confirmation")
	}
	p.confirm(1, 0)
	if o := b.ordered(got); o.Fence != 10 || o.Model != "roster" || o.Version != "v2" {
		t.Fatalf("order %+v", o)
	}
	b.after(time.Second)
	if b.o.orders.busy {
		t.Fatal("the order was given twice")
	}
}

// The agent is paused while operators change their mind, and wakes with old
// news in its socket. The engine takes whatever it is told, so the old order
// must not be given: the pool would serve two versions until the next change.
func TestStaleAssignmentGivesNoOrder(t *testing.T) {
	b, got := orderBench(t)
	p := b.link(entryInc)
	p.assign(10, 1, "v2")
	p.confirm(1, 0)
	b.ordered(got)
	p.assign(11, 2, "v3")
	b.clock += time.Minute
	b.after(0)
	if b.o.orders.busy {
		t.Fatal("an order was given on a confirmation that had run out")
	}
	// The entry knows a newer epoch by now.
	p.confirm(3, 0)
	b.after(0)
	if b.o.orders.busy {
		t.Fatal("an order was given although a newer assignment exists")
	}
	p.assign(12, 3, "v4")
	p.confirm(3, 0)
	if o := b.ordered(got); o.Fence != 12 {
		t.Fatalf("order %+v", o)
	}
	// A restarted engine has forgotten the order, and it is given again.
	b.o.orders.model, b.o.orders.version = "roster", "v4"
	p.drain()
	b.after(orderRepeat + time.Millisecond)
	none[*wire.LeaseRequest](p)
	if b.o.orders.busy {
		t.Fatal("an order was given to an endpoint that serves what it should")
	}
	b.o.orders.version = "v1"
	p.confirm(3, 0)
	if o := b.ordered(got); o.Fence != 12 {
		t.Fatalf("order %+v", o)
	}
	// News that only confirms, or that a watch repeats, changes nothing.
	p.drain()
	p.assign(13, 3, "v3")
	p.assign(11, 2, "v3")
	b.after(time.Second)
	none[*wire.LeaseRequest](p)
	if b.o.orders.busy || len(got) > 0 || b.o.orders.seen["roster"].version != 12 {
		t.Fatal("old news counted")
	}
}

// drain forgets what has been sent so far.
func (p *peer) drain() {
	for len(p.got) > 0 {
		<-p.got
	}
}
