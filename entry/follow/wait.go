package follow

import "time"

const (
	// fleetLook is the time between two calls for changes over all entries. Any
	// of them tells the others, so the rate of calls does not grow with the
	// fleet, and news is this old at most while the entries reach each other.
	fleetLook = 300 * time.Millisecond
	// ownShare is the part of the bound on changes that one entry by itself may
	// wait: the call's way and a connection to make anew take the rest.
	ownShare = 0.6
	// longestWait is the longest that a call waits.
	longestWait = 8 * time.Second
	// pauseEach and longestGather are the pause after changes for each entry
	// heard, and the longest: a tenth of the usual bound on changes.
	pauseEach     = 10 * time.Millisecond
	longestGather = 200 * time.Millisecond
	// ledShare is the part of the bound on changes for which an entry behind a hub
	// gathers: as much as its next call's way may take is left.
	ledShare = 0.4
	// jitter is the part of a wait that is random, so that the calls of entries
	// that started together spread out.
	jitter = 0.3
)

// Wait returns how long a call for changes waits when heard entries are heard,
// this one included, and changes must be in force within bound. rnd is a random
// number in [0, 1).
func Wait(heard int, bound time.Duration, rnd float64) time.Duration {
	wait := max(time.Duration(heard)*fleetLook, time.Duration(ownShare*float64(bound)))
	return time.Duration(float64(min(wait, longestWait)) * (1 - jitter*rnd))
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
