// Package bound finds how many requests an endpoint may have in flight.
//
// The load it answers is any that exceeds an endpoint. Engines admit whatever
// arrives: beyond what one runs at its target pace, requests wait in the
// engine's own queue, where no tier counts, every answer becomes slower than
// its target, and a full KV memory makes the engine throw prefill away and
// compute it again. How much is too much differs by generation and changes
// every night, so it is found, and found again, from what is seen:
//
//   - the times to the first token and between tokens against the targets of
//     the classes, or, without a target, against the endpoint's own best;
//   - a queue inside the endpoint, which its report shows;
//   - the share of KV memory in use, against the tokens in flight;
//   - the endpoint's usual pace, against which it may suddenly be slow.
//
// The bound grows like a congestion window, half again each round until first
// held back, then by one a round, and shrinks by as much as the target was
// missed.
//
// Long work leaves some places to short work. Otherwise long jobs fill every
// place sooner or later, because they leave it so seldom, and a lookup waits
// for a draft to end.
//
// Grounds of the figures: the share of late samples that the search holds,
// 3 in 100, leaves room below the 5 in 100 that the targets allow. The others
// were chosen with the tests' small model of an engine; docs/design/decisions.md
// has what was measured.
package bound
