package follow

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/fresh"
	"lycheepond/core/meter"
	"lycheepond/core/wire"
)

// testKnowledge is an entry's Knowledge with revisions that the test sets.
type testKnowledge struct {
	*Knowledge
	config, roster int64
	reachable      []string
	urgentSends    int
	metrics        *meter.Set
}

func newTestKnowledge(name string) *testKnowledge {
	k := &testKnowledge{metrics: meter.New()}
	k.Knowledge = NewKnowledge(KnowledgeConfig{
		Self: name, Policy: fresh.Policy{MaxAge: 2 * time.Second}, Revisions: func() (int64, int64) { return k.config, k.roster },
		ReachablePeers: func() []string { return k.reachable }, SendTallySoon: func() { k.urgentSends++ }, RelaySoon: func() { k.urgentSends++ }, Metrics: k.metrics, Log: zap.NewNop(),
	})
	return k
}

// learnDelay passes enough of other's tallies to k for it to estimate their delay.
func (k *testKnowledge) learnDelay(other *testKnowledge) {
	for n := 20; n > 0; n-- {
		back := time.Duration(n) * 250 * time.Millisecond
		k.start, other.start = k.start.Add(back), other.start.Add(back)
		k.HandleTally(other.cfg.Self, false, &wire.Tally{UptimeMS: uint64(other.now().Milliseconds())})
		k.start, other.start = k.start.Add(-back), other.start.Add(-back)
	}
}

// receiveFrom passes the current evidence of other to k.
func (k *testKnowledge) receiveFrom(other *testKnowledge) {
	evidence, uptimeMS := other.Evidence()
	k.HandleTally(other.cfg.Self, false, &wire.Tally{Freshness: evidence, UptimeMS: uptimeMS, ConfigRevision: other.config, RosterRevision: other.roster})
}

// verify records a check that was sent a while back and found nothing newer than
// the revision in force.
func (k *testKnowledge) verify(content uint8, back time.Duration) {
	k.NoteVerified(content, k.revision(content), time.Now().Add(-back))
}

// ageOf returns the age of a list, an hour if there is no evidence for it.
func (k *testKnowledge) ageOf(content uint8) time.Duration {
	k.sample()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.lists[content].any {
		return time.Hour
	}
	return k.now() - k.lists[content].verifiedAt
}

// One entry checks on behalf of all others, which then need not check. Its evidence
// must count at the second entry and at a third one that receives it only through
// the second.
func TestEvidenceOfPeersIsUsed(t *testing.T) {
	a, b, c := newTestKnowledge("a"), newTestKnowledge("b"), newTestKnowledge("c")
	for _, k := range []*testKnowledge{a, b, c} {
		k.config, k.roster, k.reachable = 5, 5, []string{"a", "b", "c"}
		k.start = k.start.Add(-time.Minute)
	}
	a.verify(wire.SnapshotConfig, time.Second)
	b.learnDelay(a)
	c.learnDelay(b)
	a.verify(wire.SnapshotConfig, 0)
	b.receiveFrom(a)
	if age := b.ageOf(wire.SnapshotConfig); age < fresh.RelayAllowance || age > fresh.RelayAllowance+time.Second {
		t.Errorf("b's evidence is %v old", age)
	}
	if a.urgentSends != 2 || b.urgentSends != 1 {
		t.Errorf("%d and %d urgent sends, want 2 and 1", a.urgentSends, b.urgentSends)
	}
	if due := b.NextCheck(wire.SnapshotConfig); due <= 0 {
		t.Errorf("b checks in %v although a just has", due)
	}
	if due := b.NextCheck(wire.SnapshotRoster); due > 0 {
		t.Errorf("b has no evidence of the roster and checks in %v", due)
	}
	c.receiveFrom(b)
	// b sends received evidence again after a while.
	b.backdateSent(wire.SnapshotConfig, time.Second)
	a.backdateSent(wire.SnapshotConfig, time.Second)
	time.Sleep(200 * time.Millisecond)
	a.verify(wire.SnapshotConfig, 0)
	b.receiveFrom(a)
	c.receiveFrom(b)
	if age := c.ageOf(wire.SnapshotConfig); age > 2*fresh.RelayAllowance+time.Second {
		t.Errorf("c's evidence is %v old", age)
	}
}

// backdateSent moves the time when evidence for a list was last sent into the past.
func (k *testKnowledge) backdateSent(content uint8, by time.Duration) { k.lists[content].sentAt -= by }

// A peer has a newer revision and evidence for it. At an entry that lacks that
// revision, the evidence must not count until the revision is in force there.
func TestEvidenceForANewerRevisionDoesNotCount(t *testing.T) {
	a, b := newTestKnowledge("a"), newTestKnowledge("b")
	a.config, b.config = 7, 5
	a.start, b.start = a.start.Add(-time.Minute), b.start.Add(-time.Minute)
	b.verify(wire.SnapshotConfig, 3*time.Second)
	a.verify(wire.SnapshotConfig, time.Second)
	b.learnDelay(a)
	a.verify(wire.SnapshotConfig, 0)
	b.receiveFrom(a)
	if age := b.ageOf(wire.SnapshotConfig); age < 3*time.Second {
		t.Errorf("b counts revision 5 as the newest %v ago, but a has 7", age)
	}
	b.CountRequest()
	if n := b.metrics.Read().Counters[`requests_on_old_knowledge{list="config"}`]; n != 1 {
		t.Errorf("%d requests on old knowledge, want 1", n)
	}
	b.config = 7
	if age := b.ageOf(wire.SnapshotConfig); age > time.Second {
		t.Errorf("with revision 7 b's evidence is %v old", age)
	}
	b.CountRequest()
	if n := b.metrics.Read().Counters[`requests_on_old_knowledge{list="config"}`]; n != 1 {
		t.Errorf("%d requests on old knowledge, want 1", n)
	}
}

// Changes that are held back after an outage are not in force. Evidence must not be
// sent as if they were.
func TestEvidenceForARevisionNotInForceIsNotSent(t *testing.T) {
	a := newTestKnowledge("a")
	a.start, a.roster = a.start.Add(-time.Minute), 5
	a.NoteVerified(wire.SnapshotRoster, 8, time.Now())
	if evidence, _ := a.Evidence(); len(evidence) != 0 {
		t.Errorf("sent %+v with revision 5 in force", evidence)
	}
	a.roster = 8
	if evidence, _ := a.Evidence(); len(evidence) != 1 || evidence[0].Content != wire.SnapshotRoster {
		t.Errorf("sent %+v, want evidence of the roster", evidence)
	}
}
