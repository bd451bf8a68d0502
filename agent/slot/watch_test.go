package slot

import (
	"testing"
	"time"

	"lycheepond/agent/call"
	"lycheepond/core/bound"
	"lycheepond/core/wire"
)

// sampleOf returns the sample of r that the bound would get.
func sampleOf(o *Owner, now time.Duration, r *record, u wire.Usage) bound.Sample {
	s := bound.Sample{OutputTokens: int(u.OutputTokens)}
	switch {
	case r.isStream:
		o.sampleStream(now, r, &s)
	case u.OutputTokens > 0:
		o.sampleUnstreamed(now, r, &s)
	default:
		o.sampleServiceCall(r, &s)
	}
	return s
}

// newRunRecord returns the record of a run with the given progress.
func newRunRecord(m *wire.Offer, stream bool, first, last time.Duration, tokens int64) *record {
	r := newRecord(0, nil, nil, m)
	r.isStream, r.state, r.progress = stream, stateRunning, call.NewProgress()
	r.progress.FirstNS.Store(int64(first))
	r.progress.LastNS.Store(int64(last))
	r.progress.Tokens.Store(tokens)
	return r
}

// Requests wait in a long queue and reach the endpoint when their target has nearly
// passed. If their waiting time counted against a fast endpoint, its bound would
// fall, the queue would grow, and all later requests would be late.
func TestWaitingTimeIsNotCountedAgainstEndpoint(t *testing.T) {
	h := newHarness(t, testBound)
	m := newOffer(1)
	m.FirstTargetMS, m.WaitedMS = 1000, 990
	r := newRunRecord(m, true, 20*time.Millisecond, 20*time.Millisecond, 1)
	s := sampleOf(h.o, 0, r, wire.Usage{})
	if s.FirstToken != 20*time.Millisecond || s.FirstTokenTarget != 500*time.Millisecond {
		t.Fatalf("sample %+v", s)
	}
	if s := sampleOf(h.o, 0, r, wire.Usage{}); s.FirstToken != 0 {
		t.Fatalf("the first byte was sampled twice: %+v", s)
	}
}

// A sample of a stream must cover only the tokens since the last sample, so that a
// stream that becomes slow is noticed.
func TestStreamSampleCoversTokensSinceLastSample(t *testing.T) {
	h := newHarness(t, testBound)
	m := newOffer(1)
	m.CompleteTargetMS, m.OutputTokens = 7000, 100
	r := newRunRecord(m, true, 100*time.Millisecond, 250*time.Millisecond, 16)
	s := sampleOf(h.o, 0, r, wire.Usage{})
	if s.BetweenTokens != 10*time.Millisecond || s.BetweenTokensTarget != 35*time.Millisecond || s.FirstTokenTarget != 3500*time.Millisecond {
		t.Fatalf("sample %+v", s)
	}
	r.progress.Tokens.Store(32)
	r.progress.LastNS.Store(int64(250*time.Millisecond + 16*80*time.Millisecond))
	if s := sampleOf(h.o, 0, r, wire.Usage{}); s.BetweenTokens != 80*time.Millisecond {
		t.Fatalf("sample %+v", s)
	}
}

// The first byte of an unstreamed answer arrives at its end. If it counted as a late
// first token, the bound of a fast engine would fall to one.
func TestUnstreamedAnswersAreNotLateFirstTokens(t *testing.T) {
	h := newHarness(t, testBound)
	m := newOffer(1)
	m.CompleteTargetMS = 4000
	r := newRunRecord(m, false, 120*time.Millisecond, 120*time.Millisecond, 1)
	s := sampleOf(h.o, time.Second, r, wire.Usage{OutputTokens: 12})
	if s.FirstToken != 10*time.Millisecond || s.FirstTokenTarget != 2*time.Second/12 {
		t.Fatalf("sample %+v", s)
	}
	h.o.lastStreamSampleAt = time.Second
	if s := sampleOf(h.o, 2*time.Second, r, wire.Usage{OutputTokens: 12}); s.FirstToken != 0 || s.BetweenTokens != 0 {
		t.Fatalf("sample beside streams %+v", s)
	}
}
