// Package report is what processes tell operators: the entry's status and its
// record of a request's decisions. The entry writes it, lychee reads it.
package report

import (
	"lycheepond/core/store"
	"lycheepond/core/wire"
)

// Entry is the status of an entry.
type Entry struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
	Running int    `json:"running"`
	// Config is the newest version in force, Digest tells whether two entries
	// have the same objects in force.
	Config int64  `json:"config_version"`
	Digest uint64 `json:"config_digest"`
	// Away is set while the platform does not answer, AgeMS is the age of its
	// last answer.
	Away     bool              `json:"platform_away"`
	AgeMS    int64             `json:"platform_answer_age_ms"`
	Rejected []store.Rejection `json:"rejected,omitempty"`
	Pools    []Pool            `json:"pools"`
	Traffic  wire.Counts       `json:"link_bytes"`
}

// Pool is what an entry says of a pool. InFlight and Queued count the entry's
// own requests.
type Pool struct {
	Pool     string `json:"pool"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	Level    int    `json:"shed_level"`
	// Beyond counts live agents of the pool that the entry has no link to.
	Beyond int     `json:"unlinked"`
	Agents []Agent `json:"agents"`
}

// Agent is what an entry says of an agent.
type Agent struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Linked   bool   `json:"linked"`
	Leaving  bool   `json:"leaving"`
	InFlight int    `json:"in_flight"`
	Bound    int    `json:"bound"`
	Queued   int    `json:"queued"`
	Level    int    `json:"level"`
	Slow     bool   `json:"slow"`
	Version  string `json:"version,omitempty"`
}

// Request is the record of the decisions about one request.
type Request struct {
	ID       string `json:"id"`
	Pool     string `json:"pool"`
	Class    string `json:"class"`
	Tier     uint8  `json:"tier"`
	Customer string `json:"customer"`
	Outcome  string `json:"outcome,omitempty"`
	Fault    string `json:"fault,omitempty"`
	Steps    []Step `json:"steps"`
}

// Step is one decision.
type Step struct {
	AtMS  int64  `json:"at_ms"`
	What  string `json:"what"`
	Agent string `json:"agent,omitempty"`
	Why   string `json:"why,omitempty"`
}
