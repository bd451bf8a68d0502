package slot

// Status is what operators see of the owner.
type Status struct {
	InFlight  int              `json:"in_flight"`
	Bound     int              `json:"bound"`
	Queued    int              `json:"queued"`
	Claims    int              `json:"claims"`
	Ready     int              `json:"ready"`
	Entries   []string         `json:"entries"`
	Levels    map[string]uint8 `json:"levels"`
	Homes     map[string]int64 `json:"homes_epochs"`
	Keys      int              `json:"keys"`
	Kept      int64            `json:"kept_bytes"`
	Leaving   bool             `json:"leaving"`
	Down      bool             `json:"endpoint_down"`
	Stalled   bool             `json:"endpoint_stalled"`
	Slow      bool             `json:"endpoint_slow"`
	Version   string           `json:"endpoint_version"`
	OrderDone int64            `json:"order_done"`
}

// Status returns what operators see, as of the last tick. It is safe for
// concurrent use.
func (o *Owner) Status() Status {
	if s := o.status.Load(); s != nil {
		return *s
	}
	return Status{}
}

func (o *Owner) publishStatus() {
	s := &Status{
		InFlight: len(o.running), Bound: o.bound.Limit(), Queued: o.queue.Len(), Claims: o.claims, Ready: len(o.ready),
		Levels: make(map[string]uint8), Homes: make(map[string]int64), Keys: len(o.keys), Kept: o.budget.Used(),
		Leaving: o.leaving, Down: o.down, Stalled: o.stalled, Slow: o.bound.Slow(), Version: o.orders.version, OrderDone: o.orders.done,
	}
	now := o.cfg.Now()
	for _, e := range o.sessions {
		if e.link != nil {
			s.Entries = append(s.Entries, e.name)
		}
		for pool := range e.levels {
			s.Levels[pool] = o.levelOf(now, pool)
		}
	}
	for pool, h := range o.homes {
		s.Homes[pool] = h.Table().Epoch
	}
	o.status.Store(s)
}
