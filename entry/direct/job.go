package direct

import (
	"net/http"
	"time"

	"lycheepond/core/poison"
	"lycheepond/core/resv"
	"lycheepond/core/route"
	"lycheepond/entry/hop"
)

// Job is one request of a caller.
type Job struct {
	// ID identifies the request; the caller chose it.
	ID       string
	Route    *route.Route
	Pool     *route.Pool
	Customer *route.Customer
	// Tier is the tier in force; the zero value is the highest.
	Tier route.Tier
	// Method, Target, Host, Header and Body are sent to the endpoint. Header holds nothing
	// that concerns only the caller's connection.
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AcceptedAt is when the head of the request had been read, Deadline when the caller stops
	// waiting.
	AcceptedAt, Deadline time.Time
	// PromptTokens and OutputTokens are token counts, as far as the caller states them.
	PromptTokens, OutputTokens int
	// Parts holds the IDs of the parts of the prompt that other requests may share, without
	// repetitions.
	Parts []string
	// Units is what the request counts against the customer's limit.
	Units float64
	// LastEventID is the ID of the last stream event that the caller has seen.
	LastEventID string
	// BeganAs is the ID of the request that brought the first event of the stream that this job
	// takes up after LastEventID; empty if the caller does not say.
	BeganAs string
	// version is the version at which the job must run; Serve sets it.
	version boundVersion
	// suspect identifies what the request asks for; Serve sets it.
	suspect poison.Request
	// returnKey is the part of the fingerprint by which the caller is recognised when it
	// returns, zero if it is not known. firstAt is the time of the caller's first attempt, set
	// if the owner of a shard has recognised it.
	returnKey uint64
	firstAt   time.Time
	// share is the customer's share of the shard that decided last about the job.
	share jobShare
	// customerLeft is what was left of the customer's limit after the job was charged or refused,
	// and reachableEntries and knownEntries what the limit was divided by; charge sets them.
	customerLeft                   float64
	reachableEntries, knownEntries int
}

func (j *Job) setSuspect() {
	customer := j.customerName()
	j.suspect = poison.NewRequest(poison.NewFingerprint(j.Method, j.Host, j.Target, customer, j.Body), customer, j.Parts)
	j.setReturnKey()
}

// maxLoggedParts bounds how many parts of a prompt a line names.
const maxLoggedParts = 16

// loggedParts returns the parts of the prompt that lines about the job name.
func (j *Job) loggedParts() []string { return j.Parts[:min(len(j.Parts), maxLoggedParts)] }

// firstEventDue returns the time by which the first event should arrive to meet the route's
// target, which counts from the caller's first attempt if that is known.
func (j *Job) firstEventDue() time.Time {
	if !j.firstAt.IsZero() {
		return j.firstAt.Add(j.Route.Target)
	}
	return j.AcceptedAt.Add(j.Route.Target)
}

// End returns the time by which the request must have its final answer: the caller's deadline
// or the end of the route's timeout, whichever comes first.
func (j *Job) End() time.Time {
	end := j.AcceptedAt.Add(j.Route.Timeout)
	if j.Deadline.Before(end) {
		return j.Deadline
	}
	return end
}

// Sink receives the answer to a job.
type Sink struct {
	// Head writes the status and the headers; length is the length of the body in bytes, -1 if
	// it is not known.
	Head func(status int, h http.Header, length int64)
	// Write writes a part of the body.
	Write func(p []byte) error
	// Flush sends what was written.
	Flush func() error
	// Abort makes the write in progress and all later ones fail. It may be called while another
	// function of the sink runs.
	Abort func()
}

// Outcome is how a job ended.
type Outcome uint8

// The outcomes of a job.
const (
	// Complete means that the endpoint's whole answer was forwarded.
	Complete Outcome = iota
	// Limited means that the job was refused because the customer has used up its limit.
	Limited
	// Refused means that the job was refused: it has not run and never will.
	Refused
	// Unknown means that the job may have run and there is no usable answer.
	Unknown
	// TimedOut means that the job was running when its time was up.
	TimedOut
	// Broken means that the answer ended early after its head was forwarded.
	Broken
	// CallerLeft means that the caller ended the connection.
	CallerLeft
	// ClosedByEntry means that the entry itself ended the caller's connection.
	ClosedByEntry
	// Quarantined means that the job was refused because the request crashed endpoints before.
	Quarantined
)

var outcomeNames = [...]string{"complete", "limited", "refused", "unknown", "late", "broken", "left", "cut", "quarantined"}

// String returns the outcome as logs and metrics spell it.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the result of a job. Nothing was written to the Sink unless the outcome is
// Complete, Broken, CallerLeft or ClosedByEntry.
type Result struct {
	Outcome Outcome
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
	// RefusedUntilRetry is set if every earlier retry would be refused too. Otherwise
	// RetryAfter is an estimate, and a caller with little time left may return earlier.
	RefusedUntilRetry bool
	// Reason describes the cause in a few words, for logs.
	Reason string
	// Culprit is the fingerprint of what is quarantined: the request or a part of its prompt. It
	// is zero unless Outcome is Quarantined.
	Culprit poison.Fingerprint
	// Placement describes the last placement.
	Placement Placement
}

// Placement describes what a placement was based on and how it turned out.
type Placement struct {
	Endpoint string
	// Version is the version of the endpoint's software.
	Version string
	// PredictedFirst and TimeToFirst are the predicted and the actual time from the sending of
	// the request to the first part of the answer's body. PredictedWait is the part of
	// PredictedFirst that is the wait for a slot.
	PredictedFirst, TimeToFirst, PredictedWait time.Duration
	// RequestsAhead is how many requests of all entries the endpoint had, PromptTokensAhead
	// how many prompt tokens it had to process, including those of this request.
	RequestsAhead, PromptTokensAhead int
	// ReachableEntries and KnownEntries are the counts of Config.EntryCounts when the
	// placement was made.
	ReachableEntries, KnownEntries int
	// QueuedFor is how long the request was queued, Held the part of it spent as late work.
	QueuedFor, Held time.Duration
	// Plan is what the caller of a refused request is told about its return. Returned is the
	// time since the first attempt of a caller that was recognised, zero for any other.
	Plan     resv.Plan
	Returned time.Duration
	// Owner is the entry that granted the placement; empty if this entry decided, from what it
	// knows of the others.
	Owner string
	// PeerReportAge is how old this entry's knowledge of the peers' requests at the endpoint
	// was.
	PeerReportAge time.Duration
	// Slowdown is the factor by which predictions for the endpoint were scaled, at least one;
	// zero if the endpoint had stated nothing.
	Slowdown float64
	// Silence is how long the last read of the answer waited for data, or had waited when the
	// attempt ended. SilenceBound is the longest wait before the entry may give up the
	// attempt, zero if it may not.
	Silence, SilenceBound time.Duration
	// ConnWait is how long the request waited for a connection.
	ConnWait time.Duration
	// Connections is how many connections this entry had to the endpoint when none was left for
	// the request, ConnectionLimit how many it could have. Both are zero unless none was left.
	Connections, ConnectionLimit int
	// Framing is the framing of the last answer. UnfinishedBytes is the size of the unfinished
	// event with which it ended, if it was a stream.
	Framing         hop.Framing
	UnfinishedBytes int
}

// AttemptInfo is what the endpoint gets to know about an attempt in addition to the caller's
// headers. Config.StampHeaders turns it into headers.
type AttemptInfo struct {
	Endpoint    string
	Customer    *route.Customer
	TimeLeft    time.Duration
	LastEventID string
}

// Meta is what the head of an endpoint's answer says.
type Meta struct {
	// NotRun is set if the endpoint says that it did not run the request.
	NotRun bool
	// WrongEndpoint is set if another endpoint has the address now.
	WrongEndpoint bool
	// HasRest is set if the endpoint has turned the request away and asks for a rest: to get
	// no requests from this entry for the time Rest.
	HasRest bool
	Rest    time.Duration
	// Leaving is set if the endpoint says that it is leaving.
	Leaving bool
	// Signed is set if the answer carries the endpoint's signature.
	Signed bool
	// Slots is how many requests the endpoint serves at once; zero if it does not
	// say.
	Slots int
	// Requests is how many requests the endpoint has, running and waiting; zero if it does not
	// say. Waiting is how many of them wait.
	Requests, Waiting int
	// SlowdownPercent is how long work takes at the endpoint at this moment, in hundredths of
	// the usual time; zero if it does not say.
	SlowdownPercent int
	// LoadRejected is set if what the endpoint says of its load is not valid.
	LoadRejected bool
	// HasRateLimit is set if the endpoint states a limit. RateLimit is that limit, in requests
	// per second from all entries together.
	HasRateLimit bool
	RateLimit    float64
}
