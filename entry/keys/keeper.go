// Package keys maintains the home tables in the platform. A home table assigns each
// idempotency key to the agent that keeps its record. The package also reports to
// agents how fresh the entry's knowledge of these tables is.
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
	// DefaultConfirmInterval is the interval between confirmations of a table. Each
	// one costs a write and is sent to every watch, so the interval is as long as
	// possible while an agent still has half of the default lease left. A
	// confirmation that failed because of a conflict is repeated at once.
	DefaultConfirmInterval = 8 * time.Second
	// checkInterval is the interval between checks of the tables and their owners.
	checkInterval = 250 * time.Millisecond
	// settleTime is how long a pool's first table is held back while agents are not
	// linked yet. An earlier table would assign every key to the first agent.
	settleTime = 3 * time.Second
	// notLiveTimeout is how long an owner must be without a link before it loses
	// its slots, if it isn't live according to the instance list. liveTimeout is
	// the same for an owner that is.
	notLiveTimeout = 3 * time.Second
	liveTimeout    = 30 * time.Second
	// maxWriteAttempts bounds the writes of a table in one check, if other entries
	// write it first.
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
	// ConfirmInterval is the interval between confirmations of a table; zero means
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
	// table is the table in force at this entry, version its version at the
	// platform, zero if it is not there, and data its encoded form.
	table   spec.Homes
	version int64
	data    []byte
	// confirmAt is when to confirm the table again.
	confirmAt time.Duration
	// conflicts counts the checks in a row in which other entries wrote first.
	conflicts int
	// firstSeenAt is when the pool was first checked.
	firstSeenAt time.Duration
	// absentSince holds when each owner was first found to have no link.
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

// checkTables reads, sends and updates the table of each pool.
func (k *Keeper) checkTables(ctx context.Context) {
	for _, pool := range k.cfg.Pools() {
		pt := k.tableOf(pool)
		k.readTable(pool, pt)
		k.sendTable(pool, pt)
		k.updateTable(ctx, pool, pt)
	}
}

// tableOf returns the state of a pool's table and creates it if needed.
func (k *Keeper) tableOf(pool string) *poolTable {
	k.mu.Lock()
	defer k.mu.Unlock()
	pt := k.tables[pool]
	if pt == nil {
		pt = &poolTable{
			Record: record.New(k.cfg.Record, spec.KindHomes, pool), firstSeenAt: k.cfg.Now(),
			absentSince: make(map[spec.HomeOwner]time.Duration),
		}
		k.tables[pool] = pt
	}
	return pt
}

// readTable reads the table in force into pt.
func (k *Keeper) readTable(pool string, pt *poolTable) {
	o, ok := pt.Read()
	if !ok {
		// A table that was deleted is written again unchanged. A new one would
		// allow keys to run that the old one forbids.
		pt.version = 0
		return
	}
	if o.Version <= pt.version {
		return
	}
	var t spec.Homes
	if json.Unmarshal(o.Data, &t) != nil || homes.Validate(t) != nil {
		return
	}
	if t.Epoch != pt.table.Epoch {
		logs.Info(k.cfg.Log, logs.EventHomesChanged, zap.String("pool", pool), zap.Int64("epoch", t.Epoch))
	}
	k.mu.Lock()
	pt.table, pt.version, pt.data = t, o.Version, o.Data
	k.mu.Unlock()
}

// updateTable changes or confirms the table if that is due. If another entry has
// written first, it retries at once with that entry's table. With dozens of entries
// a table changes several times a second. An entry that paused first would always
// be too late, so its agents' leases would expire and requests with a key would be
// refused although the platform is available.
func (k *Keeper) updateTable(ctx context.Context, pool string, pt *poolTable) {
	for range maxWriteAttempts {
		if !k.updateOnce(ctx, pool, pt) {
			return
		}
	}
	pt.confirmAt = k.cfg.Now() + pt.conflictBackoff(k.cfg.Random())
}

// conflictBackoff returns how long to pause after a check whose writes conflicted,
// and counts that check.
func (pt *poolTable) conflictBackoff(random float64) time.Duration {
	d := conflictPause << min(pt.conflicts, maxPauseDoublings)
	pt.conflicts++
	return time.Duration(float64(d) * (0.5 + random))
}

// updateOnce makes one attempt of updateTable. It reports whether to make another
// one, because another entry has written first and its table is now known.
func (k *Keeper) updateOnce(ctx context.Context, pool string, pt *poolTable) bool {
	now := k.cfg.Now()
	live, ready := k.liveOwners(pool, pt, now)
	if !ready {
		return false
	}
	next, changed := homes.ReassignSlots(pt.table, live, k.cfg.Wall())
	if len(next.Slots) == 0 || (!changed && now < pt.confirmAt) {
		return false
	}
	next.ConfirmedAtMS = k.cfg.Wall()
	return k.writeTable(ctx, pool, pt, next)
}

// writeTable puts a table in force if pt holds the current one. It reports whether
// pt now holds a newer table of another entry.
func (k *Keeper) writeTable(ctx context.Context, pool string, pt *poolTable, t spec.Homes) bool {
	data, err := json.Marshal(t)
	if err != nil {
		return false
	}
	began, due, version := k.cfg.Now(), pt.confirmAt, pt.version
	if err := pt.Write(ctx, data, t.Epoch, version); err != nil {
		var conflict *plat.ConflictError
		if !errors.As(err, &conflict) {
			// Without a conflict, as in an outage, there is no sign that other
			// entries are writing.
			pt.confirmAt = began + time.Duration(float64(conflictPause)*(0.5+k.cfg.Random()))
			return false
		}
		k.readTable(pool, pt)
		k.sendTable(pool, pt)
		if pt.version <= version {
			// The platform returned an older state, and an immediate read would
			// return it again.
			pt.confirmAt = began + pt.conflictBackoff(k.cfg.Random())
			return false
		}
		pt.confirmAt = min(due, began)
		return true
	}
	pt.conflicts = 0
	pt.confirmAt = began + time.Duration(float64(k.cfg.ConfirmInterval)*(0.75+k.cfg.Random()/2))
	k.readTable(pool, pt)
	k.sendTable(pool, pt)
	return false
}

// sendTable sends a table to the agents of its pool that don't have its epoch.
func (k *Keeper) sendTable(pool string, pt *poolTable) {
	if m := k.cfg.Members(pool); m != nil && pt.version != 0 {
		pt.SendToAgents(m.Peers, pt.version, pt.table.Epoch, pt.data)
	}
}

// FillLeaseReply sets the fields of reply that report how fresh the entry's
// knowledge of the table of reply.Pool is.
func (k *Keeper) FillLeaseReply(reply *wire.LeaseReply) {
	k.mu.Lock()
	pt := k.tables[reply.Pool]
	k.mu.Unlock()
	if pt != nil {
		pt.FillLeaseReply(reply)
	}
}
