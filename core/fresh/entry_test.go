package fresh

import (
	"time"

	"lycheepond/core/relay"
)

// strategy defines how entries follow the list.
type strategy struct {
	// maxAge is the time within which a change must be in use.
	maxAge time.Duration
	// follow starts to follow the list.
	follow func(e *entry)
	// sendAtOnce is set if evidence is sent without waiting for the next tally.
	sendAtOnce bool
}

const (
	// callTimeout is the timeout of a call to the store that does not wait for changes.
	// waitTimeoutMargin is the timeout of a waiting call beyond its wait.
	callTimeout       = 2 * time.Second
	waitTimeoutMargin = 1500 * time.Millisecond
	// resendShare is the share of the maximum age between two tallies with evidence from
	// other entries.
	resendShare = 0.3
)

// entry simulates one entry: its state, its links and its tallies.
type entry struct {
	w     *world
	index int
	id    relay.Entry
	// stopCount counts the faults that keep the entry from running, and incarnation its
	// starts.
	stopCount, incarnation int
	// revision is the revision in use, and tracker the entry's knowledge about it.
	revision int
	tracker  Tracker
	// checks counts the entry's own calls that were evidence. ownClaimUnsent is set while
	// the others have to be sent the claim of one of them. sentCheckID is the check ID of
	// the claim last sent, at claimSentAt.
	checks, sentCheckID uint32
	ownClaimUnsent      bool
	claimSentAt         time.Duration

	peers     []*peer
	plan      relay.Plan
	planKey   string
	toForward []forwardedTally
	// seq is the number of the last tally, which was sent at tallySentAt. nextTick is the
	// number of the next tick, and lastTickAt the time of the last one.
	seq, nextTick           int
	tallySentAt, lastTickAt time.Duration
}

func (e *entry) isRunning() bool { return e.stopCount == 0 }

// start starts the entry without any knowledge.
func (e *entry) start() {
	w := e.w
	*e = entry{w: w, index: e.index, id: e.id, incarnation: e.incarnation + 1, planKey: "none", tallySentAt: w.now - w.randomUpTo(w.heartbeatInterval())}
	for range w.entries {
		e.peers = append(e.peers, &peer{linkBrokenAt: never, reportedMissingAt: never, laggingSince: never, lastTally: tally{incarnation: -1}})
	}
	w.strategy.follow(e)
	e.scheduleTick(w.randomUpTo(minTickInterval))
}

// stop stops the entry and breaks its links immediately.
func (e *entry) stop() {
	if e.stopCount++; e.stopCount > 1 {
		return
	}
	for i, other := range e.w.entries {
		if i != e.index {
			e.closeLink(other)
			other.closeLink(e)
		}
	}
}

// resume starts the entry again if no other fault keeps it from running.
func (e *entry) resume() {
	if e.stopCount--; e.stopCount == 0 {
		e.start()
	}
}

// after calls run after d unless the entry has been stopped by then.
func (e *entry) after(d time.Duration, run func()) {
	incarnation := e.incarnation
	e.w.after(d, func() {
		if e.isRunning() && e.incarnation == incarnation {
			run()
		}
	})
}

// reachableNames returns the names of the reachable entries.
func (e *entry) reachableNames() []string {
	var out []string
	for i, p := range e.peers {
		if p.reachable {
			out = append(out, e.w.entries[i].id.Name)
		}
	}
	return out
}

// learnRevision records a revision received from the store or a peer.
func (e *entry) learnRevision(revision int) { e.revision = max(e.revision, revision) }

// recordCheck records that a call sent at the given time and answered immediately showed
// that revision is the newest one.
func (e *entry) recordCheck(revision int, sentAt time.Duration) {
	e.learnRevision(revision)
	e.checks++
	checkID := NewCheckID(e.id.Name, e.checks)
	before, _ := e.tracker.LatestClaim(int64(e.revision))
	e.tracker.RecordCheck(Claim{Revision: int64(revision), At: sentAt, CheckID: checkID})
	after, _ := e.tracker.LatestClaim(int64(e.revision))
	if after.At-before.At < (Policy{e.w.strategy.maxAge}).StepTime() {
		return
	}
	e.ownClaimUnsent = true
	if e.w.strategy.sendAtOnce {
		e.scheduleTick(max(0, e.lastTickAt+minTickInterval-e.w.now))
	}
}

// mergeClaim merges the claim in a peer's tally.
func (e *entry) mergeClaim(p *peer, t *tally) {
	if t.sentAt == never {
		return
	}
	extraDelay, ok := p.delay.ExtraDelay(e.w.now, t.sentAt)
	if !ok || !t.hasClaim {
		return
	}
	before, _ := e.tracker.LatestClaim(int64(e.revision))
	e.tracker.MergeClaim(PeerClaim(e.w.now, extraDelay, t.sentAt-t.claim.At, int64(t.revision), t.claim.CheckID))
	after, _ := e.tracker.LatestClaim(int64(e.revision))
	if after.At-before.At >= (Policy{e.w.strategy.maxAge}).StepTime() && e.w.strategy.sendAtOnce && e.plan.IsHub() {
		e.after(max(0, e.lastTickAt+minTickInterval-e.w.now), e.forwardTallies)
	}
}

// addClaim adds the entry's claim to a tally if it is to be sent.
func (e *entry) addClaim(t *tally) {
	c, ok := e.tracker.BestClaim(int64(e.revision))
	resendDue := e.w.now-e.claimSentAt >= time.Duration(resendShare*float64(e.w.strategy.maxAge))
	if ok && (e.ownClaimUnsent || c.CheckID != e.sentCheckID && resendDue) {
		t.claim, t.hasClaim = c, true
		e.ownClaimUnsent, e.sentCheckID, e.claimSentAt = false, c.CheckID, e.w.now
	}
}

// backOff returns the wait after the given number of failed calls.
func (w *world) backOff(failed int) time.Duration {
	pause := min(100*time.Millisecond<<min(failed-1, 8), 800*time.Millisecond)
	return time.Duration((0.5 + w.rnd.Float64()/2) * float64(pause))
}

// gatherTime returns how long the entry collects changes before it calls for more.
func (e *entry) gatherTime() time.Duration {
	if e.plan.FollowsHub() {
		return time.Duration(0.4 * float64(e.w.strategy.maxAge))
	}
	return min(time.Duration(len(e.reachableNames())+1)*10*time.Millisecond, 200*time.Millisecond)
}
