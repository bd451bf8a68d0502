package follow

import "time"

const (
	// longestWait is the longest that a call waits: as it is evidence of nothing, a
	// shorter one would only cost calls, and the platform ends calls that wait for
	// longer than half a minute.
	longestWait = 24 * time.Second
	// entriesWait is the same for the list of entries: nothing but that list tells
	// of an entry that none of the others has met, and nothing is decided by it
	// that must hold at once.
	entriesWait = 12 * time.Second
	// limitShare is the part of the bound on changes after which a look without an
	// answer is given up: the next one must be answered within what is left when it
	// was due at 0.6 of the bound.
	limitShare = 0.3
	// pageItems is how many items the platform puts on a page, and pageTime what each
	// page of a look may take: sixty times its usual 5 ms, as when it is slow.
	pageItems = 500
	pageTime  = 300 * time.Millisecond
	// pauseEach and longestGather are the pause after changes for each entry
	// heard, and the longest: a tenth of the usual bound on changes.
	pauseEach     = 10 * time.Millisecond
	longestGather = 200 * time.Millisecond
	// ledShare is the part of the bound on changes for which an entry behind a hub
	// gathers: as much as its next call's way may take is left.
	ledShare = 0.4
	// jitter is the part of a wait that is random, so that the calls of entries
	// that all began after the same change or outage spread out.
	jitter = 0.5
)

// Wait returns how long a call for changes waits; rnd is a random number in
// [0, 1).
func Wait(rnd float64) time.Duration { return spread(longestWait, rnd) }

// WaitEntries is Wait for the list of entries.
func WaitEntries(rnd float64) time.Duration { return spread(entriesWait, rnd) }

// Limit returns how long a look at a list of so many items may take when changes
// must be in force within bound. A list of many pages takes longer than that leaves:
// one that gave up each look at it would never see it.
func Limit(items int, bound time.Duration) time.Duration {
	pages := time.Duration(items/pageItems + 1)
	return max(time.Duration(limitShare*float64(bound)), pages*pageTime)
}

// spread returns a wait of up to longest.
func spread(longest time.Duration, rnd float64) time.Duration {
	return time.Duration(float64(longest) * (1 - jitter*rnd))
}

// Pause returns how long an entry that hears heard others, itself included,
// gathers changes. More entries make for more calls at each change. One that is
// led, by a hub that passes newer versions on, may leave the calls to the hubs:
// it gathers for a part of the bound on changes, so that it is in time by itself
// if no hub tells it.
func Pause(heard int, led bool, bound time.Duration) time.Duration {
	if led {
		return time.Duration(ledShare * float64(bound))
	}
	return min(time.Duration(heard)*pauseEach, longestGather)
}
