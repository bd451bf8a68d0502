// Package keys maintains the home tables in the platform, which say which agent
// keeps the records of which idempotency keys, and tells agents how fresh the
// entry's knowledge of these tables is.
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
	// DefaultConfirmInterval is how often a table is confirmed. Each confirmation
	// costs a write and is sent to every watch, so the interval is as long as
	// possible while it leaves an agent half of the default lease. A failed
	// confirmation is repeated at once.
	DefaultConfirmInterval = 8 * time.Second
	// checkInterval is how often owners are checked.
	checkInterval = 250 * time.Millisecond
	// settleTime is how long the first table waits until all agents are linked. An
	// earlier table would assign every key to the first agent.
	settleTime = 3 * time.Second
	// goneTimeout is how long an owner that the instance list doesn't call live
	// must be without a link before it loses its slots. lostTimeout is the same for
	// an owner that the list calls live.
	goneTimeout = 3 * time.Second
	lostTimeout = 30 * time.Second
	// maxWriteAttempts is how often a table is written in one check while other
	// entries write it first.
	maxWriteAttempts = 2
	// conflictPause spreads the writes of entries whose writes have conflicted. It
	// doubles with each conflict in a row, up to 1<<maxPauseDoublings times.
	// Otherwise, after a restart of the whole fleet, hundreds of entries would
	// write as fast as the platform refuses them.
	conflictPause     = 300 * time.Millisecond
	maxPauseDoublings = 3
)

// Config holds the settings and callbacks of a Keeper. All functions must be set.
type Config struct {
	Record  record.Config
	Pools   func() []string
	Members func(pool string) *agents.Members
	Peer    func(name string) (*agents.Peer, bool)
	// RequestLink requests a link to an owner that the entry did not choose to link
	// to.
	RequestLink func(name string)
	Roster      func() plat.Roster
	Now         func() time.Duration
	// Wall returns the time in Unix milliseconds.
	Wall func() int64
	// Random returns a number in [0,1).
	Random func() float64
	// ConfirmInterval is how often a table is confirmed; zero means
	// DefaultConfirmInterval.
	ConfirmInterval time.Duration
	Log             *zap.Logger
}

// Keeper maintains the home table of each pool. It is safe for concurrent use.
type Keeper struct {
	cfg Config
	mu  sync.Mutex
	// tables holds the state of each pool's table.
	tables map[string]*poolTable
	loop   *record.Loop
}

// poolTable is the state of one pool's table. Only Run changes it, but others read
// table under Keeper.mu.
type poolTable struct {
	*record.Record
	table   spec.Homes
	version int64
	data    []byte
	// confirmAt is when to confirm the table again.
	confirmAt time.Duration
	// conflicts counts the checks in a row in which other entries wrote first.
	conflicts int
	// firstSeenAt is when the pool was first checked.
	firstSeenAt time.Duration
	// absentSince holds when each owner without a link lost it.
	absentSince map[spec.HomeOwner]time.Duration
}

// New returns a Keeper that does nothing before Run is called.
func New(cfg Config) *Keeper {
	if cfg.ConfirmInterval <= 0 {
		cfg.ConfirmInterval = DefaultConfirmInterval
	}
	return &Keeper{cfg: cfg, tables: make(map[string]*poolTable), loop: record.NewLoop()}
}

// Wake requests a check of the tables now, for example after a new link.
func (k *Keeper) Wake() { k.loop.Wake() }

// Run maintains the tables until ctx ends.
func (k *Keeper) Run(ctx context.Context) error { return k.loop.Run(ctx, checkInterval, k.checkTables) }

func (k *Keeper) checkTables(ctx context.Context) {
	for _, pool := range k.cfg.Pools() {
		b := k.tableOf(pool)
		k.readTable(pool, b)
		k.sendTable(pool, b)
		k.updateTable(ctx, pool, b)
	}
}

func (k *Keeper) tableOf(pool string) *poolTable {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.tables[pool]
	if b == nil {
		b = &poolTable{
			Record: record.New(k.cfg.Record, spec.KindHomes, pool), firstSeenAt: k.cfg.Now(),
			absentSince: make(map[spec.HomeOwner]time.Duration),
		}
		k.tables[pool] = b
	}
	return b
}

// readTable reads the table in force into b.
func (k *Keeper) readTable(pool string, b *poolTable) {
	o, ok := b.Read()
	if !ok {
		// Write a deleted table again unchanged. A new one would allow keys to run
		// that the old one forbids.
		b.version = 0
		return
	}
	if o.Version <= b.version {
		return
	}
	var t spec.Homes
	if json.Unmarshal(o.Data, &t) != nil || homes.Validate(t) != nil {
		return
	}
	if t.Epoch != b.table.Epoch {
		logs.Info(k.cfg.Log, logs.EventHomesChanged, zap.String("pool", pool), zap.Int64("epoch", t.Epoch))
	}
	k.mu.Lock()
	b.table, b.version, b.data = t, o.Version, o.Data
	k.mu.Unlock()
}

// updateTable changes or confirms the table if that is due. If another entry has
// written first, it retries at once with that entry's table. With dozens of entries
// a table changes several times a second. An entry that paused first would always
// be too late, so its agents' leases would expire and requests with a key would be
// refused although the platform is available.
func (k *Keeper) updateTable(ctx context.Context, pool string, b *poolTable) {
	for range maxWriteAttempts {
		if !k.tryUpdate(ctx, pool, b) {
			return
		}
	}
	b.confirmAt = k.cfg.Now() + b.conflictBackoff(k.cfg.Random())
}

// conflictBackoff returns how long to pause after attempts that failed with a
// conflict, and counts them.
func (b *poolTable) conflictBackoff(random float64) time.Duration {
	d := conflictPause << min(b.conflicts, maxPauseDoublings)
	b.conflicts++
	return time.Duration(float64(d) * (0.5 + random))
}

// tryUpdate makes one attempt of updateTable. It reports whether another entry has
// written first and its table is now known.
func (k *Keeper) tryUpdate(ctx context.Context, pool string, b *poolTable) bool {
	now := k.cfg.Now()
	live, ready := k.liveOwners(pool, b, now)
	if !ready {
		return false
	}
	next, changed := homes.ReassignSlots(b.table, live, k.cfg.Wall())
	if len(next.Slots) == 0 || (!changed && now < b.confirmAt) {
		return false
	}
	next.ConfirmedAtMS = k.cfg.Wall()
	return k.writeTable(ctx, pool, b, next)
}

// writeTable puts a table in force if b holds the current one. It reports whether b
// now holds a newer table of another entry.
func (k *Keeper) writeTable(ctx context.Context, pool string, b *poolTable, t spec.Homes) bool {
	data, err := json.Marshal(t)
	if err != nil {
		return false
	}
	began, due, version := k.cfg.Now(), b.confirmAt, b.version
	if err := b.Write(ctx, data, t.Epoch, version); err != nil {
		var conflict *plat.ConflictError
		if !errors.As(err, &conflict) {
			// No answer, as in an outage, doesn't mean that other entries are
			// writing.
			b.confirmAt = began + time.Duration(float64(conflictPause)*(0.5+k.cfg.Random()))
			return false
		}
		k.readTable(pool, b)
		k.sendTable(pool, b)
		if b.version <= version {
			// The platform returned an older state, and an immediate read would
			// return it again.
			b.confirmAt = began + b.conflictBackoff(k.cfg.Random())
			return false
		}
		b.confirmAt = min(due, began)
		return true
	}
	b.conflicts = 0
	b.confirmAt = began + time.Duration(float64(k.cfg.ConfirmInterval)*(0.75+k.cfg.Random()/2))
	k.readTable(pool, b)
	k.sendTable(pool, b)
	return false
}

func (k *Keeper) sendTable(pool string, b *poolTable) {
	if m := k.cfg.Members(pool); m != nil && b.version != 0 {
		b.SendToAgents(m.Peers, b.version, b.table.Epoch, b.data)
	}
}

// FillAck fills in the answer to an agent that asks how fresh the entry's knowledge
// of a pool's table is.
func (k *Keeper) FillAck(ack *wire.LeaseReply) {
	k.mu.Lock()
	b := k.tables[ack.Pool]
	k.mu.Unlock()
	if b != nil {
		b.FillLeaseReply(ack)
	}
}
