// Package plain calls a plain HTTP service, an endpoint that is not a model
// engine.
package plain

import (
	"context"
	"net/http"

	"lycheepond/agent/call"
)

// Service is the client of the plain service that runs beside the agent.
type Service struct {
	base   string
	client *http.Client
}

// New returns a client of the service at base, such as http://127.0.0.1:8000.
func New(base string, client *http.Client) *Service { return &Service{base: base, client: client} }

// Run sends r once and passes the answer to sink.
func (s *Service) Run(ctx context.Context, r *call.Request, sink call.Sink, p *call.Progress) call.Result {
	resp, sent, err := call.Do(ctx, s.client, s.base, r)
	if err != nil {
		return call.Result{Sent: sent, Err: err}
	}
	defer resp.Body.Close()
	res := call.NewResult(resp)
	sink.Head(resp.StatusCode, call.EndToEndHeaders(resp.Header))
	res.Err = call.Copy(ctx, resp.Body, sink, p, nil)
	res.Complete = res.Err == nil
	p.SetTimes(&res.Usage)
	return res
}
