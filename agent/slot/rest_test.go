package slot

import (
	"testing"
	"time"

	"lycheepond/agent/call"
	"lycheepond/core/wire"
)

// Guards against requests to an endpoint that has turned one away and asked for a rest.
func TestRestingEndpointGetsNoRequests(t *testing.T) {
	h := newHarness(t, 2)
	p := h.newLink(entryIncarnation)
	first := p.startRequest(newOffer(1))
	second := newOffer(2)
	p.send(second)
	receive[*wire.Claim](p)
	first.sink.Head(503, nil)
	first.result <- call.Result{Sent: true, Complete: true, Status: 503, HasRest: true, Rest: 3 * time.Second}
	receive[*wire.End](p)
	// The second request was claimed before and is granted during the rest, the third one is
	// offered during it.
	p.send(newGrant(second))
	p.send(newOffer(3))
	h.advance(time.Second)
	expectNone[*wire.Claim](p)
	h.expectIdle()
	if !h.o.load.Load().Slow {
		t.Error("entries are not told that the endpoint takes nothing")
	}
	h.advance(2 * time.Second)
	if c := receive[*wire.Claim](p); c.ID != newOffer(3).ID {
		t.Errorf("claim of %s after the rest", c.ID)
	}
	if h.o.load.Load().Slow {
		t.Error("the endpoint counts as slow after its rest")
	}
}

// Guards against an endpoint that is shut out by a time that nobody can mean.
func TestAbsurdRestIsIgnored(t *testing.T) {
	h := newHarness(t, 1)
	p := h.newLink(entryIncarnation)
	first := p.startRequest(newOffer(1))
	first.sink.Head(503, nil)
	first.result <- call.Result{Sent: true, Complete: true, Status: 503, HasRest: true, Rest: 48 * time.Hour}
	receive[*wire.End](p)
	p.startRequest(newOffer(2))
}
