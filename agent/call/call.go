// Package call sends one request to an endpoint over HTTP, exactly once.
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
	"lycheepond/core/wire"
)

// IDHeader carries the request ID to the endpoint.
const IDHeader = "X-Request-Id"

// Request is what an endpoint is asked.
type Request struct {
	ID     ident.ID
	Method string
	Path   string
	Header []wire.Field
	Body   []byte
	Stream bool
	// Guard is asked before the first byte is written; it may be nil.
	Guard *Guard
}

// Sink takes in an answer as it comes.
type Sink struct {
	// Head is called once, before the first Chunk.
	Head func(status int, header []wire.Field)
	// Chunk takes in the next piece, which it owns. It may wait; an error ends
	// the call.
	Chunk func(ctx context.Context, data []byte) error
}

// Result tells how a call ended.
type Result struct {
	// Sent is false only when certainly no byte reached the endpoint.
	Sent bool
	// Whole is set when the endpoint finished the answer itself.
	Whole bool
	// Status is the answer's HTTP status, zero if none came.
	Status int
	Usage  wire.Usage
	// Err says why the answer is not whole.
	Err error
	// Crashed is set if the endpoint accepted no connections after its answer broke off.
	Crashed bool
}

// Progress is what another goroutine may read of a call under way. Times are
// in nanoseconds since the call began; zero means not yet.
type Progress struct {
	// Tokens counts the events of a stream.
	Tokens atomic.Int64
	// First and Last are the times of the first and the last piece.
	First, Last atomic.Int64
	begun       time.Time
}

// NewProgress returns the progress of a call that begins now.
func NewProgress() *Progress { return &Progress{begun: time.Now()} }

// Mark notes that a piece came.
func (p *Progress) Mark() {
	at := time.Since(p.begun).Nanoseconds()
	p.First.CompareAndSwap(0, at)
	p.Last.Store(at)
	p.Tokens.Add(1)
}

// Fill sets the times of u.
func (p *Progress) Fill(u *wire.Usage) {
	u.FirstByteMS = uint32(p.First.Load() / int64(time.Millisecond))
	u.TotalMS = uint32(time.Since(p.begun).Milliseconds())
}

// Between returns the mean time between two pieces so far.
func (p *Progress) Between() time.Duration {
	n := p.Tokens.Load()
	if n < 2 {
		return 0
	}
	return time.Duration((p.Last.Load() - p.First.Load()) / (n - 1))
}

// Client returns an HTTP client for calls. Each call has its own connection: on
// a kept one that the endpoint closes, net/http sends a request again when it
// holds an Idempotency-Key or a method that may be repeated, and the endpoint
// would then have run it twice without a trace here.
func Client() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: Dial, DisableKeepAlives: true, DisableCompression: true, Proxy: nil,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

const dialTimeout = 2 * time.Second

// ErrUnreachable reports an endpoint that took no connection.
var ErrUnreachable = errors.New("call: endpoint unreachable: check that it runs and that endpoint.address names it")

// Do sends r to base and returns the response. sent is false only when no
// connection came about.
func Do(ctx context.Context, hc *http.Client, base string, r *Request) (resp *http.Response, sent bool, err error) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }}
	ctx = httptrace.WithClientTrace(r.Guard.With(ctx), trace)
	req, err := http.NewRequestWithContext(ctx, r.Method, base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, false, err
	}
	req.GetBody = nil
	for _, f := range r.Header {
		if !hopByHop(f.Name) {
			req.Header.Add(f.Name, f.Value)
		}
	}
	req.Header.Set(IDHeader, r.ID.String())
	resp, err = hc.Do(req)
	if err != nil && r.Guard.Blocked() {
		return nil, false, err
	}
	if err != nil && !wrote.Load() {
		return nil, false, errors.Join(ErrUnreachable, err)
	}
	return resp, true, err
}

func hopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length":
		return true
	}
	return false
}

// Fields returns the headers of an answer that belong to the caller.
func Fields(h http.Header) []wire.Field {
	out := make([]wire.Field, 0, len(h))
	for name, values := range h {
		if hopByHop(name) {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Field{Name: name, Value: v})
		}
	}
	return out
}
