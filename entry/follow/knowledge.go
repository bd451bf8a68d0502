package follow

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"lycheepond/core/fresh"
	"lycheepond/core/meter"
	"lycheepond/core/wire"
)

// resendShare is the time between two tallies that pass on evidence received from
// other entries, as a part of the freshness bound. It serves peers that don't
// receive that evidence directly. Evidence of this entry's own checks is sent at
// once.
const resendShare = 0.3

// KnowledgeConfig holds the settings and callbacks of a Knowledge.
type KnowledgeConfig struct {
	// Self is the name of this entry.
	Self   string
	Policy fresh.Policy
	// Revisions returns the revisions in force.
	Revisions func() (config, roster int64)
	// ReachablePeers returns the names of the reachable peers.
	ReachablePeers func() []string
	// SendTallySoon requests that the next tally is sent as soon as possible,
	// RelaySoon that received tallies are relayed as soon as possible.
	SendTallySoon, RelaySoon func()
	Metrics                  *meter.Set
	Log                      *zap.Logger
}

// Knowledge tracks how current this entry's configuration and roster are, from its
// own checks and from the evidence that peers send. It is safe for concurrent use.
type Knowledge struct {
	cfg   KnowledgeConfig
	start time.Time

	mu sync.Mutex
	// checks counts the calls that gave evidence, to number them.
	checks uint32
	// lists holds the state of each list by the content of its snapshots.
	lists map[uint8]*listKnowledge
	// delays holds the message delay estimate of each reachable peer's process, by
	// name.
	delays map[string]*fresh.DelayEstimator
}

// listKnowledge is the state of one list.
type listKnowledge struct {
	name   string
	claims fresh.Tracker
	// hasOwnEvidence is set while evidence of a check of this entry has not been
	// sent yet. sentCheckID is the check ID of the claim sent last, and sentAt is
	// when that was sent.
	hasOwnEvidence bool
	sentCheckID    uint32
	sentAt         time.Duration
	// verifiedAt is the latest time at which the list is known to have been
	// current. It is valid if any is set.
	verifiedAt time.Duration
	any        bool
	// isOld is set while verifiedAt is longer ago than the bound. worstAge is the
	// largest age during that time.
	isOld    bool
	worstAge time.Duration
	// isCurrent is set while the list is known not to be too old, as of the last sample.
	isCurrent atomic.Bool
	// lastVerified is verifiedAt in nanoseconds.
	lastVerified atomic.Int64
	ageHistogram metrics.Histogram
	// oldRequests counts the requests that were received while the list was too
	// old.
	oldRequests metrics.Counter
}

// NewKnowledge returns a Knowledge without any evidence.
func NewKnowledge(cfg KnowledgeConfig) *Knowledge {
	k := &Knowledge{cfg: cfg, start: time.Now(), lists: make(map[uint8]*listKnowledge), delays: make(map[string]*fresh.DelayEstimator)}
	for content, name := range map[uint8]string{wire.SnapshotConfig: "config", wire.SnapshotRoster: "roster"} {
		label := meter.Label{Key: "list", Value: name}
		k.lists[content] = &listKnowledge{
			name: name, ageHistogram: cfg.Metrics.Histogram("known_age_ms", label),
			oldRequests: cfg.Metrics.Counter("requests_on_old_knowledge", label),
		}
	}
	return k
}

// now returns the uptime of this entry, the clock of all times in Knowledge.
func (k *Knowledge) now() time.Duration { return time.Since(k.start) }

// revision returns the revision of a list in force.
func (k *Knowledge) revision(content uint8) int64 {
	config, roster := k.cfg.Revisions()
	if content == wire.SnapshotConfig {
		return config
	}
	return roster
}

// NoteVerified records that a call sent at a time and answered at once showed that
// the platform has nothing newer than revision.
func (k *Knowledge) NoteVerified(content uint8, revision int64, sent time.Time) {
	inForce := k.revision(content)
	k.mu.Lock()
	k.checks++
	l := k.lists[content]
	checkID := fresh.NewCheckID(k.cfg.Self, k.checks)
	l.claims.RecordCheck(fresh.Claim{Revision: revision, At: sent.Sub(k.start), CheckID: checkID})
	gained := k.update(l, inForce)
	isNewStep := gained >= k.cfg.Policy.StepTime()
	if isNewStep {
		l.hasOwnEvidence = true
	}
	k.mu.Unlock()
	if isNewStep {
		k.cfg.SendTallySoon()
	}
}

// HandleTally handles the evidence in a peer's tally. newProcess is set for the
// first tally of a process.
func (k *Knowledge) HandleTally(peer string, newProcess bool, t *wire.Tally) {
	if t.UptimeMS == 0 {
		return
	}
	config, roster := k.cfg.Revisions()
	now := k.now()
	k.mu.Lock()
	d := k.delays[peer]
	if d == nil || newProcess {
		d = new(fresh.DelayEstimator)
		k.delays[peer] = d
	}
	delay, ok := d.ExtraDelay(now, time.Duration(t.UptimeMS)*time.Millisecond)
	var gained time.Duration
	for _, f := range t.Freshness {
		l := k.lists[f.Content]
		if l == nil || !ok {
			continue
		}
		peerRevision, inForce := t.ConfigRevision, config
		if f.Content == wire.SnapshotRoster {
			peerRevision, inForce = t.RosterRevision, roster
		}
		l.claims.MergeClaim(fresh.PeerClaim(now, delay, time.Duration(f.AgeMS)*time.Millisecond, peerRevision, f.RefreshID))
		gained = max(gained, k.update(l, inForce))
	}
	k.mu.Unlock()
	if gained >= k.cfg.Policy.StepTime() {
		k.cfg.RelaySoon()
	}
}

// ForgetPeer forgets a peer that is no longer reachable.
func (k *Knowledge) ForgetPeer(peer string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.delays, peer)
}

// update recomputes verifiedAt of a list from the claims and the revision in force,
// and returns by how much it has grown. It is called with mu held.
func (k *Knowledge) update(l *listKnowledge, inForce int64) time.Duration {
	c, ok := l.claims.LatestClaim(inForce)
	if !ok || l.any && c.At <= l.verifiedAt {
		return 0
	}
	gained := c.At - l.verifiedAt
	l.verifiedAt, l.any = c.At, true
	l.lastVerified.Store(int64(c.At))
	return gained
}

// Evidence returns the evidence for the next tally and the uptime of this entry in
// milliseconds. The evidence consists of what this entry's own checks have shown
// since the last call and, at intervals, of what it has received from peers. The
// caller must read the revisions for that tally afterwards, so that they are at
// least as new as those that the evidence is about.
func (k *Knowledge) Evidence() (evidence []wire.Freshness, uptimeMS uint64) {
	config, roster := k.cfg.Revisions()
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for content, l := range k.lists {
		revision := config
		if content == wire.SnapshotRoster {
			revision = roster
		}
		c, ok := l.claims.BestClaim(revision)
		if !ok || c.CheckID == l.sentCheckID && !l.hasOwnEvidence {
			continue
		}
		if !l.hasOwnEvidence && now-l.sentAt < time.Duration(resendShare*float64(k.cfg.Policy.MaxAge)) {
			continue
		}
		l.hasOwnEvidence, l.sentCheckID, l.sentAt = false, c.CheckID, now
		evidence = append(evidence, wire.Freshness{Content: content, AgeMS: uint32((now - c.At + time.Millisecond).Milliseconds()), RefreshID: c.CheckID})
	}
	return evidence, max(uint64(now.Milliseconds()), 1)
}

// NextCheck returns the time until this entry must check again, at most one
// freshness step, because evidence from peers may change it.
func (k *Knowledge) NextCheck(content uint8) time.Duration {
	inForce := k.revision(content)
	k.mu.Lock()
	l := k.lists[content]
	k.update(l, inForce)
	c, ok := l.claims.LatestClaim(inForce)
	k.mu.Unlock()
	if !ok {
		return 0
	}
	policy, age := k.cfg.Policy, k.now()-c.At
	if age < policy.FirstCheckAge() {
		return min(policy.FirstCheckAge()-age, policy.StepTime())
	}
	reachable := k.cfg.ReachablePeers()
	return min(policy.CheckAge(fresh.Rank(k.cfg.Self, reachable, c.CheckID), len(reachable)+1)-age, policy.StepTime())
}

// IsCurrent reports whether a list is known not to be too old, as of at most sampleInterval ago.
func (k *Knowledge) IsCurrent(content uint8) bool { return k.lists[content].isCurrent.Load() }

// VerifiedAt returns the latest time at which a list is known to have been current. It does not
// block.
func (k *Knowledge) VerifiedAt(content uint8) time.Time {
	return k.start.Add(time.Duration(k.lists[content].lastVerified.Load()))
}

// CountRequest counts a request that was just received, for each list that is too
// old at that moment.
func (k *Knowledge) CountRequest() {
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.lists {
		if l.any && k.cfg.Policy.IsTooOld(now-l.verifiedAt) {
			l.oldRequests.Inc(1)
		}
	}
}
