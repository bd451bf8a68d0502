package follow

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

type (
	listFunc  func(context.Context) ([]Change[int], int64, error)
	watchFunc func(context.Context, int64, time.Duration) ([]Change[int], int64, error)
)

// startCheckingFollower runs a follower whose watches wait for a minute and that
// checks when its evidence is 30 ms old. If list or watch is nil, the method of s is
// used. It returns the revisions that the follower learns, the newest verified
// revision, and the times of its evidence.
func startCheckingFollower(t *testing.T, s *platform, list listFunc, watch watchFunc) (<-chan int64, *atomic.Int64, chan time.Time) {
	t.Helper()
	if list == nil {
		list = s.list
	}
	if watch == nil {
		watch = s.watch
	}
	learned, evidence := make(chan int64, 100), make(chan time.Time, 1000)
	verifiedRevision, lastEvidence := new(atomic.Int64), new(atomic.Int64)
	lastEvidence.Store(time.Now().UnixNano())
	report := func(all []Change[int]) int64 {
		for _, c := range all {
			learned <- c.Revision
		}
		return NewestRevision(all)
	}
	f := New(Config[int]{
		Name: "x", List: list, Watch: watch, WatchTime: func() time.Duration { return time.Minute },
		NextCheck: func() time.Duration { return 30*time.Millisecond - time.Since(time.Unix(0, lastEvidence.Load())) },
		BatchTime: func() time.Duration { return 0 }, FreshnessBound: time.Second,
		OnList: func(all []Change[int], _ int64) int64 { return report(all) }, OnChanges: report, OnAway: func() {}, OnBack: func() {},
		OnVerified: func(revision int64, sent time.Time) {
			verifiedRevision.Store(revision)
			lastEvidence.Store(max(lastEvidence.Load(), sent.UnixNano()))
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
	return learned, verifiedRevision, evidence
}

// neverAnswer is a call that is never answered.
func neverAnswer(ctx context.Context) ([]Change[int], int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// heldWatch is a watch that the platform never answers.
func heldWatch(ctx context.Context, _ int64, _ time.Duration) ([]Change[int], int64, error) {
	return neverAnswer(ctx)
}

// The platform has forgotten the watch. Without checks, a removed key would stay
// valid until the watch ends.
func TestCheckDuringAWatch(t *testing.T) {
	s := &platform{revision: 1}
	learned, verifiedRevision, _ := startCheckingFollower(t, s, nil, heldWatch)
	await(t, learned, 1)
	for revision := int64(2); revision < 5; revision++ {
		s.withLock(func() { s.revision = revision })
		await(t, learned, revision)
		if got := verifiedRevision.Load(); got > revision {
			t.Errorf("evidence of revision %d, but %d is the newest", got, revision)
		}
	}
	s.withLock(func() { s.revision, s.historyDropped = 9, true })
	await(t, learned, 9)
}

// Nothing changes, and checks show that. Their answers must count as evidence as of
// when they were sent, and the watch must go on.
func TestCheckWithoutChangesIsEvidence(t *testing.T) {
	s := &platform{revision: 1}
	var waits atomic.Int32
	learned, _, evidence := startCheckingFollower(t, s, nil, func(ctx context.Context, since int64, wait time.Duration) ([]Change[int], int64, error) {
		waits.Add(1)
		return s.watch(ctx, since, wait)
	})
	await(t, learned, 1)
	for range 5 {
		if sent := <-evidence; time.Since(sent) > time.Second {
			t.Errorf("evidence is %v old", time.Since(sent))
		}
	}
	if n := waits.Load(); n != 1 {
		t.Errorf("%d watches, want only the first one", n)
	}
	s.withLock(func() { s.revision = 2 })
	await(t, learned, 2)
}

// A watch ends without changes. The platform may have forgotten it long before, so
// it must not count as evidence that nothing has changed.
func TestWatchWithoutChangesIsNoEvidence(t *testing.T) {
	s := &platform{revision: 1}
	ended := make(chan bool, 100)
	learned, _, evidence := startCheckingFollower(t, s, s.listOnce, func(ctx context.Context, since int64, _ time.Duration) ([]Change[int], int64, error) {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
		ended <- true
		return nil, since + 100, nil
	})
	await(t, learned, 1)
	<-evidence // the list
	for range 5 {
		<-ended
	}
	if n := len(evidence); n > 0 {
		t.Errorf("%d times evidence from calls that waited", n)
	}
}

// Answers are lost because their connections no longer carry anything. The next
// check must not wait for the first one's full CallTimeout, and the number of
// pending calls must not grow with each check.
func TestUnansweredCheckIsRepeated(t *testing.T) {
	s := &platform{revision: 1}
	var checks, pending, maxPending atomic.Int32
	learned, _, _ := startCheckingFollower(t, s, func(ctx context.Context) ([]Change[int], int64, error) {
		maxPending.Store(max(maxPending.Load(), pending.Add(1)))
		defer pending.Add(-1)
		if n := checks.Add(1); n > 1 && n%3 != 0 {
			return neverAnswer(ctx)
		}
		return s.list(ctx)
	}, heldWatch)
	await(t, learned, 1)
	s.withLock(func() { s.revision = 2 })
	began := time.Now()
	await(t, learned, 2)
	if took := time.Since(began); took > CallTimeout/2 {
		t.Errorf("learned after %v", took)
	}
	// The second check is late while the third one is answered.
	if n := maxPending.Load(); n > 2 {
		t.Errorf("%d concurrent checks", n)
	}
}

// A platform that answered each check a little too late was never heard, because the check was
// cancelled: changes stayed unknown for as long as it was slow.
func TestLateAnswerToACheckCounts(t *testing.T) {
	s := &platform{revision: 1}
	isSlow := new(atomic.Bool)
	learned, _, evidence := startCheckingFollower(t, s, func(ctx context.Context) ([]Change[int], int64, error) {
		if isSlow.Load() {
			select {
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			case <-time.After(CheckTimeout(1, time.Second) * 3 / 2):
			}
		}
		return s.list(ctx)
	}, heldWatch)
	await(t, learned, 1)
	isSlow.Store(true)
	for revision := int64(2); revision < 5; revision++ {
		s.withLock(func() { s.revision = revision })
		began := time.Now()
		await(t, learned, revision)
		if took := time.Since(began); took > CallTimeout/2 {
			t.Errorf("learned after %v", took)
		}
	}
	for len(evidence) > 0 {
		<-evidence
	}
	if sent := <-evidence; time.Since(sent) > time.Second {
		t.Errorf("evidence is %v old", time.Since(sent))
	}
}

// While nothing is answered, checks must not accumulate.
func TestUnansweredChecksAreBounded(t *testing.T) {
	s := &platform{revision: 1}
	var isSilent atomic.Bool
	var checks, maxPending atomic.Int32
	var mu sync.Mutex
	var sent []context.Context
	learned, _, _ := startCheckingFollower(t, s, func(ctx context.Context) ([]Change[int], int64, error) {
		mu.Lock()
		// A call that was cancelled may not have returned yet.
		sent = slices.DeleteFunc(append(sent, ctx), func(c context.Context) bool { return c.Err() != nil })
		maxPending.Store(max(maxPending.Load(), int32(len(sent))))
		mu.Unlock()
		if isSilent.Load() {
			checks.Add(1)
			return neverAnswer(ctx)
		}
		return s.list(ctx)
	}, heldWatch)
	await(t, learned, 1)
	isSilent.Store(true)
	for checks.Load() < 2*maxChecks {
		time.Sleep(10 * time.Millisecond)
	}
	isSilent.Store(false)
	s.withLock(func() { s.revision = 2 })
	await(t, learned, 2)
	if n := maxPending.Load(); n > maxChecks {
		t.Errorf("%d concurrent checks, at most %d allowed", n, maxChecks)
	}
}

// The first call for the list is never answered. If the entry waited for its
// timeout, it would know nothing for as long as a long list may take.
func TestUnansweredFirstReadIsRepeated(t *testing.T) {
	s := &platform{revision: 1}
	var reads atomic.Int32
	began := time.Now()
	learned, _, _ := startCheckingFollower(t, s, func(ctx context.Context) ([]Change[int], int64, error) {
		if reads.Add(1) == 1 {
			return neverAnswer(ctx)
		}
		return s.list(ctx)
	}, nil)
	await(t, learned, 1)
	if took := time.Since(began); took > CallTimeout/2 {
		t.Errorf("learned after %v", took)
	}
}

// The platform fails for a while. The first call that is answered again must be a
// check, which is evidence, and not a watch.
func TestFirstCallAfterAnOutageIsACheck(t *testing.T) {
	s := &platform{revision: 1}
	first := make(chan string, 100)
	recordCall := func(call string) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.isAway {
			return false
		}
		select {
		case first <- call:
		default:
		}
		return true
	}
	learned, _, _ := startCheckingFollower(t, s, func(ctx context.Context) ([]Change[int], int64, error) {
		recordCall("check")
		return s.list(ctx)
	}, func(ctx context.Context, since int64, wait time.Duration) ([]Change[int], int64, error) {
		if !recordCall("watch") {
			return nil, 0, errors.New("away")
		}
		return s.watch(ctx, since, wait)
	})
	await(t, learned, 1)
	s.withLock(func() { s.isAway = true })
	time.Sleep(100 * time.Millisecond)
	for len(first) > 0 {
		<-first
	}
	s.withLock(func() { s.isAway, s.revision = false, 2 })
	if call := <-first; call != "check" {
		t.Errorf("the first call is a %s", call)
	}
	await(t, learned, 2)
}

// The platform holds back all calls for changes, short ones too, but still accepts
// writes and answers reads. Only reads find a change then, and each change must be
// reported once.
func TestCheckFindsChangesWhileWatchesAreHeldBack(t *testing.T) {
	s := &platform{revision: 1}
	learned, _, evidence := startCheckingFollower(t, s, nil, heldWatch)
	await(t, learned, 1)
	<-evidence
	began := time.Now()
	<-evidence // nothing has changed
	s.withLock(func() { s.revision = 2 })
	await(t, learned, 2)
	if took := time.Since(began); took > CallTimeout/2 {
		t.Errorf("learned after %v", took)
	}
	for len(learned) > 0 {
		t.Errorf("revision %d is reported twice", <-learned)
	}
}

// While the answer to a check is being read, a watch brings a later change. The
// older list must not undo that change.
func TestOlderCheckIsIgnored(t *testing.T) {
	f := New(Config[int]{NextCheck: func() time.Duration { return time.Hour }})
	f.since = 7
	f.recordRevisions([]Change[int]{{Name: "a", Revision: 7}})
	f.handleCheck(answer[int]{revision: 6, changes: []Change[int]{{Name: "a", Revision: 2}}})
	if f.since != 7 || f.items["a"] != 7 {
		t.Errorf("revision %d, item %d", f.since, f.items["a"])
	}
}

// The history is lost and the whole list is read. Unchanged items must not be
// reported as changes, and removed items must be reported as removed.
func TestListYieldsDifferencesOnly(t *testing.T) {
	f := New(Config[int]{})
	f.recordRevisions([]Change[int]{{Name: "a", Revision: 1}, {Name: "b", Revision: 2}, {Name: "c", Revision: 3}})
	got := f.differences([]Change[int]{{Name: "a", Revision: 1}, {Name: "b", Revision: 7}, {Name: "d", Revision: 8}, {Name: "unreadable", Removed: true, Revision: 6}}, 9)
	want := map[string]Change[int]{"b": {Name: "b", Revision: 7}, "d": {Name: "d", Revision: 8}, "c": {Name: "c", Removed: true, Revision: 9}}
	if len(got) != len(want) {
		t.Errorf("got %+v", got)
	}
	for _, c := range got {
		if want[c.Name] != c {
			t.Errorf("%+v, want %+v", c, want[c.Name])
		}
	}
}

// The platform cuts each watch after holding it for a while. The next call must be
// a check.
func TestFailedWatchIsFollowedByACheck(t *testing.T) {
	s := &platform{revision: 1}
	var cuts atomic.Int32
	learned, _, evidence := startCheckingFollower(t, s, nil, func(ctx context.Context, _ int64, _ time.Duration) ([]Change[int], int64, error) {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
		cuts.Add(1)
		return nil, 0, errors.New("cut")
	})
	await(t, learned, 1)
	<-evidence
	before := cuts.Load()
	for range 5 {
		<-evidence
	}
	if n := cuts.Load() - before; n > 5 {
		t.Errorf("%d watches were cut before the list was read 5 times", n)
	}
}
