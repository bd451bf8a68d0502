package plat

import (
	"net/http"
	"sync/atomic"
)

// Calls counts the calls of one client by kind, because the platform limits the rates
// of calls.
type Calls struct {
	get, list, put, deletes, watch, instances atomic.Uint64
	// failed counts calls without a complete answer, conflict those answered with
	// status 409 and unavailable those answered with status 429 or 5xx.
	failed, conflict, unavailable atomic.Uint64
}

// CallCounts holds the values of Calls.
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

// Read returns the current counts.
func (c *Calls) Read() CallCounts {
	return CallCounts{
		Get: c.get.Load(), List: c.list.Load(), Put: c.put.Load(), Delete: c.deletes.Load(),
		Watch: c.watch.Load(), Instances: c.instances.Load(),
		Failed: c.failed.Load(), Conflict: c.conflict.Load(), Unavailable: c.unavailable.Load(),
	}
}

// countErrorStatus counts an answer with an error status.
func (c *Calls) countErrorStatus(status int) {
	switch {
	case status == http.StatusConflict:
		c.conflict.Add(1)
	case status == http.StatusTooManyRequests || status >= http.StatusInternalServerError:
		c.unavailable.Add(1)
	}
}
