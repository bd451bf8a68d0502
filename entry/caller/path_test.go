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

func readText(tb testing.TB, res *http.Response) string {
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
	got := readText(tb, res)
	gotOutcome := res.Header.Get(headerOutcome)
	if gotOutcome == "" {
		gotOutcome = res.Trailer.Get(headerOutcome)
	}
	if res.StatusCode != status || gotOutcome != outcome || !strings.Contains(got, body) {
		tb.Errorf("status %d outcome %q body %q, want %d %q %q", res.StatusCode, gotOutcome, got, status, outcome, body)
	}
}

// An answer must arrive whole whether the caller asks for a stream or not, from
// models and from services.
func TestBufferedAndStreamedAnswers(t *testing.T) {
	f := newTestEntry(t, entryOptions{}, newStub(t, "a", answerAll("data: one\n\n", "data: [DONE]\n\n")))
	expect(t, f.post(t, "/v1/completions", completion(false)), 200, "complete", "one")
	expect(t, f.post(t, "/v1/completions", completion(true)), 200, "complete", "[DONE]")
	expect(t, f.post(t, "/services/app/x", "swap"), 200, "complete", "one")
}

// Two agents have free slots at the same moment and both claim the request. If both
// got a grant, the caller's swap would be confirmed twice.
func TestOneGrantForTwoClaims(t *testing.T) {
	a, b := newStub(t, "a", answerAll("x")), newStub(t, "b", answerAll("x"))
	f := newTestEntry(t, entryOptions{}, a, b)
	const n = 50
	for range n {
		expect(t, f.post(t, "/services/app/swap", "x"), 200, "complete", "x")
	}
	if got := a.count(wire.KindGrant) + b.count(wire.KindGrant); got != n {
		t.Errorf("%d grants for %d requests", got, n)
	}
}

// The granted agent finds its endpoint's port closed and returns the request. It
// has not run, so it is offered again, with a new ID.
func TestReturnedGrantIsOfferedAgain(t *testing.T) {
	var grants atomic.Int32
	a := newStub(t, "a", func(_ *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			l.Send(&wire.Claim{ID: m.ID, Load: idleLoad})
		case *wire.Grant:
			if grants.Add(1) == 1 {
				l.Send(&wire.Return{ID: m.ID, Reason: wire.ReasonUnreachable, Load: idleLoad})
				return
			}
			sendAnswer(l, m.ID, "done")
		}
	})
	f := newTestEntry(t, entryOptions{}, a)
	expect(t, f.post(t, "/services/app/swap", "x"), 200, "complete", "done")
	seen := map[string]bool{}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.received {
		if g, ok := m.(*wire.Grant); ok {
			if seen[g.ID.String()] {
				t.Errorf("ID %s was granted twice", g.ID)
			}
			seen[g.ID.String()] = true
		}
	}
}

// The link breaks after the grant of a swap confirmation, and the agent doesn't
// know the request when it reconnects. Whether it ran can't be known, so the caller
// must get outcome unknown and no second grant may be sent.
func TestLostGrantOfServiceCallIsUnknown(t *testing.T) {
	a := newStub(t, "a", func(s *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			l.Send(&wire.Claim{ID: m.ID, Load: idleLoad})
		case *wire.Grant:
			s.cut()
		case *wire.Attach:
			l.Send(&wire.End{ID: m.ID, Reason: wire.ReasonForgotten, Load: idleLoad})
		}
	})
	f := newTestEntry(t, entryOptions{}, a)
	expect(t, f.post(t, "/services/app/swap", "x"), 502, "unknown", "unknown_outcome")
	if n := a.count(wire.KindGrant); n != 1 {
		t.Errorf("%d grants", n)
	}
}

// The grant of a model completion is lost in the same way. If the caller allowed a
// repetition and has received nothing yet, it must get a whole answer. Without that
// permission a completion must not be dispatched twice either.
func TestLostGrantOfCompletionIsRepeated(t *testing.T) {
	var grants atomic.Int32
	a := newStub(t, "a", func(s *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			l.Send(&wire.Claim{ID: m.ID, Load: idleLoad})
		case *wire.Grant:
			if grants.Add(1) == 1 {
				s.cut()
				return
			}
			sendAnswer(l, m.ID, "again")
		case *wire.Attach:
			l.Send(&wire.End{ID: m.ID, Reason: wire.ReasonForgotten, Load: idleLoad})
		}
	})
	f := newTestEntry(t, entryOptions{}, a)
	expect(t, f.post(t, "/v1/completions", completion(false), headerRepeatable, "true"), 200, "complete", "again")
	grants.Store(0)
	expect(t, f.post(t, "/v1/completions", completion(false)), 502, "unknown", "")
	if n := grants.Load(); n != 1 {
		t.Errorf("%d grants", n)
	}
}

// The link breaks in the middle of an answer and is restored. The agent sends the
// rest from the requested piece on, and the caller notices nothing.
func TestAttachContinuesTheAnswer(t *testing.T) {
	a := newStub(t, "a", func(s *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			l.Send(&wire.Claim{ID: m.ID, Load: idleLoad})
		case *wire.Grant:
			l.Send(&wire.Head{ID: m.ID, Status: 200})
			l.Send(&wire.Chunk{ID: m.ID, Seq: 0, Data: []byte("one ")})
			s.cut()
		case *wire.Attach:
			sendAnswer(l, m.ID, "one ", "two ", "three")
		}
	})
	f := newTestEntry(t, entryOptions{}, a)
	res := f.post(t, "/v1/completions", completion(true))
	if got := readText(t, res); got != "one two three" || res.Trailer.Get(headerOutcome) != "complete" {
		t.Errorf("got %q, outcome %q", got, res.Trailer.Get(headerOutcome))
	}
}

// Messages arrive out of order: the end and a piece before the head, and a piece
// twice. The caller must get the whole answer in order.
func TestMessagesThatArriveBeforeTheHead(t *testing.T) {
	a := newStub(t, "a", func(_ *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			l.Send(&wire.Claim{ID: m.ID, Load: idleLoad})
		case *wire.Grant:
			l.Send(&wire.Chunk{ID: m.ID, Seq: 1, Data: []byte("two")})
			l.Send(endOf(m.ID, "one ", "two"))
			l.Send(&wire.Chunk{ID: m.ID, Seq: 1, Data: []byte("two")})
			l.Send(&wire.Head{ID: m.ID, Status: 200})
			l.Send(&wire.Chunk{ID: m.ID, Seq: 0, Data: []byte("one ")})
		}
	})
	f := newTestEntry(t, entryOptions{}, a)
	expect(t, f.post(t, "/v1/completions", completion(true)), 200, "complete", "one two")
	expect(t, f.post(t, "/v1/completions", completion(false)), 200, "complete", "one two")
}

// The endpoint's answer is cut short after the caller has received a part of it.
// Without the error event the caller would take the part for the whole answer.
func TestTruncatedStreamEndsWithError(t *testing.T) {
	a := newStub(t, "a", func(_ *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			l.Send(&wire.Claim{ID: m.ID, Load: idleLoad})
		case *wire.Grant:
			l.Send(&wire.Head{ID: m.ID, Status: 200})
			l.Send(&wire.Chunk{ID: m.ID, Seq: 0, Data: []byte("data: part\n\n")})
			l.Send(&wire.End{ID: m.ID, Chunks: 1, Bytes: 12, Reason: wire.ReasonBroken, Load: idleLoad})
		}
	})
	f := newTestEntry(t, entryOptions{}, a)
	expect(t, f.post(t, "/v1/completions", completion(true)), 200, "unknown", "event: error\ndata: {\"error\":{\"type\":\"unknown_outcome\"")
}

// An agent reports that it is leaving before the instance list does. A request
// offered or granted to it after that would be cut off when it ends.
func TestLeavingAgentGetsNothing(t *testing.T) {
	a, b := newStub(t, "a", answerAll("from a")), newStub(t, "b", answerAll("from b"))
	a.load.Leaving = true
	f := newTestEntry(t, entryOptions{}, a, b)
	for range 10 {
		expect(t, f.post(t, "/v1/completions", completion(false)), 200, "complete", "from b")
	}
	if n := a.count(wire.KindGrant); n != 0 {
		t.Errorf("%d grants to the leaving agent", n)
	}
}

// A request with a key is offered to the home of its key, which has already run it
// for an entry that died. The answer of that run is relayed and breaks off. As the
// request was run, the caller must not get outcome not-run.
func TestJoinedAnswerThatBreaksIsUnknown(t *testing.T) {
	a := newStub(t, "a", func(_ *stub, l *wire.Link, m wire.Message) {
		if o, ok := m.(*wire.Offer); ok {
			l.Send(&wire.KeyStatus{ID: o.ID, State: wire.KeyJoined})
			l.Send(&wire.Head{ID: o.ID, Status: 200})
			l.Send(&wire.End{ID: o.ID, Reason: wire.ReasonBroken})
		}
	})
	f := newTestEntry(t, entryOptions{home: homeAt("a")}, a)
	expect(t, f.post(t, "/services/app/swap", "x", headerKey, "k1"), 502, "unknown", "unknown_outcome")
	if n := a.count(wire.KindGrant); n != 0 {
		t.Errorf("%d grants", n)
	}
}

// The home of a key has no lease, so it may not act. The caller must get outcome
// not-run with a Retry-After.
func TestHomeWithoutLeaseRefuses(t *testing.T) {
	a := newStub(t, "a", func(_ *stub, l *wire.Link, m wire.Message) {
		if o, ok := m.(*wire.Offer); ok {
			l.Send(&wire.Return{ID: o.ID, Reason: wire.ReasonNoLease, Load: idleLoad})
		}
	})
	f := newTestEntry(t, entryOptions{home: homeAt("a")}, a)
	res := f.post(t, "/services/app/swap", "x", headerKey, "k1")
	if res.Header.Get(headerRetry) == "" {
		t.Error("no Retry-After")
	}
	expect(t, res, 503, "not-run", "no_home")
}

// homeAt returns a Home function that names one agent for every key.
func homeAt(name string) func(*testEntry, []byte) (sched.Home, error) {
	return func(f *testEntry, _ []byte) (sched.Home, error) {
		p, ok := f.set.Peer(name)
		if !ok || !p.IsLinked() {
			return sched.Home{}, io.ErrNoProgress
		}
		return sched.Home{Peer: p, Epoch: 1}, nil
	}
}

// An agent with a full queue returns a request of the top tier while an agent of
// the pool still runs one of the lowest tier. The request must wait and not be
// refused.
func TestTopTierWaitsWhileLowerIsServed(t *testing.T) {
	var offers atomic.Int32
	busy := idleLoad
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
	f := newTestEntry(t, entryOptions{}, a)
	expect(t, f.post(t, "/v1/completions", completion(false)), 200, once.Complete.String(), "late but served")
}
