// Package plain calls a plain service.
package plain

import (
	"context"
	"net/http"

	"lycheepond/agent/call"
)

// Service is one plain service beside the agent.
type Service struct {
	base string
	http *http.Client
}

// New returns the service at base, such as http://127.0.0.1:8000.
func New(base string, hc *http.Client) *Service { return &Service{base: base, http: hc} }

// Run sends r once and gives the answer to sink.
func (s *Service) Run(ctx context.Context, r *call.Request, sink call.Sink, p *call.Progress) call.Result {
	resp, sent, err := call.Do(ctx, s.http, s.base, r)
	if err != nil {
		return call.Result{Sent: sent, Err: err}
	}
	defer resp.Body.Close()
	res := call.Result{Sent: true, Status: resp.StatusCode}
	sink.Head(resp.StatusCode, call.Fields(resp.Header))
	res.Err = call.Copy(ctx, resp.Body, sink, p, nil)
	res.Whole = res.Err == nil
	p.Fill(&res.Usage)
	return res
}
