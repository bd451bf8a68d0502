package follow

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"lycheepond/core/fresh"
	"lycheepond/core/meter"
	"lycheepond/core/wire"
)

// retellShare is the part of the bound between two tellings of what others
// showed: those who do not hear them learn it so. What this entry's own looks
// show is told at once.
const retellShare = 0.3

// KnownConfig is what a Known depends on.
type KnownConfig struct {
	// Self is the name of this entry.
	Self string
	Rule fresh.Rule
	// Revisions returns the revisions in force.
	Revisions func() (config, roster int64)
	// Heard returns the names of the entries that are heard.
	Heard func() []string
	// Hurry has the next tally sent at once, HurryOn what others told passed on.
	Hurry, HurryOn func()
	Metrics        *meter.Set
	Log            *zap.Logger
}

// Known is what an entry knows about how new its configuration and its instance
// list are, from its own calls and from what peers tell. It is safe for
// concurrent use.
type Known struct {
	cfg   KnownConfig
	start time.Time

	mu sync.Mutex
	// looks counts the calls that were evidence.
	looks uint32
	// lists holds one of each kind of snapshot.
	lists map[uint8]*known
	// ways holds those of the processes that are heard, by name.
	ways map[string]*fresh.Way
}

// known is what is known of one list.
type known struct {
	name string
	book fresh.Book
	// own is set while the others have to be told of a look of this entry, told the
	// mark of the claim that they were last told, at the time toldAt.
	own    bool
	told   uint32
	toldAt time.Duration
	// at is the time as of which the list was last found to be the newest; valid
	// if any.
	at  time.Duration
	any bool
	// old is set while that is longer ago than the bound, by worst at most.
	old   bool
	worst time.Duration
	age   metrics.Histogram
	// late counts requests that were decided while old.
	late metrics.Counter
}

// NewKnown returns a Known that knows nothing.
func NewKnown(cfg KnownConfig) *Known {
	k := &Known{cfg: cfg, start: time.Now(), lists: make(map[uint8]*known), ways: make(map[string]*fresh.Way)}
	for what, name := range map[uint8]string{wire.SnapshotConfig: "config", wire.SnapshotRoster: "roster"} {
		label := meter.Label{Key: "list", Value: name}
		k.lists[what] = &known{
			name: name, age: cfg.Metrics.Histogram("known_age_ms", label),
			late: cfg.Metrics.Counter("requests_on_old_knowledge", label),
		}
	}
	return k
}

func (k *Known) now() time.Duration { return time.Since(k.start) }

// revision returns that of a list in force.
func (k *Known) revision(what uint8) int64 {
	config, roster := k.cfg.Revisions()
	if what == wire.SnapshotConfig {
		return config
	}
	return roster
}

// Looked notes that a call which was sent at a time and answered at once showed
// that revision holds all changes.
func (k *Known) Looked(what uint8, revision int64, sent time.Time) {
	inForce := k.revision(what)
	k.mu.Lock()
	k.looks++
	l := k.lists[what]
	mark := fresh.Mark(k.cfg.Self, k.looks)
	l.book.Looked(fresh.Claim{Revision: revision, At: sent.Sub(k.start), Mark: mark})
	gained := k.update(l, inForce)
	worth := gained >= k.cfg.Rule.Step()
	if worth {
		l.own = true
	}
	k.mu.Unlock()
	if worth {
		k.cfg.Hurry()
	}
}

// Heard takes in what a peer's tally tells of its lists; anew is set for the
// first one of a process.
func (k *Known) Heard(peer string, anew bool, t *wire.Tally) {
	if t.UptimeMS == 0 {
		return
	}
	config, roster := k.cfg.Revisions()
	now := k.now()
	k.mu.Lock()
	w := k.ways[peer]
	if w == nil || anew {
		w = new(fresh.Way)
		k.ways[peer] = w
	}
	late, ok := w.Late(now, time.Duration(t.UptimeMS)*time.Millisecond)
	var gained time.Duration
	for _, f := range t.Freshness {
		l := k.lists[f.Content]
		if l == nil || !ok {
			continue
		}
		told, inForce := t.ConfigRevision, config
		if f.Content == wire.SnapshotRoster {
			told, inForce = t.RosterRevision, roster
		}
		l.book.Told(fresh.Told(now, late, time.Duration(f.AgeMS)*time.Millisecond, told, f.RefreshID))
		gained = max(gained, k.update(l, inForce))
	}
	k.mu.Unlock()
	if gained >= k.cfg.Rule.Step() {
		k.cfg.HurryOn()
	}
}

// Lost forgets a peer that is not heard any more.
func (k *Known) Lost(peer string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.ways, peer)
}

// update takes in what the claims come to with a revision in force, and returns
// by how much that is later than before. It is called with mu held.
func (k *Known) update(l *known, inForce int64) time.Duration {
	c, ok := l.book.Known(inForce)
	if !ok || l.any && c.At <= l.at {
		return 0
	}
	gained := c.At - l.at
	l.at, l.any = c.At, true
	return gained
}

// Tell returns what the next tally tells: what this entry has found itself since
// the last one, and now and then what it has heard, and for how many milliseconds it
// has run. The revisions in that tally
// must be read later, as these may only be newer than those that it is true of.
func (k *Known) Tell() (told []wire.Freshness, clock uint64) {
	config, roster := k.cfg.Revisions()
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for what, l := range k.lists {
		revision := config
		if what == wire.SnapshotRoster {
			revision = roster
		}
		c, ok := l.book.Best(revision)
		if !ok || c.Mark == l.told && !l.own {
			continue
		}
		if !l.own && now-l.toldAt < time.Duration(retellShare*float64(k.cfg.Rule.Bound)) {
			continue
		}
		l.own, l.told, l.toldAt = false, c.Mark, now
		told = append(told, wire.Freshness{Content: what, AgeMS: uint32((now - c.At + time.Millisecond).Milliseconds()), RefreshID: c.Mark})
	}
	return told, max(uint64(now.Milliseconds()), 1)
}

// Due returns in how long this entry has to look again, at most a step: what peers
// tell meanwhile may make that sooner.
func (k *Known) Due(what uint8) time.Duration {
	inForce := k.revision(what)
	k.mu.Lock()
	l := k.lists[what]
	k.update(l, inForce)
	c, ok := l.book.Known(inForce)
	k.mu.Unlock()
	if !ok {
		return 0
	}
	rule, age := k.cfg.Rule, k.now()-c.At
	if age < rule.First() {
		return min(rule.First()-age, rule.Step())
	}
	heard := k.cfg.Heard()
	return min(rule.Due(fresh.Rank(k.cfg.Self, heard, c.Mark), len(heard)+1)-age, rule.Step())
}

// Decided counts a request that is decided on what is known.
func (k *Known) Decided() {
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.lists {
		if l.any && k.cfg.Rule.Old(now-l.at) {
			l.late.Inc(1)
		}
	}
}
