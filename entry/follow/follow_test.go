package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

// platform is a fake platform. A test can make it hide changes from watches, drop
// its history and fail all calls.
type platform struct {
	mu           sync.Mutex
	revision     int64
	hidesChanges bool
	// historyDropped is set from the loss of the history until the list is read.
	historyDropped bool
	// isAway is set while all calls fail.
	isAway bool
	// listAnswered is set once listOnce has answered.
	listAnswered bool
}

func (s *platform) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *platform) list(context.Context) ([]Change[int], int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isAway {
		return nil, 0, errors.New("away")
	}
	s.historyDropped = false
	return []Change[int]{{Name: "x", Revision: s.revision}}, s.revision, nil
}

// listOnce does the same as list, but answers only the first call.
func (s *platform) listOnce(ctx context.Context) ([]Change[int], int64, error) {
	s.mu.Lock()
	isAnswered := s.listAnswered
	s.listAnswered = true
	s.mu.Unlock()
	if isAnswered {
		return neverAnswer(ctx)
	}
	return s.list(ctx)
}

func (s *platform) watch(ctx context.Context, since int64, wait time.Duration) ([]Change[int], int64, error) {
	end := time.Now().Add(wait)
	s.mu.Lock()
	hidesChanges := s.hidesChanges
	s.mu.Unlock()
	for {
		s.mu.Lock()
		revision, historyDropped, isAway := s.revision, s.historyDropped, s.isAway
		s.mu.Unlock()
		switch {
		case isAway:
			return nil, 0, errors.New("away")
		case historyDropped && !hidesChanges:
			return nil, 0, ErrHistory
		case revision > since && !hidesChanges:
			return []Change[int]{{Name: "x", Revision: revision}}, revision, nil
		case time.Now().After(end):
			return nil, since, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}

// startFollower runs a follower and returns the revisions that it learns.
func startFollower(t *testing.T, s *platform) <-chan int64 {
	t.Helper()
	learned := make(chan int64, 100)
	report := func(all []Change[int]) int64 {
		for _, c := range all {
			learned <- c.Revision
		}
		return NewestRevision(all)
	}
	f := New(Config[int]{
		Name: "x", List: s.list, Watch: s.watch, WatchTime: func() time.Duration { return 50 * time.Millisecond },
		BatchTime: func() time.Duration { return 10 * time.Millisecond },
		OnList:    func(all []Change[int], _ int64) int64 { return report(all) }, OnChanges: report, OnAway: func() {}, OnBack: func() {},
		Random: func() float64 { return 0 }, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return learned
}

func await(t *testing.T, learned <-chan int64, want int64) {
	t.Helper()
	limit := time.After(5 * time.Second)
	for {
		select {
		case got := <-learned:
			if got == want {
				return
			}
		case <-limit:
			t.Fatalf("timed out waiting for revision %d", want)
		}
	}
}

// The platform forgets a watch: the watch returns nothing although a key was
// removed, and then the history is dropped. If the follower missed the change, the
// removed key would stay valid.
func TestChangeThatAWatchMissed(t *testing.T) {
	s := &platform{revision: 1}
	learned := startFollower(t, s)
	await(t, learned, 1)
	s.withLock(func() { s.hidesChanges = true })
	time.Sleep(60 * time.Millisecond)
	s.withLock(func() { s.revision, s.historyDropped = 2, true })
	time.Sleep(20 * time.Millisecond)
	s.withLock(func() { s.hidesChanges = false })
	await(t, learned, 2)
}

// The platform goes away and comes back with a newer revision, which the follower
// must learn.
func TestChangeDuringAnOutage(t *testing.T) {
	s := &platform{revision: 1}
	learned := startFollower(t, s)
	await(t, learned, 1)
	s.withLock(func() { s.isAway = true })
	time.Sleep(50 * time.Millisecond)
	s.withLock(func() { s.revision, s.isAway = 2, false })
	await(t, learned, 2)
}

// Twenty endpoints register within 40 ms. If each change needed a call, every entry
// would make twenty calls.
func TestSimultaneousChangesShareACall(t *testing.T) {
	s := &platform{revision: 1}
	calls := 0
	watch := func(ctx context.Context, since int64, wait time.Duration) ([]Change[int], int64, error) {
		s.withLock(func() { calls++ })
		return s.watch(ctx, since, wait)
	}
	ctx, cancel := context.WithCancel(context.Background())
	learned := make(chan int64, 100)
	f := New(Config[int]{
		Name: "x", List: s.list, Watch: watch, WatchTime: func() time.Duration { return time.Minute },
		BatchTime: func() time.Duration { return 2 * time.Second }, OnList: func([]Change[int], int64) int64 { return 0 },
		OnChanges: func(all []Change[int]) int64 {
			learned <- all[len(all)-1].Revision
			return NewestRevision(all)
		},
		OnAway: func() {}, OnBack: func() {},
		Random: func() float64 { return 0 }, Log: zap.NewNop(),
	})
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	for range 20 {
		s.withLock(func() { s.revision++ })
		time.Sleep(2 * time.Millisecond)
	}
	for revision := int64(0); revision != 21; {
		revision = <-learned
	}
	cancel()
	<-ended
	if calls > 5 {
		t.Errorf("%d calls for changes made within 40 ms", calls)
	}
}

// The watches of all entries start together after a change or an outage. They must
// not end together, and none may wait for longer than the platform allows.
func TestWatchTimesAreSpread(t *testing.T) {
	for _, wait := range []func(float64) time.Duration{WatchTime, EntriesWatchTime} {
		shortest, longest := wait(0.999), wait(0)
		if longest < 2*shortest*9/10 || longest > 25*time.Second || shortest < 4*time.Second {
			t.Errorf("watches wait for %v to %v", shortest, longest)
		}
	}
}

// The platform doesn't answer a check. The timeout must be short enough for the next
// check to meet the bound, but a list of many pages must be readable even from a
// slow platform.
func TestCheckTimeout(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 9 * time.Second} {
		if limit := CheckTimeout(300, bound); limit > bound*4/10 {
			t.Errorf("with a bound of %v a check may take %v", bound, limit)
		}
	}
	if limit := CheckTimeout(12000, 9*time.Second); limit < 24*200*time.Millisecond {
		t.Errorf("24 pages may take %v", limit)
	}
}

// Fifty endpoints start over four seconds. An entry with a hub need not call the
// platform for each change, but must meet the bound if the hub sends nothing.
func TestBatchTime(t *testing.T) {
	bound := 3 * time.Second
	if got := BatchTime(29, true, bound); got <= BatchTime(29, false, bound) || got > bound/2 {
		t.Errorf("an entry behind a hub collects changes for %v, others for %v", got, BatchTime(29, false, bound))
	}
	if got := BatchTime(5, false, bound); got != 50*time.Millisecond {
		t.Errorf("one of five entries collects changes for %v", got)
	}
}

// After 300 entries were killed and restarted, all of them read a list of 3,000
// items page by page at once. If the whole list had to arrive within CallTimeout,
// no entry would ever get it.
func TestLongListIsReadToItsEnd(t *testing.T) {
	listed := make(chan int64, 1)
	var reads atomic.Int32
	f := New(Config[int]{
		List: func(ctx context.Context) ([]Change[int], int64, error) {
			reads.Add(1)
			for range 25 {
				select {
				case <-ctx.Done():
					return nil, 0, ctx.Err()
				case <-time.After(CallTimeout / 20):
				}
			}
			return nil, 7, nil
		},
		Watch: func(ctx context.Context, _ int64, _ time.Duration) ([]Change[int], int64, error) {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		},
		WatchTime: func() time.Duration { return time.Minute },
		OnList:    func(_ []Change[int], revision int64) int64 { listed <- revision; return revision }, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	select {
	case revision := <-listed:
		if revision != 7 {
			t.Errorf("revision %d", revision)
		}
	case <-time.After(3 * CallTimeout):
		t.Error("the list was not read to its end")
	}
	cancel()
	<-ended
	if n := reads.Load(); n > maxFirstReads {
		t.Errorf("%d concurrent reads", n)
	}
}
