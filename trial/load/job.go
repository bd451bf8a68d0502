// Package load sends requests as callers do, each at its own time whatever
// became of the others, and judges what comes back.
package load

import (
	"encoding/json"
	"net/http"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/engin"
)

// Job is one request to send.
type Job struct {
	// At is when to send it, counted from the start of the run.
	At       time.Duration
	Class    spec.Class
	Customer string
	Bearer   string
	// Ask is the model work; for a plain service Path is set in its place.
	Ask    engin.CompletionRequest
	Method string
	Path   string
	Body   string
	// IdempotencyKey and NonIdempotent go into headers when set.
	IdempotencyKey string
	NonIdempotent  bool
}

// Outcome is what became of a request, as its caller sees it.
type Outcome string

// The outcomes.
const (
	// Complete: the whole answer came and it is the request's own.
	Complete Outcome = "complete"
	// Refused: the caller was told that the request was not run.
	Refused Outcome = "refused"
	// Unknown: the caller was told so, or the answer visibly broke off.
	Unknown Outcome = "unknown"
	// GaveUp: the caller's deadline passed without a final answer.
	GaveUp Outcome = "gave-up"
	// Wrong: the answer looks whole and is not the request's own.
	Wrong Outcome = "wrong"
	// Failed: the caller was told of a mistake of its own.
	Failed Outcome = "failed"
)

// Result is what a caller saw.
type Result struct {
	Job     Job
	Outcome Outcome
	Status  int
	// ID is the request's ID as the answer tells it.
	ID string
	// Sent is when the request was sent, counted from the start of the run.
	Sent time.Duration
	// First is the time to the first token, or the first byte of a whole
	// answer; Total to the last.
	First, Total time.Duration
	// Between is the mean time between two tokens of a stream.
	Between    time.Duration
	RetryAfter time.Duration
	// Tokens counts what arrived.
	Tokens int
	Usage  Usage
	Detail string
}

// Usage is the engine's own account of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Within reports whether the answer met every target of its class.
func (r Result) Within() bool {
	if r.Outcome != Complete {
		return false
	}
	t := r.Job.Class.Target
	return met(t.FirstToken, r.First) && met(t.BetweenTokens, r.Between) && met(t.Complete, r.Total)
}

func met(target spec.Duration, got time.Duration) bool { return target == 0 || got <= target.Std() }

// deadline returns how long the caller waits.
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
	body, err = json.Marshal(j.Ask)
	path = "/v1/completions"
	if len(j.Ask.Messages) > 0 {
		path = "/v1/chat/completions"
	}
	return http.MethodPost, path, body, err
}

// want returns the text that a whole answer must have.
func (j Job) want() string { return engin.AnswerText(j.Ask.PromptText(), j.Ask.AnswerTokens()) }
