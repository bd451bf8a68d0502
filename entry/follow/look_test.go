package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

type (
	listFunc  func(context.Context) ([]Change[int], int64, error)
	watchFunc func(context.Context, int64, time.Duration) ([]Change[int], int64, error)
)

// looker runs a follower that waits for a minute at a time and looks when it has
// known nothing for 30 ms, with the calls of s where none are given. It returns the revisions that it learns and what its
// evidence is, newest last.
func looker(t *testing.T, s *source, list listFunc, watch watchFunc) (<-chan int64, *atomic.Int64, chan time.Time) {
	t.Helper()
	if list == nil {
		list = s.list
	}
	if watch == nil {
		watch = s.watch
	}
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
		Name: "x", List: list, Watch: watch, Wait: func() time.Duration { return time.Minute },
		Due:   func() time.Duration { return 30*time.Millisecond - time.Since(time.Unix(0, last.Load())) },
		Pause: func() time.Duration { return 0 }, Bound: time.Second,
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

// hang is a call that is never answered.
func hang(ctx context.Context) ([]Change[int], int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// held is a platform that answers no call for changes.
func held(ctx context.Context, _ int64, _ time.Duration) ([]Change[int], int64, error) {
	return hang(ctx)
}

// The platform has forgotten the waiting call. A key taken away would be served
// for as long as that waits.
func TestLookBesideAWaitingCall(t *testing.T) {
	s := &source{revision: 1}
	learnt, holds, _ := looker(t, s, nil, held)
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
	learnt, _, evidence := looker(t, s, nil, func(ctx context.Context, since int64, wait time.Duration) ([]Change[int], int64, error) {
		waits.Add(1)
		return s.watch(ctx, since, wait)
	})
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
	learnt, _, evidence := looker(t, s, s.once, func(ctx context.Context, since int64, _ time.Duration) ([]Change[int], int64, error) {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
		ends <- true
		return nil, since + 100, nil
	})
	await(t, learnt, 1)
	<-evidence // the list
	for range 5 {
		<-ends
	}
	if n := len(evidence); n > 0 {
		t.Errorf("%d times evidence from calls that were not answered at once", n)
	}
}

// Answers are lost on the way: their connections say nothing any more. The next
// look must not wait until the first one's call has had all the time that calls
// have, and what one silent platform costs must not grow with each look.
func TestLookWithoutAnAnswerIsRepeated(t *testing.T) {
	s := &source{revision: 1}
	var looks, flying, most atomic.Int32
	learnt, _, _ := looker(t, s, func(ctx context.Context) ([]Change[int], int64, error) {
		most.Store(max(most.Load(), flying.Add(1)))
		defer flying.Add(-1)
		if n := looks.Add(1); n > 1 && n%3 != 0 {
			return hang(ctx)
		}
		return s.list(ctx)
	}, held)
	await(t, learnt, 1)
	s.set(func() { s.revision = 2 })
	began := time.Now()
	await(t, learnt, 2)
	if took := time.Since(began); took > CallTime/2 {
		t.Errorf("learnt after %v", took)
	}
	if n := most.Load(); n > 1 {
		t.Errorf("%d looks at a time", n)
	}
}

// The first call for the list is swallowed. The entry would know nothing until that
// is given up, as long as a long list may take.
func TestFirstListIsAskedForAgainBesideTheFirst(t *testing.T) {
	s := &source{revision: 1}
	var asked atomic.Int32
	began := time.Now()
	learnt, _, _ := looker(t, s, func(ctx context.Context) ([]Change[int], int64, error) {
		if asked.Add(1) == 1 {
			return hang(ctx)
		}
		return s.list(ctx)
	}, nil)
	await(t, learnt, 1)
	if took := time.Since(began); took > CallTime/2 {
		t.Errorf("learnt after %v", took)
	}
}

// The platform fails for a while. The first call that is answered again must be a
// look, which is evidence, and not a call that waits.
func TestFirstCallAfterAnOutageIsALook(t *testing.T) {
	s := &source{revision: 1}
	first := make(chan string, 100)
	note := func(call string) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.fail {
			return false
		}
		select {
		case first <- call:
		default:
		}
		return true
	}
	learnt, _, _ := looker(t, s, func(ctx context.Context) ([]Change[int], int64, error) {
		note("look")
		return s.list(ctx)
	}, func(ctx context.Context, since int64, wait time.Duration) ([]Change[int], int64, error) {
		if !note("wait") {
			return nil, 0, errors.New("away")
		}
		return s.watch(ctx, since, wait)
	})
	await(t, learnt, 1)
	s.set(func() { s.fail = true })
	time.Sleep(100 * time.Millisecond)
	for len(first) > 0 {
		<-first
	}
	s.set(func() { s.fail, s.revision = false, 2 })
	if call := <-first; call != "look" {
		t.Errorf("the first call is a %s", call)
	}
	await(t, learnt, 2)
}

// The platform holds back all calls for changes, short ones too, and still takes
// writes and answers readings. Nothing but readings tells of a change then, and each
// change must be told once.
func TestLookIsAnsweredWhileCallsForChangesAreHeldBack(t *testing.T) {
	s := &source{revision: 1}
	learnt, _, evidence := looker(t, s, nil, held)
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

// A look is read while a waiting call brings what came after it. The older list must
// not undo that.
func TestLookThatIsOlderThanWhatIsHeld(t *testing.T) {
	f := New(Config[int]{Due: func() time.Duration { return time.Hour }})
	f.since = 7
	f.keep([]Change[int]{{Name: "a", Revision: 7}})
	f.seen(answer[int]{revision: 6, changes: []Change[int]{{Name: "a", Revision: 2}}})
	if f.since != 7 || f.items["a"] != 7 {
		t.Errorf("revision %d, item %d", f.since, f.items["a"])
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

// The platform cuts each call for changes after holding it for a while. The next
// thing that is tried must be a reading.
func TestCallThatIsHeldAndCutIsFollowedByAReading(t *testing.T) {
	s := &source{revision: 1}
	var cuts atomic.Int32
	learnt, _, evidence := looker(t, s, nil, func(ctx context.Context, _ int64, _ time.Duration) ([]Change[int], int64, error) {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
		cuts.Add(1)
		return nil, 0, errors.New("cut")
	})
	await(t, learnt, 1)
	<-evidence
	before := cuts.Load()
	for range 5 {
		<-evidence
	}
	if n := cuts.Load() - before; n > 5 {
		t.Errorf("%d calls for changes were cut before the list was read 5 times", n)
	}
}
