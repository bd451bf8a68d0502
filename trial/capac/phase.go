package capac

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/fleet"
	"lycheepond/trial/serve"
	"lycheepond/trial/simapi"
)

// PlatformCalls counts the calls of a deployment to the platform in one phase.
type PlatformCalls struct {
	// Phase is start, calm or after-outage.
	Phase string `json:"calls"`
	// Dimension says what Size counts: agents, customers or entries.
	Dimension string `json:"measure"`
	Size      int    `json:"size"`
	// Seconds is the length of the phase.
	Seconds float64 `json:"seconds"`
	simapi.Stats
}

// ConfigPropagation holds how long a change of a class took to come into force. It covers
// entries only: agents keep no classes, since each offer holds what they need.
type ConfigPropagation struct {
	// Dimension says what Size counts: agents, customers or entries.
	Dimension string `json:"config_by"`
	Size      int    `json:"size"`
	// EntriesMS is the time from the change until it was in force at every entry, in
	// milliseconds.
	EntriesMS float64 `json:"entries_ms"`
}

// The phases of PlatformCalls.
const (
	phaseStart       = "start"
	phaseCalm        = "calm"
	phaseAfterOutage = "after-outage"
)

const (
	// calmDelay is the wait after the start until calls of the calm phase are counted.
	calmDelay = 6 * time.Second
	// calmTime is the length of the calm phase. It covers two confirmations of the
	// tables.
	calmTime = 16 * time.Second
	// outageTime is how long the platform is down, and afterOutageTime how long calls
	// are counted after that.
	outageTime      = 5 * time.Second
	afterOutageTime = 5 * time.Second
	// propagationPollInterval is the time between two checks whether a change is in
	// force.
	propagationPollInterval = 5 * time.Millisecond
	// maxPropagationTime bounds the wait for a change to come into force.
	maxPropagationTime = 15 * time.Second
)

// MeasurePhases measures the calls to the platform at the start, in a calm phase and after
// an outage, and the propagation of a change, all at the size of p. The start of the
// deployment took startDuration. MeasurePhases calls report with PlatformCalls and
// ConfigPropagation values.
func MeasurePhases(ctx context.Context, f *fleet.Fleet, p Point, startDuration time.Duration, report func(any) error) error {
	stats, err := f.Platform().Stats(ctx)
	if err != nil {
		return err
	}
	// The writes at the start are those of this program, which writes the objects.
	if err := report(PlatformCalls{Phase: phaseStart, Dimension: p.Dimension, Size: p.Size, Seconds: seconds(startDuration), Stats: stats}); err != nil {
		return err
	}
	if !serve.Sleep(ctx, calmDelay) {
		return context.Cause(ctx)
	}
	if err := countCalls(ctx, f, phaseCalm, p, calmTime, report); err != nil {
		return err
	}
	s, err := measurePropagation(ctx, f, p)
	if err != nil {
		return err
	}
	if err := report(s); err != nil {
		return err
	}
	if err := f.Platform().SetFault(ctx, simapi.Fault{Down: true}); err != nil {
		return err
	}
	if !serve.Sleep(ctx, outageTime) {
		return context.Cause(ctx)
	}
	if err := f.Platform().SetFault(ctx, simapi.Fault{}); err != nil {
		return err
	}
	return countCalls(ctx, f, phaseAfterOutage, p, afterOutageTime, report)
}

// countCalls reports the calls to the platform during the time d.
func countCalls(ctx context.Context, f *fleet.Fleet, phase string, p Point, d time.Duration, report func(any) error) error {
	before, err := f.Platform().Stats(ctx)
	if err != nil {
		return err
	}
	if !serve.Sleep(ctx, d) {
		return context.Cause(ctx)
	}
	after, err := f.Platform().Stats(ctx)
	if err != nil {
		return err
	}
	return report(PlatformCalls{Phase: phase, Dimension: p.Dimension, Size: p.Size, Seconds: seconds(d), Stats: after.Since(before)})
}

// seconds returns d in seconds, rounded to hundredths.
func seconds(d time.Duration) float64 { return round(d.Seconds()) }

// measurePropagation changes a class and waits until the change is in force at every
// entry.
func measurePropagation(ctx context.Context, f *fleet.Fleet, p Point) (ConfigPropagation, error) {
	s := ConfigPropagation{Dimension: p.Dimension, Size: p.Size}
	class := newTagClass()
	class.Deadline = spec.Duration(11 * time.Second)
	start := time.Now()
	version, err := f.Platform().PutVersion(ctx, spec.KindClass, class.Name, class)
	if err != nil {
		return s, err
	}
	ctx, stop := context.WithTimeout(ctx, maxPropagationTime)
	defer stop()
	for {
		done, err := isInForce(ctx, f, version)
		if err != nil {
			return s, errors.Join(err, fmt.Errorf("capac: a change is not in force after %v", maxPropagationTime))
		}
		if done {
			s.EntriesMS = math.Round(float64(time.Since(start).Microseconds())/100) / 10
			return s, nil
		}
		serve.Sleep(ctx, propagationPollInterval)
	}
}

// isInForce reports whether every entry has at least the given configuration version
// in force.
func isInForce(ctx context.Context, f *fleet.Fleet, version int64) (bool, error) {
	for _, e := range f.Entries() {
		s, err := readEntryStatus(ctx, e)
		if err != nil || s.ConfigVersion < version {
			return false, err
		}
	}
	return true, nil
}
