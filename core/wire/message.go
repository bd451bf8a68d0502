package wire

import (
	"time"

	"lycheepond/core/ident"
)

// Version is the protocol version that a Hello states.
const Version = 1

// Message is the content of one frame.
type Message interface {
	// Kind returns the type byte of the message.
	Kind() Kind
}

// Role is the type of a process.
type Role uint8

// The roles of processes that speak this protocol.
const (
	RoleEntry Role = 1 + iota
	RoleAgent
	RoleOperator
)

// Hello is the first message on a link, in both directions.
type Hello struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Version     uint16
	Role        Role
	Name        string
	Zone        string
	Incarnation uint64
	// Nonce is a random number generated for each connection; the peer's Proof covers
	// it.
	Nonce []byte
	// IdleHeartbeatMS is the longest time in milliseconds for which the sender sends
	// nothing, and for which the peer may send nothing, on a link without requests.
	// The lower value of both ends applies; zero means the heartbeat period.
	IdleHeartbeatMS uint32
}

// IdleHeartbeat returns IdleHeartbeatMS as a duration.
func (h *Hello) IdleHeartbeat() time.Duration {
	return time.Duration(h.IdleHeartbeatMS) * time.Millisecond
}

// Proof proves that the sender holds the fleet key.
type Proof struct {
	_msgpack struct{} `msgpack:",as_array"`
	MAC      []byte
}

// Load is the state of an agent and its endpoint. It is part of messages that are
// sent anyway, so it needs no message of its own on a busy link.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"`
	// InFlight is the number of requests sent to the endpoint and not finished.
	InFlight uint16
	// InFlightBound is the number of in-flight requests that the agent allows at
	// present.
	InFlightBound uint16
	// Queued is the number of offers in the queue in front of the endpoint.
	Queued uint16
	// QueuedCostMS is the estimated work of the queue, in milliseconds of the
	// endpoint at its present speed.
	QueuedCostMS uint32
	// RunningTiers has bit t set while a request of tier t is in flight.
	RunningTiers uint8
	// WaitingTiers has bit t set while an offer of tier t is queued or claimed.
	WaitingTiers uint8
	// ShedLevel is the shed level in force at the agent: it accepts and starts no
	// work of a tier above it.
	ShedLevel uint8
	// Leaving is set once a planned stop has begun.
	Leaving bool
	// Slow is set while the endpoint is far below its usual speed.
	Slow bool
}

// Heartbeat is the heartbeat of an idle link, in both directions. Any other message
// counts as a heartbeat too.
type Heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Load is set in an agent's heartbeat.
	Load Load
	// Leaving is set by an entry that is stopping.
	Leaving bool
	// ConfigVersion is the newest configuration version in force at the sender.
	ConfigVersion int64
	// Model and Version are what the agent's endpoint serves. They are empty when
	// unknown, and when this link has carried them before.
	Model, Version string
}

// Offer describes a request to an agent that may claim it. It carries neither the
// body nor the permission to run.
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
	// CostMS is the estimated time in milliseconds for which the request occupies one
	// of the endpoint's slots.
	CostMS uint32
	// WaitedMS is the time in milliseconds since the request was accepted.
	WaitedMS uint32
	// FirstTargetMS is the class's target for the first byte, BetweenTargetMS for the
	// time between two tokens and CompleteTargetMS for the whole answer, in
	// milliseconds. FirstTargetMS and CompleteTargetMS count from acceptance. Zero
	// means no target.
	FirstTargetMS    uint32
	BetweenTargetMS  uint32
	CompleteTargetMS uint32
	// DeadlineMS is the time in milliseconds until the caller gives up.
	DeadlineMS uint32
	// Repeatable is set when the request may be cancelled at any time and run again.
	// Only the caller can decide this.
	Repeatable bool
	// Cancellable is set when the request may be cancelled once no caller waits for
	// its answer.
	Cancellable bool
	// KeyHash is the hash of the customer and the idempotency key, empty for a
	// request without a key. A request with a key is offered only to the key's home
	// agent.
	KeyHash []byte
	// KeyCreatedMS is the time in Unix milliseconds at which the key was created, or
	// zero if the key does not contain it.
	KeyCreatedMS int64
	// Digest is the hash of the request. It detects a key that is used for two
	// different requests.
	Digest uint64
	// Epoch is the epoch of the pool's homes that the entry used to choose the home
	// agent.
	Epoch int64
}

// Withdraw cancels an offer whose request was granted to another agent or given up.
type Withdraw struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
}

// Claim requests the permission to run an offered request.
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

// Grant is the permission to run a request, with everything needed to run it. At most
// one Grant is ever written for an ID.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
	Method   string
	Path     string
	Header   Fields
	Body     []byte
	Stream   bool
}

// Deny rejects a claim that came too late. The agent drops the offer.
type Deny struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
}

// Reason is the reason why a request was returned or ended.
type Reason uint8

// The reasons of Return, End and Cancel.
const (
	ReasonNone Reason = iota
	// ReasonLeaving: the agent or its endpoint is stopping.
	ReasonLeaving
	// ReasonDisplaced: work of a higher tier displaced the request.
	ReasonDisplaced
	// ReasonFull: the agent's queue is full.
	ReasonFull
	// ReasonShed: the shed level excludes the tier.
	ReasonShed
	// ReasonNotHome: the agent is not the key's home under the offer's epoch.
	ReasonNotHome
	// ReasonNoLease: the agent's lease on its keys has run out.
	ReasonNoLease
	// ReasonNeverGranted: an Attach named a request whose grant the agent has not
	// received. The agent has recorded a tombstone for the ID and will not run it.
	ReasonNeverGranted
	// ReasonUnreachable: the endpoint refused the connection. In a Return nothing was
	// sent to it; in an End it crashed during the run.
	ReasonUnreachable
	// ReasonBroken: the endpoint's answer broke off.
	ReasonBroken
	// ReasonCancelled: the request was cancelled while running.
	ReasonCancelled
	// ReasonForgotten: the agent has no record of what happened to the request.
	ReasonForgotten
	// ReasonDeadline: the caller's deadline passed.
	ReasonDeadline
	// ReasonCallerGone: the caller hung up.
	ReasonCallerGone
	// ReasonTooLong: the answer is larger than what can be kept.
	ReasonTooLong
)

// Return hands a request back to the entry. The request certainly did not run at the
// agent, and never will, because the agent keeps a tombstone for its ID.
type Return struct {
	_msgpack     struct{} `msgpack:",as_array"`
	ID           ident.ID
	Reason       Reason
	RetryAfterMS uint32
	Load         Load
}

// KeyState is what a home agent knows about an idempotency key.
type KeyState uint8

// The states of a key in a KeyStatus.
const (
	// KeyJoined: the key's first request is running or has finished at this agent.
	// Its answer follows as Head, Chunk and End under the new request's ID.
	KeyJoined KeyState = 1 + iota
	// KeyUnknown: the record may be lost; the request is not run.
	KeyUnknown
	// KeyMismatch: the key was used with a different request.
	KeyMismatch
	// KeyAnswerDropped: the first request has finished, but its answer is no longer
	// kept.
	KeyAnswerDropped
)

// KeyStatus is the reply to an offer whose request must not run again because of its
// idempotency key.
type KeyStatus struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
	// FirstID is the ID of the request that ran under the key.
	FirstID ident.ID
	State   KeyState
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

// Usage is the cost of an answer as the engine reports it.
type Usage struct {
	_msgpack     struct{} `msgpack:",as_array"`
	PromptTokens uint32
	CachedTokens uint32
	OutputTokens uint32
	// FirstByteMS is the time from the endpoint's acceptance to its first byte and
	// TotalMS to its last byte, in milliseconds.
	FirstByteMS uint32
	TotalMS     uint32
}

// End ends an answer. Its counts and checksum let the entry detect a truncated
// answer.
type End struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
	Chunks   uint32
	Bytes    uint64
	// CRC is the CRC-32C of the body.
	CRC uint32
	// Complete is set when the endpoint itself finished the answer.
	Complete bool
	Reason   Reason
	Usage    Usage
	Load     Load
}

// Cancel cancels a request: the agent drops an offer and cancels a running request at
// the endpoint.
type Cancel struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
	Reason   Reason
}

// Attach requests the rest of a granted request's answer after its link broke, from
// chunk NextSeq on.
type Attach struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       ident.ID
	NextSeq  uint32
	// Stream allows a new incarnation of the agent to resume the request at an engine
	// that can do so.
	Stream bool
	// AgentIncarnation is the incarnation of the agent to which the grant was
	// written. Another incarnation cannot know that the grant never arrived, so it
	// never replies with ReasonNeverGranted. Zero means unknown.
	AgentIncarnation uint64
}

// ShedLevel sets the shed level of an agent's pool.
type ShedLevel struct {
	_msgpack struct{} `msgpack:",as_array"`
	Pool     string
	Level    uint8
	// HoldMS is the time in milliseconds for which the level stays in force unless it
	// is repeated.
	HoldMS uint32
}

// ObjectUpdate carries one object of the platform to a process that does not watch
// the platform.
type ObjectUpdate struct {
	_msgpack   struct{} `msgpack:",as_array"`
	ObjectKind string
	Name       string
	Version    int64
	Deleted    bool
	Data       []byte
}

// LeaseRequest asks an entry how old its knowledge of a pool's homes is. If Pool is
// AssignPrefix and a model, it asks for that model's assignments instead.
type LeaseRequest struct {
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint32
	Pool     string
}

// AssignPrefix is the prefix of Pool in a LeaseRequest for assign/MODEL. The Epoch of
// the LeaseReply is then the Epoch inside that object.
const AssignPrefix = "assign/"

// LeaseReply confirms that Epoch was the epoch of the pool's homes AgeMS milliseconds
// before the request was received. The age counts from the moment before the entry
// sent the conditional write that returned the epoch. A plain read may return an old
// state and confirms nothing.
type LeaseReply struct {
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint32
	Pool     string
	Epoch    int64
	AgeMS    uint32
	// Confirmed is false when the entry has no confirmation at all.
	Confirmed bool
}

// Fetch requests every object that is in force at a peer.
type Fetch struct {
	_msgpack struct{} `msgpack:",as_array"`
}

// FetchDone ends the ObjectUpdate messages that answer a Fetch. Version is the
// version up to which the sender knows every object, and Count is the number of
// messages.
type FetchDone struct {
	_msgpack struct{} `msgpack:",as_array"`
	Version  int64
	Count    uint32
}
