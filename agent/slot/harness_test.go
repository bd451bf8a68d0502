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
	testPool         = "roster"
	selfIncarnation  = 77
	entryIncarnation = 5
	startWallMS      = int64(1_800_000_000_000)
	testTimeout      = 10 * time.Second
	testBound        = 2
)

// harness runs an owner under the control of a test. The clock only moves when the
// test advances it, and the test decides when and how a run at the endpoint ends.
type harness struct {
	t   *testing.T
	o   *Owner
	now time.Duration
	// runs receives the requests that were passed to the endpoint, in order.
	runs chan *fakeRun
	// cancels receives the IDs of requests that were cancelled at the endpoint.
	cancels chan ident.ID
	// resumes receives the streams that the endpoint was asked to resume.
	resumes chan *fakeRun
	orders  chan int64
}

// fakeRun is one call to the endpoint.
type fakeRun struct {
	req      *call.Request
	id       ident.ID
	ctx      context.Context
	sink     call.Sink
	progress *call.Progress
	result   chan call.Result
}

func newHarness(t *testing.T, limit int) *harness {
	h := &harness{t: t, runs: make(chan *fakeRun, 64), cancels: make(chan ident.ID, 64), resumes: make(chan *fakeRun, 64)}
	cfg := Config{
		Self:  spec.HomeOwner{Name: "a", Incarnation: selfIncarnation},
		Queue: queue.Config{MaxItems: 8}, Bound: bound.Config{Min: limit, Max: limit},
		Now: func() time.Duration { return h.now }, WallMS: func() int64 { return startWallMS + h.now.Milliseconds() },
		StopGrace: time.Minute, Log: zap.NewNop(), Stats: NewStats(meter.New()),
		Run: func(ctx context.Context, r *call.Request, sink call.Sink, p *call.Progress) call.Result {
			return h.serveRun(h.runs, &fakeRun{req: r, id: r.ID, ctx: ctx, sink: sink, progress: p})
		},
		Resume: func(ctx context.Context, id ident.ID, sink call.Sink, p *call.Progress) call.Result {
			return h.serveRun(h.resumes, &fakeRun{id: id, ctx: ctx, sink: sink, progress: p})
		},
		Cancel: func(_ context.Context, id ident.ID) error {
			h.cancels <- id
			return nil
		},
	}
	h.o = New(cfg)
	ctx, stop := context.WithCancel(context.Background())
	h.o.taskCtx = ctx
	t.Cleanup(func() {
		stop()
		h.o.awaitTasks()
	})
	return h
}

func (h *harness) serveRun(to chan *fakeRun, r *fakeRun) call.Result {
	r.result = make(chan call.Result, 1)
	to <- r
	select {
	case res := <-r.result:
		return res
	case <-r.ctx.Done():
		return call.Result{Sent: true, Err: r.ctx.Err()}
	}
}

// testLink is an entry's link. The test reads the messages that the owner sends on
// it.
type testLink struct {
	*Peer
	h        *harness
	messages chan wire.Message
}

func (h *harness) newLink(incarnation uint64) *testLink {
	p := &testLink{h: h, messages: make(chan wire.Message, 1024)}
	p.Peer = &Peer{
		Name: "e", Incarnation: incarnation,
		Send: func(m wire.Message) error { p.messages <- m; return nil },
		SendWait: func(_ context.Context, m wire.Message) error {
			p.messages <- m
			return nil
		},
	}
	h.apply(linkUpEvent{p.Peer})
	return p
}

// apply applies one event and lets the owner dispatch.
func (h *harness) apply(ev event) {
	ev.apply(h.o, h.now)
	h.o.dispatch(h.now)
	h.o.publishLoad()
}

func (p *testLink) send(m wire.Message) { p.h.apply(messageEvent{p.Peer, m}) }

// advance advances the clock and lets the owner handle the tick.
func (h *harness) advance(d time.Duration) {
	h.now += d
	h.o.tick(h.now)
	h.o.dispatch(h.now)
	h.o.publishLoad()
}

// applyUntil applies events from goroutines until cond holds.
func (h *harness) applyUntil(cond func() bool) {
	h.t.Helper()
	timeout := time.After(testTimeout)
	for !cond() {
		select {
		case ev := <-h.o.events.Items():
			h.apply(ev)
		case <-timeout:
			h.t.Fatal("the condition was not met in time")
		}
	}
}

// receive returns the next message of type M to the entry and skips all others.
func receive[M wire.Message](p *testLink) M {
	p.h.t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case m := <-p.messages:
			if want, ok := m.(M); ok {
				return want
			}
		case ev := <-p.h.o.events.Items():
			p.h.apply(ev)
		case <-timeout:
			var want M
			p.h.t.Fatalf("no %s arrived", want.Kind())
		}
	}
}

// expectNone fails the test if a message of type M has been sent to the entry.
func expectNone[M wire.Message](p *testLink) {
	p.h.t.Helper()
	for {
		select {
		case m := <-p.messages:
			if _, ok := m.(M); ok {
				p.h.t.Fatalf("unexpected %#v", m)
			}
		default:
			return
		}
	}
}

// nextRun returns the next request that is passed to the endpoint.
func (h *harness) nextRun() *fakeRun {
	h.t.Helper()
	select {
	case r := <-h.runs:
		return r
	case <-time.After(testTimeout):
		h.t.Fatal("no request was run")
		return nil
	}
}

// expectIdle fails the test if a request runs or was passed to the endpoint.
func (h *harness) expectIdle() {
	h.t.Helper()
	if n := len(h.o.running); n != 0 {
		h.t.Fatalf("%d requests run", n)
	}
	select {
	case r := <-h.runs:
		h.t.Fatalf("request %s was run", r.id)
	default:
	}
}

// finish ends the run with status 200 and the given chunks.
func (r *fakeRun) finish(chunks ...string) {
	r.sink.Head(200, nil)
	for _, s := range chunks {
		r.progress.RecordChunk()
		_ = r.sink.Chunk(r.ctx, []byte(s))
	}
	r.result <- call.Result{Sent: true, Complete: true, Status: 200}
}

func newOffer(n uint64) *wire.Offer {
	return &wire.Offer{ID: ident.Make(entryIncarnation, n), Pool: testPool, Customer: "metro", Class: "swap", DeadlineMS: 60000, Repeatable: true, Cancellable: true}
}

func newGrant(m *wire.Offer) *wire.Grant {
	return &wire.Grant{ID: m.ID, Method: "POST", Path: "/v1/completions", Body: []byte("{}")}
}

// startRequest offers and grants a request and returns its run at the endpoint.
func (p *testLink) startRequest(m *wire.Offer) *fakeRun {
	p.h.t.Helper()
	p.send(m)
	if c := receive[*wire.Claim](p); c.ID != m.ID {
		p.h.t.Fatalf("claim of %s, want %s", c.ID, m.ID)
	}
	p.send(newGrant(m))
	return p.h.nextRun()
}
