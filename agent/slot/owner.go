// Package slot owns the place in front of one endpoint. It decides what runs
// next there, and that nothing runs there without a grant or twice.
//
// One goroutine, Owner.Run, makes every decision. Readers of links, running
// requests and timers hand it events through one bounded ring. A running
// request has a goroutine for the endpoint's side and one for each link that
// follows its answer; all of them report their end to the owner.
//
// It answers two load patterns. Engines know no tiers and admit what arrives,
// so whatever exceeds what an endpoint runs at its target pace waits here,
// where it can still be reordered, displaced or given back. And reports of
// load come late, so an endpoint gets work by claiming it when it has room: a
// slow or frozen one claims less. Without it a burst of long jobs would fill
// the engine before the first request of a higher tier comes.
package slot

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lycheepond/agent/answer"
	"lycheepond/agent/call"
	"lycheepond/agent/engine"
	"lycheepond/core/bound"
	"lycheepond/core/homes"
	"lycheepond/core/ident"
	"lycheepond/core/queue"
	"lycheepond/core/ring"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

// Figures of the owner. They are chosen, to be measured.
const (
	// claimTimeout is how long a claim may stay unanswered. A grant that comes
	// later is given back.
	claimTimeout = 2 * time.Second
	// readyPatience is how long a granted request waits for its place before
	// it is given back to be run elsewhere.
	readyPatience = time.Second
	// sessionGrace is how long repeatable work outlives the entry it is for.
	sessionGrace = 10 * time.Second
	// keepRecord is how long an ended or refused request is remembered.
	keepRecord = 10 * time.Minute
	// keepAnswer is how long the answer of an unkeyed request is kept after
	// its end for an entry that lost its link.
	keepAnswer = time.Minute
	// tickEvery is how often deadlines are looked at.
	tickEvery = 50 * time.Millisecond
	// statusEvery is how often what operators see is brought up to date.
	statusEvery = 250 * time.Millisecond
	// aheadCost is the longest work that is claimed before its place is free:
	// for longer work a round trip of idle time is no loss, and it is better
	// left for an endpoint that has room sooner.
	aheadCost = 300 * time.Millisecond
	ringSize  = 4096
)

// Config is what an Owner depends on.
type Config struct {
	// Self names the agent's process.
	Self  spec.HomeOwner
	Queue queue.Config
	Bound bound.Config
	// Now is a monotonic clock and Wall the time in Unix milliseconds.
	Now  func() time.Duration
	Wall func() int64
	// Run sends a request to the endpoint once.
	Run func(ctx context.Context, r *call.Request, sink call.Sink, p *call.Progress) call.Result
	// Resume takes up a stream that the endpoint still runs; nil if it cannot.
	Resume func(ctx context.Context, id ident.ID, sink call.Sink, p *call.Progress) call.Result
	// Cancel stops a request at the endpoint; nil if closing the connection
	// is all that can be done.
	Cancel func(ctx context.Context, id ident.ID) error
	// Listening reports whether the endpoint accepts connections; nil if that is not to be
	// checked.
	Listening func(ctx context.Context) bool
	// Order hears of assignments for this endpoint; nil for plain services.
	Order func(ctx context.Context, o engine.Order) error
	// Grace is how long running work may take after a planned stop began.
	Grace time.Duration
	Log   *zap.Logger
	Stats *Stats
}

// Owner owns the place in front of one endpoint.
type Owner struct {
	cfg    Config
	log    *zap.Logger
	events *ring.Ring[event]
	load   atomic.Pointer[wire.Load]
	status atomic.Pointer[Status]
	// life ends when Run has returned; nothing is handed to the owner then.
	life   context.Context
	end    context.CancelFunc
	budget answer.Budget
	queue  *queue.Queue
	bound  *bound.Bound

	// What follows belongs to the goroutine of Run.

	ctx context.Context
	// recs holds every request known; an ID that is not in it was never
	// claimed by this process, or its record has expired.
	recs map[ident.ID]*rec
	// waiting holds the records in the states queued, parked, claimed and ready.
	waiting map[ident.ID]*rec
	// held holds those of waiting that are not in the queue: parked, claimed
	// and ready.
	held map[ident.ID]*rec
	// running holds the records in the state running.
	running map[ident.ID]*rec
	claims  int
	// ready are granted requests that wait for room, oldest first.
	ready []*rec
	// old are ended records in the order of their end.
	old []*rec
	// dropped is how many of old have had their answer dropped.
	dropped  int
	sessions map[uint64]*session
	keys     map[string]*keyRec
	oldKeys  []*keyRec
	// keyFloor is the time in Unix milliseconds before which records of keys
	// may have been given up for want of room.
	keyFloor int64
	homes    map[string]*homes.Holder
	// hands are handovers from this agent and takes those to it.
	hands []*hand
	takes map[takeID]taking
	// handBy is until when a planned stop waits for hands; zero before.
	handBy  time.Duration
	asks    map[uint32]ask
	askSeq  uint32
	askNext time.Duration
	orders  orders
	// tasks counts goroutines that have yet to report their end.
	tasks     int
	leaving   bool
	leaveBy   time.Duration
	down      bool
	stalled   bool
	lateProbe int
	// statusNext is when the status is published next.
	statusNext time.Duration
	// firstMean is the mean time to the first byte seen lately, and streamed
	// when a stream last showed its pace.
	firstMean, streamed time.Duration
}

// New returns an owner. It does nothing until Run.
func New(cfg Config) *Owner {
	o := &Owner{
		cfg: cfg, log: cfg.Log, events: ring.New[event](ringSize),
		queue: queue.New(cfg.Queue), bound: bound.New(cfg.Bound),
		recs: make(map[ident.ID]*rec), waiting: make(map[ident.ID]*rec), held: make(map[ident.ID]*rec), running: make(map[ident.ID]*rec),
		sessions: make(map[uint64]*session), keys: make(map[string]*keyRec),
		homes: make(map[string]*homes.Holder), asks: make(map[uint32]ask), takes: make(map[takeID]taking),
	}
	o.life, o.end = context.WithCancel(context.Background())
	o.publish()
	return o
}

// Run makes the decisions until ctx ends or, after Leave, nothing is left to
// do. It returns nil after a planned stop that was completed.
func (o *Owner) Run(ctx context.Context) error {
	defer o.end()
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	o.ctx = runCtx
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			continue
		case ev := <-o.events.Items():
			ev.apply(o, o.cfg.Now())
			o.drain()
		case <-tick.C:
			o.tick(o.cfg.Now())
		}
		o.dispatch(o.cfg.Now())
		o.publish()
		if o.left() {
			return nil
		}
	}
	stop()
	o.wait()
	return ctx.Err()
}

// drain applies what else has come, so that one dispatch sees all of it.
func (o *Owner) drain() {
	for range ringSize {
		select {
		case ev := <-o.events.Items():
			ev.apply(o, o.cfg.Now())
		default:
			return
		}
	}
}

// wait takes in the ends of all goroutines after their context has ended.
func (o *Owner) wait() {
	for o.tasks > 0 {
		ev := <-o.events.Items()
		ev.apply(o, o.cfg.Now())
	}
}

// tick looks at everything that passes with time.
func (o *Owner) tick(now time.Duration) {
	o.expireQueued(now)
	o.expireClaims(now)
	o.expireSessions(now)
	o.expireRecords(now)
	o.watchRuns(now)
	o.askLeases(now)
	o.checkLevels(now)
	o.tickOrders(now)
	o.tickLeave(now)
	o.tickHand(now)
	if now >= o.statusNext {
		o.statusNext = now + statusEvery
		o.publishStatus()
	}
}

// task runs f in a goroutine whose end the owner takes in.
func (o *Owner) task(f func(ctx context.Context) event) {
	o.tasks++
	ctx := o.ctx
	go func() {
		ev := f(ctx)
		_ = o.events.Put(o.life, taskEnd{ev})
	}()
}
