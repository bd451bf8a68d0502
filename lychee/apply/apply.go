package apply

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
)

// State is what became of one object.
type State string

// The states of a Result.
const (
	StateUnchanged State = "unchanged"
	StateCreated   State = "created"
	StateChanged   State = "changed"
	// StateConflict: someone else changed the object; nothing was written.
	StateConflict State = "conflict"
	// StateUncertain: the reply was lost and the platform could not be asked
	// again; the write may have taken effect.
	StateUncertain State = "uncertain"
	// StateFailed: nothing was written.
	StateFailed State = "failed"
	// StateSkipped: not tried, because one before it did not succeed.
	StateSkipped State = "skipped"
)

// Result is what became of one object.
type Result struct {
	Object  string `json:"object"`
	State   State  `json:"state"`
	Version int64  `json:"version,omitempty"`
	// Note tells what the operator should know, such as a lost reply.
	Note string `json:"note,omitempty"`
	// By is who wrote the version that stands in the way.
	By    *spec.Applied `json:"by,omitempty"`
	Lines []string      `json:"lines,omitempty"`
}

// Putter writes one object of the platform.
type Putter func(ctx context.Context, kind, name string, data []byte, ifVersion int64) (plat.Object, error)

// Applier writes objects.
type Applier struct {
	Get Getter
	Put Putter
	// By names the operator in what is written.
	By string
	// NewID returns a fresh ID for each write.
	NewID func() string
	Now   func() time.Time
	// Pause waits before a call is repeated.
	Pause func(ctx context.Context)
}

// tries is how often a lost reply is followed up before the operator is told
// that the outcome is uncertain.
const tries = 5

// All writes the objects in order and stops at the first that does not
// succeed, so that a customer is not written whose class was refused.
func (a *Applier) All(ctx context.Context, items []spec.Item) []Result {
	results := make([]Result, 0, len(items))
	stopped := false
	for _, it := range items {
		if stopped {
			results = append(results, Result{Object: it.Ref(), State: StateSkipped})
			continue
		}
		r := a.One(ctx, it)
		results = append(results, r)
		stopped = r.State == StateConflict || r.State == StateUncertain || r.State == StateFailed
	}
	return results
}

// One writes one object if it differs from the platform's.
func (a *Applier) One(ctx context.Context, it spec.Item) Result {
	c, err := Compare(ctx, a.Get, it)
	if err != nil {
		return Result{Object: it.Ref(), State: StateFailed, Note: err.Error()}
	}
	if c.Same() {
		return Result{Object: it.Ref(), State: StateUnchanged, Version: c.Version}
	}
	if it.IfVersion != 0 && it.IfVersion != c.Version {
		return conflict(c, fmt.Sprintf("the file was made from version %d", it.IfVersion))
	}
	applied := &spec.Applied{By: a.By, At: a.Now().UTC().Truncate(time.Second), ID: a.NewID()}
	data, err := spec.Encode(it.Object, applied)
	if err != nil {
		return Result{Object: it.Ref(), State: StateFailed, Note: err.Error()}
	}
	return a.write(ctx, c, data, applied.ID)
}

// write puts the object and follows a lost reply up until it is clear whether
// the write took effect.
func (a *Applier) write(ctx context.Context, c Change, data []byte, id string) Result {
	it, lost := c.Item, false
	for range tries {
		o, err := a.Put(ctx, it.Kind, it.Name, data, c.Version)
		var raced *plat.ConflictError
		var uncertain *plat.UncertainError
		switch {
		case err == nil:
			return written(c, o.Version, "")
		case errors.As(err, &raced):
			return a.raced(ctx, c, raced.Current(), id, lost)
		case errors.As(err, &uncertain):
			lost = true
		case !lost:
			return Result{Object: it.Ref(), State: StateFailed, Note: err.Error()}
		}
		// A write without a reply may have taken effect. If the object carries
		// this write's ID it has; if not, the same conditional write is
		// repeated, which cannot undo anyone's change.
		a.Pause(ctx)
		if now, err := a.Get(ctx, it.Kind, it.Name); err == nil && wrote(now, id) {
			return written(c, now.Version, "the reply was lost, but the write took effect")
		}
		if ctx.Err() != nil {
			break
		}
	}
	return Result{
		Object: it.Ref(), State: StateUncertain,
		Note: "no reply from the platform: the write may have taken effect; run `lychee diff` when the platform answers again",
	}
}

// raced finds out who changed the object. A replica that lags may still show
// the former version, so it is asked until it shows the one that the platform
// named.
func (a *Applier) raced(ctx context.Context, c Change, current int64, id string, lost bool) Result {
	it := c.Item
	for range tries {
		now, err := a.Get(ctx, it.Kind, it.Name)
		switch {
		case err == nil && wrote(now, id):
			return written(c, now.Version, "the reply was lost, but the write took effect")
		case err == nil && now.Version >= current:
			after, err := against(it, now)
			if err != nil {
				return Result{Object: it.Ref(), State: StateFailed, Note: err.Error()}
			}
			note := "changed by someone else since it was read"
			if lost {
				note += "; a reply was lost before, so this change may have been in force in between"
			}
			return conflict(after, note)
		case errors.Is(err, plat.ErrNotFound) && current == 0:
			return conflict(Change{Item: it, Lines: Lines("", Text(it.Kind, it.Object))}, "deleted by someone else since it was read")
		}
		if ctx.Err() != nil {
			break
		}
		a.Pause(ctx)
	}
	return Result{Object: it.Ref(), State: StateConflict, Version: current, Note: "changed by someone else since it was read; the platform does not show the new version yet: run `lychee diff`"}
}

func wrote(o plat.Object, id string) bool {
	by := spec.AppliedOf(o.Data)
	return by != nil && by.ID == id
}

func written(c Change, version int64, note string) Result {
	r := Result{Object: c.Item.Ref(), State: StateChanged, Version: version, Note: note, Lines: c.Lines}
	if c.Version == 0 {
		r.State = StateCreated
	}
	return r
}

func conflict(c Change, why string) Result {
	return Result{Object: c.Item.Ref(), State: StateConflict, Version: c.Version, Note: why, By: c.By, Lines: c.Lines}
}
