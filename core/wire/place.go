package wire

// PlaceAsk asks the entry that owns a shard of a pool's endpoints for a place at one
// of them.
type PlaceAsk struct {
	_msgpack struct{} `msgpack:",as_array"`
	// ID is the sender's number of the request, never used twice over one link.
	ID   uint64
	Pool string
	// Zone and Part name the shard.
	Zone string
	Part uint16
	// Customer and Route are the request's tier.
	Customer, Route int
	// TargetUS is the request's target, DueUS what is left of it and LeftUS the time
	// until the answer must be complete, in microseconds.
	TargetUS, DueUS, LeftUS int64
	// Prompt and Output are tokens.
	Prompt, Output uint32
	// Stand is set if the request may wait for a slot.
	Stand bool
}

// PlaceAck answers a PlaceAsk. From then on the place is the sender's until a
// PlaceNote ends it.
type PlaceAck struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       uint64
	// Known is not set if the receiver could not decide: it lacks the pool, or the
	// shard is empty there.
	Known bool
	// Endpoint is empty for a refusal. Addr and Slots are the endpoint's in the
	// instance list of revision Roster.
	Endpoint, Addr string
	Slots          int
	Roster         int64
	// Why is the reason of a refusal, RetryUS when there should be room and TurnUS
	// how long it takes until a slot is free for the next request.
	Why             uint8
	RetryUS, TurnUS int64
	// FirstUS is the predicted time to the first event, WaitUS the part of it that
	// is the wait for a slot and StoodUS how long the request has waited.
	FirstUS, WaitUS, StoodUS int64
	// Ahead is how many requests the endpoint had, Prompt how many prompt tokens it
	// had to read, this request's included. Free is set if it had a free slot.
	Ahead, Prompt uint32
	Free          bool
}

// The ways in which a PlaceNote ends a place. Values from PlaceResult on are a
// trust.Result and PlaceResult.
const (
	PlaceOpen uint8 = iota
	// PlaceDropped ends it without a verdict on the endpoint.
	PlaceDropped
	// PlaceDeclined means that the endpoint did not run the request.
	PlaceDeclined
	// PlaceMoved means that the endpoint's address belongs to another one.
	PlaceMoved
	PlaceResult
)

// PlaceNote tells an owner what has become of a request since the last one.
type PlaceNote struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       uint64
	// Tokens is the output that has come.
	Tokens uint32
	// End is PlaceOpen while the request goes on.
	End uint8
	// Load is how many requests the endpoint said that it has when it declined;
	// zero if it did not say.
	Load uint32
}

// Kind returns KindPlaceAsk.
func (*PlaceAsk) Kind() Kind { return KindPlaceAsk }

// Kind returns KindPlaceAck.
func (*PlaceAck) Kind() Kind { return KindPlaceAck }

// Kind returns KindPlaceNote.
func (*PlaceNote) Kind() Kind { return KindPlaceNote }
