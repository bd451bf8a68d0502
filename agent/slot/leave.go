package slot

import (
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

// leave begins a planned stop: every entry hears of it, what waits goes back,
// and what runs is finished.
func (o *Owner) leave(now time.Duration) {
	if o.leaving {
		return
	}
	o.leaving, o.leaveBy = true, now+o.cfg.Grace
	logs.Info(o.log, logs.EventLeaving, zap.Int("running", len(o.running)), zap.Int("waiting", len(o.waiting)))
	o.publish()
	o.sayAll()
	for _, r := range o.waiting {
		o.giveBack(now, r, wire.ReasonLeaving)
	}
}

// tickLeave stops what outlasts the grace time.
func (o *Owner) tickLeave(now time.Duration) {
	if !o.leaving || now < o.leaveBy {
		return
	}
	for _, r := range o.running {
		o.halt(r, wire.ReasonLeaving)
	}
}

// left reports whether a planned stop has nothing more to wait for.
func (o *Owner) left() bool {
	return o.leaving && len(o.running) == 0 && len(o.ready) == 0 && o.handed(o.cfg.Now()) && (o.tasks == 0 || o.cfg.Now() > o.leaveBy+cancelTimeout)
}
