// Package proof holds the tests of what must always hold: real processes on
// loopback, entries that reach agents through a fault-injecting proxy, judged
// by what callers received and by what the endpoints recorded as executed.
// docs/PROOF.md lists each promise with its tests.
package proof
