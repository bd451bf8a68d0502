// Package lend moves units of what entries may use together, such as the connections to an endpoint,
// to the entries that need them.
//
// An endpoint accepts a number of connections from all entries together. If each entry had a fixed
// part of them, an entry that gets most of the callers would refuse requests for want of
// connections while the parts of the others rest. Here each entry begins with the same part, its
// base, and entries lend units of their parts to each other: one that runs short says so in its
// report, and each of its peers lends it some of what it has not used lately.
//
// A unit belongs to one entry at a time, because only the entry that has it can lend it, and it
// counts it as lent before the borrower hears of it. The sum over all entries therefore never
// exceeds the sum of the bases, whatever reports are late or lost. Loans are reported as totals
// since the start of the lender, so that a report may be repeated. They end with the process of
// either side.
//
// The package uses no network, clock or random source. A Ledger is owned by one goroutine.
package lend

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// usePeriod is how long the use of a resource is remembered at least; twice as long at most.
	// Entries with a small share of a processor work in bursts a tenth of a second apart.
	usePeriod = 500 * time.Millisecond
	// wantPeriod is the time between two reports that an entry is short of a resource. The loans
	// for the first one arrive within it.
	wantPeriod = 150 * time.Millisecond
	// minWanted is the smallest number of units that an entry asks for. It asks for as many as it
	// has, if that is more.
	minWanted = 4
	// returnPeriod is the time between two returns of units that the borrower does not use, and
	// returnDivisor the part of them that is returned: one in returnDivisor, rounded up.
	returnPeriod  = time.Second
	returnDivisor = 2
	// unlistedPeriod is how long the loans of a resource are kept that is not listed. All entries
	// must forget it, or none, so it is longer than lists differ.
	unlistedPeriod = 10 * time.Second
)

// Loan is what an entry has lent to a peer since its start, or what it has returned: a return is
// a loan in the other direction.
type Loan struct {
	Resource, Peer string
	// PeerIncarnation identifies the process to which the units were lent.
	PeerIncarnation uint64
	// Total is the number of units.
	Total int
}

// Want says that an entry is short of a resource.
type Want struct {
	Resource string
	// Units is how many more units it asks all of its peers for together.
	Units int
}

// Report is what an entry tells its peers. Reports of a peer must be merged in their order.
type Report struct {
	// Incarnation identifies the process of the sender.
	Incarnation uint64
	// Wants holds all that the sender asks for now, Loans those that have changed.
	Wants []Want
	Loans []Loan
}

// Empty reports whether there is nothing to tell.
func (r Report) Empty() bool { return len(r.Wants)+len(r.Loans) == 0 }

// Config holds the settings and dependencies of a Ledger.
type Config struct {
	// Self and Incarnation identify this process.
	Self        string
	Incarnation uint64
	// Base returns the entry's part of a resource without loans, zero if there is no such resource.
	Base func(resource string) int
	// Used returns how many units of a resource are in use.
	Used func(resource string) int
	// Reduce must make sure that the entry takes no more than the given number of units of a
	// resource from now on. It returns how many it still has.
	Reduce func(resource string, units int) int
}

// Ledger holds an entry's loans.
type Ledger struct {
	cfg Config
	// incarnations holds the processes of the peers that have sent a report.
	incarnations map[string]uint64
	accounts     map[string]*account
	returnedAt   time.Duration
}

// account is what the entry knows of a resource.
type account struct {
	// lent and borrowed are totals of the loans to and from each peer. balance is the difference
	// of their sums.
	lent, borrowed map[string]int
	balance        int
	// unreported holds the peers whose loans have changed since the last report.
	unreported map[string]bool
	// peakUse is the largest use since peakSince, previousPeak that in the period before.
	peakUse, previousPeak int
	peakSince             time.Duration
	// isShort is set if a request has found no unit left, at shortAt, since the entry last said so,
	// at wantedAt.
	isShort           bool
	shortAt, wantedAt time.Duration
	// listedAt is when the resource was last listed.
	listedAt time.Duration
}

// New returns the ledger of a process that has lent nothing.
func New(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, incarnations: make(map[string]uint64), accounts: make(map[string]*account)}
}

func (l *Ledger) account(resource string) *account {
	a := l.accounts[resource]
	if a == nil {
		a = &account{lent: make(map[string]int), borrowed: make(map[string]int), unreported: make(map[string]bool), shortAt: math.MinInt64 / 2, wantedAt: math.MinInt64 / 2, listedAt: math.MaxInt64}
		l.accounts[resource] = a
	}
	return a
}

// Units returns how many units of a resource the entry may use: at least one, since a shrinking
// base may leave less than was lent.
func (l *Ledger) Units(resource string) int {
	base := l.cfg.Base(resource)
	if a := l.accounts[resource]; a != nil && base > 0 {
		return max(base+a.balance, 1)
	}
	return base
}

// RecordUse records that the entry uses n units of a resource.
func (l *Ledger) RecordUse(now time.Duration, resource string, n int) {
	a := l.account(resource)
	a.advance(now)
	a.peakUse = max(a.peakUse, n)
}

// advance ends the period of the peak use if it is over.
func (a *account) advance(now time.Duration) {
	switch elapsed := now - a.peakSince; {
	case elapsed < usePeriod:
		return
	case elapsed < 2*usePeriod:
		a.previousPeak = a.peakUse
	default:
		a.previousPeak = 0
	}
	a.peakUse, a.peakSince = 0, now
}

// spare returns how many units of a resource were not used lately, less one.
func (l *Ledger) spare(now time.Duration, resource string, a *account) int {
	a.advance(now)
	return max(l.Units(resource)-max(a.peakUse, a.previousPeak, l.cfg.Used(resource))-1, 0)
}

// release makes sure that the entry takes n units of a resource less from now on. It returns how many
// of them it does not use any more.
func (l *Ledger) release(resource string, n int) int {
	units := l.Units(resource)
	return max(min(n, units-l.cfg.Reduce(resource, units-n)), 0)
}

// RecordShort records that a request found no unit of a resource left.
func (l *Ledger) RecordShort(now time.Duration, resource string) {
	a := l.account(resource)
	a.isShort, a.shortAt = true, now
}

// Report returns what to tell the peers: what the entry is short of and the loans that have
// changed, or all loans if resend is set.
func (l *Ledger) Report(now time.Duration, resend bool) Report {
	r := Report{Incarnation: l.cfg.Incarnation}
	for resource, a := range l.accounts {
		if a.isShort && now-a.wantedAt >= wantPeriod {
			a.isShort, a.wantedAt = false, now
			r.Wants = append(r.Wants, Want{Resource: resource, Units: max(l.Units(resource), minWanted)})
		}
		for peer, total := range a.lent {
			if resend || a.unreported[peer] {
				r.Loans = append(r.Loans, Loan{Resource: resource, Peer: peer, PeerIncarnation: l.incarnations[peer], Total: total})
			}
		}
		clear(a.unreported)
	}
	return r
}

// Merge merges a peer's report except its wants, and returns the resources of which the entry has
// other units than before.
func (l *Ledger) Merge(peer string, r Report) (changed []string) {
	if l.incarnations[peer] != r.Incarnation {
		l.Forget(peer)
		l.incarnations[peer] = r.Incarnation
	}
	for _, loan := range r.Loans {
		if loan.Peer != l.cfg.Self || loan.PeerIncarnation != l.cfg.Incarnation {
			continue
		}
		a := l.account(loan.Resource)
		a.balance += loan.Total - a.borrowed[peer]
		a.borrowed[peer] = loan.Total
		changed = append(changed, loan.Resource)
	}
	return changed
}

// Lend lends a peer what it wants of a resource, as far as this entry has not used its units lately,
// and returns the number of units. peers is how many peers the want has reached.
func (l *Ledger) Lend(now time.Duration, peer string, w Want, peers int) int {
	if l.cfg.Base(w.Resource) <= 0 {
		return 0
	}
	a, peers := l.account(w.Resource), max(peers, 1)
	n := min(l.spare(now, w.Resource, a), (w.Units+peers-1)/peers)
	if n > 0 {
		n = l.release(w.Resource, n)
	}
	if n > 0 {
		a.lend(peer, n)
	}
	return n
}

func (a *account) lend(peer string, n int) {
	a.lent[peer] += n
	a.balance -= n
	a.unreported[peer] = true
}

// Return returns to the peers a part of the borrowed units that were not used lately. It does so once
// every returnPeriod; calls in between have no effect.
func (l *Ledger) Return(now time.Duration) {
	if now-l.returnedAt < returnPeriod {
		return
	}
	l.returnedAt = now
	for resource, a := range l.accounts {
		n := min(a.balance, (l.spare(now, resource, a)+returnDivisor-1)/returnDivisor)
		if n <= 0 || now-a.shortAt < returnPeriod {
			continue
		}
		n = l.release(resource, n)
		for _, peer := range slices.Sorted(maps.Keys(a.borrowed)) {
			if part := min(a.borrowed[peer]-a.lent[peer], n); part > 0 {
				a.lend(peer, part)
				n -= part
			}
		}
	}
}

// Forget ends the loans to and from a peer whose process has ended.
func (l *Ledger) Forget(peer string) {
	delete(l.incarnations, peer)
	for _, a := range l.accounts {
		a.balance += a.lent[peer] - a.borrowed[peer]
		delete(a.lent, peer)
		delete(a.borrowed, peer)
		delete(a.unreported, peer)
	}
}

// Peers returns the peers that have sent a report.
func (l *Ledger) Peers() []string { return slices.Collect(maps.Keys(l.incarnations)) }

// Retain forgets the resources that have not been listed for a while.
func (l *Ledger) Retain(now time.Duration, isListed func(resource string) bool) {
	maps.DeleteFunc(l.accounts, func(resource string, a *account) bool {
		if isListed(resource) {
			a.listedAt = now
		}
		return now-a.listedAt > unlistedPeriod
	})
}
