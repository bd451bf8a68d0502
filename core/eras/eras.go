// Package eras orders the revisions of a store that may come back with an older copy.
//
// A store numbers its changes with revisions that only rise, until it loses some of them and
// comes back with a copy from before. Then it gives revisions out again. It counts how often
// this has happened, in an era that rises by one each time. Within one era a higher revision
// is newer; across eras the later era is. Everything that compares revisions uses the numbers
// of this package, which put the era before the revision. A store that does not state its era
// is in era 0, where the numbers are the store's own revisions.
//
// The package uses no network, clock or random source.
package eras

// revisionsPerEra is the number of revisions that an era has room for. As a power of ten it
// keeps era and revision readable in logs: 2000000000017 is revision 17 of era 2.
const revisionsPerEra = 1_000_000_000_000

// MaxEra is the highest era whose revisions can be numbered.
const MaxEra = 1<<63/revisionsPerEra - 1

// Join returns the number of a revision in an era, both at least zero.
func Join(era, revision int64) int64 {
	return min(era, MaxEra)*revisionsPerEra + min(revision, revisionsPerEra-1)
}

// Era returns the era of a number.
func Era(number int64) int64 { return number / revisionsPerEra }

// Revision returns the store's own revision of a number.
func Revision(number int64) int64 { return number % revisionsPerEra }
