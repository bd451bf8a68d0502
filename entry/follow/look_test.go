package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

// looker runs a follower that waits for a minute at a time and looks when it has
// known nothing for 30 ms. It returns the revisions that it learns and what its
// evidence is, newest last.
func looker(t *testing.T, watch func(context.Context, int64, time.Duration) ([]Change[int], int64, error), s *source) (<-chan int64, *atomic.Int64, chan time.Time) {
	t.Helper()
	learnt, evidence := make(chan int64, 100), make(chan time.Time, 1000)
	holds, last := new(atomic.Int64), new(atomic.Int64)
	last.Store(time.Now().UnixNano())
	tell := func(all []Change[int]) int64 {
		for _, c := range all {
			learnt <- c.Revision
		}
		return Newest(all)
	}
	f := New(Config[int]{
		Name: "x", List: s.list, Watch: watch, Wait: func() time.Duration { return time.Minute },
		Due:   func() time.Duration { return 30*time.Millisecond - time.Since(time.Unix(0, last.Load())) },
		Again: func(bool) time.Duration { return 60 * time.Millisecond }, Pause: func() time.Duration { return 0 },
		Listed: func(all []Change[int], _ int64) int64 { return tell(all) }, Changed: tell, Away: func() {}, Back: func() {},
		Looked: func(revision int64, sent time.Time) {
			holds.Store(revision)
			last.Store(max(last.Load(), sent.UnixNano()))
			evidence <- sent
		},
		Random: func() float64 { return 0 }, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return learnt, holds, evidence
}

// forgetful returns the watch of a platform that never tells a waiting call
// anything and answers one that does not wait.
func forgetful(s *source) func(context.Context, int64, time.Duration) ([]Change[int], int64, error) {
	return func(ctx context.Context, since int64, wait time.Duration) ([]Change[int], int64, error) {
		if wait > lookWait {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		return s.watch(ctx, since, wait)
	}
}

// The platform has forgotten the waiting call. A key taken away would be served
// for as long as that waits.
func TestLookBesideAWaitingCall(t *testing.T) {
	s := &source{revision: 1}
	learnt, holds, _ := looker(t, forgetful(s), s)
	await(t, learnt, 1)
	for revision := int64(2); revision < 5; revision++ {
		s.set(func() { s.revision = revision })
		await(t, learnt, revision)
		if got := holds.Load(); got > revision {
			t.Errorf("evidence of revision %d, %d is the newest", got, revision)
		}
	}
	s.set(func() { s.revision, s.gone = 9, true })
	await(t, learnt, 9)
}

// Nothing changes, and the answers say that. They must count as evidence, as of
// when they were asked for, and the waiting call goes on.
func TestLookThatShowsNothingIsEvidence(t *testing.T) {
	s := &source{revision: 1}
	var waits atomic.Int32
	learnt, _, evidence := looker(t, func(ctx context.Context, since int64, wait time.Duration) ([]Change[int], int64, error) {
		if wait > lookWait {
			waits.Add(1)
		}
		return s.watch(ctx, since, wait)
	}, s)
	await(t, learnt, 1)
	for range 5 {
		if sent := <-evidence; time.Since(sent) > time.Second {
			t.Errorf("evidence as of %v ago", time.Since(sent))
		}
	}
	if n := waits.Load(); n != 1 {
		t.Errorf("%d waiting calls, the first one is good", n)
	}
	s.set(func() { s.revision = 2 })
	await(t, learnt, 2)
}

// A waiting call ends without a word. The platform may have forgotten it long
// before, so it must not pass for evidence that nothing has changed.
func TestWaitingCallThatEndsEmptyIsNoEvidence(t *testing.T) {
	s := &source{revision: 1}
	ends := make(chan bool, 100)
	learnt, _, evidence := looker(t, func(ctx context.Context, since int64, wait time.Duration) ([]Change[int], int64, error) {
		if wait == lookWait {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
		ends <- true
		return nil, since + 100, nil
	}, s)
	await(t, learnt, 1)
	<-evidence // the list
	s.set(func() { s.fail = true })
	for range 5 {
		<-ends
	}
	if n := len(evidence); n > 0 {
		t.Errorf("%d times evidence from calls that were not answered at once", n)
	}
}

// Answers are lost on the way: their connections say nothing any more. The next
// look must not wait until the first one is given up after two seconds.
func TestLookWithoutAnAnswerIsRepeated(t *testing.T) {
	s := &source{revision: 1}
	var looks atomic.Int32
	learnt, _, _ := looker(t, func(ctx context.Context, since int64, wait time.Duration) ([]Change[int], int64, error) {
		if wait > lookWait || looks.Add(1)%2 == 1 {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		return s.watch(ctx, since, wait)
	}, s)
	await(t, learnt, 1)
	s.set(func() { s.revision = 2 })
	began := time.Now()
	await(t, learnt, 2)
	if took := time.Since(began); took > CallTime/2 {
		t.Errorf("learnt after %v", took)
	}
}

// The platform fails for a while. The first call that is answered again must be a
// look, which is evidence, and not a call that waits.
func TestFirstCallAfterAnOutageIsALook(t *testing.T) {
	s := &source{revision: 1}
	first := make(chan time.Duration, 100)
	learnt, _, _ := looker(t, func(ctx context.Context, since int64, wait time.Duration) ([]Change[int], int64, error) {
		s.mu.Lock()
		fail := s.fail
		s.mu.Unlock()
		if fail {
			return nil, 0, errors.New("away")
		}
		select {
		case first <- wait:
		default:
		}
		return s.watch(ctx, since, wait)
	}, s)
	await(t, learnt, 1)
	s.set(func() { s.fail = true })
	time.Sleep(100 * time.Millisecond)
	for len(first) > 0 {
		<-first
	}
	s.set(func() { s.fail, s.revision = false, 2 })
	if wait := <-first; wait != lookWait {
		t.Errorf("the first call waits up to %v", wait)
	}
	await(t, learnt, 2)
}

// The platform holds back all calls for changes for a second, short ones too, and
// still takes writes and answers readings. Looks without an answer must not be all
// that is tried.
func TestLookWithoutAnAnswerIsFollowedByAReading(t *testing.T) {
	s := &source{revision: 1}
	learnt, _, evidence := looker(t, func(ctx context.Context, _ int64, _ time.Duration) ([]Change[int], int64, error) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}, s)
	await(t, learnt, 1)
	<-evidence
	began := time.Now()
	<-evidence // nothing has changed
	s.set(func() { s.revision = 2 })
	await(t, learnt, 2)
	if took := time.Since(began); took > CallTime/2 {
		t.Errorf("learnt after %v", took)
	}
	for len(learnt) > 0 {
		t.Errorf("revision %d is told twice", <-learnt)
	}
}

// The history is lost, and the list is read whole. What has not changed must not
// pass for a change, and what is gone must be gone.
func TestReadingTellsDifferencesOnly(t *testing.T) {
	f := New(Config[int]{})
	f.keep([]Change[int]{{Name: "a", Revision: 1}, {Name: "b", Revision: 2}, {Name: "c", Revision: 3}})
	got := f.differences([]Change[int]{{Name: "a", Revision: 1}, {Name: "b", Revision: 7}, {Name: "d", Revision: 8}, {Name: "unreadable", Removed: true, Revision: 6}}, 9)
	want := map[string]Change[int]{"b": {Name: "b", Revision: 7}, "d": {Name: "d", Revision: 8}, "c": {Name: "c", Removed: true, Revision: 9}}
	if len(got) != len(want) {
		t.Errorf("%+v", got)
	}
	for _, c := range got {
		if want[c.Name] != c {
			t.Errorf("%+v, want %+v", c, want[c.Name])
		}
	}
}

// The platform cuts each call for changes after holding it for longer than a look
// may go without an answer. The next thing that is tried must be a reading.
func TestLookThatIsHeldAndCutIsFollowedByAReading(t *testing.T) {
	s := &source{revision: 1}
	var looks atomic.Int32
	learnt, _, evidence := looker(t, func(ctx context.Context, _ int64, wait time.Duration) ([]Change[int], int64, error) {
		if wait > lookWait {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		looks.Add(1)
		select {
		case <-ctx.Done():
		case <-time.After(62 * time.Millisecond):
		}
		return nil, 0, errors.New("cut")
	}, s)
	await(t, learnt, 1)
	<-evidence
	before := looks.Load()
	<-evidence
	if n := looks.Load() - before; n > 1 {
		t.Errorf("%d calls for changes were cut before the list was read", n)
	}
}
