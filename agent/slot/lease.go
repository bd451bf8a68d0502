package slot

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/homes"
	"lycheepond/core/logs"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

const (
	// roundsPerLease is the number of request rounds within one lease, so that two
	// lost replies do not end the lease.
	roundsPerLease = 4
	// entriesPerRound is the number of entries that get a request in each round.
	entriesPerRound = 2
	// maxLeaseInterval is the longest time between two rounds, and
	// orderLeaseInterval the time while an order waits for a confirmation.
	maxLeaseInterval   = 5 * time.Second
	orderLeaseInterval = time.Second
)

// leaseRequest is an unanswered request for a confirmation that an object is still
// in force. pool is a pool's name, or wire.AssignPrefix and a model's name.
type leaseRequest struct {
	sentAt time.Duration
	pool   string
}

func (o *Owner) handleObjectUpdate(now time.Duration, m *wire.ObjectUpdate) {
	switch m.ObjectKind {
	case spec.KindHomes:
		o.updateHomes(now, m)
	case spec.KindAssign:
		o.updateAssignment(now, m)
	}
}

func (o *Owner) updateHomes(now time.Duration, m *wire.ObjectUpdate) {
	if m.Deleted {
		// The removal of a table has no effect: the table may return with the same
		// epochs, so the newest known one stays in force.
		return
	}
	var t spec.Homes
	err := json.Unmarshal(m.Data, &t)
	if err == nil {
		err = homes.Validate(t)
	}
	if err != nil {
		logs.Error(o.log, logs.EventConfigRejected, zap.String("object", m.ObjectKind+"/"+m.Name), zap.Int64("version", m.Version), zap.Error(err))
		return
	}
	view := o.homeViews[m.Name]
	if view == nil {
		view = homes.NewView(o.cfg.Self)
		o.homeViews[m.Name] = view
	}
	if view.Update(now, t) {
		logs.Info(o.log, logs.EventHomesChanged, zap.String("pool", m.Name), zap.Int64("epoch", t.Epoch))
		o.nextLeaseRoundAt = 0
	}
}

// requestLeases asks entries to confirm the tables of homes and, if an order is
// due, its assignment. A confirmation counts from the time of the request, so that
// a late reply does not extend a lease.
func (o *Owner) requestLeases(now time.Duration) {
	if now < o.nextLeaseRoundAt {
		return
	}
	interval := maxLeaseInterval
	for pool, view := range o.homeViews {
		if lease := view.Table().Lease.Std(); lease > 0 {
			interval = min(interval, lease/roundsPerLease)
		}
		o.sendLeaseRequests(now, pool)
	}
	if model, a := o.newestAssignment(); o.orderDue(now, model, a) {
		interval = min(interval, orderLeaseInterval)
		o.sendLeaseRequests(now, wire.AssignPrefix+model)
	}
	o.nextLeaseRoundAt = now + interval
	for seq, request := range o.leaseRequests {
		if now-request.sentAt > homes.DefaultLease {
			delete(o.leaseRequests, seq)
		}
	}
}

func (o *Owner) sendLeaseRequests(now time.Duration, pool string) {
	n := 0
	for _, s := range o.sessions {
		if s.link == nil {
			continue
		}
		o.lastLeaseSeq++
		o.leaseRequests[o.lastLeaseSeq] = leaseRequest{sentAt: now, pool: pool}
		o.send(s.link, &wire.LeaseRequest{Seq: o.lastLeaseSeq, Pool: pool})
		if n++; n == entriesPerRound {
			return
		}
	}
}

func (o *Owner) handleLeaseReply(now time.Duration, _ *Peer, m *wire.LeaseReply) {
	request, ok := o.leaseRequests[m.Seq]
	if !ok || request.pool != m.Pool {
		return
	}
	delete(o.leaseRequests, m.Seq)
	if !m.Confirmed {
		return
	}
	if view := o.homeViews[m.Pool]; view != nil {
		view.ExtendLease(request.sentAt, ms(m.AgeMS), m.Epoch)
		return
	}
	o.confirmAssignment(now, request, m)
}
