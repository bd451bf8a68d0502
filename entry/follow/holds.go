package follow

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/blame"
	"lycheepond/core/logs"
)

const (
	// maxHolds bounds the writes that wait.
	maxHolds = 64
	// holdTries is how often a write is tried: the others know of it anyway, and the
	// object is for the case that all are started anew.
	holdTries = 5
	// keepHolds is how long an object is kept after its time: a content that was held
	// back awaits its trial then, and is not to begin anew.
	keepHolds = 10 * time.Minute
	// tidyEvery is how often old objects of this entry are looked for.
	tidyEvery = 30 * time.Second
)

// HoldLine is what the platform's object says of a content that is held back.
type HoldLine struct {
	// SinceMS and UntilMS are milliseconds since 1970.
	SinceMS int64 `json:"since_ms"`
	UntilMS int64 `json:"until_ms"`
	// Holds counts the times that it was held back.
	Holds int `json:"holds"`
}

// HoldsConfig is what Holds depends on.
type HoldsConfig struct {
	// Create, Replace and Remove write the object of a content, List reads all.
	Create, Replace func(ctx context.Context, name string, line HoldLine) error
	Remove          func(ctx context.Context, name string) error
	List            func(ctx context.Context) (map[string]HoldLine, error)
	// Restore takes in a content that was held back before this entry started.
	Restore func(c blame.Content, age, left time.Duration, holds int)
	// Wall is the time of day; entries that start read it from the object.
	Wall   func() time.Time
	Random func() float64
	Log    *zap.Logger
}

// Holds keeps what is held back in the platform, so that it outlasts all entries. No
// request waits for it.
type Holds struct {
	cfg     HoldsConfig
	changes chan blame.Change
	// written holds until when the objects of this entry last. Run owns it.
	written map[string]int64
}

// NewHolds returns a Holds that does nothing until Run.
func NewHolds(cfg HoldsConfig) *Holds {
	return &Holds{cfg: cfg, changes: make(chan blame.Change, maxHolds), written: make(map[string]int64)}
}

// Note takes in that a content has begun or ceased to be held back. Entries at which
// none of its runs were lost leave the writing to the others. It never waits: beyond
// maxHolds a change is left out.
func (h *Holds) Note(c blame.Change) {
	if !c.Own {
		return
	}
	select {
	case h.changes <- c:
	default:
		logs.Warn(h.cfg.Log, logs.EventFailed, zap.String("what", "too many contents to write down"), zap.Stringer("content", c.Content))
	}
}

// Run reads what is held back and then writes down changes until ctx ends.
func (h *Holds) Run(ctx context.Context) error {
	h.try(ctx, 0, h.restore)
	tick := time.NewTicker(tidyEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-h.changes:
			h.try(ctx, holdTries, func(ctx context.Context) error { return h.write(ctx, c) })
		case <-tick.C:
			h.tidy(ctx)
		}
	}
}

// try calls f until it succeeds, most times at most; zero sets no bound.
func (h *Holds) try(ctx context.Context, most int, f func(ctx context.Context) error) {
	for failed := 0; ctx.Err() == nil; failed++ {
		limited, cancel := context.WithTimeout(ctx, CallTime)
		err := f(limited)
		cancel()
		if err == nil {
			return
		}
		if failed+1 == most {
			logs.Warn(h.cfg.Log, logs.EventFailed, zap.String("what", "writing down what is held back; a start of all entries would forget it"), zap.Error(err))
			return
		}
		pause := min(firstPause<<min(failed, 8), longestPause)
		sleep(ctx, time.Duration((0.5+h.cfg.Random()/2)*float64(pause)))
	}
}

// restore reads all objects and removes old ones.
func (h *Holds) restore(ctx context.Context) error {
	all, err := h.cfg.List(ctx)
	if err != nil {
		return err
	}
	now := h.cfg.Wall().UnixMilli()
	for name, line := range all {
		c, ok := blame.Parse(name)
		switch {
		case !ok:
		case line.UntilMS+keepHolds.Milliseconds() <= now:
			_ = h.cfg.Remove(ctx, name)
		default:
			ms := func(n int64) time.Duration { return time.Duration(max(n, 0)) * time.Millisecond }
			h.cfg.Restore(c, ms(now-line.SinceMS), ms(line.UntilMS-now), line.Holds)
		}
	}
	return nil
}

func (h *Holds) write(ctx context.Context, c blame.Change) error {
	name := c.Content.String()
	if c.Released {
		delete(h.written, name)
		return h.cfg.Remove(ctx, name)
	}
	now := h.cfg.Wall()
	line := HoldLine{SinceMS: now.UnixMilli(), UntilMS: now.Add(c.Left).UnixMilli(), Holds: c.Holds}
	err := h.cfg.Create(ctx, name, line)
	if errors.Is(err, ErrExists) {
		err = nil
		if c.Holds > 1 {
			err = h.cfg.Replace(ctx, name, line)
		}
	}
	if err == nil {
		h.written[name] = line.UntilMS
	}
	return err
}

// tidy removes old objects of this entry.
func (h *Holds) tidy(ctx context.Context) {
	now := h.cfg.Wall().UnixMilli()
	for name, until := range h.written {
		if until+keepHolds.Milliseconds() > now {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, CallTime)
		err := h.cfg.Remove(limited, name)
		cancel()
		if err == nil {
			delete(h.written, name)
		}
	}
}
