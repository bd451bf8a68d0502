package slot

// Status is the owner's state as shown to operators.
type Status struct {
	InFlight        int              `json:"in_flight"`
	Bound           int              `json:"bound"`
	Queued          int              `json:"queued"`
	Claims          int              `json:"claims"`
	Ready           int              `json:"ready"`
	Entries         []string         `json:"entries"`
	Levels          map[string]uint8 `json:"levels"`
	HomesEpochs     map[string]int64 `json:"homes_epochs"`
	Keys            int              `json:"keys"`
	KeptBytes       int64            `json:"kept_bytes"`
	Leaving         bool             `json:"leaving"`
	EndpointDown    bool             `json:"endpoint_down"`
	EndpointStalled bool             `json:"endpoint_stalled"`
	EndpointSlow    bool             `json:"endpoint_slow"`
	EndpointVersion string           `json:"endpoint_version"`
	OrderDone       int64            `json:"order_done"`
}

// Status returns the state that was published last, at most about statusInterval
// ago. It is safe for concurrent use.
func (o *Owner) Status() Status {
	if s := o.status.Load(); s != nil {
		return *s
	}
	return Status{}
}

func (o *Owner) publishStatus() {
	s := &Status{
		InFlight: len(o.running), Bound: o.bound.Limit(), Queued: o.queue.Len(), Claims: o.claimCount, Ready: len(o.readyRecords),
		Levels: make(map[string]uint8), HomesEpochs: make(map[string]int64), Keys: len(o.keys), KeptBytes: o.budget.Used(),
		Leaving: o.isLeaving, EndpointDown: o.isDown, EndpointStalled: o.isStalled, EndpointSlow: o.bound.Slow(), EndpointVersion: o.orderState.servedVersion, OrderDone: o.orderState.acceptedFence,
	}
	now := o.cfg.Now()
	for _, e := range o.sessions {
		if e.link != nil {
			s.Entries = append(s.Entries, e.name)
		}
		for pool := range e.levels {
			s.Levels[pool] = o.poolLevel(now, pool)
		}
	}
	for pool, view := range o.homeViews {
		s.HomesEpochs[pool] = view.Table().Epoch
	}
	o.status.Store(s)
}
