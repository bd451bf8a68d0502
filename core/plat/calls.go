package plat

import (
	"net/http"
	"sync/atomic"
)

// Calls counts the calls of one client by kind, because the platform counts
// them too and its rates are limited.
type Calls struct {
	get, list, put, remove, watch, instances atomic.Uint64
	// failed are calls without a whole answer, conflict those answered 409 and
	// unavailable those answered 5xx or 429.
	failed, conflict, unavailable atomic.Uint64
}

// CallCounts is a reading of Calls.
type CallCounts struct {
	Get         uint64 `json:"get"`
	List        uint64 `json:"list"`
	Put         uint64 `json:"put"`
	Delete      uint64 `json:"delete"`
	Watch       uint64 `json:"watch"`
	Instances   uint64 `json:"instances"`
	Failed      uint64 `json:"failed"`
	Conflict    uint64 `json:"conflict"`
	Unavailable uint64 `json:"unavailable"`
}

// Read returns the counters.
func (c *Calls) Read() CallCounts {
	return CallCounts{
		Get: c.get.Load(), List: c.list.Load(), Put: c.put.Load(), Delete: c.remove.Load(),
		Watch: c.watch.Load(), Instances: c.instances.Load(),
		Failed: c.failed.Load(), Conflict: c.conflict.Load(), Unavailable: c.unavailable.Load(),
	}
}

func (c *Calls) refused(status int) {
	switch {
	case status == http.StatusConflict:
		c.conflict.Add(1)
	case status == http.StatusTooManyRequests || status >= http.StatusInternalServerError:
		c.unavailable.Add(1)
	}
}
