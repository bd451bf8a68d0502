package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/eras"
)

// startEraFollower runs a follower without checks of a platform in an era. It returns the
// revisions that the follower learns and the number of its lists.
func startEraFollower(t *testing.T, era func() int64, list listFunc, watch watchFunc) (learned <-chan int64, lists *atomic.Int64) {
	t.Helper()
	revisions, lists := make(chan int64, 1000), new(atomic.Int64)
	report := func(all []Change[int]) int64 {
		for _, c := range all {
			revisions <- c.Revision
		}
		return NewestRevision(all)
	}
	f := New(Config[int]{
		Name: "x", Era: era, Watch: watch, WatchTime: func() time.Duration { return time.Minute },
		List: func(ctx context.Context) ([]Change[int], int64, error) {
			lists.Add(1)
			return list(ctx)
		},
		BatchTime: func() time.Duration { return 0 }, FreshnessBound: time.Second,
		OnList: func(all []Change[int], _ int64) int64 { return report(all) }, OnChanges: report, OnAway: func() {}, OnBack: func() {},
		Random: func() float64 { return 0 }, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return revisions, lists
}

// Guards against changes that are missed because the platform, which came back with an older
// copy, has given out revisions up to that of the watch again: the watch goes on without an error.
func TestNewEraLeadsToWholeList(t *testing.T) {
	var era atomic.Int64
	list := func(context.Context) ([]Change[int], int64, error) {
		n := eras.Join(era.Load(), 20-era.Load())
		return []Change[int]{{Name: "x", Revision: n}}, n, nil
	}
	learned, lists := startEraFollower(t, era.Load, list, heldWatch)
	await(t, learned, 20)
	for e := int64(1); e < 3; e++ {
		era.Store(e)
		await(t, learned, eras.Join(e, 20-e))
	}
	time.Sleep(50 * time.Millisecond)
	if n := lists.Load(); n != 3 {
		t.Errorf("the list was read %d times, want 3", n)
	}
}

// Guards against a new era without changes that leads to one read after the other.
func TestNewEraOfEmptyList(t *testing.T) {
	var era atomic.Int64
	_, lists := startEraFollower(t, era.Load, func(context.Context) ([]Change[int], int64, error) { return nil, eras.Join(era.Load(), 9), nil }, heldWatch)
	time.Sleep(50 * time.Millisecond)
	era.Store(1)
	time.Sleep(1500 * time.Millisecond)
	if n := lists.Load(); n != 2 {
		t.Errorf("the list was read %d times, want 2", n)
	}
}

// Guards against hundreds of calls a second at a platform that lost changes without saying so:
// the watch fails, and each list is older than the local copy.
func TestOlderListsAreNotReadWithoutPause(t *testing.T) {
	var revision atomic.Int64
	revision.Store(26)
	list := func(context.Context) ([]Change[int], int64, error) {
		n := revision.Load()
		return []Change[int]{{Name: "x", Revision: n}}, n, nil
	}
	watch := func(ctx context.Context, since int64, wait time.Duration) ([]Change[int], int64, error) {
		if since > revision.Load() {
			return nil, 0, ErrHistory
		}
		return heldWatch(ctx, since, wait)
	}
	learned, lists := startEraFollower(t, nil, list, func(ctx context.Context, since int64, wait time.Duration) ([]Change[int], int64, error) {
		time.Sleep(20 * time.Millisecond)
		return watch(ctx, since, wait)
	})
	await(t, learned, 26)
	revision.Store(20)
	time.Sleep(time.Second)
	if n := lists.Load(); n < 2 || n > 12 {
		t.Errorf("the list was read %d times in a second", n)
	}
	revision.Store(27)
	await(t, learned, 27)
}
