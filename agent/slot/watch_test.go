package slot

import (
	"testing"
	"time"

	"lycheepond/agent/call"
	"lycheepond/core/bound"
	"lycheepond/core/wire"
)

// observed returns what the bound would see of r.
func observed(o *Owner, now time.Duration, r *rec, u wire.Usage) bound.Sample {
	s := bound.Sample{OutputTokens: int(u.OutputTokens)}
	switch {
	case r.stream:
		o.pieces(now, r, &s)
	case u.OutputTokens > 0:
		o.inOne(now, r, &s)
	default:
		o.plain(r, &s)
	}
	return s
}

func seen(m *wire.Offer, stream bool, first, last time.Duration, tokens int64) *rec {
	r := newRec(0, nil, nil, m)
	r.stream, r.state, r.progress = stream, running, call.NewProgress()
	r.progress.FirstNS.Store(int64(first))
	r.progress.LastNS.Store(int64(last))
	r.progress.Tokens.Store(tokens)
	return r
}

// Swaps wait in a long queue and come to the endpoint when their target has
// nearly passed. The endpoint is as fast as ever; were it blamed, its bound
// would fall, the queue would grow, and all swaps would be late from then on.
func TestWaitingIsNotTheEndpointsFault(t *testing.T) {
	b := newBench(t, testBound)
	m := offerOf(1)
	m.FirstMS, m.WaitedMS = 1000, 990
	r := seen(m, true, 20*time.Millisecond, 20*time.Millisecond, 1)
	s := observed(b.o, 0, r, wire.Usage{})
	if s.First != 20*time.Millisecond || s.FirstTarget != 500*time.Millisecond {
		t.Fatalf("sample %+v", s)
	}
	if s := observed(b.o, 0, r, wire.Usage{}); s.First != 0 {
		t.Fatalf("the first byte was shown twice: %+v", s)
	}
}

func TestStreamShowsItsPaceSinceTheLastSample(t *testing.T) {
	b := newBench(t, testBound)
	m := offerOf(1)
	m.CompleteMS, m.OutputTokens = 7000, 100
	r := seen(m, true, 100*time.Millisecond, 250*time.Millisecond, 16)
	s := observed(b.o, 0, r, wire.Usage{})
	if s.Between != 10*time.Millisecond || s.BetweenTarget != 35*time.Millisecond || s.FirstTarget != 3500*time.Millisecond {
		t.Fatalf("sample %+v", s)
	}
	r.progress.Tokens.Store(32)
	r.progress.LastNS.Store(int64(250*time.Millisecond + 16*80*time.Millisecond))
	if s := observed(b.o, 0, r, wire.Usage{}); s.Between != 80*time.Millisecond {
		t.Fatalf("sample %+v", s)
	}
}

// Tags are answered whole, so their only byte comes at the end. Taken for a
// late first token it would bring the bound of a fast engine down to one.
func TestWholeAnswersAreNotLateFirstTokens(t *testing.T) {
	b := newBench(t, testBound)
	m := offerOf(1)
	m.CompleteMS = 4000
	r := seen(m, false, 120*time.Millisecond, 120*time.Millisecond, 1)
	s := observed(b.o, time.Second, r, wire.Usage{OutputTokens: 12})
	if s.First != 10*time.Millisecond || s.FirstTarget != 2*time.Second/12 {
		t.Fatalf("sample %+v", s)
	}
	b.o.streamed = time.Second
	if s := observed(b.o, 2*time.Second, r, wire.Usage{OutputTokens: 12}); s.First != 0 || s.Between != 0 {
		t.Fatalf("sample beside streams %+v", s)
	}
}
