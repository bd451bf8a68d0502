// Package call sends a request to an endpoint over HTTP and never sends it twice.
package call

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"lycheepond/core/ident"
	"lycheepond/core/rest"
	"lycheepond/core/strict"
	"lycheepond/core/wire"
)

// IDHeader carries the request ID to the endpoint.
const IDHeader = "X-Request-Id"

// Request is one HTTP request to an endpoint.
type Request struct {
	ID     ident.ID
	Method string
	Path   string
	Header []wire.Field
	Body   []byte
	Stream bool
	// Guard is checked before the first byte is written; it may be nil.
	Guard *Guard
}

// Sink receives an answer as it arrives.
type Sink struct {
	// Head is called once, before the first Chunk.
	Head func(status int, header []wire.Field)
	// Chunk receives the next chunk and owns its data. It may block; an error
	// ends the call.
	Chunk func(ctx context.Context, data []byte) error
}

// Result is the outcome of a call.
type Result struct {
	// Sent is false only when it is certain that no byte reached the endpoint.
	Sent bool
	// Complete is set when the endpoint finished the answer.
	Complete bool
	// Status is the HTTP status of the answer, zero if no answer arrived.
	Status int
	// HasRest is set if the endpoint turned the request away and asks for a rest:
	// to get no requests for the time Rest.
	HasRest bool
	Rest    time.Duration
	Usage   wire.Usage
	// Err is the reason why the answer is incomplete.
	Err error
	// Crashed is set if the endpoint accepted no connection after its answer
	// had broken off.
	Crashed bool
}

// NewResult returns the result of a call whose response has begun to arrive.
func NewResult(resp *http.Response) Result {
	res := Result{Sent: true, Status: resp.StatusCode}
	if resp.StatusCode == http.StatusServiceUnavailable {
		res.Rest, res.HasRest = rest.Parse(resp.Header.Get("Retry-After"), time.Now())
	}
	return res
}

// Progress is the state of a running call. Other goroutines may read it while
// the call runs. Times are in nanoseconds since the start of the call; zero
// means that nothing has arrived yet.
type Progress struct {
	// Tokens counts the chunks that have arrived. In a stream each chunk is one
	// event, which carries one token.
	Tokens atomic.Int64
	// FirstNS and LastNS are the arrival times of the first and the last chunk.
	FirstNS, LastNS atomic.Int64
	start           time.Time
}

// NewProgress returns the progress of a call that starts now.
func NewProgress() *Progress { return &Progress{start: time.Now()} }

// RecordChunk records the arrival of a chunk.
func (p *Progress) RecordChunk() {
	elapsed := time.Since(p.start).Nanoseconds()
	p.FirstNS.CompareAndSwap(0, elapsed)
	p.LastNS.Store(elapsed)
	p.Tokens.Add(1)
}

// SetTimes sets the time to the first byte and the total time in u.
func (p *Progress) SetTimes(u *wire.Usage) {
	u.FirstByteMS = uint32(p.FirstNS.Load() / int64(time.Millisecond))
	u.TotalMS = uint32(time.Since(p.start).Milliseconds())
}

// MeanInterval returns the mean time between two chunks so far, or zero before
// the second chunk.
func (p *Progress) MeanInterval() time.Duration {
	n := p.Tokens.Load()
	if n < 2 {
		return 0
	}
	return time.Duration((p.LastNS.Load() - p.FirstNS.Load()) / (n - 1))
}

// NewClient returns an HTTP client that opens a new connection for each call. When
// an endpoint closes a reused connection, net/http sends the request again if it
// has an Idempotency-Key or an idempotent method. The endpoint could then run
// the request twice, and the agent would not know.
func NewClient() *http.Client {
	return &http.Client{
		Transport: strict.New(&http.Transport{
			DialContext: Dial, DisableKeepAlives: true, DisableCompression: true, Proxy: nil,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

const dialTimeout = 2 * time.Second

// ErrUnreachable reports that no connection to the endpoint could be opened.
var ErrUnreachable = errors.New("call: endpoint unreachable: check that it runs and that endpoint.address names it")

// Do sends r to base and returns the response. sent is false only if certainly no
// byte reached the endpoint: the request could not be built, no connection was
// opened, or the guard stopped the request. If no connection was opened, the error
// wraps ErrUnreachable.
func Do(ctx context.Context, client *http.Client, base string, r *Request) (resp *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(r.Guard.NewContext(ctx), trace)
	req, err := http.NewRequestWithContext(ctx, r.Method, base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, false, err
	}
	req.GetBody = nil
	for _, f := range r.Header {
		if !isHopByHop(f.Name) {
			req.Header.Add(f.Name, f.Value)
		}
	}
	req.Header.Set(IDHeader, r.ID.String())
	resp, err = client.Do(req)
	if err != nil && r.Guard.Blocked() {
		return nil, false, err
	}
	if err != nil && !connected.Load() {
		return nil, false, errors.Join(ErrUnreachable, err)
	}
	return resp, true, err
}

func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length":
		return true
	}
	return false
}

// EndToEndHeaders returns the response headers that are passed on to the caller:
// all but the hop-by-hop headers.
func EndToEndHeaders(h http.Header) []wire.Field {
	out := make([]wire.Field, 0, len(h))
	for name, values := range h {
		if isHopByHop(name) {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Field{Name: name, Value: v})
		}
	}
	return out
}
