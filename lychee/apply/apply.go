package apply

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
)

// State says how the write of one object ended.
type State string

// The states of a Result.
const (
	StateUnchanged State = "unchanged"
	StateCreated   State = "created"
	StateChanged   State = "changed"
	// StateConflict: someone else changed the object, so nothing was written.
	StateConflict State = "conflict"
	// StateUncertain: the reply was lost and the platform could not be reached
	// again. The write may have taken effect.
	StateUncertain State = "uncertain"
	// StateFailed: nothing was written.
	StateFailed State = "failed"
	// StateSkipped: the object was not written, because an object before it
	// failed.
	StateSkipped State = "skipped"
)

// Result is the outcome of applying one object.
type Result struct {
	// Object is the object's reference, KIND/NAME.
	Object string `json:"object"`
	State  State  `json:"state"`
	// Version is the version at the platform, zero if it is not known.
	Version int64 `json:"version,omitempty"`
	// Note explains the state, for example that a reply was lost.
	Note string `json:"note,omitempty"`
	// WrittenBy is the author of the platform's version after a conflict.
	WrittenBy *spec.Applied `json:"by,omitempty"`
	// DiffLines is the difference from the platform's version to the file's, as
	// returned by Diff.
	DiffLines []string `json:"lines,omitempty"`
}

// Putter writes one object to the platform if the platform's version is still
// ifVersion, zero meaning that the object must not exist.
type Putter func(ctx context.Context, kind, name string, data []byte, ifVersion int64) (plat.Object, error)

// Applier writes objects to the platform.
type Applier struct {
	Get Getter
	Put Putter
	// Author names the operator. It is stored in each object.
	Author string
	// NewID returns a fresh ID for each write.
	NewID func() string
	Now   func() time.Time
	// Pause waits before a call is repeated. It returns early when ctx is done.
	Pause func(ctx context.Context)
}

// maxRounds bounds the rounds of calls that find out whether a write took effect or
// who changed the object. If it is still unclear after them whether a write took
// effect, the outcome is reported as uncertain.
const maxRounds = 5

// ApplyAll writes the objects in order and stops at the first failure. A customer is
// thus not written if its class was refused.
func (a *Applier) ApplyAll(ctx context.Context, items []spec.Item) []Result {
	results := make([]Result, 0, len(items))
	stopped := false
	for _, item := range items {
		if stopped {
			results = append(results, Result{Object: item.Ref(), State: StateSkipped})
			continue
		}
		result := a.ApplyOne(ctx, item)
		results = append(results, result)
		stopped = result.State == StateConflict || result.State == StateUncertain || result.State == StateFailed
	}
	return results
}

// ApplyOne writes one object if it differs from the platform's. It writes
// nothing if the file names another version than the platform's.
func (a *Applier) ApplyOne(ctx context.Context, item spec.Item) Result {
	change, err := Compare(ctx, a.Get, item)
	if err != nil {
		return Result{Object: item.Ref(), State: StateFailed, Note: err.Error()}
	}
	if change.IsUnchanged() {
		return Result{Object: item.Ref(), State: StateUnchanged, Version: change.Version}
	}
	if item.IfVersion != 0 && item.IfVersion != change.Version {
		return conflictResult(change, fmt.Sprintf("the file was made from version %d", item.IfVersion))
	}
	applied := &spec.Applied{By: a.Author, At: a.Now().UTC().Truncate(time.Second), ID: a.NewID()}
	data, err := spec.Encode(item.Object, applied)
	if err != nil {
		return Result{Object: item.Ref(), State: StateFailed, Note: err.Error()}
	}
	return a.write(ctx, change, data, applied.ID)
}

// write puts the object. After a lost reply, it calls the platform until it is
// clear whether the write took effect, at most maxRounds times.
func (a *Applier) write(ctx context.Context, change Change, data []byte, writeID string) Result {
	item, replyLost := change.Item, false
	for range maxRounds {
		o, err := a.Put(ctx, item.Kind, item.Name, data, change.Version)
		var conflictErr *plat.ConflictError
		var uncertainErr *plat.UncertainError
		switch {
		case err == nil:
			return successResult(change, o.Version, "")
		case errors.As(err, &conflictErr):
			return a.resolveConflict(ctx, change, conflictErr.Current(), writeID, replyLost)
		case errors.As(err, &uncertainErr):
			replyLost = true
		case !replyLost:
			return Result{Object: item.Ref(), State: StateFailed, Note: err.Error()}
		}
		// A write without a reply may have taken effect. It has if the object
		// carries this write's ID. Otherwise the same conditional write is
		// repeated, which can't undo another operator's change.
		a.Pause(ctx)
		if current, err := a.Get(ctx, item.Kind, item.Name); err == nil && hasWriteID(current, writeID) {
			return successResult(change, current.Version, "the reply was lost, but the write took effect")
		}
		if ctx.Err() != nil {
			break
		}
	}
	return Result{
		Object: item.Ref(), State: StateUncertain,
		Note: "no reply from the platform: the write may have taken effect; run `lychee diff` when the platform answers again",
	}
}

// resolveConflict finds out who changed the object after a conditional write
// failed. A lagging replica may still return an older version, so the object is
// read again until its version is at least conflictVersion, the one that the
// platform reported. The change may be this write itself if its reply was lost.
func (a *Applier) resolveConflict(ctx context.Context, change Change, conflictVersion int64, writeID string, replyLost bool) Result {
	item := change.Item
	for range maxRounds {
		current, err := a.Get(ctx, item.Kind, item.Name)
		switch {
		case err == nil && hasWriteID(current, writeID):
			return successResult(change, current.Version, "the reply was lost, but the write took effect")
		case err == nil && current.Version >= conflictVersion:
			newChange, err := compareWith(item, current)
			if err != nil {
				return Result{Object: item.Ref(), State: StateFailed, Note: err.Error()}
			}
			note := "changed by someone else since it was read"
			if replyLost {
				note += "; an earlier reply was lost, so the file's version may have been in force for a while"
			}
			return conflictResult(newChange, note)
		case errors.Is(err, plat.ErrNotFound) && conflictVersion == 0:
			return conflictResult(Change{Item: item, DiffLines: Diff("", FormatYAML(item.Kind, item.Object))}, "deleted by someone else since it was read")
		}
		if ctx.Err() != nil {
			break
		}
		a.Pause(ctx)
	}
	return Result{Object: item.Ref(), State: StateConflict, Version: conflictVersion, Note: "changed by someone else since it was read; the platform does not show the new version yet: run `lychee diff`"}
}

// hasWriteID reports whether the object was written by the write with this ID.
func hasWriteID(o plat.Object, writeID string) bool {
	applied := spec.AppliedOf(o.Data)
	return applied != nil && applied.ID == writeID
}

// successResult returns the result of a write that took effect.
func successResult(change Change, version int64, note string) Result {
	r := Result{Object: change.Item.Ref(), State: StateChanged, Version: version, Note: note, DiffLines: change.DiffLines}
	if change.Version == 0 {
		r.State = StateCreated
	}
	return r
}

// conflictResult returns the result of an object that someone else changed.
func conflictResult(change Change, note string) Result {
	return Result{Object: change.Item.Ref(), State: StateConflict, Version: change.Version, Note: note, WrittenBy: change.WrittenBy, DiffLines: change.DiffLines}
}
