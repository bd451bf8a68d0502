package wire

import "github.com/vmihailenco/msgpack/v5"

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
	// Fingerprint identifies the request by its content, alike for all attempts of a
	// caller; zero if the sender is of an older version. Customer is the name of the
	// customer, empty if there is none.
	Fingerprint uint64
	Customer    string
	// SilenceLeftUS is the time in microseconds after which the caller leaves unless
	// the answer has begun; zero if it is not known.
	SilenceLeftUS int64
}

// PlaceHold tells the sender of a PlaceRequest that its request waits for a slot for
// longer than its target. The PlaceReply follows.
type PlaceHold struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       uint64
	// MaxWaitUS is the time in microseconds after which the request is refused.
	MaxWaitUS int64
}

// PlaceBookings tells the new owner of a shard which of the sender's refused callers
// the previous owner expects back.
type PlaceBookings struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Pool       string
	Zone       string
	ShardIndex uint16
	Bookings   Bookings
}

// MaxBookings is the maximum number of bookings of one PlaceBookings: as many as an entry
// keeps.
const MaxBookings = 1024

// Bookings is a list of at most MaxBookings bookings.
type Bookings []Booking

// DecodeMsgpack reads at most MaxBookings bookings and returns an error for a longer list.
func (b *Bookings) DecodeMsgpack(d *msgpack.Decoder) error {
	list, err := decodeList[Booking](d, MaxBookings)
	*b = list
	return err
}

// Booking is a refused request that is expected to come back. Times are in microseconds
// relative to the sending of the message.
type Booking struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Fingerprint uint64
	// CustomerTier and RouteTier are the request's tier.
	CustomerTier, RouteTier int
	// AcceptedAgoUS is the time since the first attempt, DueUS the time until the caller
	// is expected, negative if that has passed. TargetUS is the request's target,
	// DeadlineLeftUS the time until the caller's deadline.
	AcceptedAgoUS, DueUS, TargetUS, DeadlineLeftUS int64
	// Plan is the resv.Plan that the caller was told.
	Plan uint8
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
	// Plan is the resv.Plan of a refused request, zero if there is none.
	Plan uint8
	// FirstAgoUS is the time since the first attempt of a caller that was recognised, in
	// microseconds; zero for any other.
	FirstAgoUS int64
	// Incarnation is the endpoint's in the instance list.
	Incarnation int64
	// SlowdownPercent is how long the owner expects work to take at the endpoint at this
	// moment, in hundredths of the usual time; zero if the owner is of an older version, which
	// takes no StatedLoad.
	SlowdownPercent uint32
	// Share and ShareDue are, for a refused request, the customer's part of the work that was
	// placed in its tier and its part by weight. ShareDue is zero if room is not shared.
	Share, ShareDue float32
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
	// Load is what the endpoint stated of its load in the head of its answer. A report
	// with Load and PlaceOpen says only that: no output has come yet.
	Load *StatedLoad
}

// StatedLoad is what an endpoint states of its load in the head of an answer.
type StatedLoad struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Running, Waiting and Slots are numbers of requests.
	Running, Waiting, Slots uint32
	// SlowdownPercent is how long work takes at the endpoint at this moment, in hundredths of
	// the usual time; zero if it is not stated.
	SlowdownPercent uint32
}

// Kind returns KindPlaceRequest.
func (*PlaceRequest) Kind() Kind { return KindPlaceRequest }

// Kind returns KindPlaceReply.
func (*PlaceReply) Kind() Kind { return KindPlaceReply }

// Kind returns KindPlaceHold.
func (*PlaceHold) Kind() Kind { return KindPlaceHold }

// Kind returns KindPlaceBookings.
func (*PlaceBookings) Kind() Kind { return KindPlaceBookings }

// Kind returns KindPlaceReport.
func (*PlaceReport) Kind() Kind { return KindPlaceReport }
