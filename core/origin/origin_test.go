package origin_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lycheepond/core/origin"
	"lycheepond/core/relay"
)

func fleet(n int) []relay.Entry {
	var out []relay.Entry
	for i := range n {
		out = append(out, relay.Entry{Name: fmt.Sprint("entry-", i), Zone: fmt.Sprint("z", i%3)})
	}
	return out
}

// Guards against records that no entry finds after one of their keepers has ended or another
// entry has joined.
func TestKeepersAreFoundAfterFleetChanges(t *testing.T) {
	for _, n := range []int{3, 8, 9, 30, 300} {
		before := fleet(n)
		for i := range 200 {
			k := origin.NewKey("customer", fmt.Sprint("request-", i))
			holders := origin.Keepers(k, origin.Candidates(before, nil), "entry-1", origin.Copies)
			if n > 8 && len(holders) != origin.Copies || slices.Contains(holders, "entry-1") {
				t.Fatalf("%d entries: %d holders", n, len(holders))
			}
			if before[slices.IndexFunc(before, func(e relay.Entry) bool { return e.Name == holders[0] })].Zone == before[slices.IndexFunc(before, func(e relay.Entry) bool { return e.Name == holders[1] })].Zone {
				t.Fatalf("%d entries: both holders are in one zone", n)
			}
			if n < 4 {
				continue
			}
			after := slices.DeleteFunc(fleet(n+1), func(e relay.Entry) bool { return e.Name == holders[0] })
			if asked := origin.Keepers(k, origin.Candidates(after, nil), "entry-2", origin.Asked); holders[1] != "entry-2" && !slices.Contains(asked, holders[1]) {
				t.Errorf("%d entries: %v hold the record, %v are asked", n, holders, asked)
			}
		}
	}
}

func TestRecordsExpire(t *testing.T) {
	var r origin.Records
	a, b := origin.NewKey("c", "a"), origin.NewKey("c", "b")
	v1, v2 := origin.Origin{Pool: "p", Version: "v1"}, origin.Origin{Pool: "p", Version: "v2"}
	r.Add(0, a, v1)
	r.Add(time.Second, b, v2)
	r.Add(2*time.Second, a, v1)
	r.Expire(12*time.Second, 10*time.Second)
	if got, ok := r.Find(a); !ok || got != v1 {
		t.Errorf("a record that was renewed has expired: %v, %v", got, ok)
	}
	if _, ok := r.Find(b); ok || r.Len() != 1 {
		t.Errorf("%d records left", r.Len())
	}
}

// Guards against a guess: an entry that has just started, or has seen two versions, does not
// know which of them began a stream.
func TestOnlyVersion(t *testing.T) {
	const maxAge = 10 * time.Second
	var v origin.Versions
	check := func(now time.Duration, want string, wantOK bool) {
		t.Helper()
		if got, ok := v.Only(now, maxAge); got != want || ok != wantOK {
			t.Errorf("at %v: %q, %v; want %q, %v", now, got, ok, want, wantOK)
		}
	}
	check(0, "", false)
	v.Note(time.Second, []string{"v1"})
	v.Note(5*time.Second, []string{"v1"})
	check(6*time.Second, "", false)
	v.Note(12*time.Second, []string{"v1"})
	check(12*time.Second, "v1", true)
	v.Note(13*time.Second, []string{"v1", "v2"})
	check(13*time.Second, "", false)
	v.Note(14*time.Second, []string{"v2"})
	v.Note(22*time.Second, []string{"v2"})
	check(22*time.Second, "", false)
	v.Note(24*time.Second, []string{"v2"})
	check(24*time.Second, "v2", true)
}

// Guards against a few keepers that are lost together, and against entries that derive different
// ones.
func TestCandidatesAreNotTooFew(t *testing.T) {
	entries := fleet(30)
	a := origin.Candidates(entries, map[string]bool{"entry-7": true})
	slices.Reverse(entries)
	b := origin.Candidates(entries, map[string]bool{"entry-7": true})
	if len(a) != 8 || a[0].Name != "entry-7" {
		t.Errorf("%d candidates, the first %v", len(a), a[0])
	}
	for _, c := range a {
		if !slices.Contains(b, c) {
			t.Errorf("%v is a candidate for one entry only", c)
		}
	}
}

func BenchmarkKeepers(b *testing.B) {
	candidates := origin.Candidates(fleet(420), nil)
	for i := range b.N {
		origin.Keepers(origin.Key(i), candidates, "entry-1", origin.Copies)
	}
}
