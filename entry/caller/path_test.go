package caller

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"lycheepond/core/once"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
	"lycheepond/entry/sched"
)

func stringBody(s string) io.Reader { return strings.NewReader(s) }

func text(tb testing.TB, res *http.Response) string {
	tb.Helper()
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		tb.Fatal(err)
	}
	return string(b)
}

func expect(tb testing.TB, res *http.Response, status int, outcome, body string) {
	tb.Helper()
	got := text(tb, res)
	told := res.Header.Get(headerOutcome)
	if told == "" {
		told = res.Trailer.Get(headerOutcome)
	}
	if res.StatusCode != status || told != outcome || !strings.Contains(got, body) {
		tb.Errorf("status %d outcome %q body %q, want %d %q %q", res.StatusCode, told, got, status, outcome, body)
	}
}

func TestWholeAndStreamed(t *testing.T) {
	f := newFront(t, frontOptions{}, newStub(t, "a", serveWhole("data: one\n\n", "data: [DONE]\n\n")))
	expect(t, f.post(t, "/v1/completions", completion(false)), 200, "complete", "one")
	expect(t, f.post(t, "/v1/completions", completion(true)), 200, "complete", "[DONE]")
	expect(t, f.post(t, "/services/app/x", "swap"), 200, "complete", "one")
}

// Two agents have room at the same moment and both claim the request. If both
// were granted, the caller's swap would be confirmed twice.
func TestOneGrantForTwoClaims(t *testing.T) {
	a, b := newStub(t, "a", serveWhole("x")), newStub(t, "b", serveWhole("x"))
	f := newFront(t, frontOptions{}, a, b)
	const n = 50
	for range n {
		expect(t, f.post(t, "/services/app/swap", "x"), 200, "complete", "x")
	}
	if got := a.count(wire.KindGrant) + b.count(wire.KindGrant); got != n {
		t.Errorf("%d grants for %d requests", got, n)
	}
}

// The granted agent finds its endpoint's port closed and gives the request
// back. It has not run, so it is offered again, under another ID.
func TestReturnedGrantIsOfferedAgain(t *testing.T) {
	var grants atomic.Int32
	a := newStub(t, "a", func(_ *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			l.Send(&wire.Claim{ID: m.ID, Load: idle})
		case *wire.Grant:
			if grants.Add(1) == 1 {
				l.Send(&wire.Return{ID: m.ID, Reason: wire.ReasonUnreachable, Load: idle})
				return
			}
			sendAnswer(l, m.ID, "done")
		}
	})
	f := newFront(t, frontOptions{}, a)
	expect(t, f.post(t, "/services/app/swap", "x"), 200, "complete", "done")
	seen := map[string]bool{}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.got {
		if g, ok := m.(*wire.Grant); ok {
			if seen[g.ID.String()] {
				t.Errorf("ID %s was granted twice", g.ID)
			}
			seen[g.ID.String()] = true
		}
	}
}

// The link breaks after the grant of a swap confirmation and the agent that
// comes back does not know the request. Nobody can tell whether it ran: the
// caller must hear unknown, and it must not be granted again.
func TestLostGrantOfServiceCallIsUnknown(t *testing.T) {
	a := newStub(t, "a", func(s *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			l.Send(&wire.Claim{ID: m.ID, Load: idle})
		case *wire.Grant:
			s.cut()
		case *wire.Attach:
			l.Send(&wire.End{ID: m.ID, Reason: wire.ReasonForgotten, Load: idle})
		}
	})
	f := newFront(t, frontOptions{}, a)
	expect(t, f.post(t, "/services/app/swap", "x"), 502, "unknown", "unknown_outcome")
	if n := a.count(wire.KindGrant); n != 1 {
		t.Errorf("%d grants", n)
	}
}

// The same happens to a model completion of which the caller has nothing yet
// and which it allowed to be run again: it gets a whole answer. Without its
// word the completion is not dispatched twice either.
func TestLostGrantOfCompletionIsRepeated(t *testing.T) {
	var grants atomic.Int32
	a := newStub(t, "a", func(s *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			l.Send(&wire.Claim{ID: m.ID, Load: idle})
		case *wire.Grant:
			if grants.Add(1) == 1 {
				s.cut()
				return
			}
			sendAnswer(l, m.ID, "again")
		case *wire.Attach:
			l.Send(&wire.End{ID: m.ID, Reason: wire.ReasonForgotten, Load: idle})
		}
	})
	f := newFront(t, frontOptions{}, a)
	expect(t, f.post(t, "/v1/completions", completion(false), headerRepeatable, "true"), 200, "complete", "again")
	grants.Store(0)
	expect(t, f.post(t, "/v1/completions", completion(false)), 502, "unknown", "")
	if n := grants.Load(); n != 1 {
		t.Errorf("%d grants", n)
	}
}

// The link breaks in the middle of an answer and heals. The agent sends the
// rest from where it is asked to; the caller notices nothing.
func TestAttachContinuesTheAnswer(t *testing.T) {
	a := newStub(t, "a", func(s *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			l.Send(&wire.Claim{ID: m.ID, Load: idle})
		case *wire.Grant:
			l.Send(&wire.Head{ID: m.ID, Status: 200})
			l.Send(&wire.Chunk{ID: m.ID, Seq: 0, Data: []byte("one ")})
			s.cut()
		case *wire.Attach:
			sendAnswer(l, m.ID, "one ", "two ", "three")
		}
	})
	f := newFront(t, frontOptions{}, a)
	res := f.post(t, "/v1/completions", completion(true))
	if got := text(t, res); got != "one two three" || res.Trailer.Get(headerOutcome) != "complete" {
		t.Errorf("got %q, outcome %q", got, res.Trailer.Get(headerOutcome))
	}
}

// Frames overtake each other: the end and a piece come before the head, and a
// piece comes twice. The caller must get the whole answer, in order.
func TestFramesThatOvertakeTheHead(t *testing.T) {
	a := newStub(t, "a", func(_ *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			l.Send(&wire.Claim{ID: m.ID, Load: idle})
		case *wire.Grant:
			l.Send(&wire.Chunk{ID: m.ID, Seq: 1, Data: []byte("two")})
			l.Send(endOf(m.ID, "one ", "two"))
			l.Send(&wire.Chunk{ID: m.ID, Seq: 1, Data: []byte("two")})
			l.Send(&wire.Head{ID: m.ID, Status: 200})
			l.Send(&wire.Chunk{ID: m.ID, Seq: 0, Data: []byte("one ")})
		}
	})
	f := newFront(t, frontOptions{}, a)
	expect(t, f.post(t, "/v1/completions", completion(true)), 200, "complete", "one two")
	expect(t, f.post(t, "/v1/completions", completion(false)), 200, "complete", "one two")
}

// The endpoint's answer is cut short after the caller has seen a part of it.
// Without the error event the caller would take the part for the whole.
func TestTruncatedStreamEndsWithError(t *testing.T) {
	a := newStub(t, "a", func(_ *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			l.Send(&wire.Claim{ID: m.ID, Load: idle})
		case *wire.Grant:
			l.Send(&wire.Head{ID: m.ID, Status: 200})
			l.Send(&wire.Chunk{ID: m.ID, Seq: 0, Data: []byte("data: part\n\n")})
			l.Send(&wire.End{ID: m.ID, Chunks: 1, Bytes: 12, Reason: wire.ReasonBroken, Load: idle})
		}
	})
	f := newFront(t, frontOptions{}, a)
	expect(t, f.post(t, "/v1/completions", completion(true)), 200, "unknown", "event: error\ndata: {\"error\":{\"type\":\"unknown_outcome\"")
}

// An agent says that it is leaving before the instance list does. A request
// that it is offered or granted after that would be cut off by its end.
func TestLeavingAgentGetsNothing(t *testing.T) {
	a, b := newStub(t, "a", serveWhole("from a")), newStub(t, "b", serveWhole("from b"))
	a.load.Leaving = true
	f := newFront(t, frontOptions{}, a, b)
	for range 10 {
		expect(t, f.post(t, "/v1/completions", completion(false)), 200, "complete", "from b")
	}
	if n := a.count(wire.KindGrant); n != 0 {
		t.Errorf("%d grants to the leaving agent", n)
	}
}

// A keyed request goes to the home of its key, which already ran it for an
// entry that died. The answer of that run follows, breaks off, and the caller
// must not be told that nothing ran.
func TestJoinedAnswerThatBreaksIsUnknown(t *testing.T) {
	a := newStub(t, "a", func(_ *stub, l *wire.Link, m wire.Message) {
		if o, ok := m.(*wire.Offer); ok {
			l.Send(&wire.KeyStatus{ID: o.ID, State: wire.KeyJoined})
			l.Send(&wire.Head{ID: o.ID, Status: 200})
			l.Send(&wire.End{ID: o.ID, Reason: wire.ReasonBroken})
		}
	})
	f := newFront(t, frontOptions{home: homeAt("a")}, a)
	expect(t, f.post(t, "/services/app/swap", "x", headerKey, "k1"), 502, "unknown", "unknown_outcome")
	if n := a.count(wire.KindGrant); n != 0 {
		t.Errorf("%d grants", n)
	}
}

// The home of a key has no lease, so it may not act. The caller must hear
// not-run with a time to ask again.
func TestHomeWithoutLeaseRefuses(t *testing.T) {
	a := newStub(t, "a", func(_ *stub, l *wire.Link, m wire.Message) {
		if o, ok := m.(*wire.Offer); ok {
			l.Send(&wire.Return{ID: o.ID, Reason: wire.ReasonNoLease, Load: idle})
		}
	})
	f := newFront(t, frontOptions{home: homeAt("a")}, a)
	res := f.post(t, "/services/app/swap", "x", headerKey, "k1")
	if res.Header.Get(headerRetry) == "" {
		t.Error("no Retry-After")
	}
	expect(t, res, 503, "not-run", "no_home")
}

func homeAt(name string) func(*front, []byte) (sched.Home, error) {
	return func(f *front, _ []byte) (sched.Home, error) {
		p, ok := f.set.Peer(name)
		if !ok || !p.Linked() {
			return sched.Home{}, io.ErrNoProgress
		}
		return sched.Home{Peer: p, Epoch: 1}, nil
	}
}

// A queue full of work sends a top request back while an agent of the pool
// still runs work of the lowest tier. It must wait and not be refused.
func TestTopTierWaitsWhileLowerIsServed(t *testing.T) {
	var offers atomic.Int32
	busy := idle
	busy.RunningTiers = 1 << (spec.Tiers - 1)
	a := newStub(t, "a", func(_ *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			if offers.Add(1) < 6 {
				l.Send(&wire.Return{ID: m.ID, Reason: wire.ReasonFull, Load: busy})
				return
			}
			l.Send(&wire.Claim{ID: m.ID, Load: busy})
		case *wire.Grant:
			sendAnswer(l, m.ID, "late but served")
		}
	})
	f := newFront(t, frontOptions{}, a)
	expect(t, f.post(t, "/v1/completions", completion(false)), 200, once.Complete.String(), "late but served")
}
