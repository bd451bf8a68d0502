// Package follow keeps a copy of what the platform lists: it reads a list once
// and then waits for changes, through outages, lost history and connections
// that go silent.
//
// A call that waits for changes brings news within milliseconds, and is evidence
// of nothing while it waits: the platform may have forgotten it. So an entry now
// and then looks beside it, with a call that is answered at once, and the entries
// share what these show.
package follow

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
)

// ErrHistory reports that the platform no longer has the changes since the
// revision asked for.
var ErrHistory = errors.New("follow: the platform has dropped these changes: read the whole list")

const (
	// waitExtra is what a waiting call may take beyond its wait: the platform's
	// answers may take sixty times their usual milliseconds.
	waitExtra = 1500 * time.Millisecond
	// listTime bounds the calls for a whole list together: the pages of three
	// thousand items, asked for by three hundred entries at once.
	listTime = 5 * CallTime
	// firstPause and longestPause bound how often a platform that fails is
	// asked. Every entry asks, and the first second after its return matters.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
)

// CallTime bounds one call to the platform that does not wait: some hundred times
// what it usually takes.
const CallTime = 2 * time.Second

// Change is one change of the list.
type Change[T any] struct {
	Name    string
	Removed bool
	// Item is the zero value if Removed is set.
	Item T
	// Revision is the platform's revision of the change.
	Revision int64
}

// Newest returns the highest revision of changes, zero if there are none.
func Newest[T any](changes []Change[T]) int64 {
	newest := int64(0)
	for _, c := range changes {
		newest = max(newest, c.Revision)
	}
	return newest
}

// Config is what a Follower depends on.
type Config[T any] struct {
	// Name is what is followed, for logs.
	Name string
	// List returns all items and the revision of the list. It bounds each call
	// that it takes by CallTime.
	List func(ctx context.Context) ([]Change[T], int64, error)
	// Watch returns the changes since a revision, waiting for the first one up
	// to wait, and the revision to go on from.
	Watch func(ctx context.Context, since int64, wait time.Duration) ([]Change[T], int64, error)
	// Wait returns how long the next call waits for a change.
	Wait func() time.Duration
	// Due returns in how long to look beside the waiting call, or to ask again when
	// that is; nil is never.
	Due func() time.Duration
	// Bound is the time within which a change must be in force.
	Bound time.Duration
	// Pause returns how long to wait after changes before asking for more, which
	// then come together. Fifty endpoints that start or leave at once would
	// otherwise cost each entry fifty calls.
	Pause func() time.Duration
	// Listed takes in a whole list, Changed the changes after it. Both return the
	// revision that the list has with them.
	Listed  func(all []Change[T], revision int64) int64
	Changed func(changes []Change[T]) int64
	// Looked notes that a call sent at a time showed that nothing is newer than a
	// revision; nil if nobody wants to know.
	Looked func(revision int64, sent time.Time)
	// Away and Back tell that the platform stopped or began to answer.
	Away, Back func()
	// Random returns a number in [0, 1).
	Random func() float64
	Log    *zap.Logger
}

// Follower follows one list.
type Follower[T any] struct {
	cfg Config[T]
	// failed counts the calls that failed since one went well, which was sent at
	// well. After a failure nothing is asked before retry.
	failed      int
	well, retry time.Time
	// holds is the revision that the list has here, items that of each item.
	holds int64
	items map[string]int64
	// since is the revision from which on changes are asked for, and at a later
	// one up to which a look has shown that there are none.
	since, at int64
	calls[T]
}

// New returns a follower that does nothing until Run.
func New[T any](cfg Config[T]) *Follower[T] {
	return &Follower[T]{cfg: cfg, items: make(map[string]int64), calls: calls[T]{answers: make(chan answer[T])}}
}

// Run follows the list until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) error {
	if err := f.list(ctx); err != nil {
		return err
	}
	f.attend(ctx)
	return ctx.Err()
}

// keep notes the revisions of items that are taken in.
func (f *Follower[T]) keep(changes []Change[T]) {
	for _, c := range changes {
		if c.Removed {
			delete(f.items, c.Name)
		} else {
			f.items[c.Name] = c.Revision
		}
	}
}

// differences returns the changes that make what is held here a whole list that
// was read at a revision.
func (f *Follower[T]) differences(all []Change[T], revision int64) []Change[T] {
	var out []Change[T]
	listed := make(map[string]bool, len(all))
	for _, c := range all {
		listed[c.Name] = true
		if held, ok := f.items[c.Name]; ok == c.Removed || ok && held != c.Revision {
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

func (f *Follower[T]) looked(sent time.Time) {
	if f.cfg.Looked != nil {
		f.cfg.Looked(f.holds, sent)
	}
}

// good notes that a call that was sent at a time went well.
func (f *Follower[T]) good(sent time.Time) {
	if sent.After(f.well) {
		f.well = sent
	}
	if f.failed == 0 {
		return
	}
	f.failed = 0
	logs.Info(f.cfg.Log, logs.EventPlatformBack, zap.String("list", f.cfg.Name))
	f.cfg.Back()
}

// bad notes that a call failed.
func (f *Follower[T]) bad(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failed == 0 {
		logs.Warn(f.cfg.Log, logs.EventPlatformAway, zap.String("list", f.cfg.Name), zap.Error(err))
		f.cfg.Away()
	}
	f.retry = time.Now().Add(backoff(f.failed, f.cfg.Random()))
	f.failed++
}
