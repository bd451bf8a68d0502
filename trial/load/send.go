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

// The headers between callers and entries.
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
	saidComplete = "complete"
	saidNotRun   = "not-run"
	saidUnknown  = "unknown"
)

// Caller sends requests to entries, the next one each time, and passes over an
// entry that refuses the connection as a balancer does.
type Caller struct {
	// Trust takes an answer without an outcome header for what its body is, for
	// the baselines, which know no such header.
	Trust bool

	client  *http.Client
	targets []string
}

const maxConns = 4096

// NewCaller returns a caller of the given addresses.
func NewCaller(targets []string) *Caller {
	t := &http.Transport{
		MaxIdleConns: maxConns, MaxIdleConnsPerHost: maxConns, IdleConnTimeout: time.Minute,
		DisableCompression: true,
	}
	return &Caller{client: &http.Client{Transport: t}, targets: targets}
}

// slack is how much longer than its deadline a caller listens, so that an
// answer that is sent at the deadline still reaches it.
const slack = 300 * time.Millisecond

// Send sends one job, first to target n modulo their number, and waits for its
// end.
func (c *Caller) Send(ctx context.Context, n int, j Job) Result {
	ctx, stop := context.WithTimeout(ctx, j.deadline()+slack)
	defer stop()
	r := Result{Job: j}
	start := time.Now()
	resp, err := c.do(ctx, n, j)
	if err != nil {
		r.Total = time.Since(start)
		r.Outcome, r.Detail = lost(ctx), err.Error()
		return r
	}
	defer resp.Body.Close()
	r.Status, r.ID = resp.StatusCode, resp.Header.Get(headerID)
	c.read(ctx, &r, resp, start)
	r.Total = time.Since(start)
	return r
}

// lost is the outcome of a call whose answer broke off.
func lost(ctx context.Context) Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return GaveUp
	}
	return Unknown
}

func (c *Caller) do(ctx context.Context, n int, j Job) (*http.Response, error) {
	method, path, body, err := j.request()
	if err != nil {
		return nil, err
	}
	for i := range c.targets {
		url := "http://" + c.targets[(n+i)%len(c.targets)] + path
		var req *http.Request
		req, err = http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		// The transport must not send a request again by itself when a kept
		// connection breaks: whether it ran is for the caller to find out.
		req.GetBody = nil
		j.header(req.Header)
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

func (j Job) header(h http.Header) {
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

func (c *Caller) read(ctx context.Context, r *Result, resp *http.Response, start time.Time) {
	if resp.StatusCode != http.StatusOK {
		refusal(r, resp)
		return
	}
	if r.Job.Path == "" && r.Job.Ask.Stream {
		c.stream(ctx, r, resp, start)
		return
	}
	b, err := io.ReadAll(resp.Body)
	r.First = time.Since(start)
	if err != nil {
		r.Outcome, r.Detail = lost(ctx), err.Error()
		return
	}
	said := c.said(resp.Header.Get(headerOutcome))
	if r.Job.Path != "" {
		r.conclude(said, echoes(r.Job, b))
		return
	}
	r.conclude(said, r.whole(b))
}

// said returns the outcome that an answer claims.
func (c *Caller) said(header string) string {
	if header == "" && c.Trust {
		return saidComplete
	}
	return header
}

// conclude sets the outcome from what the answer claims and whether it is
// right.
func (r *Result) conclude(said string, right bool) {
	switch {
	case said == saidComplete && right:
		r.Outcome = Complete
	case said == saidComplete:
		r.Outcome = Wrong
	case said == saidNotRun:
		r.Outcome = Refused
	default:
		r.Outcome, r.Detail = Unknown, "the answer says "+strconv.Quote(said)
	}
}

func echoes(j Job, body []byte) bool {
	var e plain.Echo
	if json.Unmarshal(body, &e) != nil {
		return false
	}
	sum := sha256.Sum256([]byte(j.Body))
	return e.Digest == hex.EncodeToString(sum[:]) && e.Method == j.Method
}

type refused struct {
	Error struct {
		Type         string `json:"type"`
		Message      string `json:"message"`
		Outcome      string `json:"outcome"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

func refusal(r *Result, resp *http.Response) {
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		r.Outcome, r.Detail = Unknown, err.Error()
		return
	}
	var body refused
	r.Detail = string(bytes.TrimSpace(b))
	if json.Unmarshal(b, &body) == nil {
		r.RetryAfter = time.Duration(body.Error.RetryAfterMS) * time.Millisecond
	}
	said := resp.Header.Get(headerOutcome)
	switch {
	case said == saidUnknown:
		r.Outcome = Unknown
	case said != saidNotRun:
		// Neither complete nor a truthful refusal: the caller can't tell.
		r.Outcome = Unknown
	case resp.StatusCode >= 500 || resp.StatusCode == http.StatusTooManyRequests:
		r.Outcome = Refused
	default:
		r.Outcome = Failed
	}
}
