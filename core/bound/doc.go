// Package bound determines how many requests an endpoint may have in flight.
//
// It is designed for load that exceeds what an endpoint can run. Engines admit
// whatever arrives. Beyond the number of requests that an engine can run within
// its targets, requests wait in the engine's own queue, which ignores tiers,
// every answer becomes slower than its target, and full KV memory makes the
// engine discard prefill work and compute it again. How many requests are too
// many differs between hardware generations and changes every night, so the
// bound is adjusted continuously from these observations:
//
//   - the times to the first token and between tokens, compared with the
//     targets of the classes or, without a target, with the best times of the
//     endpoint itself;
//   - a queue inside the endpoint, according to its reports;
//   - the share of the KV memory in use, compared with the tokens in flight;
//   - the present pace of the endpoint, compared with its usual pace, to detect a
//     sudden slowdown.
//
// The bound grows like a congestion window: by up to a half in each round until
// it is first limited, then by one in each round. It shrinks in proportion to
// how far the target was missed.
//
// Long work leaves some slots free for short work. Long requests release their
// slots so rarely that they would sooner or later occupy all of them, and a
// lookup would wait for a draft to end.
//
// The search keeps the share of late samples at 3 in 100, which is below the 5
// in 100 that the targets allow. Measurements are in docs/design/decisions.md.
package bound
