// Package wire is the protocol between lycheepond's own processes: length
// prefixed frames over TCP whose bodies are msgpack arrays.
//
// An entry offers a request to agents, an agent with room claims it, and the
// entry writes at most one grant:
//
//	entry                         agent
//	  | -- Offer (description) ---> |   queued in front of the endpoint
//	  | <------- Claim ------------ |   the endpoint has room
//	  | -- Grant (body) ----------> |   the only permission to run it
//	  | <-- Head, Chunk..., End --- |   the answer, numbered and summed
//
// A Link is one connection. It has a reader, a writer and a bounded ring
// between the writer and everyone who sends. Durations on the wire are relative
// milliseconds, because the clocks of two instances need not agree.
package wire
