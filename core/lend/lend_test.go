package lend

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lycheepond/core/fixed"
)

func TestMain(m *testing.M) { os.Exit(fixed.Run(m, fixed.Seed, 300)) }

const testBase = 6

// testEntry is an entry that uses units of the resource r.
type testEntry struct {
	*Ledger
	name        string
	incarnation uint64
	used        int
}

func (e *testEntry) start() {
	e.incarnation++
	e.used = 0
	e.Ledger = New(Config{
		Self: e.name, Incarnation: e.incarnation, Base: func(string) int { return testBase }, Used: func(string) int { return e.used },
		Reduce: func(string, int) int { return e.used },
	})
}

func newEntries(n int) (entries []*testEntry) {
	for i := range n {
		e := &testEntry{name: fmt.Sprint("entry-", i)}
		e.start()
		entries = append(entries, e)
	}
	return entries
}

// send has every other entry merge a report of e and lend what it asks for.
func (e *testEntry) send(now time.Duration, entries []*testEntry, r Report) {
	for _, peer := range entries {
		if peer == e {
			continue
		}
		peer.Merge(e.name, r)
		for _, w := range r.Wants {
			peer.Lend(now, e.name, w, len(entries)-1)
		}
	}
}

func unitsOf(entries []*testEntry) (sum int) {
	for _, e := range entries {
		sum += e.Units("r")
	}
	return sum
}

// Guards against an endpoint that gets more connections from all entries than it accepts, because
// two entries count the same unit as theirs after reports were late, lost or repeated.
func TestUnitsBelongToOneEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, now := newEntries(rapid.IntRange(2, 6).Draw(t, "entries")), time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			e := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				e.used = rapid.IntRange(0, e.Units("r")).Draw(t, "used")
				e.RecordUse(now, "r", e.used)
			case 1:
				e.RecordShort(now, "r")
				e.send(now, entries, e.Report(now, rapid.Bool().Draw(t, "resend")))
			case 2:
				e.Report(now, false) // is lost
			case 3:
				e.Return(now)
			case 4:
				peer := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "peer")]
				if r := e.Report(now, true); peer != e {
					peer.Merge(e.name, r)
				}
			}
			if sum := unitsOf(entries); sum > testBase*len(entries) {
				t.Fatalf("the entries have %d units together, of %d", sum, testBase*len(entries))
			}
			for _, e := range entries {
				if e.used > e.Units("r") {
					t.Fatalf("%s lent units that it uses: %d of %d", e.name, e.used, e.Units("r"))
				}
			}
		}
		// Once all have been heard, no unit is missing.
		for _, e := range entries {
			e.send(now, entries, Report{Incarnation: e.incarnation, Loans: e.Report(now, true).Loans})
		}
		if sum := unitsOf(entries); sum != testBase*len(entries) {
			t.Fatalf("the entries have %d units together, of %d", sum, testBase*len(entries))
		}
	})
}

// Guards against units that are lost, or exist twice, after a borrower or a lender has been
// replaced by a new process of the same name.
func TestRestartEndsLoans(t *testing.T) {
	for _, restarted := range []int{0, 1} {
		entries := newEntries(2)
		for _, e := range entries {
			e.send(0, entries, e.Report(0, true))
		}
		entries[0].RecordShort(0, "r")
		entries[0].send(0, entries, entries[0].Report(0, false))
		late := entries[1].Report(0, true)
		entries[1].send(0, entries, late)
		if got := entries[0].Units("r"); got <= testBase {
			t.Fatalf("nothing was lent: %d units", got)
		}
		entries[restarted].start()
		if restarted == 0 {
			// The lender has not heard of the restart yet.
			entries[0].Merge(entries[1].name, late)
			if got := entries[0].Units("r"); got != testBase {
				t.Errorf("the new process of the borrower has %d units", got)
			}
		}
		for _, e := range entries {
			e.send(0, entries, e.Report(0, true))
		}
		for _, e := range entries {
			if got := e.Units("r"); got != testBase {
				t.Errorf("after the restart of %s, %s has %d units", entries[restarted].name, e.name, got)
			}
		}
	}
}

// Guards against an entry that keeps what it borrowed although its callers have left.
func TestUnusedLoansAreReturned(t *testing.T) {
	entries, now := newEntries(4), time.Duration(0)
	hot := entries[0]
	for range 8 {
		hot.RecordShort(now, "r")
		hot.send(now, entries, hot.Report(now, false))
		for _, e := range entries[1:] {
			e.send(now, entries, e.Report(now, false))
		}
		now += wantPeriod
	}
	if got, want := hot.Units("r"), testBase*4-3; got != want {
		t.Errorf("the entry that is short has %d units, want %d: all but one of each other entry", got, want)
	}
	for range 8 {
		now += returnPeriod
		hot.Return(now)
		hot.send(now, entries, hot.Report(now, false))
	}
	for _, e := range entries {
		if got := e.Units("r"); got < testBase-1 || got > testBase+1 {
			t.Errorf("%s has %d units after all were returned", e.name, got)
		}
	}
}

// Guards against an entry that lends the units that it uses itself.
func TestUsedUnitsAreKept(t *testing.T) {
	entries := newEntries(2)
	entries[1].used = 4
	entries[1].RecordUse(0, "r", 5)
	entries[0].RecordShort(0, "r")
	entries[0].send(0, entries, entries[0].Report(0, false))
	if got := entries[1].Units("r"); got != testBase {
		t.Errorf("has %d units of %d left, of which it used 5", got, testBase)
	}
	entries[0].RecordShort(2*usePeriod, "r")
	entries[0].send(2*usePeriod, entries, entries[0].Report(2*usePeriod, false))
	if got := entries[1].Units("r"); got != 5 {
		t.Errorf("has %d units left, of which it uses 4", got)
	}
}
