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
	"lycheepond/entry/record"
)

const (
	// DefaultTouch is how often a table is confirmed. Each confirmation costs
	// a write and goes to every watch, so it is as rare as leaves an agent
	// half of the default lease; one that fails is repeated at once.
	DefaultTouch = 8 * time.Second
	// lookEvery is how often owners are checked.
	lookEvery = 250 * time.Millisecond
	// settle is how long the first table waits for all agents to be linked.
	// A table made earlier would give every key to the first agent.
	settle = 3 * time.Second
	// goneAfter is how long an owner that the instance list does not call live
	// must be without a link, and lostAfter the same for one that it does.
	goneAfter = 3 * time.Second
	lostAfter = 30 * time.Second
	// maxTries is how often a table is written in one go while others are
	// faster.
	maxTries = 2
	// conflictPause spreads entries that raced one another in vain. It doubles
	// with each time in a row, up to 1<<maxDoubled: after a restart of everything
	// hundreds of entries would else write as fast as the platform refuses them.
	conflictPause = 300 * time.Millisecond
	maxDoubled    = 3
)

// Config is what a Keeper depends on. All functions must be set.
type Config struct {
	Record  record.Config
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
	loop  *record.Loop
}

// book is what the keeper knows of one pool's table. Run alone changes it, but
// table is read under Keeper.mu by others.
type book struct {
	*record.Record
	table   spec.Homes
	version int64
	data    []byte
	// next is when to confirm again.
	next time.Duration
	// failed counts the looks in a row in which others were faster.
	failed int
	// began is when the pool was first looked at.
	began time.Duration
	// absent holds since when an owner has no link.
	absent map[spec.HomeOwner]time.Duration
}

// New returns a Keeper that does nothing until Run.
func New(cfg Config) *Keeper {
	if cfg.Touch <= 0 {
		cfg.Touch = DefaultTouch
	}
	return &Keeper{cfg: cfg, books: make(map[string]*book), loop: record.NewLoop()}
}

// Wake has the tables looked at now, as after a new link.
func (k *Keeper) Wake() { k.loop.Wake() }

// Run keeps the tables until ctx ends.
func (k *Keeper) Run(ctx context.Context) error { return k.loop.Run(ctx, lookEvery, k.look) }

func (k *Keeper) look(ctx context.Context) {
	for _, pool := range k.cfg.Pools() {
		b := k.book(pool)
		k.read(pool, b)
		k.tell(pool, b)
		k.step(ctx, pool, b)
	}
}

func (k *Keeper) book(pool string) *book {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.books[pool]
	if b == nil {
		b = &book{
			Record: record.New(k.cfg.Record, spec.KindHomes, pool), began: k.cfg.Now(),
			absent: make(map[spec.HomeOwner]time.Duration),
		}
		k.books[pool] = b
	}
	return b
}

// read takes the table in force into b.
func (k *Keeper) read(pool string, b *book) {
	o, ok := b.Read()
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
	if json.Unmarshal(o.Data, &t) != nil || homes.Check(t) != nil {
		return
	}
	if t.Epoch != b.table.Epoch {
		logs.Info(k.cfg.Log, logs.EventHomesChanged, zap.String("pool", pool), zap.Int64("epoch", t.Epoch))
	}
	k.mu.Lock()
	b.table, b.version, b.data = t, o.Version, o.Data
	k.mu.Unlock()
}

// step repairs or confirms the table if that is due. When another entry was
// faster it tries again at once with the table that the other one wrote. With
// dozens of entries a table changes several times a second, and one that paused
// first would always come too late: its agents' leases would run out and keyed
// calls be refused although the platform is well.
func (k *Keeper) step(ctx context.Context, pool string, b *book) {
	for range maxTries {
		if !k.try(ctx, pool, b) {
			return
		}
	}
	b.next = k.cfg.Now() + b.pause(k.cfg.Random())
}

// pause returns how long to wait after tries in vain.
func (b *book) pause(random float64) time.Duration {
	d := conflictPause << min(b.failed, maxDoubled)
	b.failed++
	return time.Duration(float64(d) * (0.5 + random))
}

// try is one try of step. It reports whether another entry was faster and its
// table is known.
func (k *Keeper) try(ctx context.Context, pool string, b *book) bool {
	now := k.cfg.Now()
	live, ready := k.live(pool, b, now)
	if !ready {
		return false
	}
	next, changed := homes.Takeover(b.table, live, k.cfg.Wall())
	if len(next.Slots) == 0 || (!changed && now < b.next) {
		return false
	}
	next.Touched = k.cfg.Wall()
	return k.write(ctx, pool, b, next)
}

// write puts a table in force under the condition that b holds the present
// one. It reports whether b now holds a newer table of another entry.
func (k *Keeper) write(ctx context.Context, pool string, b *book, t spec.Homes) bool {
	data, err := json.Marshal(t)
	if err != nil {
		return false
	}
	began, due, version := k.cfg.Now(), b.next, b.version
	if err := b.Write(ctx, data, t.Epoch, version); err != nil {
		var conflict *plat.ConflictError
		if !errors.As(err, &conflict) {
			// No answer, as in an outage, is no sign of rivals.
			b.next = began + time.Duration(float64(conflictPause)*(0.5+k.cfg.Random()))
			return false
		}
		k.read(pool, b)
		k.tell(pool, b)
		if b.version <= version {
			// The platform answered from the past. To ask again at once would
			// hear the same.
			b.next = began + b.pause(k.cfg.Random())
			return false
		}
		b.next = min(due, began)
		return true
	}
	b.failed = 0
	b.next = began + time.Duration(float64(k.cfg.Touch)*(0.75+k.cfg.Random()/2))
	k.read(pool, b)
	k.tell(pool, b)
	return false
}

func (k *Keeper) tell(pool string, b *book) {
	if m := k.cfg.Members(pool); m != nil && b.version != 0 {
		b.SendToAgents(m.Peers, b.version, b.table.Epoch, b.data)
	}
}

// Ack fills in the answer to an agent that asks how fresh the entry's
// knowledge of a pool's table is.
func (k *Keeper) Ack(ack *wire.LeaseAck) {
	k.mu.Lock()
	b := k.books[ack.Pool]
	k.mu.Unlock()
	if b != nil {
		b.FillAck(ack)
	}
}
