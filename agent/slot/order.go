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
	// assignLease is how long this agent may send orders for an assignment after a
	// confirmation.
	assignLease = 5 * time.Second
	// orderRetryDelay is the time before a failed order is sent again, and
	// orderRepeatDelay the time before an accepted order is sent again because the
	// endpoint still serves something else. Loading weights takes time, and an
	// endpoint that was restarted has forgotten the order.
	orderRetryDelay  = time.Second
	orderRepeatDelay = time.Minute
	// minOrderLease is the minimum remaining lease for sending an order.
	minOrderLease = time.Second
)

var errOrderLease = errors.New("slot: the assignment is no longer known to be in force: the order is not sent until an entry confirms it")

// knownAssignment is the newest known assignment of one model.
type knownAssignment struct {
	version    int64
	epoch      int64
	assignment spec.Assignment
	// namesSelf is set when the assignment names this agent's endpoint.
	namesSelf bool
	// confirmedUntil is when the last confirmation expires.
	confirmedUntil time.Duration
}

// orderContent is what an order tells an endpoint to serve.
type orderContent struct {
	model      string
	assignment spec.Assignment
}

// orderState is the owner's state of assignments and orders.
type orderState struct {
	// assignments holds the newest assignment of each model, by model.
	assignments map[string]*knownAssignment
	// lastSentFence is the highest fencing number of an order that was sent. No
	// order with a lower number is sent, even if the endpoint would accept it.
	lastSentFence int64
	// acceptedFence is the highest fencing number that the endpoint has seen: it
	// accepted that order, or rejected it because of a newer one. accepted is the
	// content of the last such order, and acceptedAt the time of the reply.
	acceptedFence int64
	accepted      orderContent
	acceptedAt    time.Duration
	// isSending is set while an order is being sent.
	isSending bool
	// nextOrderAt is the earliest time for the next order.
	nextOrderAt time.Duration
	// servedModel and servedVersion are what the endpoint serves according to its
	// last load report.
	servedModel, servedVersion string
}

func (o *Owner) updateAssignment(_ time.Duration, m *wire.ObjectUpdate) {
	if m.Deleted || o.cfg.SendOrder == nil {
		return
	}
	var a spec.Assign
	if err := json.Unmarshal(m.Data, &a); err != nil {
		logs.Error(o.log, logs.EventConfigRejected, zap.String("object", m.ObjectKind+"/"+m.Name), zap.Int64("version", m.Version), zap.Error(err))
		return
	}
	if o.orderState.assignments == nil {
		o.orderState.assignments = make(map[string]*knownAssignment)
	}
	old := o.orderState.assignments[m.Name]
	if old != nil && (m.Version <= old.version || a.Epoch == old.epoch) {
		// A write that only confirms the assignment changes nothing here.
		return
	}
	assignment, namesSelf := a.Endpoints[o.cfg.Self.Name]
	o.orderState.assignments[m.Name] = &knownAssignment{version: m.Version, epoch: a.Epoch, assignment: assignment, namesSelf: namesSelf}
	o.nextLeaseRoundAt = 0
}

// confirmAssignment handles the confirmation that an assignment was in force at
// the time of the request.
func (o *Owner) confirmAssignment(_ time.Duration, request leaseRequest, m *wire.LeaseReply) {
	if len(m.Pool) <= len(wire.AssignPrefix) || m.Pool[:len(wire.AssignPrefix)] != wire.AssignPrefix {
		return
	}
	a := o.orderState.assignments[m.Pool[len(wire.AssignPrefix):]]
	if a != nil && a.epoch == m.Epoch {
		a.confirmedUntil = max(a.confirmedUntil, request.sentAt-ms(m.AgeMS)+assignLease)
	}
}

// tickOrders sends the newest order for this endpoint if it is due and its
// assignment is confirmed.
func (o *Owner) tickOrders(now time.Duration) {
	model, a := o.newestAssignment()
	if o.orderDue(now, model, a) && now+minOrderLease <= a.confirmedUntil {
		o.startOrder(now, model, a)
	}
}

// orderDue reports whether an order is to be sent as soon as its assignment is
// confirmed.
func (o *Owner) orderDue(now time.Duration, model string, a *knownAssignment) bool {
	if a == nil || o.orderState.isSending || now < o.orderState.nextOrderAt || a.version < o.orderState.lastSentFence {
		return false
	}
	serves := o.orderState.servedModel == model && o.orderState.servedVersion == a.assignment.Version
	if o.orderState.accepted == (orderContent{model, a.assignment}) {
		return !serves && now-o.orderState.acceptedAt > orderRepeatDelay
	}
	return !serves || a.assignment.Adapter != "" || a.assignment.Role != ""
}

// newestAssignment returns the assignment of this endpoint with the highest version
// and its model, or nil if there is none.
func (o *Owner) newestAssignment() (string, *knownAssignment) {
	var name string
	var best *knownAssignment
	for model, a := range o.orderState.assignments {
		if a.namesSelf && (best == nil || a.version > best.version) {
			name, best = model, a
		}
	}
	return name, best
}

func (o *Owner) startOrder(now time.Duration, model string, a *knownAssignment) {
	leaseEnd, clock := a.confirmedUntil, o.cfg.Now
	ord := engine.Order{Fence: a.version, Model: model, Version: a.assignment.Version, Adapter: a.assignment.Adapter, Role: a.assignment.Role, Guard: &call.Guard{Check: func() error {
		if clock() >= leaseEnd {
			return errOrderLease
		}
		return nil
	}}}
	o.orderState.isSending, o.orderState.lastSentFence = true, a.version
	sendOrder := o.cfg.SendOrder
	timeout := leaseEnd - now
	logs.Info(o.log, logs.EventOrderGiven, zap.String("model", model), zap.String("version", a.assignment.Version), zap.Int64("fence", a.version))
	o.startTask(func(ctx context.Context) event {
		ctx, stop := context.WithTimeout(ctx, timeout)
		defer stop()
		return orderEndEvent{ord, sendOrder(ctx, ord)}
	})
}

type orderEndEvent struct {
	order engine.Order
	err   error
}

func (e orderEndEvent) apply(o *Owner, now time.Duration) {
	o.orderState.isSending = false
	if e.err == nil || errors.Is(e.err, engine.ErrFenced) {
		o.orderState.acceptedFence = max(o.orderState.acceptedFence, e.order.Fence)
		o.orderState.acceptedAt = now
		o.orderState.accepted = orderContent{e.order.Model, spec.Assignment{Version: e.order.Version, Adapter: e.order.Adapter, Role: e.order.Role}}
	} else {
		o.orderState.nextOrderAt = now + orderRetryDelay
	}
	if e.err != nil {
		logs.Warn(o.log, logs.EventOrderRefused, zap.Int64("fence", e.order.Fence), zap.Error(e.err))
		return
	}
	logs.Info(o.log, logs.EventOrderDone, zap.Int64("fence", e.order.Fence))
}
