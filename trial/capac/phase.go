package capac

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/fleet"
	"lycheepond/trial/platf"
	"lycheepond/trial/serve"
)

// Calls is what a deployment asked of the platform in one phase.
type Calls struct {
	// Phase is start, calm or after-outage.
	Phase string `json:"calls"`
	// Measure says what Size counts.
	Measure string  `json:"measure"`
	Size    int     `json:"size"`
	Seconds float64 `json:"seconds"`
	platf.Stats
}

// Spread is how long a change of a class took to be in force. Agents keep no
// classes: what they need comes with each offer.
type Spread struct {
	Measure string `json:"config_by"`
	Size    int    `json:"size"`
	// EntriesMS is until every entry had it.
	EntriesMS float64 `json:"entries_ms"`
}

// The phases of Calls.
const (
	phaseStart = "start"
	phaseCalm  = "calm"
	phaseAfter = "after-outage"
)

const (
	// calmAfter is how long a start is left to settle before the calm is
	// counted, and calmSpan how long it is: two confirmations of the tables.
	calmAfter = 6 * time.Second
	calmSpan  = 16 * time.Second
	// outage is how long the platform is away, and afterSpan how long the
	// calls after it are counted.
	outage     = 5 * time.Second
	afterSpan  = 5 * time.Second
	spreadLook = 5 * time.Millisecond
	// spreadLimit bounds the wait for a change.
	spreadLimit = 15 * time.Second
)

// Phases measures calls at the platform and the spread of a change at the size
// of p. Show is called with a Calls or a Spread.
func Phases(ctx context.Context, f *fleet.Fleet, p Point, started time.Duration, show func(any) error) error {
	stats, err := f.Platform().Stats(ctx)
	if err != nil {
		return err
	}
	// The writes at the start are this tool's own: it writes the objects.
	if err := show(Calls{Phase: phaseStart, Measure: p.Measure, Size: p.Size, Seconds: seconds(started), Stats: stats}); err != nil {
		return err
	}
	if !serve.Sleep(ctx, calmAfter) {
		return context.Cause(ctx)
	}
	if err := count(ctx, f, phaseCalm, p, calmSpan, show); err != nil {
		return err
	}
	s, err := spread(ctx, f, p)
	if err != nil {
		return err
	}
	if err := show(s); err != nil {
		return err
	}
	if err := f.Platform().SetFault(ctx, platf.Fault{Down: true}); err != nil {
		return err
	}
	if !serve.Sleep(ctx, outage) {
		return context.Cause(ctx)
	}
	if err := f.Platform().SetFault(ctx, platf.Fault{}); err != nil {
		return err
	}
	return count(ctx, f, phaseAfter, p, afterSpan, show)
}

func count(ctx context.Context, f *fleet.Fleet, phase string, p Point, span time.Duration, show func(any) error) error {
	from, err := f.Platform().Stats(ctx)
	if err != nil {
		return err
	}
	if !serve.Sleep(ctx, span) {
		return context.Cause(ctx)
	}
	to, err := f.Platform().Stats(ctx)
	if err != nil {
		return err
	}
	return show(Calls{Phase: phase, Measure: p.Measure, Size: p.Size, Seconds: seconds(span), Stats: to.Since(from)})
}

func seconds(d time.Duration) float64 { return round(d.Seconds()) }

// spread changes a class and waits until the change is in force everywhere.
func spread(ctx context.Context, f *fleet.Fleet, p Point) (Spread, error) {
	s := Spread{Measure: p.Measure, Size: p.Size}
	class := ownClassObject()
	class.Deadline = spec.Duration(11 * time.Second)
	start := time.Now()
	version, err := f.Platform().PutVersion(ctx, spec.KindClass, class.Name, class)
	if err != nil {
		return s, err
	}
	ctx, stop := context.WithTimeout(ctx, spreadLimit)
	defer stop()
	for {
		done, err := inForce(ctx, f, version)
		if err != nil {
			return s, errors.Join(err, fmt.Errorf("capac: a change is not in force after %v", spreadLimit))
		}
		if done {
			s.EntriesMS = math.Round(float64(time.Since(start).Microseconds())/100) / 10
			return s, nil
		}
		serve.Sleep(ctx, spreadLook)
	}
}

// inForce reports whether every entry has at least version.
func inForce(ctx context.Context, f *fleet.Fleet, version int64) (bool, error) {
	for _, e := range f.Entries() {
		s, err := entryStatus(ctx, e)
		if err != nil || s.Config < version {
			return false, err
		}
	}
	return true, nil
}
