package direct

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/drain"
	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

// errLeaving reports that a request was placed at an endpoint before it was known to be
// leaving.
var errLeaving = errors.New("direct: the endpoint is leaving: send the request to another one")

// start identifies the process of the endpoint.
func (e *endpoint) start() drain.Start {
	return drain.Start{Endpoint: e.ID, Incarnation: e.Incarnation}
}

// mergeLeaving merges a peer's reports on endpoints that are leaving. The caller holds d.mu.
func (d *Director) mergeLeaving(peer string, reports []wire.LeavingEndpoint) {
	for _, r := range reports {
		if s := (drain.Start{Endpoint: r.Endpoint, Incarnation: r.Incarnation}); d.view.leaving.Merge(s) {
			d.applyLeaving(s, peer)
		}
	}
}

// applyLeaving takes an endpoint that has stated that it is leaving out of service. peer is
// the entry that reported it, empty if an answer to this one stated it. The caller holds d.mu.
func (d *Director) applyLeaving(s drain.Start, peer string) {
	logs.Info(d.cfg.Log, logs.EventEndpointLeaving, zap.String("endpoint", s.Endpoint), zap.Int64("born", s.Incarnation), zap.String("peer", peer))
	d.cfg.Metrics.Counter("endpoints_leaving").Inc(1)
	e := d.view.endpoints[s.Endpoint]
	if e == nil || e.Leaving || !d.view.leaving.IsLeaving(e.start()) {
		return
	}
	e.Leaving = true
	d.view.updateVersions(d.sinceStart(time.Now()))
	d.view.assignAllEndpoints()
	d.dispatchAllQueued()
}

// leavingReports returns the reports on endpoints that are leaving for a tally: the new ones,
// and with resend also those that a new peer needs. The caller holds d.mu.
func (d *Director) leavingReports(resend bool) []wire.LeavingEndpoint {
	var out []wire.LeavingEndpoint
	for _, s := range d.view.leaving.Reports(resend) {
		out = append(out, wire.LeavingEndpoint{Endpoint: s.Endpoint, Incarnation: s.Incarnation})
	}
	return out
}
