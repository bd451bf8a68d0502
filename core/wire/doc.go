// Package wire implements the protocol between lycheepond's own processes:
// length-prefixed frames over TCP whose bodies are msgpack arrays.
//
// An entry offers a request to agents, an agent with free capacity claims it,
// and the entry writes at most one grant:
//
//	entry                         agent
//	  | -- Offer (description) ---> |   queued in front of the endpoint
//	  | <------- Claim ------------ |   the endpoint has a free slot
//	  | -- Grant (body) ----------> |   the only permission to run it
//	  | <-- Head, Chunk..., End --- |   the answer, numbered, with a checksum
//
// A Link is one connection. It has a reader, a writer and bounded queues between
// the senders and the writer. Durations on the wire are relative, in milliseconds
// or microseconds, because the clocks of two instances may differ.
package wire
