package wire

import (
	"time"

	"lycheepond/core/ident"
)

// Version is the protocol version that a Hello carries.
const Version = 1

// Message is one frame's content.
type Message interface {
	// Kind returns the type byte of the message.
	Kind() Kind
}

// Role tells what a process is.
type Role uint8

// The roles of processes that speak this protocol.
const (
	RoleEntry Role = 1 + iota
	RoleAgent
	RoleOperator
)

// Hello opens a link in both directions.
type Hello struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Version     uint16
	Role        Role
	Name        string
	Zone        string
	Incarnation uint64
	// Nonce is fresh for each connection; the peer's Proof is made over it.
	Nonce []byte
	// IdleMS is the longest silence, in milliseconds, that the sender keeps and
	// allows on a link without work. The shorter one of both ends holds; zero
	// is the heartbeat.
	IdleMS uint32
}

// Idle returns IdleMS as a duration.
func (h *Hello) Idle() time.Duration { return time.Duration(h.IdleMS) * time.Millisecond }

// Proof shows that the sender holds the fleet's key.
type Proof struct {
	_msgpack struct{} `msgpack:",as_array"`
	MAC      []byte
}

// Load is what an agent says of its endpoint. It rides on messages that flow
// anyway, so that it costs no message of its own on a busy link.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"`
	// InFlight counts requests handed to the endpoint and not finished.
	InFlight uint16
	// Bound is the number of requests in flight that the agent now allows.
	Bound uint16
	// Queued counts offers that wait in front of the endpoint.
	Queued uint16
	// QueuedCost is the estimated work of the queue in milliseconds of the
	// endpoint at its present pace.
	QueuedCost uint32
	// Running has bit t set while a request of tier t is in flight.
	Running uint8
	// Waiting has bit t set while an offer of tier t is queued or claimed.
	Waiting uint8
	// Level is the shed level in force here: no work of a tier above it is
	// taken or started.
	Level uint8
	// Leaving is set from the moment that a planned stop begins.
	Leaving bool
	// Slow is set while the endpoint is far below its own usual pace.
	Slow bool
}

// Beat is the heartbeat of an idle link, in both directions. Any other message
// counts as a heartbeat too.
type Beat struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Load is meaningful when an agent sends the beat.
	Load Load
	// Leaving is set by an entry that is stopping.
	Leaving bool
	// Config is the newest configuration version in force at the sender.
	Config int64
	// Model and Version are what the agent's endpoint serves; empty when it is
	// unknown or was told before over this link.
	Model, Version string
}

// Offer describes a request to an agent that may claim it. It carries neither
// the body nor the permission to run.
type Offer struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
	Pool     string
	Customer string
	Class    string
	Tier     uint8
	// Model is empty for a plain service.
	Model string
	// PromptTokens and OutputTokens are estimates.
	PromptTokens uint32
	OutputTokens uint32
	// CostMS estimates the time that the request occupies its place in the
	// endpoint, in milliseconds.
	CostMS uint32
	// WaitedMS is how long the request has waited since it was accepted.
	WaitedMS uint32
	// FirstMS is the class's target for the first byte, BetweenMS between two
	// tokens and CompleteMS for the whole answer, each counted from
	// acceptance. Zero means no target.
	FirstMS    uint32
	BetweenMS  uint32
	CompleteMS uint32
	// DeadlineMS is the time left until the caller gives up.
	DeadlineMS uint32
	// Repeatable is set when the request may be cancelled at any time and run
	// again. Only the caller can say so.
	Repeatable bool
	// Cancellable is set when the request may be cancelled once nobody waits
	// for its answer any more.
	Cancellable bool
	// Key is the hash of customer and idempotency key, empty without one. Only
	// the key's home agent is offered a keyed request.
	Key []byte
	// KeyMade is when the key was made in Unix milliseconds, zero if the key
	// does not tell.
	KeyMade int64
	// Digest is the hash of the request, to notice a key used twice.
	Digest uint64
	// Epoch is the epoch of the pool's homes under which the entry chose the
	// home.
	Epoch int64
}

// Withdraw takes an offer back that was granted elsewhere or given up.
type Withdraw struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
}

// Claim asks for the permission to run an offered request.
type Claim struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
	Load     Load
}

// Field is one header of a request or an answer.
type Field struct {
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Value    string
}

// Grant is the permission to run a request, with all that is needed to run it.
// At most one Grant is ever written for an ID.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
	Method   string
	Path     string
	Header   Fields
	Body     []byte
	Stream   bool
}

// Deny answers a claim that came too late. The agent forgets the offer.
type Deny struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
}

// Reason tells why a request came back or ended.
type Reason uint8

// The reasons of Return, End and Cancel.
const (
	ReasonNone Reason = iota
	// ReasonLeaving: the agent or its endpoint is stopping.
	ReasonLeaving
	// ReasonDisplaced: work of a higher tier took the place.
	ReasonDisplaced
	// ReasonFull: the agent's queue is full.
	ReasonFull
	// ReasonShed: the shed level excludes the tier.
	ReasonShed
	// ReasonNotHome: the agent is not the key's home under the offer's epoch.
	ReasonNotHome
	// ReasonNoLease: the agent's lease on its keys has run out.
	ReasonNoLease
	// ReasonNeverGranted: an Attach named a request whose grant never came;
	// the agent has put a tombstone on the ID and will not run it.
	ReasonNeverGranted
	// ReasonUnreachable: the endpoint refused the connection. In a Return nothing was sent,
	// in an End the endpoint has crashed during the run.
	ReasonUnreachable
	// ReasonBroken: the endpoint's answer broke off.
	ReasonBroken
	// ReasonCancelled: the request was cancelled while running.
	ReasonCancelled
	// ReasonForgotten: the agent does not know what became of the request.
	ReasonForgotten
	// ReasonDeadline: the caller's deadline passed.
	ReasonDeadline
	// ReasonCallerGone: the caller hung up.
	ReasonCallerGone
	// ReasonTooLong: the answer outgrew what can be kept.
	ReasonTooLong
)

// Return gives a request back that certainly was not run here and, because the
// agent keeps a tombstone on the ID, never will be.
type Return struct {
	_msgpack     struct{} `msgpack:",as_array"`
	ID           ident.ID
	Reason       Reason
	RetryAfterMS uint32
	Load         Load
}

// KeyState is what a home agent knows of an idempotency key.
type KeyState uint8

// The states of a key in Known.
const (
	// KeyJoined: the key's first request runs or has finished here; its answer
	// follows as Head, Chunk and End under the new request's ID.
	KeyJoined KeyState = 1 + iota
	// KeyUnknown: the record may be lost; the request is not run.
	KeyUnknown
	// KeyMismatch: the key was used with another request.
	KeyMismatch
	// KeyForgotAnswer: the first request ran to its end but its answer is no
	// longer kept.
	KeyForgotAnswer
)

// Known answers the offer of a keyed request that must not run again.
type Known struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
	// First is the ID of the request that ran under the key.
	First ident.ID
	State KeyState
}

// Head is the beginning of an answer.
type Head struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
	Status   uint16
	Header   Fields
}

// Chunk is the Seq-th piece of an answer's body, counted from zero.
type Chunk struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
	Seq      uint32
	Data     []byte
}

// Usage is what an engine says that an answer cost.
type Usage struct {
	_msgpack     struct{} `msgpack:",as_array"`
	PromptTokens uint32
	CachedTokens uint32
	OutputTokens uint32
	// FirstMS is the time from the endpoint's acceptance to its first byte and
	// TotalMS to its last.
	FirstMS uint32
	TotalMS uint32
}

// End closes an answer. The sums let the entry tell a whole answer from a
// truncated one.
type End struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
	Chunks   uint32
	Bytes    uint64
	// CRC is the CRC-32C of the body.
	CRC uint32
	// Whole is set when the endpoint itself finished the answer.
	Whole  bool
	Reason Reason
	Usage  Usage
	Load   Load
}

// Cancel stops a request: an offer is forgotten, a running request is
// cancelled at the endpoint.
type Cancel struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
	Reason   Reason
}

// Attach asks, after a broken link, for the rest of a granted request's answer
// from chunk Next on.
type Attach struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
	Next     uint32
	// Stream lets a new incarnation of the agent resume the request at an
	// engine that can.
	Stream bool
	// Agent is the incarnation of the agent whose link the grant was written
	// to. Another incarnation cannot know that the grant never came, so it
	// never answers with ReasonNeverGranted. Zero means not told.
	Agent uint64
}

// Level tells an agent the shed level of its pool.
type Level struct {
	_msgpack struct{} `msgpack:",as_array"`
	Pool     string
	Level    uint8
	// HoldMS is how long the level stays in force unless repeated.
	HoldMS uint32
}

// News carries one object of the platform to a process that does not watch it.
type News struct {
	_msgpack struct{} `msgpack:",as_array"`
	Object   string
	Name     string
	Version  int64
	Gone     bool
	Data     []byte
}

// LeaseAsk asks an entry how fresh its knowledge of a pool's homes is, or, if
// Pool is AssignPrefix and a model, of that model's assignments.
type LeaseAsk struct {
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint32
	Pool     string
}

// AssignPrefix begins the Pool of a LeaseAsk that is about assign/MODEL. The
// Epoch of its LeaseAck is the Epoch inside the object.
const AssignPrefix = "assign/"

// LeaseAck confirms that Epoch was the epoch of the pool's homes AgeMS
// milliseconds before the ask was received. The age counts from the moment
// before the conditional write that showed the epoch was sent; a plain read
// may be answered from the past and confirms nothing.
type LeaseAck struct {
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint32
	Pool     string
	Epoch    int64
	AgeMS    uint32
	// Fresh is false when the entry has no confirmation at all.
	Fresh bool
}

// Fetch asks a peer for every object that it has in force.
type Fetch struct {
	_msgpack struct{} `msgpack:",as_array"`
}

// Fetched ends the News that answer a Fetch.
type Fetched struct {
	_msgpack struct{} `msgpack:",as_array"`
	Version  int64
	Count    uint32
}
