// Package fresh determines whether an entry holds the newest revision of the platform's
// lists, how old that knowledge is, and when to check it again.
//
// A call that waits for changes proves nothing while it waits, because the platform may
// have forgotten it. Only a call that is answered immediately, called a check, is evidence,
// as of the time at which it was sent. One entry's check serves all entries: it sends the
// others the age of its evidence, and an entry that holds the same revision or a newer one
// can rely on it. A check from time to time is therefore enough for the whole fleet. If the
// entry that should check is dead, cut off or slow, the next one in order does it.
//
// Times are readings of the caller's own monotonic clock, from any origin. The package uses
// no network, clock or random source.
package fresh

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Claim states that Revision contains every change made up to At.
type Claim struct {
	Revision int64
	At       time.Duration
	// CheckID identifies the check. All entries that hold the same claim derive the same
	// order from it. Claims of about the same time take the lowest of their IDs.
	CheckID uint32
}

// maxClaims bounds the claims kept for revisions that have not arrived yet. While a list
// changes constantly, an entry is a few revisions behind others.
const maxClaims = 8

// Tracker tracks an entry's knowledge of one list. The zero Tracker knows nothing.
type Tracker struct {
	// ownCheck is the claim from this entry's own last check, valid if hasChecked is set.
	ownCheck   Claim
	hasChecked bool
	// claims is ordered by revision. None of them is both older and of a newer revision
	// than another.
	claims []Claim
}

// sameCheckTolerance is the largest difference in time between claims that are treated as
// one. Entries that check at the same moment have a claim each, and a peer's claim appears
// older by RelayAllowance and its delay.
const sameCheckTolerance = 150 * time.Millisecond

// unifyCheckIDs gives all claims of about the same time the lowest of their IDs, so that
// all entries that receive them derive the same order.
func (t *Tracker) unifyCheckIDs(c Claim) Claim {
	var near []*Claim
	addIfNear := func(o *Claim) {
		if max(o.At-c.At, c.At-o.At) <= sameCheckTolerance {
			near = append(near, o)
			c.CheckID = min(c.CheckID, o.CheckID)
		}
	}
	for i := range t.claims {
		addIfNear(&t.claims[i])
	}
	if t.hasChecked {
		addIfNear(&t.ownCheck)
	}
	for _, o := range near {
		o.CheckID = c.CheckID
	}
	return c
}

// RecordCheck records the result of this entry's own check.
func (t *Tracker) RecordCheck(c Claim) {
	c = t.unifyCheckIDs(c)
	if !t.hasChecked || c.At > t.ownCheck.At {
		t.ownCheck, t.hasChecked = c, true
	}
	t.MergeClaim(c)
}

// MergeClaim merges a peer's claim. Its At must not be later than the true time; see
// DelayEstimator.
func (t *Tracker) MergeClaim(c Claim) {
	c = t.unifyCheckIDs(c)
	covered := func(c, by Claim) bool { return by.Revision <= c.Revision && by.At >= c.At }
	if slices.ContainsFunc(t.claims, func(o Claim) bool { return covered(c, o) }) {
		return
	}
	t.claims = slices.DeleteFunc(t.claims, func(o Claim) bool { return covered(o, c) })
	i, _ := slices.BinarySearchFunc(t.claims, c, func(a, b Claim) int { return cmp.Compare(a.Revision, b.Revision) })
	t.claims = slices.Insert(t.claims, i, c)
	if len(t.claims) > maxClaims {
		// The first claim is for the revision in use, and BestClaim keeps no other such
		// claim.
		t.claims = slices.Delete(t.claims, 1, 2)
	}
}

// BestClaim returns the latest claim that holds for an entry with the given revision in
// use, and which it may send to others. ok is false if there is none. The revision in use
// must never decrease.
func (t *Tracker) BestClaim(revision int64) (c Claim, ok bool) {
	n := 0
	for n < len(t.claims) && t.claims[n].Revision <= revision {
		n++
	}
	if n == 0 {
		return Claim{}, false
	}
	// The last of these claims is the latest. The earlier ones are no longer needed.
	t.claims = slices.Delete(t.claims, 0, n-1)
	return t.claims[0], true
}

// LatestClaim returns the later one of BestClaim's claim and that of the entry's own last
// check. The entry has received the result of its check but need not have it in use, for
// example while removals are deferred.
func (t *Tracker) LatestClaim(revision int64) (c Claim, ok bool) {
	c, ok = t.BestClaim(revision)
	if t.hasChecked && (!ok || t.ownCheck.At > c.At) {
		return t.ownCheck, true
	}
	return c, ok
}

const (
	// firstCheckShare is the share of the maximum age after which the first entry checks
	// again. stepShare is the share after which the next one in order does, the time in
	// which a check's result reaches the other entries.
	firstCheckShare = 0.2
	stepShare       = 0.1
	// sequentialChecks is the number of entries that check one after the other before all
	// others do so within one further step. The knowledge of an entry that can call the
	// platform is then no older than 0.6 of the maximum age, which is firstCheckShare +
	// (sequentialChecks+1)*stepShare, plus the time of a call.
	sequentialChecks = 3
	// soloCheckShare is the share of the maximum age after which an entry that reaches no
	// other entry checks again. No other entry checks before or after it.
	soloCheckShare = 0.5
)

// Policy determines when entries check. MaxAge is the age that knowledge must not exceed.
type Policy struct {
	MaxAge time.Duration
}

// shareOfMaxAge returns a share of the maximum age.
func (p Policy) shareOfMaxAge(share float64) time.Duration {
	return time.Duration(share * float64(p.MaxAge))
}

// FirstCheckAge returns the age of a claim at which the first entry checks again. Before
// that, no entry needs its rank.
func (p Policy) FirstCheckAge() time.Duration { return p.shareOfMaxAge(firstCheckShare) }

// StepTime returns the time in which the result of a check should reach the other entries.
func (p Policy) StepTime() time.Duration { return p.shareOfMaxAge(stepShare) }

// CheckAge returns the age of the latest claim at which an entry checks, given its rank,
// from zero, and the number of reachable entries, itself included.
func (p Policy) CheckAge(rank, reachable int) time.Duration {
	if reachable <= 1 {
		return p.shareOfMaxAge(soloCheckShare)
	}
	age := p.FirstCheckAge() + time.Duration(min(rank, sequentialChecks))*p.StepTime()
	if remaining := reachable - sequentialChecks; rank > sequentialChecks && remaining > 0 {
		age += p.StepTime() * time.Duration(rank-sequentialChecks) / time.Duration(remaining)
	}
	return age
}

// IsTooOld reports whether knowledge of the given age exceeds the maximum age.
func (p Policy) IsTooOld(age time.Duration) bool { return age > p.MaxAge }

// Rank returns the rank of self, from zero, in the order in which the reachable entries
// check again after the check with the given ID. reachable may or may not include self.
func Rank(self string, reachable []string, checkID uint32) int {
	ownKey, rank := orderKey(self, checkID), 0
	for _, name := range reachable {
		if name == self {
			continue
		}
		if key := orderKey(name, checkID); key < ownKey || key == ownKey && name < self {
			rank++
		}
	}
	return rank
}

// NewCheckID returns the ID of an entry's n-th check.
func NewCheckID(self string, n uint32) uint32 { return orderKey(self, n) }

func orderKey(name string, checkID uint32) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	h.Write([]byte{byte(checkID >> 24), byte(checkID >> 16), byte(checkID >> 8), byte(checkID)})
	// The last bytes hashed by FNV affect only the low bits, so they are mixed into all
	// bits.
	x := h.Sum32()
	x ^= x >> 16
	x *= 0x7feb352d
	x ^= x >> 15
	x *= 0x846ca68b
	return x ^ x>>16
}
