// Package report defines the reports for operators: the status of an entry and its
// record of the decisions about a request. Entries write them and lychee reads them.
package report

import (
	"lycheepond/core/store"
	"lycheepond/core/wire"
)

// Entry is the status of an entry. Leaving is set once a planned stop has begun, and
// RunningRequests is the number of requests in the entry.
type Entry struct {
	Name            string `json:"name"`
	Zone            string `json:"zone"`
	Ready           bool   `json:"ready"`
	Leaving         bool   `json:"leaving"`
	RunningRequests int    `json:"running"`
	// ConfigVersion is the newest version in force. Entries with the same
	// ConfigDigest have the same objects in force.
	ConfigVersion int64  `json:"config_version"`
	ConfigDigest  uint64 `json:"config_digest"`
	// PlatformUnavailable is set while the platform does not answer, and
	// PlatformAnswerAgeMS is the age of its last answer in milliseconds.
	PlatformUnavailable bool              `json:"platform_away"`
	PlatformAnswerAgeMS int64             `json:"platform_answer_age_ms"`
	Rejected            []store.Rejection `json:"rejected,omitempty"`
	Pools               []Pool            `json:"pools"`
	Traffic             wire.Counts       `json:"link_bytes"`
}

// Pool is an entry's view of a pool. InFlight and Queued count the entry's own
// requests.
type Pool struct {
	Pool      string `json:"pool"`
	InFlight  int    `json:"in_flight"`
	Queued    int    `json:"queued"`
	ShedLevel int    `json:"shed_level"`
	// UnlinkedAgents is the number of live agents of the pool to which the entry has
	// no link.
	UnlinkedAgents int     `json:"unlinked"`
	Agents         []Agent `json:"agents"`
}

// Agent is an entry's view of an agent.
type Agent struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	Linked        bool   `json:"linked"`
	Leaving       bool   `json:"leaving"`
	InFlight      int    `json:"in_flight"`
	InFlightBound int    `json:"bound"`
	Queued        int    `json:"queued"`
	ShedLevel     int    `json:"level"`
	Slow          bool   `json:"slow"`
	Version       string `json:"version,omitempty"`
}

// Request is the record of the decisions about one request. Outcome is empty while the
// request is running.
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

// Step is one decision about a request. AtMS is the time since the entry accepted the
// request, in milliseconds.
type Step struct {
	AtMS   int64  `json:"at_ms"`
	Action string `json:"what"`
	Agent  string `json:"agent,omitempty"`
	Reason string `json:"why,omitempty"`
}
