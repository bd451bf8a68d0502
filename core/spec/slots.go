package spec

import (
	"encoding/json"
	"errors"
)

// maxHomeSlots bounds what is read from an object of at most a megabyte, whose
// runs could name far more.
const maxHomeSlots = 1 << 16

var errHomeSlots = errors.New("the columns of the slots do not agree: delete nothing, restore the object's last good version")

// HomeSlots are the slots of a table. As JSON they are written by columns: one
// number for each slot's owner, and runs for the rest, which hardly differs
// from slot to slot. A confirmation is written every few seconds and goes to
// every watch; an object for each slot would make it six times as long.
type HomeSlots []HomeSlot

// homeColumns is how HomeSlots are written.
type homeColumns struct {
	Owners []int     `json:"o"`
	Since  []homeRun `json:"s"`
	Took   []homeRun `json:"t"`
	From   []homeRun `json:"f,omitempty"`
}

// homeRun is a length and the value of so many slots in a row.
type homeRun [2]int64

func addRun(runs []homeRun, v int64) []homeRun {
	if n := len(runs); n > 0 && runs[n-1][1] == v {
		runs[n-1][0]++
		return runs
	}
	return append(runs, homeRun{1, v})
}

// MarshalJSON writes the slots by columns.
func (s HomeSlots) MarshalJSON() ([]byte, error) {
	c := homeColumns{Owners: make([]int, len(s)), Since: []homeRun{}, Took: []homeRun{}}
	for i := range s {
		c.Owners[i] = s[i].Owner
		c.Since = addRun(c.Since, s[i].Since)
		c.Took = addRun(c.Took, s[i].Took)
		c.From = addRun(c.From, int64(s[i].From))
	}
	if len(c.From) == 1 && c.From[0][1] == 0 {
		c.From = nil
	}
	return json.Marshal(c)
}

// UnmarshalJSON reads what MarshalJSON wrote.
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
	if !spread(c.Since, len(out), func(i int, v int64) { out[i].Since = v }) ||
		!spread(c.Took, len(out), func(i int, v int64) { out[i].Took = v }) {
		return errHomeSlots
	}
	if len(c.From) > 0 && !spread(c.From, len(out), func(i int, v int64) { out[i].From = int(v) }) {
		return errHomeSlots
	}
	*s = out
	return nil
}

// spread calls set for each of n slots and reports whether the runs cover
// exactly these.
func spread(runs []homeRun, n int, set func(int, int64)) bool {
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
