package direct

import (
	"math"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/admit"
	"lycheepond/core/fair"
	"lycheepond/core/meter"
	"lycheepond/core/route"
	"lycheepond/core/waitq"
	"lycheepond/core/wire"
)

// jobShare is what a job's customer has and is due of the shard that decides about the job. The
// zero value stands for a shard whose room is not shared by customer.
type jobShare struct {
	// d, tier and request are set at the owner from the job's arrival until the decision.
	d       *Director
	tier    *fair.Tier
	request *fair.Request
	// result is set once the job is refused. Its Due is zero if the room is not shared.
	result fair.Share
}

// customerName returns the name of the job's customer, empty if it has none.
func (j *Job) customerName() string {
	if j.Customer == nil {
		return ""
	}
	return j.Customer.Name
}

// customerOf returns the customer of a peer's request, nil if it has none. Only its name is set.
func customerOf(m *wire.PlaceRequest) *route.Customer {
	if m.Customer == "" {
		return nil
	}
	return &route.Customer{Name: m.Customer}
}

// askShare records at the owner of a shard that a job asks for room, and sets its place among
// the customers of its tier in position. The caller holds d.mu.
func (d *Director) askShare(j *Job, s *poolShard, position *waitq.Priority) {
	j.share = jobShare{}
	if s == nil || !d.cfg.Overload.ShareByCustomer {
		return
	}
	t := s.shares[j.Tier]
	if t == nil {
		if s.shares == nil {
			s.shares = make(map[route.Tier]*fair.Tier)
		}
		t = new(fair.Tier)
		s.shares[j.Tier] = t
	}
	work := position.HoldTime
	if !j.Pool.Engine {
		work = d.view.pools[j.Pool.Name].learner.Pace("").FirstEvent
	}
	name := j.customerName()
	r := t.Ask(d.sinceStart(time.Now()), name, d.view.table.Weight(name), work)
	position.CustomerOwed, position.StartTag = r.Owed(), r.StartTag()
	j.share = jobShare{d: d, tier: t, request: r}
}

// limitWait bounds the wait in an engine's queue, if the customer has had its share, as for the
// lowest tier. A request in that queue is ahead of all later ones, also of customers below their
// shares.
func (s *jobShare) limitWait(r *admit.Request) {
	if s.tier != nil && s.request.AboveShare() {
		r.TierCount = max(r.TierCount, 2)
		r.TierRank = r.TierCount - 1
	}
}

// isBelow reports whether the room is shared and the job's customer has had less than its share.
func (s *jobShare) isBelow() bool { return s.tier != nil && !s.request.AboveShare() }

// wait records that the job waits in the queue of the shard.
func (s *jobShare) wait() {
	if s.tier != nil {
		s.tier.Wait(s.request)
	}
}

// end records that the job was placed or refused.
func (s *jobShare) end(placed bool) {
	switch {
	case s.tier == nil:
	case placed:
		s.tier.Place(s.d.sinceStart(time.Now()), s.request)
	default:
		s.tier.Refuse(s.request)
		s.result = s.tier.Share(s.d.sinceStart(time.Now()), s.request)
	}
	s.d, s.tier, s.request = nil, nil, nil
}

// latestRefusal returns the time after which a refusal by one shard leaves a job no time to ask
// another. A customer below its share is at the front of the queues, so it may ask as long as half
// of its target is left; with shards for each zone 0.12 of such requests were refused otherwise
// beside a customer with long requests.
func (s *jobShare) latestRefusal(j *Job) time.Duration {
	if s.result.Placed < s.result.Due {
		return max(j.Route.Target/2, immediateRefusal)
	}
	return immediateRefusal
}

// setReply sets the share in the answer to a peer whose request is refused.
func (s *jobShare) setReply(m *wire.PlaceReply) {
	m.Share, m.ShareDue = float32(s.result.Placed), float32(s.result.Due)
}

// setFromReply takes the share from an owner's answer; that of a placed request has none.
func (s *jobShare) setFromReply(m *wire.PlaceReply) {
	s.result = fair.Share{Placed: float64(m.Share), Due: float64(m.ShareDue)}
}

// reportShare counts the share of a refused job's customer, and returns the fields of its log
// line. There are none if the room is not shared.
func (d *Director) reportShare(j *Job, res Result) []zap.Field {
	s := j.share.result
	if res.Outcome != Refused || s.Due <= 0 {
		return nil
	}
	counter := "refused_under_share"
	if s.Placed > s.Due {
		counter = "refused_over_share"
	}
	d.cfg.Metrics.Counter(counter, meter.Label{Key: "pool", Value: j.Pool.Name}).Inc(1)
	if d.refusedShares != nil {
		d.refusedShares.Observe(j.customerName(), int64(math.Round(100*s.Placed/s.Due)))
	}
	return []zap.Field{zap.Float64("share", roundShare(s.Placed)), zap.Float64("share_due", roundShare(s.Due)), zap.Float64("weight", d.Table().Weight(j.customerName()))}
}

// roundShare rounds a share to five digits after the point, so that lines stay short and a
// share of one customer in 21,000 can be read.
func roundShare(share float64) float64 { return math.Round(share*1e5) / 1e5 }
