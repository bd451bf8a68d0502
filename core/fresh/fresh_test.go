package fresh

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// Thirty entries have listed everything at the same moment, each for itself. If each
// derived the order from its own look, nobody need be the first, and the fleet would
// look late.
func TestLooksOfTheSameMomentGiveOneOrder(t *testing.T) {
	books := make([]Book, 30)
	var names []string
	for i := range books {
		names = append(names, fmt.Sprint("entry-", i))
		books[i].Looked(Claim{Revision: 5, At: time.Duration(i) * ms, Mark: Mark(names[i], 1)})
	}
	for i := range books {
		for j := range books {
			if i != j {
				books[i].Told(Claim{Revision: 5, At: time.Duration(j)*ms - Allowance, Mark: Mark(names[j], 1)})
			}
		}
	}
	ranks := make(map[int]bool)
	for i, b := range books {
		c, _ := b.Known(5)
		ranks[Rank(names[i], names, c.Mark)] = true
	}
	if len(ranks) != len(books) {
		t.Errorf("%d of %d ranks are taken", len(ranks), len(books))
	}
	books[0].Told(Claim{Revision: 5, At: time.Second, Mark: 1 << 31})
	if c, _ := books[0].Known(5); c.Mark != 1<<31 {
		t.Error("a later look does not give a new order")
	}
}

// A peer has just asked the platform and has revision 9. An entry that still has 7
// must not take that for evidence of its own, and may once 9 has arrived.
func TestClaimHoldsOnlyWithItsRevision(t *testing.T) {
	var b Book
	b.Looked(Claim{Revision: 7, At: 100 * ms, Mark: 1})
	b.Told(Claim{Revision: 9, At: 900 * ms, Mark: 2})
	b.Told(Claim{Revision: 8, At: 600 * ms, Mark: 3})
	for _, tc := range []struct {
		revision int64
		at       time.Duration
	}{{7, 100 * ms}, {8, 600 * ms}, {9, 900 * ms}, {12, 900 * ms}} {
		if c, ok := b.Best(tc.revision); !ok || c.At != tc.at {
			t.Errorf("with revision %d in force: %v, %v, want %v", tc.revision, c.At, ok, tc.at)
		}
	}
}

// The list changes faster than it is passed on, so that an entry is always one
// revision behind what others tell. What they told of the revisions that it does
// reach must not be lost over that.
func TestEntryThatIsAlwaysOneRevisionBehind(t *testing.T) {
	var b Book
	for n := range 100 {
		at := time.Duration(n) * 50 * ms
		b.Told(Claim{Revision: int64(n), At: at})
		if n < 2 {
			continue
		}
		if c, ok := b.Best(int64(n - 1)); !ok || at-c.At > 50*ms {
			t.Fatalf("revision %d: known as of %v, %v at %v", n-1, c.At, ok, at)
		}
	}
}

// An entry cannot have more than a few claims in memory, and keeps the one that
// holds for what it has.
func TestClaimsAreBounded(t *testing.T) {
	var b Book
	b.Told(Claim{Revision: 1, At: ms})
	for n := range 100 {
		b.Told(Claim{Revision: int64(n + 2), At: time.Duration(n+2) * ms})
	}
	if len(b.claims) > maxClaims {
		t.Errorf("%d claims", len(b.claims))
	}
	if c, ok := b.Best(1); !ok || c.At != ms {
		t.Errorf("the claim that holds is gone: %v, %v", c, ok)
	}
}

// After an outage the list that the platform gives is held back for a while. The
// entry knows the newest, but may not tell peers that what it has in force is.
func TestLookWhoseRevisionIsNotInForce(t *testing.T) {
	var b Book
	b.Looked(Claim{Revision: 5, At: 100 * ms})
	b.Looked(Claim{Revision: 8, At: 700 * ms})
	if c, _ := b.Known(5); c.At != 700*ms {
		t.Errorf("known as of %v", c.At)
	}
	if c, _ := b.Best(5); c.At != 100*ms {
		t.Errorf("told to others as of %v", c.At)
	}
}

// Whoever should look first may be dead, the next cut off and the third stopped:
// the others must look soon after, and no two at the same moment before that.
func TestRanksLookInTurn(t *testing.T) {
	r := Rule{Bound: 2 * time.Second}
	for _, heard := range []int{2, 3, 5, 30, 420} {
		last := time.Duration(0)
		for rank := range heard {
			due := r.Due(rank, heard)
			if due < last || rank > 0 && rank <= steps && due-last < r.Step() {
				t.Errorf("of %d entries rank %d is due at %v, the one before at %v", heard, rank, due, last)
			}
			if due > r.share(lookShare+(steps+1)*stepShare) {
				t.Errorf("of %d entries rank %d is due only at %v", heard, rank, due)
			}
			last = due
		}
	}
	if due := r.Due(0, 1); due > r.Bound/2 {
		t.Errorf("an entry alone looks at %v", due)
	}
}

// All entries must agree on who looks first, and over time each must have its
// turn: the calls of one small machine are bounded.
func TestOrderIsSharedAndChanges(t *testing.T) {
	var names []string
	for i := range 30 {
		names = append(names, fmt.Sprint("entry-", i))
	}
	first := make(map[string]int)
	for n := range uint32(3000) {
		mark, ranks := Mark("entry-3", n), make(map[int]string)
		for _, name := range names {
			ranks[Rank(name, names, mark)] = name
		}
		if len(ranks) != len(names) {
			t.Fatalf("%d ranks of %d entries", len(ranks), len(names))
		}
		first[ranks[0]]++
	}
	for _, name := range names {
		if first[name] < 50 || first[name] > 200 {
			t.Errorf("%s is first %d times of 3000, 100 are its share", name, first[name])
		}
	}
}

// An entry is stopped for four seconds and then reads what came meanwhile. The
// tallies in its buffers say "just now" and are seconds old.
func TestTallyThatCameLate(t *testing.T) {
	w := met(10 * time.Second)
	if late, ok := w.Late(11*time.Second+30*ms, time.Second); !ok || late < 25*ms || late > 30*ms {
		t.Errorf("30 ms late: %v, %v", late, ok)
	}
	late, _ := w.Late(16*time.Second, 2*time.Second)
	if late < 3900*ms || late > 4*time.Second {
		t.Errorf("4 s late: %v", late)
	}
	if c := Told(16*time.Second, late, 20*ms, 7, 1); c.At > 12*time.Second {
		t.Errorf("taken as of %v, told at about 12s", c.At)
	}
}

// met returns the way of a peer whose tallies have come without delay for as long as
// it takes to know it, the last at now by this clock and 0 by the peer's.
func met(now time.Duration) *Way {
	w := new(Way)
	for n := enough - 1; n >= 0; n-- {
		back := time.Duration(n) * 250 * ms
		w.Late(now-back, -back)
	}
	return w
}

// One clock runs slower than the other by less than drift. After hours the peer's
// tallies must not count as late.
func TestClocksThatPart(t *testing.T) {
	w := met(0)
	for n := range 3600 {
		now := time.Duration(n) * time.Second
		if late, _ := w.Late(now, time.Duration(0.9995*float64(now))); late > ms {
			t.Fatalf("after %v: %v late", now, late)
		}
	}
}
