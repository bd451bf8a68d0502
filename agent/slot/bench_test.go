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
	"lycheepond/core/queue"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

const (
	pool      = "roster"
	selfInc   = 77
	entryInc  = 5
	startWall = int64(1_800_000_000_000)
	testWait  = 10 * time.Second
	testBound = 2
)

// bench drives an owner by hand: its clock stands still unless it is moved,
// and the end of a run at the endpoint is decided by the test.
type bench struct {
	t     *testing.T
	o     *Owner
	clock time.Duration
	// runs holds what the endpoint was asked, in order.
	runs chan *fakeRun
	// cancels holds the IDs that were cancelled at the endpoint.
	cancels chan ident.ID
	resumes chan *fakeRun
	orders  chan int64
}

// fakeRun is one call that the endpoint was asked to make.
type fakeRun struct {
	req  *call.Request
	id   ident.ID
	ctx  context.Context
	sink call.Sink
	p    *call.Progress
	end  chan call.Result
}

func newBench(t *testing.T, limit int) *bench {
	b := &bench{t: t, runs: make(chan *fakeRun, 64), cancels: make(chan ident.ID, 64), resumes: make(chan *fakeRun, 64)}
	cfg := Config{
		Self:  spec.HomeOwner{Name: "a", Incarnation: selfInc},
		Queue: queue.Config{Max: 8}, Bound: bound.Config{Min: limit, Max: limit},
		Now: func() time.Duration { return b.clock }, Wall: func() int64 { return startWall + b.clock.Milliseconds() },
		Grace: time.Minute, Log: zap.NewNop(), Stats: NewStats(meter.New()),
		Run: func(ctx context.Context, r *call.Request, sink call.Sink, p *call.Progress) call.Result {
			return b.serve(b.runs, &fakeRun{req: r, id: r.ID, ctx: ctx, sink: sink, p: p})
		},
		Resume: func(ctx context.Context, id ident.ID, sink call.Sink, p *call.Progress) call.Result {
			return b.serve(b.resumes, &fakeRun{id: id, ctx: ctx, sink: sink, p: p})
		},
		Cancel: func(_ context.Context, id ident.ID) error {
			b.cancels <- id
			return nil
		},
	}
	b.o = New(cfg)
	ctx, stop := context.WithCancel(context.Background())
	b.o.ctx = ctx
	t.Cleanup(func() {
		stop()
		b.o.wait()
	})
	return b
}

func (b *bench) serve(to chan *fakeRun, r *fakeRun) call.Result {
	r.end = make(chan call.Result, 1)
	to <- r
	select {
	case res := <-r.end:
		return res
	case <-r.ctx.Done():
		return call.Result{Sent: true, Err: r.ctx.Err()}
	}
}

// peer is a link whose messages the test reads.
type peer struct {
	*Peer
	b   *bench
	got chan wire.Message
}

func (b *bench) link(incarnation uint64) *peer {
	p := &peer{b: b, got: make(chan wire.Message, 1024)}
	p.Peer = &Peer{
		Name: "e", Incarnation: incarnation,
		Send: func(m wire.Message) error { p.got <- m; return nil },
		SendWait: func(_ context.Context, m wire.Message) error {
			p.got <- m
			return nil
		},
	}
	b.do(linkUp{p.Peer})
	return p
}

// do lets the owner take in one event and decide.
func (b *bench) do(ev event) {
	ev.apply(b.o, b.clock)
	b.o.dispatch(b.clock)
	b.o.publish()
}

func (p *peer) send(m wire.Message) { p.b.do(message{p.Peer, m}) }

// after moves the clock and lets the owner look at it.
func (b *bench) after(d time.Duration) {
	b.clock += d
	b.o.tick(b.clock)
	b.o.dispatch(b.clock)
	b.o.publish()
}

// pump takes in events of goroutines until cond holds.
func (b *bench) pump(cond func() bool) {
	b.t.Helper()
	limit := time.After(testWait)
	for !cond() {
		select {
		case ev := <-b.o.events.Items():
			b.do(ev)
		case <-limit:
			b.t.Fatal("nothing more happens")
		}
	}
}

// next returns the next message of type M to the entry and skips others.
func next[M wire.Message](p *peer) M {
	p.b.t.Helper()
	limit := time.After(testWait)
	for {
		select {
		case m := <-p.got:
			if want, ok := m.(M); ok {
				return want
			}
		case ev := <-p.b.o.events.Items():
			p.b.do(ev)
		case <-limit:
			var want M
			p.b.t.Fatalf("no %s came", want.Kind())
		}
	}
}

// none fails if a message of type M has been sent.
func none[M wire.Message](p *peer) {
	p.b.t.Helper()
	for {
		select {
		case m := <-p.got:
			if _, ok := m.(M); ok {
				p.b.t.Fatalf("unexpected %#v", m)
			}
		default:
			return
		}
	}
}

func (b *bench) run() *fakeRun {
	b.t.Helper()
	select {
	case r := <-b.runs:
		return r
	case <-time.After(testWait):
		b.t.Fatal("nothing was run")
		return nil
	}
}

// idle fails if anything was handed to the endpoint.
func (b *bench) idle() {
	b.t.Helper()
	if n := len(b.o.running); n != 0 {
		b.t.Fatalf("%d runs under way", n)
	}
	select {
	case r := <-b.runs:
		b.t.Fatalf("request %s was run", r.id)
	default:
	}
}

func (r *fakeRun) answer(pieces ...string) {
	r.sink.Head(200, nil)
	for _, s := range pieces {
		r.p.RecordChunk()
		_ = r.sink.Chunk(r.ctx, []byte(s))
	}
	r.end <- call.Result{Sent: true, Complete: true, Status: 200}
}

func offerOf(n uint64) *wire.Offer {
	return &wire.Offer{ID: ident.Make(entryInc, n), Pool: pool, Customer: "metro", Class: "swap", DeadlineMS: 60000, Repeatable: true, Cancellable: true}
}

func grantOf(m *wire.Offer) *wire.Grant {
	return &wire.Grant{ID: m.ID, Method: "POST", Path: "/v1/completions", Body: []byte("{}")}
}

// started brings a request to the point where it runs.
func (p *peer) started(m *wire.Offer) *fakeRun {
	p.b.t.Helper()
	p.send(m)
	if c := next[*wire.Claim](p); c.ID != m.ID {
		p.b.t.Fatalf("claim of %s, want %s", c.ID, m.ID)
	}
	p.send(grantOf(m))
	return p.b.run()
}
