package slot

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"lycheepond/agent/call"
	"lycheepond/agent/engine"
	"lycheepond/core/logs"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

const (
	// assignLease is how long a confirmation of an assignment lets this agent
	// give orders that follow from it.
	assignLease = 5 * time.Second
	// orderAgain is how long a failed order rests, and orderRepeat when one
	// that was taken is given again because the endpoint still serves
	// something else. Loading weights takes a while; an endpoint that was
	// restarted meanwhile has forgotten the order.
	orderAgain  = time.Second
	orderRepeat = time.Minute
	// orderMargin is what must be left of the lease for an order to be given.
	orderMargin = time.Second
)

var errOrderLease = errors.New("slot: the assignment is no longer known to be in force: the order is not given until an entry confirms it")

// assigned is the newest assignment of one model that is known.
type assigned struct {
	version int64
	epoch   int64
	line    spec.Assignment
	// mine is set when the assignment names this endpoint.
	mine bool
	// until is when its last confirmation runs out.
	until time.Duration
}

// order is what an endpoint was told.
type order struct {
	model string
	line  spec.Assignment
}

// orders is what the owner knows of assignments and orders.
type orders struct {
	seen map[string]*assigned
	// given is the newest fence of an order that was ever sent; none older is
	// sent after it, whatever the endpoint makes of fences.
	given int64
	// done is the newest fence that the endpoint accepted, and taken the line
	// that came with it, at the time takenAt.
	done    int64
	taken   order
	takenAt time.Duration
	// busy is set while an order is under way.
	busy bool
	next time.Duration
	// model and version are what the endpoint last said to serve.
	model, version string
}

func (o *Owner) newsAssign(_ time.Duration, m *wire.ObjectUpdate) {
	if m.Deleted || o.cfg.Order == nil {
		return
	}
	var a spec.Assign
	if err := json.Unmarshal(m.Data, &a); err != nil {
		logs.Error(o.log, logs.EventConfigRejected, zap.String("object", m.ObjectKind+"/"+m.Name), zap.Int64("version", m.Version), zap.Error(err))
		return
	}
	if o.orders.seen == nil {
		o.orders.seen = make(map[string]*assigned)
	}
	old := o.orders.seen[m.Name]
	if old != nil && (m.Version <= old.version || a.Epoch == old.epoch) {
		// Writes that only confirm an assignment change nothing here.
		return
	}
	line, mine := a.Endpoints[o.cfg.Self.Name]
	o.orders.seen[m.Name] = &assigned{version: m.Version, epoch: a.Epoch, line: line, mine: mine}
	o.askNext = 0
}

// confirmAssign takes in that an assignment was in force when it was asked.
func (o *Owner) confirmAssign(_ time.Duration, q ask, m *wire.LeaseReply) {
	if len(m.Pool) <= len(wire.AssignPrefix) || m.Pool[:len(wire.AssignPrefix)] != wire.AssignPrefix {
		return
	}
	a := o.orders.seen[m.Pool[len(wire.AssignPrefix):]]
	if a != nil && a.epoch == m.Epoch {
		a.until = max(a.until, q.at-ms(m.AgeMS)+assignLease)
	}
}

// tickOrders gives the newest order for this endpoint if it is due.
func (o *Owner) tickOrders(now time.Duration) {
	model, a := o.newest()
	if o.due(now, model, a) && now+orderMargin <= a.until {
		o.order(now, model, a)
	}
}

// due reports whether an order is to be given as soon as its assignment is
// confirmed.
func (o *Owner) due(now time.Duration, model string, a *assigned) bool {
	if a == nil || o.orders.busy || now < o.orders.next || a.version < o.orders.given {
		return false
	}
	serves := o.orders.model == model && o.orders.version == a.line.Version
	if o.orders.taken == (order{model, a.line}) {
		return !serves && now-o.orders.takenAt > orderRepeat
	}
	return !serves || a.line.Adapter != "" || a.line.Role != ""
}

// newest returns the assignment of this endpoint with the highest version.
func (o *Owner) newest() (string, *assigned) {
	var name string
	var best *assigned
	for model, a := range o.orders.seen {
		if a.mine && (best == nil || a.version > best.version) {
			name, best = model, a
		}
	}
	return name, best
}

func (o *Owner) order(now time.Duration, model string, a *assigned) {
	until, clock := a.until, o.cfg.Now
	ord := engine.Order{Fence: a.version, Model: model, Version: a.line.Version, Adapter: a.line.Adapter, Role: a.line.Role, Guard: &call.Guard{Check: func() error {
		if clock() >= until {
			return errOrderLease
		}
		return nil
	}}}
	o.orders.busy, o.orders.given = true, a.version
	give := o.cfg.Order
	limit := until - now
	logs.Info(o.log, logs.EventOrderGiven, zap.String("model", model), zap.String("version", a.line.Version), zap.Int64("fence", a.version))
	o.task(func(ctx context.Context) event {
		ctx, stop := context.WithTimeout(ctx, limit)
		defer stop()
		return ordered{ord, give(ctx, ord)}
	})
}

type ordered struct {
	o   engine.Order
	err error
}

func (e ordered) apply(o *Owner, now time.Duration) {
	o.orders.busy = false
	if e.err == nil || errors.Is(e.err, engine.ErrFenced) {
		o.orders.done = max(o.orders.done, e.o.Fence)
		o.orders.takenAt = now
		o.orders.taken = order{e.o.Model, spec.Assignment{Version: e.o.Version, Adapter: e.o.Adapter, Role: e.o.Role}}
	} else {
		o.orders.next = now + orderAgain
	}
	if e.err != nil {
		logs.Warn(o.log, logs.EventOrderRefused, zap.Int64("fence", e.o.Fence), zap.Error(e.err))
		return
	}
	logs.Info(o.log, logs.EventOrderDone, zap.Int64("fence", e.o.Fence))
}
