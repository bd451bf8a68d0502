package follow

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/fresh"
	"lycheepond/core/meter"
	"lycheepond/core/wire"
)

// knower is an entry's knowledge with revisions that the test sets.
type knower struct {
	*Known
	config, roster int64
	heard          []string
	hurries        int
	set            *meter.Set
}

func newKnower(name string) *knower {
	k := &knower{set: meter.New()}
	k.Known = NewKnown(KnownConfig{
		Self: name, Rule: fresh.Rule{Bound: 2 * time.Second}, Revisions: func() (int64, int64) { return k.config, k.roster },
		Heard: func() []string { return k.heard }, Hurry: func() { k.hurries++ }, HurryOn: func() { k.hurries++ }, Metrics: k.set, Log: zap.NewNop(),
	})
	return k
}

// meets has other's tallies heard often enough to know how long these take.
func (k *knower) meets(other *knower) {
	for n := 20; n > 0; n-- {
		back := time.Duration(n) * 250 * time.Millisecond
		k.start, other.start = k.start.Add(back), other.start.Add(back)
		k.Heard(other.cfg.Self, false, &wire.Tally{UptimeMS: uint64(other.now().Milliseconds())})
		k.start, other.start = k.start.Add(-back), other.start.Add(-back)
	}
}

// hears lets k hear what other tells now.
func (k *knower) hears(other *knower) {
	told, clock := other.Tell()
	k.Heard(other.cfg.Self, false, &wire.Tally{Freshness: told, UptimeMS: clock, ConfigRevision: other.config, RosterRevision: other.roster})
}

func (k *knower) seen(what uint8, back time.Duration) {
	k.Looked(what, k.revision(what), time.Now().Add(-back))
}

func (k *knower) ageOf(what uint8) time.Duration {
	k.sample()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.lists[what].any {
		return time.Hour
	}
	return k.now() - k.lists[what].at
}

// One entry looks for all: what it found must serve the others, who then need
// not look, also a third that hears of it by the second only.
func TestPeersEvidenceServesOthers(t *testing.T) {
	a, b, c := newKnower("a"), newKnower("b"), newKnower("c")
	for _, k := range []*knower{a, b, c} {
		k.config, k.roster, k.heard = 5, 5, []string{"a", "b", "c"}
		k.start = k.start.Add(-time.Minute)
	}
	a.seen(wire.SnapshotConfig, time.Second)
	b.meets(a)
	c.meets(b)
	a.seen(wire.SnapshotConfig, 0)
	b.hears(a)
	if age := b.ageOf(wire.SnapshotConfig); age < fresh.Allowance || age > fresh.Allowance+time.Second {
		t.Errorf("b knows as of %v ago", age)
	}
	if a.hurries != 2 || b.hurries != 1 {
		t.Errorf("%d and %d times in a hurry, want 2 and 1", a.hurries, b.hurries)
	}
	if due := b.Due(wire.SnapshotConfig); due <= 0 {
		t.Errorf("b looks although a just has: in %v", due)
	}
	if due := b.Due(wire.SnapshotRoster); due > 0 {
		t.Errorf("b knows nothing of the roster and looks in %v", due)
	}
	c.hears(b)
	// What b has heard it tells again after a while.
	b.toldAgo(wire.SnapshotConfig, time.Second)
	a.toldAgo(wire.SnapshotConfig, time.Second)
	time.Sleep(200 * time.Millisecond)
	a.seen(wire.SnapshotConfig, 0)
	b.hears(a)
	c.hears(b)
	if age := c.ageOf(wire.SnapshotConfig); age > 2*fresh.Allowance+time.Second {
		t.Errorf("c knows as of %v ago", age)
	}
}

// toldAgo makes the last telling of a list older.
func (k *knower) toldAgo(what uint8, by time.Duration) { k.lists[what].toldAt -= by }

// A peer has a newer revision, and evidence for that one. An entry that does not
// have it must go on ageing until it has.
func TestEvidenceForANewerRevisionDoesNotCount(t *testing.T) {
	a, b := newKnower("a"), newKnower("b")
	a.config, b.config = 7, 5
	a.start, b.start = a.start.Add(-time.Minute), b.start.Add(-time.Minute)
	b.seen(wire.SnapshotConfig, 3*time.Second)
	a.seen(wire.SnapshotConfig, time.Second)
	b.meets(a)
	a.seen(wire.SnapshotConfig, 0)
	b.hears(a)
	if age := b.ageOf(wire.SnapshotConfig); age < 3*time.Second {
		t.Errorf("b has revision 5 and knows it to be the newest %v ago, but a has 7", age)
	}
	b.Decided()
	if n := b.set.Read().Counters[`requests_on_old_knowledge{list="config"}`]; n != 1 {
		t.Errorf("%d requests on old knowledge, want 1", n)
	}
	b.config = 7
	if age := b.ageOf(wire.SnapshotConfig); age > time.Second {
		t.Errorf("with revision 7 b knows as of %v ago", age)
	}
	b.Decided()
	if n := b.set.Read().Counters[`requests_on_old_knowledge{list="config"}`]; n != 1 {
		t.Errorf("%d requests on old knowledge, want 1", n)
	}
}

// What is held back after an outage is not in force, and must not be told as if
// it were.
func TestLookThatIsNotInForceIsNotTold(t *testing.T) {
	a := newKnower("a")
	a.start, a.roster = a.start.Add(-time.Minute), 5
	a.Looked(wire.SnapshotRoster, 8, time.Now())
	if told, _ := a.Tell(); len(told) != 0 {
		t.Errorf("told %+v with revision 5 in force", told)
	}
	a.roster = 8
	if told, _ := a.Tell(); len(told) != 1 || told[0].Content != wire.SnapshotRoster {
		t.Errorf("told %+v", told)
	}
}
