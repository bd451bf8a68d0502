package spec

import (
	"encoding/json"
	"errors"
)

// maxHomeSlots is the maximum number of slots that are read. An object of at most 1
// megabyte could state far more in its runs.
const maxHomeSlots = 1 << 16

var errHomeSlots = errors.New("the columns of the slots do not match: delete nothing, restore the object's last good version")

// HomeSlots are the slots of Homes. As JSON they are written by column: one number
// for the owner of each slot, and run lengths for the other fields, which hardly
// differ between slots. A confirmation is written every few seconds and sent to every
// watch; with one JSON object per slot it would be six times as long.
type HomeSlots []HomeSlot

// homeColumns is the JSON form of HomeSlots.
type homeColumns struct {
	Owners          []int     `json:"o"`
	LostBefore      []homeRun `json:"s"`
	OwnedSinceEpoch []homeRun `json:"t"`
	PreviousOwner   []homeRun `json:"f,omitempty"`
}

// homeRun is a run: the number of consecutive slots and their common value.
type homeRun [2]int64

// appendRun appends the value of the next slot to runs.
func appendRun(runs []homeRun, v int64) []homeRun {
	if n := len(runs); n > 0 && runs[n-1][1] == v {
		runs[n-1][0]++
		return runs
	}
	return append(runs, homeRun{1, v})
}

// MarshalJSON writes the slots by column.
func (s HomeSlots) MarshalJSON() ([]byte, error) {
	c := homeColumns{Owners: make([]int, len(s)), LostBefore: []homeRun{}, OwnedSinceEpoch: []homeRun{}}
	for i := range s {
		c.Owners[i] = s[i].Owner
		c.LostBefore = appendRun(c.LostBefore, s[i].LostBefore)
		c.OwnedSinceEpoch = appendRun(c.OwnedSinceEpoch, s[i].OwnedSinceEpoch)
		c.PreviousOwner = appendRun(c.PreviousOwner, int64(s[i].PreviousOwner))
	}
	if len(c.PreviousOwner) == 1 && c.PreviousOwner[0][1] == 0 {
		c.PreviousOwner = nil
	}
	return json.Marshal(c)
}

// UnmarshalJSON reads the output of MarshalJSON. It returns an error if the columns
// do not have the same number of slots.
func (s *HomeSlots) UnmarshalJSON(b []byte) error {
	var c homeColumns
	if err := json.Unmarshal(b, &c); err != nil {
		return err
	}
	if len(c.Owners) > maxHomeSlots {
		return errHomeSlots
	}
	out := make(HomeSlots, len(c.Owners))
	for i, o := range c.Owners {
		out[i].Owner = o
	}
	if !expandRuns(c.LostBefore, len(out), func(i int, v int64) { out[i].LostBefore = v }) ||
		!expandRuns(c.OwnedSinceEpoch, len(out), func(i int, v int64) { out[i].OwnedSinceEpoch = v }) {
		return errHomeSlots
	}
	if len(c.PreviousOwner) > 0 && !expandRuns(c.PreviousOwner, len(out), func(i int, v int64) { out[i].PreviousOwner = int(v) }) {
		return errHomeSlots
	}
	*s = out
	return nil
}

// expandRuns calls set for each of n slots and reports whether the runs cover exactly
// n slots.
func expandRuns(runs []homeRun, n int, set func(int, int64)) bool {
	at := 0
	for _, r := range runs {
		if r[0] < 1 || r[0] > int64(n-at) {
			return false
		}
		for range r[0] {
			set(at, r[1])
			at++
		}
	}
	return at == n
}
