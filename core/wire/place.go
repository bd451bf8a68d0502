package wire

// PlaceRequest asks the entry that owns a shard of a pool's endpoints to place a
// request at one of them.
type PlaceRequest struct {
	_msgpack struct{} `msgpack:",as_array"`
	// ID is the sender's number of the request. It is never used twice on one link.
	ID   uint64
	Pool string
	// Zone and ShardIndex identify the shard.
	Zone       string
	ShardIndex uint16
	// CustomerTier and RouteTier are the request's tier.
	CustomerTier, RouteTier int
	// TargetUS is the request's target, TargetLeftUS the time left until the target
	// and DeadlineLeftUS the time left until the answer must be complete, in
	// microseconds.
	TargetUS, TargetLeftUS, DeadlineLeftUS int64
	// PromptTokens and OutputTokens are the request's expected token counts.
	PromptTokens, OutputTokens uint32
	// MayQueue is set if the request may wait for a slot.
	MayQueue bool
}

// PlaceReply answers a PlaceRequest. The placement then belongs to the sender of the
// request until a PlaceReport ends it.
type PlaceReply struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       uint64
	// Decided is false if the receiver could not decide, because it does not know the
	// pool or because its shard is empty.
	Decided bool
	// Endpoint is empty for a refusal. Addr and Slots are the endpoint's address and
	// number of slots in the instance list of revision RosterRevision.
	Endpoint, Addr string
	Slots          int
	RosterRevision int64
	// RefusalReason is the reason of a refusal, an admit.Reason. RetryAfterUS is the
	// expected time until the request can be accepted, and SlotIntervalUS the time
	// until a slot is free for the next request, in microseconds.
	RefusalReason                uint8
	RetryAfterUS, SlotIntervalUS int64
	// FirstEventUS is the predicted time to the first event, WaitUS the part of it
	// spent waiting for a slot and QueuedUS the time for which the request has
	// already waited, in microseconds.
	FirstEventUS, WaitUS, QueuedUS int64
	// RequestsAhead is the number of requests that the endpoint had, and PromptTokens
	// the number of prompt tokens that it had to process, including this request's.
	// HadFreeSlot is set if the endpoint had a free slot.
	RequestsAhead, PromptTokens uint32
	HadFreeSlot                 bool
}

// The values of PlaceReport.Outcome. Values from PlaceResult on are the sum of
// PlaceResult and a health.Result.
const (
	// PlaceOpen means that the request is still running.
	PlaceOpen uint8 = iota
	// PlaceDropped ends the placement without a result for the endpoint.
	PlaceDropped
	// PlaceDeclined means that the endpoint did not run the request.
	PlaceDeclined
	// PlaceMoved means that the endpoint's address now belongs to another endpoint.
	PlaceMoved
	// PlaceResult is added to the health.Result of a finished request.
	PlaceResult
)

// PlaceReport reports the progress or the end of a placed request to the owner of the
// shard.
type PlaceReport struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       uint64
	// OutputTokens is the number of output tokens so far.
	OutputTokens uint32
	// Outcome is PlaceOpen while the request is running.
	Outcome uint8
	// EndpointRequests is the number of requests that the endpoint stated when it
	// declined; zero if it stated none.
	EndpointRequests uint32
}

// Kind returns KindPlaceRequest.
func (*PlaceRequest) Kind() Kind { return KindPlaceRequest }

// Kind returns KindPlaceReply.
func (*PlaceReply) Kind() Kind { return KindPlaceReply }

// Kind returns KindPlaceReport.
func (*PlaceReport) Kind() Kind { return KindPlaceReport }
