package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"lycheepond/trial/plain"
)

// The headers that callers and entries exchange.
const (
	headerClass         = "Lychee-Class"
	headerID            = "Lychee-Request-Id"
	headerOutcome       = "Lychee-Outcome"
	headerKey           = "Idempotency-Key"
	headerNonIdempotent = "Lychee-Non-Idempotent"
	headerDeadline      = "Lychee-Deadline"
)

// The values of the outcome header.
const (
	outcomeComplete = "complete"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
)

// Caller sends requests to several addresses in round-robin order. Like a load
// balancer, it continues with the next address if one accepts no connection. It is
// safe for concurrent use once its fields are set.
type Caller struct {
	// AssumeComplete treats an answer without an outcome header as one that
	// claims to be complete. The baselines and the engines don't set the header.
	AssumeComplete bool

	client *http.Client
	addrs  []string
}

// maxIdleConns bounds the idle connections, in total and to each address.
const maxIdleConns = 4096

// NewCaller returns a caller that sends to the given addresses, as host:port.
func NewCaller(addrs []string) *Caller {
	t := &http.Transport{
		MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute,
		DisableCompression: true,
	}
	return &Caller{client: &http.Client{Transport: t}, addrs: addrs}
}

// deadlineGrace is how long a caller waits beyond its deadline, so that an answer
// sent right at the deadline still reaches it.
const deadlineGrace = 300 * time.Millisecond

// Send sends one job and waits for the end of its answer. It starts at the address
// with index n modulo the number of addresses.
func (c *Caller) Send(ctx context.Context, n int, j Job) Result {
	ctx, stop := context.WithTimeout(ctx, j.deadline()+deadlineGrace)
	defer stop()
	r := Result{Job: j}
	start := time.Now()
	resp, err := c.sendWithFailover(ctx, n, j)
	if err != nil {
		r.TotalTime = time.Since(start)
		r.Outcome, r.Detail = interruptedOutcome(ctx), err.Error()
		return r
	}
	defer resp.Body.Close()
	r.Status, r.ID = resp.StatusCode, resp.Header.Get(headerID)
	c.readAnswer(ctx, &r, resp, start)
	r.TotalTime = time.Since(start)
	return r
}

// interruptedOutcome returns the outcome of a request whose answer broke off or
// never arrived: GaveUp if the deadline of ctx passed, else Unknown.
func interruptedOutcome(ctx context.Context) Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return GaveUp
	}
	return Unknown
}

// sendWithFailover sends the request to the addresses in turn, starting at index
// n, until one accepts the connection. A request that reached an address is not
// sent to another one.
func (c *Caller) sendWithFailover(ctx context.Context, n int, j Job) (*http.Response, error) {
	method, path, body, err := j.request()
	if err != nil {
		return nil, err
	}
	for i := range c.addrs {
		url := "http://" + c.addrs[(n+i)%len(c.addrs)] + path
		var req *http.Request
		req, err = http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		// Without GetBody the transport doesn't resend the request when a reused
		// connection breaks. The caller must learn that the request may have run.
		req.GetBody = nil
		j.setHeaders(req.Header)
		var resp *http.Response
		if resp, err = c.client.Do(req); err == nil {
			return resp, nil
		}
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			return nil, err
		}
	}
	return nil, err
}

// setHeaders sets the headers of the job's request.
func (j Job) setHeaders(h http.Header) {
	h.Set("Authorization", "Bearer "+j.Bearer)
	h.Set("Content-Type", "application/json")
	if j.Class.Name != "" {
		h.Set(headerClass, j.Class.Name)
		h.Set(headerDeadline, j.deadline().String())
	}
	if j.IdempotencyKey != "" {
		h.Set(headerKey, j.IdempotencyKey)
	}
	if j.NonIdempotent {
		h.Set(headerNonIdempotent, "true")
	}
}

// readAnswer reads the answer to its end and sets the outcome of r from it.
func (c *Caller) readAnswer(ctx context.Context, r *Result, resp *http.Response, start time.Time) {
	if resp.StatusCode != http.StatusOK {
		readRefusal(r, resp)
		return
	}
	if r.Job.Path == "" && r.Job.ModelRequest.Stream {
		c.readStream(ctx, r, resp, start)
		return
	}
	b, err := io.ReadAll(resp.Body)
	r.TimeToFirstToken = time.Since(start)
	if err != nil {
		r.Outcome, r.Detail = interruptedOutcome(ctx), err.Error()
		return
	}
	claimedOutcome := c.claimedOutcome(resp.Header.Get(headerOutcome))
	if r.Job.Path != "" {
		r.setOutcome(claimedOutcome, isEchoOf(r.Job, b))
		return
	}
	r.setOutcome(claimedOutcome, r.parseWholeAnswer(b))
}

// claimedOutcome returns the outcome that an answer claims, given the value of
// its outcome header.
func (c *Caller) claimedOutcome(header string) string {
	if header == "" && c.AssumeComplete {
		return outcomeComplete
	}
	return header
}

// setOutcome sets the outcome from the claimed one and from whether the content
// of the answer is correct.
func (r *Result) setOutcome(claimedOutcome string, isCorrect bool) {
	switch {
	case claimedOutcome == outcomeComplete && isCorrect:
		r.Outcome = Complete
	case claimedOutcome == outcomeComplete:
		r.Outcome = Wrong
	case claimedOutcome == outcomeNotRun:
		r.Outcome = Refused
	default:
		r.Outcome, r.Detail = Unknown, "the answer says "+strconv.Quote(claimedOutcome)
	}
}

// isEchoOf reports whether body is the answer of a plain service to j.
func isEchoOf(j Job, body []byte) bool {
	var e plain.Echo
	if json.Unmarshal(body, &e) != nil {
		return false
	}
	sum := sha256.Sum256([]byte(j.Body))
	return e.Digest == hex.EncodeToString(sum[:]) && e.Method == j.Method
}

// errorBody is the body of an answer whose status isn't 200.
type errorBody struct {
	Error struct {
		Type         string `json:"type"`
		Message      string `json:"message"`
		Outcome      string `json:"outcome"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// readRefusal reads an answer whose status isn't 200 and sets the outcome of r.
func readRefusal(r *Result, resp *http.Response) {
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		r.Outcome, r.Detail = Unknown, err.Error()
		return
	}
	var body errorBody
	r.Detail = string(bytes.TrimSpace(b))
	if json.Unmarshal(b, &body) == nil {
		r.RetryAfter = time.Duration(body.Error.RetryAfterMS) * time.Millisecond
	}
	claimedOutcome := resp.Header.Get(headerOutcome)
	switch {
	case claimedOutcome == outcomeUnknown:
		r.Outcome = Unknown
	case claimedOutcome != outcomeNotRun:
		// An error answer that doesn't say "not-run" leaves open whether the
		// request ran.
		r.Outcome = Unknown
	case resp.StatusCode >= 500 || resp.StatusCode == http.StatusTooManyRequests:
		r.Outcome = Refused
	default:
		r.Outcome = Failed
	}
}
