package follow

import "time"

const (
	// maxWatchTime is the longest wait of a watch. A watch is no evidence while it
	// waits, so a shorter wait would only cost more calls. The platform ends calls
	// that wait for longer than 30 seconds.
	maxWatchTime = 24 * time.Second
	// maxEntriesWatchTime is the same for the list of entries. It is shorter
	// because only that list reveals an entry that no other entry is linked to. No
	// decision that must take effect at once depends on the list.
	maxEntriesWatchTime = 12 * time.Second
	// checkTimeoutShare is the part of the freshness bound after which an
	// unanswered check is late. A check may be due at 0.6 of the bound, and
	// the next one must be answered in the time that is left.
	checkTimeoutShare = 0.3
	// itemsPerPage is the number of items that the platform puts on a page.
	// pageTimeout is how long each page of a check may take: sixty times its usual
	// 5 ms, for a slow platform.
	itemsPerPage = 500
	pageTimeout  = 300 * time.Millisecond
	// batchTimePerEntry is the batch time for each reachable entry, and
	// maxBatchTime its upper limit, a tenth of the usual freshness bound.
	batchTimePerEntry = 10 * time.Millisecond
	maxBatchTime      = 200 * time.Millisecond
	// hubBatchShare is the batch time of an entry with a hub, as a part of the
	// freshness bound. The rest of the bound suffices for its next call.
	hubBatchShare = 0.4
	// jitterShare is the random part of a wait. It spreads the calls of entries
	// that all started after the same change or outage.
	jitterShare = 0.5
)

// WatchTime returns how long a watch waits for a change. rnd is a random number in
// [0, 1).
func WatchTime(rnd float64) time.Duration { return jitteredTime(maxWatchTime, rnd) }

// EntriesWatchTime is WatchTime for the list of entries.
func EntriesWatchTime(rnd float64) time.Duration { return jitteredTime(maxEntriesWatchTime, rnd) }

// CheckTimeout returns how long a check of a list of items may take when changes
// must be in force within bound. A list of many pages gets more than its share of
// the bound, because its answer takes longer.
func CheckTimeout(items int, bound time.Duration) time.Duration {
	pages := time.Duration(items/itemsPerPage + 1)
	return max(time.Duration(checkTimeoutShare*float64(bound)), pages*pageTimeout)
}

// jitteredTime returns longest, shortened by up to jitterShare of it.
func jitteredTime(longest time.Duration, rnd float64) time.Duration {
	return time.Duration(float64(longest) * (1 - jitterShare*rnd))
}

// BatchTime returns how long an entry waits after changes before its next watch.
// reachable counts the reachable entries, including this one: with more entries
// each change costs more calls. An entry with a hub receives newer versions from it
// and needn't call the platform as often. It waits for a part of the freshness
// bound, so that it still meets the bound if its hub sends nothing.
func BatchTime(reachable int, hasHub bool, bound time.Duration) time.Duration {
	if hasHub {
		return time.Duration(hubBatchShare * float64(bound))
	}
	return min(time.Duration(reachable)*batchTimePerEntry, maxBatchTime)
}
