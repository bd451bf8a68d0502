package direct

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/blame"
	"lycheepond/core/logs"
	"lycheepond/core/wire"
	"lycheepond/entry/hop"
)

// start names one start of an endpoint.
func (e *endpoint) start() string {
	if e.Born == 0 {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(e.Born, 10)
}

// trialStep is how much later than the one before it an entry may begin the trial of a
// content: longer than it takes to hear of each other.
const trialStep = time.Second

// held returns after how long to come back with a job whose content is held back, zero
// if it is not.
func (d *Director) held(j *Job) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.v.blame.Wait(d.since(time.Now()), j.content, d.turn)
}

// admitted is held for a job that is sent if it returns zero.
func (d *Director) admitted(j *Job) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.v.blame.Admit(d.since(time.Now()), j.content, d.turn)
}

// untried notes that a job was not run by any endpoint.
func (d *Director) untried(j *Job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.v.blame.Untried(j.content)
}

// turn returns how much later than others this entry may begin a trial.
func (d *Director) turn() time.Duration {
	return time.Duration(d.rank()) * trialStep
}

// heldBack is the result of a job whose content is.
func heldBack(left time.Duration) Result {
	return Result{Outcome: Held, Retry: left, Why: "endpoints have ended under it"}
}

// doubtful reports whether a job is left to its caller to send again.
func (d *Director) doubtful(j *Job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.v.blame.Doubtful(d.since(time.Now()), j.content)
}

// lost notes that the try broke off; d.mu is held. Endpoints that leave end by plan.
func (v *visit) lost() {
	if v.content == (blame.Content{}) || v.e.Leaving {
		return
	}
	v.d.v.blame.Lost(v.d.since(time.Now()), v.content, v.e.start())
	v.d.blamed()
}

// served notes that the try brought a whole answer.
func (v *visit) served() {
	if v.content == (blame.Content{}) {
		return
	}
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	v.d.v.blame.Served(v.d.since(time.Now()), v.content, v.e.start())
	v.d.blamed()
}

// refused notes that the try found nobody listening, if that is what err says.
func (v *visit) refused(err error) {
	if !hop.Refused(err) {
		return
	}
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	if v.e.Addr == v.addr {
		v.d.ended(v.e)
	}
}

// ended notes that an endpoint has ended; d.mu is held.
func (d *Director) ended(e *endpoint) {
	if e.Leaving {
		return
	}
	d.v.blame.Ended(d.since(time.Now()), e.start())
	d.blamed()
}

// doubted adds the endpoints at which runs broke off and that may have ended, with
// their addresses; d.mu is held.
func (d *Director) doubted(now time.Duration, out map[string]string) {
	asked := make(map[string]bool)
	d.v.blame.Ask(now, func(start string) { asked[start] = true })
	if len(asked) == 0 {
		return
	}
	for id, e := range d.v.endpoints {
		if asked[e.start()] {
			out[id] = e.Addr
		}
	}
}

// blamed writes down what has begun or ceased to be held back; d.mu is held.
func (d *Director) blamed() {
	for _, c := range d.v.blame.Changes() {
		if c.Released {
			logs.Info(d.cfg.Log, logs.EventContentReleased, zap.Stringer("content", c.Content))
		} else {
			d.cfg.Metrics.Counter("contents_held").Inc(1)
			logs.Warn(d.cfg.Log, logs.EventContentHeld, zap.Stringer("content", c.Content), zap.Duration("left", c.Left), zap.Int("holds", c.Holds),
				zap.Strings("endpoints", c.Endpoints), zap.Bool("own", c.Own))
		}
		if d.cfg.Blamed != nil {
			d.cfg.Blamed(c)
		}
	}
}

// Restore holds a content back that was held back before this entry started.
func (d *Director) Restore(c blame.Content, age, left time.Duration, holds int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.v.blame.Restore(d.since(time.Now()), c, age, left, holds)
	d.blamed()
}

// Extend adds to a tally what the peers have not been told of contents and limits, or
// all of it.
func (d *Director) Extend(t *wire.Tally, all bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.Blamed, t.Limits = d.tellBlamed(all), d.limits(all)
}

// tellBlamed returns the contents of which the peers have not been told, or all; d.mu is
// held.
func (d *Director) tellBlamed(all bool) []wire.Blamed {
	var out []wire.Blamed
	for _, w := range d.v.blame.Tell(d.since(time.Now()), all) {
		b := wire.Blamed{Content: w.Content[:], ServedMS: -1, HeldMS: ms(w.Held), LeftMS: ms(w.Left), Holds: uint16(w.Holds), TriedMS: -1, Over: w.Over}
		if w.Tried >= 0 {
			b.TriedMS = w.Tried.Milliseconds()
		}
		if w.Served >= 0 {
			b.ServedMS = w.Served.Milliseconds()
		}
		for _, e := range w.Ends {
			b.Ends = append(b.Ends, wire.EndedAt{Endpoint: e.Endpoint, AgeMS: ms(e.Age)})
		}
		out = append(out, b)
	}
	return out
}

func ms(d time.Duration) uint32 { return uint32(max(d.Milliseconds(), 0)) }

// told takes in what a peer tells of contents; d.mu is held.
func (d *Director) told(all []wire.Blamed) {
	now := d.since(time.Now())
	age := func(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
	for _, b := range all {
		w := blame.Word{Served: -1, Held: age(b.HeldMS), Left: age(b.LeftMS), Holds: int(b.Holds), Tried: -1, Over: b.Over}
		if b.TriedMS >= 0 {
			w.Tried = time.Duration(b.TriedMS) * time.Millisecond
		}
		if copy(w.Content[:], b.Content) < len(w.Content) {
			continue
		}
		if b.ServedMS >= 0 {
			w.Served = time.Duration(b.ServedMS) * time.Millisecond
		}
		for _, e := range b.Ends {
			w.Ends = append(w.Ends, blame.End{Endpoint: e.Endpoint, Age: age(e.AgeMS)})
		}
		d.v.blame.Told(now, w)
	}
	d.blamed()
}
