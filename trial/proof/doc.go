// Package proof contains end-to-end tests of the system's guarantees under
// faults. The tests run the real programs as processes on loopback, with a
// fault-injecting proxy between the entries and each agent. They compare the
// answers that callers received with the executions that the endpoints recorded.
// docs/PROOF.md lists each guarantee with its tests.
package proof
