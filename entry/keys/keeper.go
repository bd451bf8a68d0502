// Package keys keeps the tables in the platform that say which agent holds the
// records of which idempotency keys, and tells agents how fresh the entry's
// knowledge of them is.
package keys

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/homes"
	"lycheepond/core/logs"
	"lycheepond/core/plat"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
	"lycheepond/entry/agents"
)

const (
	// DefaultTouch is how often a table is confirmed. Four confirmations fit
	// into the default lease, so that two failed ones cost no lease.
	DefaultTouch = 5 * time.Second
	// lookEvery is how often owners are checked.
	lookEvery = 250 * time.Millisecond
	// settle is how long the first table waits for all agents to be linked.
	// A table made earlier would give every key to the first agent.
	settle = 3 * time.Second
	// goneAfter is how long an owner that the instance list does not call live
	// must be without a link, and lostAfter the same for one that it does.
	goneAfter = 3 * time.Second
	lostAfter = 30 * time.Second
	// callTimeout bounds one call to the platform.
	callTimeout = 3 * time.Second
	// conflictPause spreads entries that raced one another.
	conflictPause = 300 * time.Millisecond
)

// Config is what a Keeper depends on. All functions must be set.
type Config struct {
	Put     func(ctx context.Context, kind, name string, data []byte, ifVersion int64) (plat.Object, error)
	Get     func(ctx context.Context, kind, name string) (plat.Object, error)
	Raw     func(kind, name string) (plat.Object, bool)
	Accept  func(plat.Event)
	Pools   func() []string
	Members func(pool string) *agents.Members
	Peer    func(name string) (*agents.Peer, bool)
	// Want asks for a link to an owner outside of the entry's own choice.
	Want   func(name string)
	Roster func() plat.Roster
	Now    func() time.Duration
	// Wall is the time in Unix milliseconds.
	Wall func() int64
	// Random returns a number in [0,1).
	Random func() float64
	// Touch is how often a table is confirmed; zero means DefaultTouch.
	Touch time.Duration
	Log   *zap.Logger
}

// Keeper is safe for concurrent use.
type Keeper struct {
	cfg Config
	mu  sync.Mutex
	// books holds what is known of each pool's table.
	books map[string]*book
	wake  chan struct{}
}

// book is what the keeper knows of one pool's table. Run alone changes it, but
// epoch, confirmed and fresh are read under Keeper.mu by others.
type book struct {
	table   spec.Homes
	version int64
	// epoch was in force at confirmed, when fresh is set: a conditional write
	// that began then succeeded.
	epoch     int64
	confirmed time.Duration
	fresh     bool
	// next is when to confirm again.
	next time.Duration
	// began is when the pool was first looked at.
	began time.Duration
	// absent holds since when an owner has no link.
	absent map[spec.HomeOwner]time.Duration
	// told holds the epoch that was sent over each link.
	told map[*wire.Link]int64
}

// New returns a Keeper that does nothing until Run.
func New(cfg Config) *Keeper {
	if cfg.Touch <= 0 {
		cfg.Touch = DefaultTouch
	}
	return &Keeper{cfg: cfg, books: make(map[string]*book), wake: make(chan struct{}, 1)}
}

// Wake has the tables looked at now, as after a new link.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run keeps the tables until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-k.wake:
		}
		for _, pool := range k.cfg.Pools() {
			b := k.book(pool)
			k.read(pool, b)
			k.tell(pool, b)
			k.step(ctx, pool, b)
		}
	}
}

func (k *Keeper) book(pool string) *book {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.books[pool]
	if b == nil {
		b = &book{began: k.cfg.Now(), absent: make(map[spec.HomeOwner]time.Duration), told: make(map[*wire.Link]int64)}
		k.books[pool] = b
	}
	return b
}

// read takes the table in force into b.
func (k *Keeper) read(pool string, b *book) {
	o, ok := k.cfg.Raw(spec.KindHomes, pool)
	if !ok {
		// A deleted table is written again as it was: a new one would let keys
		// run that the old one forbids.
		b.version = 0
		return
	}
	if o.Version <= b.version {
		return
	}
	var t spec.Homes
	if err := json.Unmarshal(o.Data, &t); err != nil {
		return
	}
	if t.Epoch != b.table.Epoch {
		logs.Info(k.cfg.Log, logs.EventHomesChanged, zap.String("pool", pool), zap.Int64("epoch", t.Epoch))
	}
	k.mu.Lock()
	b.table, b.version = t, o.Version
	k.mu.Unlock()
}

// step repairs or confirms the table if that is due.
func (k *Keeper) step(ctx context.Context, pool string, b *book) {
	now := k.cfg.Now()
	live, ready := k.live(pool, b, now)
	if !ready {
		return
	}
	next, changed := homes.Takeover(b.table, live, k.cfg.Wall())
	if len(next.Slots) == 0 || (!changed && now < b.next) {
		return
	}
	next.Touched = k.cfg.Wall()
	k.write(ctx, pool, b, next)
}

// write puts a table in force under the condition that b holds the present
// one. The confirmation counts from before the call.
func (k *Keeper) write(ctx context.Context, pool string, b *book, t spec.Homes) {
	data, err := json.Marshal(t)
	if err != nil {
		return
	}
	began := k.cfg.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := k.cfg.Put(call, spec.KindHomes, pool, data, b.version)
	b.next = began + time.Duration(float64(k.cfg.Touch)*(0.75+k.cfg.Random()/2))
	if err != nil {
		b.next = began + time.Duration(float64(conflictPause)*(0.5+k.cfg.Random()))
		k.refresh(ctx, pool, err)
		return
	}
	k.mu.Lock()
	b.epoch, b.confirmed, b.fresh = t.Epoch, began, true
	k.mu.Unlock()
	o.Kind, o.Name, o.Data = spec.KindHomes, pool, data
	k.cfg.Accept(plat.Event{Object: o})
	k.read(pool, b)
	k.tell(pool, b)
}

// refresh reads the table after a write that failed, or whose reply was lost.
func (k *Keeper) refresh(ctx context.Context, pool string, err error) {
	var away *plat.AwayError
	if errors.As(err, &away) {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if o, err := k.cfg.Get(call, spec.KindHomes, pool); err == nil {
		k.cfg.Accept(plat.Event{Object: o})
	}
}

// tell sends the table to every agent of the pool that has not heard of its
// epoch. Confirmations change nothing for agents and are not sent.
func (k *Keeper) tell(pool string, b *book) {
	m := k.cfg.Members(pool)
	if m == nil || b.version == 0 {
		return
	}
	seen := make(map[*wire.Link]int64, len(m.Peers))
	var news *wire.News
	for _, p := range m.Peers {
		l := p.Link()
		if l == nil {
			continue
		}
		if b.told[l] != b.table.Epoch {
			if news == nil {
				data, _ := json.Marshal(b.table)
				news = &wire.News{Object: spec.KindHomes, Name: pool, Version: b.version, Data: data}
			}
			if l.Send(news) != nil {
				continue
			}
		}
		seen[l] = b.table.Epoch
	}
	b.told = seen
}

// Ack answers an agent that asks how fresh the entry's knowledge is.
func (k *Keeper) Ack(p *agents.Peer, m *wire.LeaseAsk) {
	ack := &wire.LeaseAck{Seq: m.Seq, Pool: m.Pool}
	k.mu.Lock()
	if b := k.books[m.Pool]; b != nil && b.fresh {
		ack.Epoch, ack.Fresh = b.epoch, true
		ack.AgeMS = uint32((k.cfg.Now() - b.confirmed + time.Millisecond - 1) / time.Millisecond)
	}
	k.mu.Unlock()
	p.Send(ack)
}
