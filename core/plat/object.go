// Package plat is the client of the platform: its object API, its instance
// list and its weight store.
package plat

import (
	"encoding/json"
	"fmt"
)

// Object is one object of the platform. Data is its content as JSON.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is set by the platform; it grows with every write of any object.
	Version int64           `json:"version"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// Event is one change that a watch reports.
type Event struct {
	// Gone is set when the object was deleted; Object.Version is then the
	// version of the deletion.
	Gone   bool   `json:"gone,omitempty"`
	Object Object `json:"object"`
}

// Batch is the answer of a list or a watch.
type Batch struct {
	// Version is what to watch after next.
	Version int64   `json:"version"`
	Events  []Event `json:"events"`
}

// Instance states.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance roles.
const (
	RoleEndpoint = "endpoint"
	RoleEntry    = "entry"
)

// Instance is one line of the platform's instance list.
type Instance struct {
	Name   string            `json:"name"`
	Role   string            `json:"role"`
	Zone   string            `json:"zone"`
	Labels map[string]string `json:"labels,omitempty"`
	// Link is the address of the system's process on the instance.
	Link string `json:"link"`
	// Admin is the address of that process for operators.
	Admin string `json:"admin,omitempty"`
	State string `json:"state"`
}

// Roster is the instance list at a version.
type Roster struct {
	Version   int64      `json:"version"`
	Instances []Instance `json:"instances"`
}

// ConflictError reports a conditional write whose condition did not hold.
type ConflictError struct {
	kind, name string
	current    int64
}

// NewConflict returns the error for an object that is now at version current.
func NewConflict(kind, name string, current int64) *ConflictError {
	return &ConflictError{kind: kind, name: name, current: current}
}

// Current returns the version that the object has now, zero if it has none.
func (e *ConflictError) Current() int64 { return e.current }

// Error names the object and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("plat: %s/%s was changed by someone else and is now at version %d: read it again and repeat the change", e.kind, e.name, e.current)
}
