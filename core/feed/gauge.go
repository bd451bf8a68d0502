package feed

import (
	"time"

	"lycheepond/core/meter"
	"lycheepond/core/plat"
)

// AnswerAgeMS returns the time since the platform's last answer in milliseconds, or -1
// if there was none.
func (f *Feed) AnswerAgeMS() int64 {
	if c := f.LastContact(); !c.AnsweredAt.IsZero() {
		return time.Since(c.AnsweredAt).Milliseconds()
	}
	return -1
}

// RegisterMetrics adds the feed's state and the counts of the client's calls to a
// process's metrics.
func (f *Feed) RegisterMetrics(set *meter.Set) {
	set.GaugeFunc("config_version", f.cfg.Store.Version)
	set.GaugeFunc("config_rejected_objects", func() int64 { return int64(len(f.cfg.Store.Rejected())) })
	set.GaugeFunc("platform_away", func() int64 {
		if f.PlatformUnavailable() {
			return 1
		}
		return 0
	})
	set.GaugeFunc("platform_answer_age_ms", f.AnswerAgeMS)
	calls := f.cfg.Platform.Calls()
	for name, count := range map[string]func(plat.CallCounts) uint64{
		"get": func(c plat.CallCounts) uint64 { return c.Get }, "list": func(c plat.CallCounts) uint64 { return c.List },
		"put": func(c plat.CallCounts) uint64 { return c.Put }, "delete": func(c plat.CallCounts) uint64 { return c.Delete },
		"watch": func(c plat.CallCounts) uint64 { return c.Watch }, "instances": func(c plat.CallCounts) uint64 { return c.Instances },
		"failed": func(c plat.CallCounts) uint64 { return c.Failed }, "conflict": func(c plat.CallCounts) uint64 { return c.Conflict },
		"unavailable": func(c plat.CallCounts) uint64 { return c.Unavailable },
	} {
		set.GaugeFunc("platform_calls", func() int64 { return int64(count(calls.Read())) }, meter.Label{Key: "kind", Value: name})
	}
}
