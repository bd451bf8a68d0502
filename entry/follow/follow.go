// Package follow keeps a local copy of a list that the platform holds. It reads the
// list once and then follows its changes, despite outages, dropped history and
// connections that go silent.
//
// A watch, a call that waits for changes, brings them within milliseconds. While it
// waits it proves nothing, because the platform may have forgotten it. From time to
// time an entry therefore also sends a check, a call that is answered at once, and
// the entries share the evidence that checks give of how current their lists are.
package follow

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
)

// ErrHistory reports that the platform no longer has the changes since the
// requested revision.
var ErrHistory = errors.New("follow: the platform has dropped these changes: read the whole list")

// errOlder reports a list that is older than the local copy although the platform no longer
// has the changes since then.
var errOlder = errors.New("follow: the platform lost changes without stating a new era: if it was set up anew, restart the entries")

const (
	// watchGrace is added to the wait of a watch to obtain its timeout. The
	// platform's answers may take sixty times their usual few milliseconds.
	watchGrace = 1500 * time.Millisecond
	// listTimeout bounds the first read of a list, with all its pages. It allows
	// for 3,000 items that 300 entries read page by page at once.
	listTimeout = 5 * CallTimeout
	// minRetryPause and maxRetryPause bound the pause between calls to a failing
	// platform. The pause limits the load, because every entry calls the platform.
	// It is short, because the first second after the platform's return matters.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// CallTimeout bounds a call to the platform that doesn't wait. It is about a
// hundred times the usual duration.
const CallTimeout = 2 * time.Second

// Change is one change of a list.
type Change[T any] struct {
	Name    string
	Removed bool
	// Item is the zero value if Removed is set.
	Item T
	// Revision is the platform's revision of the change, numbered as in package eras.
	Revision int64
}

// NewestRevision returns the highest revision of changes, zero if there are none.
func NewestRevision[T any](changes []Change[T]) int64 {
	newest := int64(0)
	for _, c := range changes {
		newest = max(newest, c.Revision)
	}
	return newest
}

// Config holds the settings and callbacks of a Follower.
type Config[T any] struct {
	// Name is the name of the list in logs.
	Name string
	// List returns all items and the revision of the list. It bounds each of its
	// calls by CallTimeout.
	List func(ctx context.Context) ([]Change[T], int64, error)
	// Watch returns the changes since a revision and the revision to continue from.
	// It waits up to wait for the first change.
	Watch func(ctx context.Context, since int64, wait time.Duration) ([]Change[T], int64, error)
	// Era returns the platform's latest era, as far as any answer has stated it.
	// If nil, the era never changes.
	Era func() int64
	// WatchTime returns how long the next watch waits for a change.
	WatchTime func() time.Duration
	// NextCheck returns the time until the next check is due, or until NextCheck
	// must be called again, whichever is shorter. If nil, no checks are sent while
	// calls succeed.
	NextCheck func() time.Duration
	// FreshnessBound is the time within which a change must be in force.
	FreshnessBound time.Duration
	// BatchTime returns how long to wait after changes before the next watch, so
	// that several changes arrive together. Fifty endpoints that start or leave at
	// once would otherwise cost each entry fifty calls.
	BatchTime func() time.Duration
	// OnList applies a whole list, OnChanges the changes after it. Both return the
	// revision that the local copy has afterwards.
	OnList    func(all []Change[T], revision int64) int64
	OnChanges func(changes []Change[T]) int64
	// OnVerified is called when a call sent at a time has shown that the platform
	// has nothing newer than a revision. It may be nil.
	OnVerified func(revision int64, sent time.Time)
	// OnLate is called when a check has no answer in time. Its connection may be dead,
	// and other idle ones too. It may be nil.
	OnLate func()
	// OnAway and OnBack are called when the platform stops and resumes answering.
	OnAway, OnBack func()
	// Random returns a number in [0, 1).
	Random func() float64
	Log    *zap.Logger
}

// Follower follows one list.
type Follower[T any] struct {
	cfg Config[T]
	// failures counts the failed calls since the last successful one, which was
	// sent at lastSuccessAt. After a failure no check is sent before retryAt.
	failures               int
	lastSuccessAt, retryAt time.Time
	// revision is the revision of the local copy, items holds the revision of each
	// item.
	revision int64
	items    map[string]int64
	// since is the revision after which changes are requested. verifiedRevision is
	// the revision up to which an answer has shown that there are none.
	since, verifiedRevision int64
	calls[T]
}

// New returns a follower that does nothing before Run is called.
func New[T any](cfg Config[T]) *Follower[T] {
	return &Follower[T]{cfg: cfg, items: make(map[string]int64), calls: calls[T]{answers: make(chan answer[T])}}
}

// Run follows the list until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) error {
	if err := f.readFirst(ctx); err != nil {
		return err
	}
	f.follow(ctx)
	return ctx.Err()
}

// recordRevisions records the revisions of applied items.
func (f *Follower[T]) recordRevisions(changes []Change[T]) {
	for _, c := range changes {
		if c.Removed {
			delete(f.items, c.Name)
		} else {
			f.items[c.Name] = c.Revision
		}
	}
}

// differences returns the changes that turn the local copy into a whole list read
// at a revision.
func (f *Follower[T]) differences(all []Change[T], revision int64) []Change[T] {
	var out []Change[T]
	listed := make(map[string]bool, len(all))
	for _, c := range all {
		listed[c.Name] = true
		if heldRevision, ok := f.items[c.Name]; ok == c.Removed || ok && heldRevision != c.Revision {
			out = append(out, c)
		}
	}
	for name := range f.items {
		if !listed[name] {
			out = append(out, Change[T]{Name: name, Removed: true, Revision: revision})
		}
	}
	return out
}

// reportVerified reports the revision of the local copy to Config.OnVerified.
func (f *Follower[T]) reportVerified(sent time.Time) {
	if f.cfg.OnVerified != nil {
		f.cfg.OnVerified(f.revision, sent)
	}
}

// noteSuccess records that a call sent at a time succeeded.
func (f *Follower[T]) noteSuccess(sent time.Time) {
	if sent.After(f.lastSuccessAt) {
		f.lastSuccessAt = sent
	}
	if f.failures == 0 {
		return
	}
	f.failures = 0
	logs.Info(f.cfg.Log, logs.EventPlatformBack, zap.String("list", f.cfg.Name))
	f.cfg.OnBack()
}

// noteFailure records that a call failed and schedules the retry.
func (f *Follower[T]) noteFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failures == 0 {
		logs.Warn(f.cfg.Log, logs.EventPlatformAway, zap.String("list", f.cfg.Name), zap.Error(err))
		f.cfg.OnAway()
	}
	f.retryAt = time.Now().Add(backoff(f.failures, f.cfg.Random()))
	f.failures++
}
