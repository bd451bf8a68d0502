package wire

import "github.com/vmihailenco/msgpack/v5"

// Tally is the state report that entries send to each other several times a second.
// Its values for customers and endpoints are totals, so a tally that arrives twice or
// not at all does no harm.
type Tally struct {
	// Addr is the sender's link address; only full tallies must contain it.
	Addr string
	// ConfigRevision and RosterRevision are the revisions of the configuration and of
	// the instance list in force at the sender, numbered as in package eras.
	ConfigRevision, RosterRevision int64
	// Customers holds the customers whose total changed.
	Customers []CustomerUsage
	// Endpoints holds the endpoints at which the sender's in-flight requests changed.
	Endpoints []EndpointLoad
	// Entries lists the other entries that the sender knows.
	Entries []EntryAddr
	// Seq numbers the sender's tallies. Full is set in a tally that contains the
	// complete state as of Seq; any other contains the changes since the previous
	// tally.
	Seq  uint64
	Full bool
	// MissingFrom names the entries from which the sender has not received every
	// tally. These entries then send their tallies to it directly.
	MissingFrom []string
	// Queues holds the tiers of pools in which the number of the sender's queued
	// requests changed.
	Queues []TierQueue
	// UptimeMS is how long the sender had been running when it sent the tally, in
	// milliseconds. It shows the tally's transit time. Zero means unknown.
	UptimeMS uint64
	// Freshness holds the lists for which the sender has new evidence that it has the
	// newest revision.
	Freshness []Freshness
	// Capacity is the work that the sender can carry, in thousandths of a core; zero
	// means unknown.
	Capacity uint32
	// Suspects holds requests that may have crashed endpoints.
	Suspects []Suspect
	// Limits holds endpoints whose rate limit, or the sender's use of it, changed.
	Limits []Limit
	// Rollouts holds the rollouts whose state or counts changed.
	Rollouts []Rollout
	// Leaving holds endpoints that stated in answers to the sender that they are
	// leaving.
	Leaving []LeavingEndpoint
	// Rests holds the rests that endpoints have asked the sender for, if they changed.
	Rests []Rest
	// ConfigAhead is the operator's version of the configuration in force at the sender
	// if the platform held an older one at ConfigRevision, otherwise zero.
	ConfigAhead int64
	// Parts holds parts of prompts that may have crashed endpoints.
	Parts []SuspectPart
	// Lending is nil unless the sender has something to tell about what entries use together.
	Lending *Lending
}

// HasChanges reports whether the tally contains anything besides the information that
// its sender is alive.
func (t *Tally) HasChanges() bool {
	return len(t.Customers)+len(t.Endpoints)+len(t.Queues)+len(t.Freshness)+len(t.Suspects)+len(t.Limits)+len(t.Rollouts)+len(t.Leaving)+len(t.Rests)+len(t.Parts) > 0 || t.Lending != nil
}

// Suspect is the sender's report on a request that may have crashed endpoints. Its
// times are ages in milliseconds when the tally was sent.
type Suspect struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Fingerprint identifies the request.
	Fingerprint []byte
	// CompletedAgoMS is the age of the last completion, or negative if the request
	// never completed.
	CompletedAgoMS int64
	Crashes        []Crash
	// QuarantinedAgoMS is the age of the beginning of the last quarantine,
	// QuarantineLeftMS its remaining time and Quarantines the number of quarantines.
	QuarantinedAgoMS, QuarantineLeftMS uint32
	Quarantines                        uint16
	// ProbedAgoMS is the age of a probe that has no outcome yet, or negative if there
	// is none. ProbeAborted is set if the last probe did not run.
	ProbedAgoMS  int64
	ProbeAborted bool
}

// SuspectPart is the sender's report on a part of prompts, as one customer sends it.
type SuspectPart struct {
	_msgpack struct{} `msgpack:",as_array"`
	Customer string
	Part     string
	// Suspect has no fingerprint. Its completion is that of a request with the part that got
	// past its beginning.
	Suspect Suspect
}

// Crash is a crash of an endpoint while the suspect request was running on it.
type Crash struct {
	_msgpack struct{} `msgpack:",as_array"`
	Endpoint string
	AgeMS    uint32
}

// Freshness states how current a list is: the revision in force at the sender, as
// stated in the same tally, contains every change made up to AgeMS milliseconds
// before the tally was sent.
type Freshness struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Content is SnapshotConfig or SnapshotRoster.
	Content uint8
	AgeMS   uint32
	// RefreshID identifies the lookup at the platform that is the evidence. Entries
	// with the same evidence derive the same refresh order from it.
	RefreshID uint32
}

// Limit is the sender's report on the rate limit of an endpoint.
type Limit struct {
	_msgpack struct{} `msgpack:",as_array"`
	Endpoint string
	// RequestsPerSecond is valid if Limited is set. AgeMS is the age in milliseconds,
	// when the tally was sent, of the answer that stated the limit.
	RequestsPerSecond float64
	Limited           bool
	AgeMS             uint32
	// SentTotal is the number of requests that the sender has sent to the endpoint
	// under a limit since it started.
	SentTotal float64
}

// Rollout is the sender's report on an order to move a pool to another version. A
// Rollout without a pool states that the sender knows all orders.
type Rollout struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Pool, Target string
	// DurationMS is the duration that the operator gave for the rollout, and AgeMS the
	// age of the order when the tally was sent, in milliseconds.
	DurationMS, AgeMS uint32
	// Created is the platform's revision of the pool's first order of this name, and
	// Revision a revision at which the platform held this order.
	Created, Revision int64
	// State is a state of core/canary. LeftOldVersion is set if the sender no longer
	// sends requests to the old version.
	State          uint8
	LeftOldVersion bool
	Cells          []RolloutCell
}

// RolloutCell holds the sender's counts of answers, as in core/canary: Answers and
// Failed count answers, FirstCount and FirstLogSum are the number of measured times
// to the first event and the sum of their logarithms relative to the old version's
// median, and TokenCount and TokenLogSum are the same for the time per token.
type RolloutCell struct {
	_msgpack        struct{} `msgpack:",as_array"`
	Epoch           uint16
	Route, Endpoint string
	Answers, Failed uint32
	FirstCount      uint32
	FirstLogSum     float32
	TokenCount      uint32
	TokenLogSum     float32
}

// LeavingEndpoint is an endpoint that is leaving.
type LeavingEndpoint struct {
	_msgpack struct{} `msgpack:",as_array"`
	Endpoint string
	// Incarnation is the start of the endpoint that is leaving, as on the instance
	// list.
	Incarnation int64
}

// Rest is a rest that an endpoint has asked the sender for: it wants no requests from it.
type Rest struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Start identifies a start of an endpoint. LeftMS is what was left of the rest when
	// the tally was sent, in milliseconds.
	Start  string
	LeftMS uint32
}

// Relay forwards the tallies of other entries.
type Relay struct {
	_msgpack struct{} `msgpack:",as_array"`
	Tallies  Tallies
}

// maxTallies is the maximum number of tallies in one Relay: several from each entry
// of a fleet that has ten times the planned number of entries.
const maxTallies = 1 << 14

// Tallies is the list of at most maxTallies tallies of a Relay.
type Tallies []RelayedTally

// DecodeMsgpack reads at most maxTallies tallies and returns an error for a longer
// list.
func (t *Tallies) DecodeMsgpack(d *msgpack.Decoder) error {
	list, err := decodeList[RelayedTally](d, maxTallies)
	*t = list
	return err
}

// RelayedTally is the tally of another entry.
type RelayedTally struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Name, Zone  string
	Incarnation uint64
	// Body is the encoded tally. It is encoded once for all recipients.
	Body []byte
}

// Encode returns the tally as the Body of a RelayedTally.
func (t *Tally) Encode() ([]byte, error) { return msgpack.Marshal(t) }

// Decode returns the tally in Body.
func (r *RelayedTally) Decode() (*Tally, error) {
	t := new(Tally)
	return t, msgpack.Unmarshal(r.Body, t)
}

// CustomerUsage is the total that the sender has admitted for a customer since it
// started.
type CustomerUsage struct {
	_msgpack struct{} `msgpack:",as_array"`
	Customer string
	Total    float64
}

// Lending is the sender's report on what entries use together, as package lend defines it.
type Lending struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Incarnation identifies the sender's process.
	Incarnation uint64
	Wants       []LendingWant
	Loans       []Loan
}

// LendingWant says how many more units of a resource the sender asks all of its peers for.
type LendingWant struct {
	_msgpack struct{} `msgpack:",as_array"`
	Resource string
	Units    uint32
}

// Loan is the total that the sender has lent of a resource to a process of a peer.
type Loan struct {
	_msgpack        struct{} `msgpack:",as_array"`
	Resource, Peer  string
	PeerIncarnation uint64
	Total           uint32
}

// EndpointLoad is the sender's in-flight load at an endpoint.
type EndpointLoad struct {
	_msgpack struct{} `msgpack:",as_array"`
	Endpoint string
	Requests uint32
	// PromptTokens counts the prompt tokens of requests without a first event,
	// OutputTokens the output tokens still expected and MemoryTokens the tokens that
	// occupy the endpoint's memory.
	PromptTokens, OutputTokens, MemoryTokens uint32
}

// TierQueue is the number of requests of one tier of a pool that are queued at the
// sender.
type TierQueue struct {
	_msgpack                struct{} `msgpack:",as_array"`
	Pool                    string
	CustomerTier, RouteTier int
	Requests                uint32
}

// EntryAddr is the name and the link address of an entry.
type EntryAddr struct {
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Addr     string
}

// The values of Snapshot.Content.
const (
	// SnapshotConfig means that the body is the configuration.
	SnapshotConfig uint8 = 1 + iota
	// SnapshotRoster means that the body is the instance list.
	SnapshotRoster
)

// Snapshot carries one complete revision of a list of the platform to an entry that
// may be unable to reach the platform.
type Snapshot struct {
	_msgpack struct{} `msgpack:",as_array"`
	Content  uint8
	Revision int64
	// Body is the list, encoded by the package that defines it.
	Body []byte
}
