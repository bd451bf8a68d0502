package slot

import (
	"slices"
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

// fetchTime is how long an entry that has linked again may take to ask for answers.
// It does so at once; the time covers one that is busy.
const fetchTime = 500 * time.Millisecond

// owes reports whether an entry whose link broke may still come for an answer, which
// nobody else has.
func (o *Owner) owes(now time.Duration) bool {
	if now >= o.leaveBy {
		return false
	}
	for _, r := range slices.Backward(o.old) {
		if now-r.changed > sessionGrace {
			return false
		}
		if r.state != ended || r.log == nil || r.told {
			continue
		}
		if r.sess.link == nil && now-r.sess.gone < sessionGrace && !o.replaced(r.sess) {
			return true
		}
		if r.sess.link != nil && r.link != r.sess.link && now-r.sess.back < fetchTime {
			return true
		}
	}
	return false
}

// replaced reports whether the entry behind a session has ended: another process of
// its name has come since.
func (o *Owner) replaced(s *session) bool {
	for _, other := range o.sessions {
		if other != s && other.name == s.name && other.back > s.gone {
			return true
		}
	}
	return false
}

// left reports whether a planned stop has nothing more to wait for.
func (o *Owner) left() bool {
	now := o.cfg.Now()
	return o.leaving && len(o.running) == 0 && len(o.ready) == 0 && !o.owes(now) && o.handed(now) && (o.tasks == 0 || now > o.leaveBy+cancelTimeout)
}
