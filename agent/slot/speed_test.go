package slot

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/agent/call"
	"lycheepond/core/bound"
	"lycheepond/core/ident"
	"lycheepond/core/meter"
	"lycheepond/core/wire"
)

// BenchmarkRequest takes one request from its offer to the end of its answer,
// with 1,000 others waiting, at an endpoint that answers at once.
func BenchmarkRequest(b *testing.B) {
	var clock time.Duration
	ended := make(chan struct{}, 1)
	o := New(Config{
		Bound: bound.Config{Min: 1, Max: 1}, Now: func() time.Duration { return clock },
		Wall: func() int64 { return startWall }, Log: zap.NewNop(), Stats: NewStats(meter.New()),
		Run: func(context.Context, *call.Request, call.Sink, *call.Progress) call.Result {
			return call.Result{Sent: true, Complete: true}
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	o.ctx = ctx
	defer func() {
		stop()
		o.wait()
	}()
	var claim ident.ID
	take := func(m wire.Message) {
		switch m := m.(type) {
		case *wire.Claim:
			claim = m.ID
		case *wire.End:
			ended <- struct{}{}
		}
	}
	p := &Peer{
		Name: "e", Incarnation: entryInc,
		Send:     func(m wire.Message) error { take(m); return nil },
		SendWait: func(_ context.Context, m wire.Message) error { take(m); return nil },
	}
	do := func(ev event) {
		ev.apply(o, clock)
		o.dispatch(clock)
		o.publish()
	}
	do(linkUp{p})
	n := uint64(0)
	offer := func() {
		n++
		do(message{p, &wire.Offer{ID: ident.Make(entryInc, n), Pool: pool, Customer: "metro", Class: "swap", CostMS: 1000}})
	}
	for range 1000 {
		offer()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		clock += time.Millisecond
		offer()
		do(message{p, &wire.Grant{ID: claim}})
		for done := false; !done; {
			select {
			case ev := <-o.events.Items():
				do(ev)
			case <-ended:
				done = true
			}
		}
		o.expireRecords(clock)
	}
}
