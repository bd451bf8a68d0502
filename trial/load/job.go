// Package load generates open-loop load: it sends each request at its scheduled
// time, even if earlier requests have not ended, and checks the answers.
package load

import (
	"encoding/json"
	"net/http"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/simeng"
)

// Job is one request to send and when to send it.
type Job struct {
	// SendAt is when to send the request, counted from the start of the run.
	SendAt   time.Duration
	Class    spec.Class
	Customer string
	Bearer   string
	// ModelRequest is a request to a model. It is ignored if Path is set.
	ModelRequest simeng.CompletionRequest
	// Method, Path and Body make up a request to a plain service. It is sent if
	// Path is set.
	Method string
	Path   string
	Body   string
	// IdempotencyKey and NonIdempotent are sent as headers if they are set.
	IdempotencyKey string
	NonIdempotent  bool
}

// Outcome is how a request ended from its caller's point of view.
type Outcome string

// The outcomes of a request.
const (
	// Complete means that the whole answer arrived and belongs to the request.
	Complete Outcome = "complete"
	// Refused means that the answer says that the request was not run.
	Refused Outcome = "refused"
	// Unknown means that the request may have run: the answer says so, says
	// nothing about it, or broke off before its end.
	Unknown Outcome = "unknown"
	// GaveUp means that the caller's deadline passed before the answer ended.
	GaveUp Outcome = "gave-up"
	// Wrong means that the answer claims to be complete, but its content isn't
	// the one that the request must get.
	Wrong Outcome = "wrong"
	// Failed means that the request was rejected because of a mistake of the
	// caller.
	Failed Outcome = "failed"
)

// Result is what a caller observed of one request.
type Result struct {
	Job     Job
	Outcome Outcome
	// Status is the HTTP status, 0 if no answer arrived.
	Status int
	// ID is the request ID from the answer's header.
	ID string
	// SentAt is when the request was sent, counted from the start of the run.
	SentAt time.Duration
	// TimeToFirstToken runs from sending the request to the first token of a
	// stream, or to the end of an answer that is not streamed. TotalTime runs to
	// the end of the answer.
	TimeToFirstToken, TotalTime time.Duration
	// TokenInterval is the mean time between two tokens of a stream.
	TokenInterval time.Duration
	// RetryAfter is the wait that a refusal asks for.
	RetryAfter time.Duration
	// Tokens is the number of tokens that arrived.
	Tokens int
	Usage  Usage
	// Detail is the error, or the body of an error answer, if there is one.
	Detail string
}

// Usage holds the token counts that the engine reports with an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// MetTargets reports whether the answer is complete and met every latency
// target of its class.
func (r Result) MetTargets() bool {
	if r.Outcome != Complete {
		return false
	}
	t := r.Job.Class.Target
	return meets(t.FirstToken, r.TimeToFirstToken) && meets(t.BetweenTokens, r.TokenInterval) && meets(t.Complete, r.TotalTime)
}

// meets reports whether elapsed is within target. A zero target is always met.
func meets(target spec.Duration, elapsed time.Duration) bool {
	return target == 0 || elapsed <= target.Std()
}

// deadline returns how long the caller waits for the end of the answer: the
// deadline of the class, or the default.
func (j Job) deadline() time.Duration {
	if d := j.Class.Deadline.Std(); d > 0 {
		return d
	}
	return spec.DefaultDeadline
}

// request returns the method, path and body to send.
func (j Job) request() (method, path string, body []byte, err error) {
	if j.Path != "" {
		return j.Method, j.Path, []byte(j.Body), nil
	}
	body, err = json.Marshal(j.ModelRequest)
	path = "/v1/completions"
	if len(j.ModelRequest.Messages) > 0 {
		path = "/v1/chat/completions"
	}
	return http.MethodPost, path, body, err
}

// expectedText returns the text that a complete answer must have.
func (j Job) expectedText() string {
	return simeng.AnswerText(j.ModelRequest.PromptText(), j.ModelRequest.AnswerTokens())
}
