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

// BenchmarkRequest handles one request from its offer to the end of its answer
// while 1,000 others wait. The endpoint answers at once.
func BenchmarkRequest(b *testing.B) {
	var clock time.Duration
	ended := make(chan struct{}, 1)
	o := New(Config{
		Bound: bound.Config{Min: 1, Max: 1}, Now: func() time.Duration { return clock },
		WallMS: func() int64 { return startWallMS }, Log: zap.NewNop(), Stats: NewStats(meter.New()),
		Run: func(context.Context, *call.Request, call.Sink, *call.Progress) call.Result {
			return call.Result{Sent: true, Complete: true}
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	o.taskCtx = ctx
	defer func() {
		stop()
		o.awaitTasks()
	}()
	var claim ident.ID
	receive := func(m wire.Message) {
		switch m := m.(type) {
		case *wire.Claim:
			claim = m.ID
		case *wire.End:
			ended <- struct{}{}
		}
	}
	p := &Peer{
		Name: "e", Incarnation: entryIncarnation,
		Send:     func(m wire.Message) error { receive(m); return nil },
		SendWait: func(_ context.Context, m wire.Message) error { receive(m); return nil },
	}
	apply := func(ev event) {
		ev.apply(o, clock)
		o.dispatch(clock)
		o.publishLoad()
	}
	apply(linkUpEvent{p})
	n := uint64(0)
	sendOffer := func() {
		n++
		apply(messageEvent{p, &wire.Offer{ID: ident.Make(entryIncarnation, n), Pool: testPool, Customer: "metro", Class: "swap", CostMS: 1000}})
	}
	for range 1000 {
		sendOffer()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		clock += time.Millisecond
		sendOffer()
		apply(messageEvent{p, &wire.Grant{ID: claim}})
		for done := false; !done; {
			select {
			case ev := <-o.events.Items():
				apply(ev)
			case <-ended:
				done = true
			}
		}
		o.expireRecords(clock)
	}
}
