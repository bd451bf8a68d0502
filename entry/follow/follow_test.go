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

// source is a platform whose waiting calls can go deaf: they return nothing
// although there are changes.
type source struct {
	mu       sync.Mutex
	revision int64
	deaf     bool
	// gone is set when the history was dropped.
	gone bool
	// fail is set while the platform is away.
	fail bool
}

func (s *source) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *source) list(context.Context) ([]Change[int], int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail {
		return nil, 0, errors.New("away")
	}
	s.gone = false
	return []Change[int]{{Name: "x", Revision: s.revision}}, s.revision, nil
}

func (s *source) watch(ctx context.Context, since int64, wait time.Duration) ([]Change[int], int64, error) {
	end := time.Now().Add(wait)
	s.mu.Lock()
	deaf := s.deaf
	s.mu.Unlock()
	for {
		s.mu.Lock()
		revision, gone, fail := s.revision, s.gone, s.fail
		s.mu.Unlock()
		switch {
		case fail:
			return nil, 0, errors.New("away")
		case gone && !deaf:
			return nil, 0, ErrHistory
		case revision > since && !deaf:
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

// follow runs a follower and returns the revisions it learns.
func follow(t *testing.T, s *source) <-chan int64 {
	t.Helper()
	learnt := make(chan int64, 100)
	tell := func(all []Change[int]) int64 {
		for _, c := range all {
			learnt <- c.Revision
		}
		return Newest(all)
	}
	f := New(Config[int]{
		Name: "x", List: s.list, Watch: s.watch, Wait: func() time.Duration { return 50 * time.Millisecond },
		Pause:  func() time.Duration { return 10 * time.Millisecond },
		Listed: func(all []Change[int], _ int64) int64 { return tell(all) }, Changed: tell, Away: func() {}, Back: func() {},
		Random: func() float64 { return 0 }, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return learnt
}

func await(t *testing.T, learnt <-chan int64, want int64) {
	t.Helper()
	limit := time.After(5 * time.Second)
	for {
		select {
		case got := <-learnt:
			if got == want {
				return
			}
		case <-limit:
			t.Fatalf("revision %d was never learnt", want)
		}
	}
}

// The platform forgets a waiting call: it answers nothing although a key was
// taken away meanwhile, and then drops the history. The old key would go on
// working for as long as the call waits.
func TestChangeThatAWaitingCallMissed(t *testing.T) {
	s := &source{revision: 1}
	learnt := follow(t, s)
	await(t, learnt, 1)
	s.set(func() { s.deaf = true })
	time.Sleep(60 * time.Millisecond)
	s.set(func() { s.revision, s.gone = 2, true })
	time.Sleep(20 * time.Millisecond)
	s.set(func() { s.deaf = false })
	await(t, learnt, 2)
}

// The platform goes away and comes back with a newer revision.
func TestChangeDuringAnOutage(t *testing.T) {
	s := &source{revision: 1}
	learnt := follow(t, s)
	await(t, learnt, 1)
	s.set(func() { s.fail = true })
	time.Sleep(50 * time.Millisecond)
	s.set(func() { s.revision, s.fail = 2, false })
	await(t, learnt, 2)
}

// Twenty endpoints register within a moment. A call for each of them would cost
// each entry twenty, at a price each.
func TestChangesThatComeTogetherCostOneCall(t *testing.T) {
	s := &source{revision: 1}
	calls := 0
	watch := func(ctx context.Context, since int64, wait time.Duration) ([]Change[int], int64, error) {
		s.set(func() { calls++ })
		return s.watch(ctx, since, wait)
	}
	ctx, cancel := context.WithCancel(context.Background())
	learnt := make(chan int64, 100)
	f := New(Config[int]{
		Name: "x", List: s.list, Watch: watch, Wait: func() time.Duration { return time.Minute },
		Pause: func() time.Duration { return 2 * time.Second }, Listed: func([]Change[int], int64) int64 { return 0 },
		Changed: func(all []Change[int]) int64 {
			learnt <- all[len(all)-1].Revision
			return Newest(all)
		},
		Away: func() {}, Back: func() {},
		Random: func() float64 { return 0 }, Log: zap.NewNop(),
	})
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	for range 20 {
		s.set(func() { s.revision++ })
		time.Sleep(2 * time.Millisecond)
	}
	for revision := int64(0); revision != 21; {
		revision = <-learnt
	}
	cancel()
	<-ended
	if calls > 5 {
		t.Errorf("%d calls for changes that came within 40 ms", calls)
	}
}

// All entries' calls begin together after a change or an outage. They must not end
// together, and none may wait for longer than the platform lets it.
func TestWaitsSpread(t *testing.T) {
	for _, wait := range []func(float64) time.Duration{Wait, WaitEntries} {
		shortest, longest := wait(0.999), wait(0)
		if longest < 2*shortest*9/10 || longest > 25*time.Second || shortest < 4*time.Second {
			t.Errorf("calls wait for %v to %v", shortest, longest)
		}
	}
}

// The platform is silent. Thirty entries that each had three calls waiting for an
// answer all the time would pay for them, and if all sent the next one at the same
// time, the platform could be back for long before anybody knew.
func TestSilentPlatformIsAskedAtTimesThatSpread(t *testing.T) {
	bound := 3 * time.Second
	if one := Again(true, 1, bound, 0.999); one > bound/4 {
		t.Errorf("an entry alone asks again after %v", one)
	}
	if first, last := Again(true, 30, bound, 0), Again(true, 30, bound, 0.999); last-first < CallTime*9/10 {
		t.Errorf("thirty ask again after %v to %v", first, last)
	}
	if again := Again(false, 30, bound, 0.999); again > bound/4 {
		t.Errorf("a lost answer is waited for %v", again)
	}
}

// Fifty endpoints start over four seconds. An entry that a hub tells of them need
// not ask the platform each time, but must be in time by itself if no hub does.
func TestPause(t *testing.T) {
	bound := 3 * time.Second
	if got := Pause(29, true, bound); got <= Pause(29, false, bound) || got > bound/2 {
		t.Errorf("an entry behind a hub gathers for %v, others for %v", got, Pause(29, false, bound))
	}
	if got := Pause(5, false, bound); got != 50*time.Millisecond {
		t.Errorf("one of five entries gathers for %v", got)
	}
}

// A list of three thousand items is read page by page from a platform that three
// hundred entries ask at once, after all of them were killed. If the whole list
// had to come within the time of one call, none would ever have it.
func TestLongListIsReadToItsEnd(t *testing.T) {
	listed := make(chan int64, 1)
	var readings atomic.Int32
	f := New(Config[int]{
		List: func(ctx context.Context) ([]Change[int], int64, error) {
			readings.Add(1)
			for range 25 {
				select {
				case <-ctx.Done():
					return nil, 0, ctx.Err()
				case <-time.After(CallTime / 20):
				}
			}
			return nil, 7, nil
		},
		Watch: func(ctx context.Context, _ int64, _ time.Duration) ([]Change[int], int64, error) {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		},
		Wait: func() time.Duration { return time.Minute }, Again: func(bool) time.Duration { return CallTime / 10 },
		Listed: func(_ []Change[int], revision int64) int64 { listed <- revision; return revision }, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	select {
	case revision := <-listed:
		if revision != 7 {
			t.Errorf("revision %d", revision)
		}
	case <-time.After(3 * CallTime):
		t.Error("the list was never read to its end")
	}
	cancel()
	<-ended
	if n := readings.Load(); n > maxReadings {
		t.Errorf("%d readings beside each other", n)
	}
}

// The answer to the first reading is swallowed. Another one must be sent beside it:
// an entry without a list serves nobody.
func TestFirstReadingWithoutAnAnswer(t *testing.T) {
	s := &source{revision: 1}
	var readings atomic.Int32
	listed := make(chan int64, 1)
	f := New(Config[int]{
		List: func(ctx context.Context) ([]Change[int], int64, error) {
			if readings.Add(1) == 1 {
				<-ctx.Done()
				return nil, 0, ctx.Err()
			}
			return s.list(ctx)
		},
		Watch: s.watch, Wait: func() time.Duration { return time.Minute }, Again: func(bool) time.Duration { return 50 * time.Millisecond },
		Listed: func(_ []Change[int], revision int64) int64 { listed <- revision; return revision }, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	select {
	case <-listed:
	case <-time.After(CallTime / 2):
		t.Error("no second reading was sent")
	}
	cancel()
	<-ended
}
