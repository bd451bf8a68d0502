// Package slot schedules the requests of one endpoint. It decides which request
// runs next, and it ensures that no request runs without a grant or runs twice.
//
// One goroutine, Owner.Run, makes all decisions. Link readers, running requests
// and timers send it events through one bounded ring. A running request has one
// goroutine that calls the endpoint and one for each link that follows its answer.
// Each of them reports its end to the owner.
//
// The design deals with two load patterns. First, engines know no tiers and admit
// every request that arrives. Requests beyond the number that the endpoint can run
// at its target pace therefore wait here, where they can still be reordered,
// displaced or returned. Otherwise a burst of long requests would fill the engine
// before the first request of a higher tier arrives. Second, load reports are
// delayed, so an endpoint gets work by claiming it when it has a free slot. A slow
// or frozen endpoint claims less.
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
	"lycheepond/core/rest"
	"lycheepond/core/ring"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

const (
	// claimTimeout is how long a claim waits for its grant. A grant that arrives
	// later is returned.
	claimTimeout = 2 * time.Second
	// maxReadyWait is how long a granted request waits for a free slot before it
	// is returned to run elsewhere.
	maxReadyWait = time.Second
	// linkLossGrace is how long an entry may be without a link before its
	// cancellable requests are stopped.
	linkLossGrace = 10 * time.Second
	// recordRetention is how long the record of a request is kept after it ended
	// or was refused.
	recordRetention = 10 * time.Minute
	// answerRetention is how long the answer of a request without an idempotency
	// key is kept after its end, for an entry that lost its link.
	answerRetention = time.Minute
	// tickInterval is the time between two checks of deadlines and timeouts.
	tickInterval = 50 * time.Millisecond
	// statusInterval is the time between two updates of the operators' status.
	statusInterval = 250 * time.Millisecond
	// maxEarlyClaimCost is the largest estimated run time of a request that is
	// claimed before a slot is free. For a longer request, one round trip of idle
	// time matters little, and an endpoint that has a free slot sooner should get
	// it.
	maxEarlyClaimCost = 300 * time.Millisecond
	// eventRingSize is the capacity of the event ring.
	eventRingSize = 4096
)

// Config holds the settings and dependencies of an Owner.
type Config struct {
	// Self is the name and the incarnation of this agent process.
	Self  spec.HomeOwner
	Queue queue.Config
	Bound bound.Config
	// Now returns the monotonic time and WallMS the Unix time in milliseconds.
	Now    func() time.Duration
	WallMS func() int64
	// Run sends a request to the endpoint once.
	Run func(ctx context.Context, r *call.Request, sink call.Sink, p *call.Progress) call.Result
	// Resume reads a stream that the endpoint still runs from its first event; nil
	// if the endpoint does not support it.
	Resume func(ctx context.Context, id ident.ID, sink call.Sink, p *call.Progress) call.Result
	// Cancel stops a request at the endpoint; nil if a request can only be stopped
	// by closing its connection.
	Cancel func(ctx context.Context, id ident.ID) error
	// AcceptsConnections reports whether the endpoint accepts connections; nil
	// disables the check.
	AcceptsConnections func(ctx context.Context) bool
	// SendOrder tells the endpoint what to serve; nil for plain services.
	SendOrder func(ctx context.Context, o engine.Order) error
	// StopGrace is how long running requests may take after a planned stop began.
	StopGrace time.Duration
	Log       *zap.Logger
	Stats     *Stats
}

// Owner decides which requests run at one endpoint. Run is called once; the other
// exported methods are safe for concurrent use.
type Owner struct {
	cfg    Config
	log    *zap.Logger
	events *ring.Ring[event]
	load   atomic.Pointer[wire.Load]
	status atomic.Pointer[Status]
	// lifeCtx ends when Run returns; no event can be sent after that.
	lifeCtx context.Context
	endLife context.CancelFunc
	budget  answer.Budget
	queue   *queue.Queue
	bound   *bound.Bound

	// The following fields belong to the goroutine of Run.

	// taskCtx is the context of the goroutines that the owner starts.
	taskCtx context.Context
	// records holds all known requests. An ID without a record was never claimed
	// by this process, or its record has expired.
	records map[ident.ID]*record
	// waiting holds the records in the states queued, parked, claimed and ready.
	waiting map[ident.ID]*record
	// waitingUnqueued holds the records of waiting that are not in the queue: those
	// in the states parked, claimed and ready.
	waitingUnqueued map[ident.ID]*record
	// running holds the records in the state running.
	running map[ident.ID]*record
	// claimCount is the number of records in the state claimed.
	claimCount int
	// readyRecords holds the granted requests that wait for a free slot.
	readyRecords []*record
	// finishedRecords holds the records in the states ended, tombstone and lapsed,
	// in the order in which they got there.
	finishedRecords []*record
	// droppedAnswers is the number of finishedRecords, from the first on, whose
	// answerRetention has passed.
	droppedAnswers int
	// sessions holds the known entry processes by incarnation.
	sessions map[uint64]*session
	// keys holds the known idempotency keys. A request with such a key is called
	// keyed.
	keys map[string]*keyRecord
	// finishedKeys holds the records of keys whose run has ended, in the order of
	// the ends.
	finishedKeys []*keyRecord
	// evictedBeforeMS is the Unix time in milliseconds before which key records may
	// have been evicted because there were too many.
	evictedBeforeMS int64
	// homeViews holds this agent's view of each pool's table of homes, by pool.
	homeViews map[string]*homes.View
	// outgoingHandovers holds the handovers of key records from this agent,
	// incomingHandovers the state of those to it.
	outgoingHandovers []*outgoingHandover
	incomingHandovers map[handoverID]incomingHandover
	// handoverDeadline is when a planned stop no longer waits for the outgoing
	// handovers; zero until they may begin.
	handoverDeadline time.Duration
	// leaseRequests holds the unanswered lease requests by sequence number.
	leaseRequests    map[uint32]leaseRequest
	lastLeaseSeq     uint32
	nextLeaseRoundAt time.Duration
	orderState       orderState
	// taskCount is the number of goroutines that have not reported their end.
	taskCount int
	// isLeaving is set when a planned stop has begun; leaveDeadline is when running
	// requests are stopped.
	isLeaving     bool
	leaveDeadline time.Duration
	// isDown is set while the endpoint refuses connections, isStalled while its load
	// reports fail to arrive.
	isDown    bool
	isStalled bool
	// rests holds the rest that the endpoint has asked for, under an empty ID.
	rests rest.Tracker
	// missedReports is the number of consecutive missed load reports.
	missedReports int
	// nextStatusAt is when the status is published next.
	nextStatusAt time.Duration
	// meanFirstByte is the recent mean time to the first byte, lastStreamSampleAt the
	// time when a stream last gave a sample of its token interval.
	meanFirstByte, lastStreamSampleAt time.Duration
}

// New returns an owner that does nothing until Run.
func New(cfg Config) *Owner {
	o := &Owner{
		cfg: cfg, log: cfg.Log, events: ring.New[event](eventRingSize),
		queue: queue.New(cfg.Queue), bound: bound.New(cfg.Bound),
		records: make(map[ident.ID]*record), waiting: make(map[ident.ID]*record), waitingUnqueued: make(map[ident.ID]*record), running: make(map[ident.ID]*record),
		sessions: make(map[uint64]*session), keys: make(map[string]*keyRecord),
		homeViews: make(map[string]*homes.View), leaseRequests: make(map[uint32]leaseRequest), incomingHandovers: make(map[handoverID]incomingHandover),
	}
	o.lifeCtx, o.endLife = context.WithCancel(context.Background())
	o.publishLoad()
	return o
}

// Run makes all decisions until ctx ends or a planned stop is complete. It returns
// nil after a planned stop, and the error of ctx otherwise.
func (o *Owner) Run(ctx context.Context) error {
	defer o.endLife()
	runCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	o.taskCtx = runCtx
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			continue
		case ev := <-o.events.Items():
			ev.apply(o, o.cfg.Now())
			o.applyPending()
		case <-tick.C:
			o.tick(o.cfg.Now())
		}
		o.dispatch(o.cfg.Now())
		o.publishLoad()
		if o.leaveComplete() {
			return nil
		}
	}
	stopTasks()
	o.awaitTasks()
	return ctx.Err()
}

// applyPending applies the other events that have arrived, so that one dispatch
// takes all of them into account.
func (o *Owner) applyPending() {
	for range eventRingSize {
		select {
		case ev := <-o.events.Items():
			ev.apply(o, o.cfg.Now())
		default:
			return
		}
	}
}

// awaitTasks waits until all goroutines have reported their end, after their
// context has ended.
func (o *Owner) awaitTasks() {
	for o.taskCount > 0 {
		ev := <-o.events.Items()
		ev.apply(o, o.cfg.Now())
	}
}

// tick does everything that depends on the passing of time.
func (o *Owner) tick(now time.Duration) {
	o.expireWaiting(now)
	o.expireClaims(now)
	o.expireSessions(now)
	o.expireRecords(now)
	o.sampleRuns(now)
	o.requestLeases(now)
	o.expireLevels(now)
	o.tickOrders(now)
	o.tickLeave(now)
	o.tickHandovers(now)
	if now >= o.nextStatusAt {
		o.nextStatusAt = now + statusInterval
		o.publishStatus()
	}
}

// startTask runs f in a goroutine and applies the event that f returns, which may
// be nil.
func (o *Owner) startTask(f func(ctx context.Context) event) {
	o.taskCount++
	ctx := o.taskCtx
	go func() {
		ev := f(ctx)
		_ = o.events.Put(o.lifeCtx, taskEndEvent{ev})
	}()
}
