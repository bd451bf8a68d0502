package direct

import (
	"net/http"
	"time"

	"lycheepond/core/poison"
	"lycheepond/core/route"
)

// Job is one request of a caller.
type Job struct {
	// ID names the request; the caller chose it.
	ID       string
	Route    *route.Route
	Pool     *route.Pool
	Customer *route.Customer
	// Tier is the rank in force, zero the highest.
	Tier route.Tier
	// Method, Target, Host, Header and Body are what the endpoint gets; Header
	// holds nothing that concerns the caller's connection only.
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Accepted is when the request's head had been read and Deadline when the
	// caller stops waiting.
	Accepted, Deadline time.Time
	// Prompt and Output are tokens, as far as the caller tells them.
	Prompt, Output int
	// Units is what the request counts against the customer's limit.
	Units float64
	// LastEvent is the last event that the caller has seen of the stream.
	LastEvent string
	// fingerprint identifies what it asks for; Serve sets it.
	fingerprint poison.Fingerprint
}

func (j *Job) setFingerprint() {
	customer := ""
	if j.Customer != nil {
		customer = j.Customer.Name
	}
	j.fingerprint = poison.NewFingerprint(j.Method, j.Host, j.Target, customer, j.Body)
}

// due returns when the first event is wanted.
func (j *Job) due() time.Time { return j.Accepted.Add(j.Route.Target) }

// End returns when the request must have its final answer: at the caller's
// deadline or the route's timeout, whichever is first.
func (j *Job) End() time.Time {
	end := j.Accepted.Add(j.Route.Timeout)
	if j.Deadline.Before(end) {
		return j.Deadline
	}
	return end
}

// Sink takes the answer to a job.
type Sink struct {
	// Head writes the status and the headers; length is that of the body, -1
	// if it is not known.
	Head func(status int, h http.Header, length int64)
	// Write writes a part of the body.
	Write func(p []byte) error
	// Flush sends what was written.
	Flush func() error
}

// Outcome is how a job ended.
type Outcome uint8

// The outcomes.
const (
	// Complete means that the endpoint's whole answer was passed on.
	Complete Outcome = iota
	// Limited means refused, as the customer has used up its limit.
	Limited
	// Refused means refused: it has not run and never will.
	Refused
	// Unknown means that it may have run and there is no usable answer.
	Unknown
	// Late means that it was at work when its time was up.
	Late
	// Broken means that the answer ended early after its head was passed on.
	Broken
	// Left means that the caller went away.
	Left
	// Cut means that the entry itself ended the caller's connection.
	Cut
	// Quarantined means refused, as the request crashed endpoints before.
	Quarantined
)

var outcomeNames = [...]string{"complete", "limited", "refused", "unknown", "late", "broken", "left", "cut", "quarantined"}

// String returns the outcome as logs and metrics spell it.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the outcome of a job. Unless it is Complete, Broken, Left or
// Cut nothing was written to the Sink.
type Result struct {
	Outcome Outcome
	// Retry is when a refused caller should come back.
	Retry time.Duration
	// Why tells the cause in a few words, for logs.
	Why string
	// Basis is what the last placement was decided on.
	Basis Basis
}

// Basis is what a placement was decided on, and what came of it.
type Basis struct {
	Endpoint string
	// Predicted and First are the predicted and the real time to the first part
	// of the answer's body, from sending, and Wait is the part of the predicted
	// one that is the wait for a slot.
	Predicted, First, Wait time.Duration
	// Ahead is how many requests of all entries the endpoint had then, Prompt
	// how many prompt tokens it had to read, this request's included.
	Ahead, Prompt int
	// Heard and Known count the entries whose work was in the view.
	Heard, Known int
	// Stood is how long it waited for a place.
	Stood time.Duration
	// Owner is the entry that gave the place, empty if it was this one by what it
	// knows of the others.
	Owner string
	// Age is how old what this entry knew of the endpoint's other requests was.
	Age time.Duration
	// Silent is how long the last byte of the answer was waited for, or had been
	// when the try ended. Bound is the longest wait before the entry may give the
	// try up, zero if it may not.
	Silent, Bound time.Duration
}

// Order is what the endpoint is told of a request beside the caller's headers.
type Order struct {
	Endpoint  string
	Customer  *route.Customer
	Left      time.Duration
	LastEvent string
}

// Meta is what the head of an endpoint's answer says.
type Meta struct {
	// NotRun is set when the endpoint says that it did not run the request.
	NotRun bool
	// WrongEndpoint is set when another endpoint has the address now.
	WrongEndpoint bool
	// Signed is set when the answer carries the endpoint's signature.
	Signed bool
	// Slots is how many requests the endpoint serves at once; zero if it does not
	// say.
	Slots int
	// Load is how many requests the endpoint has, running and waiting; zero if it
	// does not say.
	Load int
	// Limited is set if the endpoint states a limit, Limit, in requests a second from all
	// entries together.
	Limited bool
	Limit   float64
}
