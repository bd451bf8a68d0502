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
	// againShare is the part of the bound on changes after which a look without an
	// answer is repeated beside the first. While calls fail that takes up to againEach
	// longer for each entry heard: all of them ask, the first that is answered tells,
	// and spread over that time they are not all without an answer when the platform
	// is back.
	againShare = 0.2
	againEach  = 100 * time.Millisecond
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

// Again returns how long a look may go without an answer before another one is
// sent beside it, when heard entries are heard, this one included, and changes must
// be in force within bound. rnd is a random number in [0, 1).
func Again(failing bool, heard int, bound time.Duration, rnd float64) time.Duration {
	again := time.Duration(againShare * float64(bound))
	if failing {
		again += time.Duration(rnd * float64(min(time.Duration(heard)*againEach, CallTime)))
	}
	return again
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
