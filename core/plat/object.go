// Package plat is the client of the platform's object API and instance list.
package plat

import (
	"encoding/json"
	"fmt"
)

// Object is one object of the platform. Data is its content as JSON.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is set by the platform and increases with every write of any object.
	Version int64           `json:"version"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// Event is one change that a watch returns.
type Event struct {
	// Deleted is set if the object was deleted; Object.Version is then the version of
	// the deletion.
	Deleted bool   `json:"gone,omitempty"`
	Object  Object `json:"object"`
}

// Batch is the result of a list or a watch.
type Batch struct {
	// Version is the version from which to watch next.
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

// Instance is one element of the platform's instance list.
type Instance struct {
	Name   string            `json:"name"`
	Role   string            `json:"role"`
	Zone   string            `json:"zone"`
	Labels map[string]string `json:"labels,omitempty"`
	// LinkAddr is the link address of the lycheepond process on the instance.
	LinkAddr string `json:"link"`
	// AdminAddr is the address of that process for operators.
	AdminAddr string `json:"admin,omitempty"`
	State     string `json:"state"`
}

// Roster is the instance list at a version.
type Roster struct {
	Version   int64      `json:"version"`
	Instances []Instance `json:"instances"`
}

// ConflictError reports a conditional write whose condition was not met.
type ConflictError struct {
	kind, name string
	current    int64
}

// NewConflict returns the error for an object that is now at version current.
func NewConflict(kind, name string, current int64) *ConflictError {
	return &ConflictError{kind: kind, name: name, current: current}
}

// Current returns the current version of the object, or zero if it does not exist.
func (e *ConflictError) Current() int64 { return e.current }

// Error describes the conflict and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("plat: %s/%s was changed by someone else and is now at version %d: read it again and repeat the change", e.kind, e.name, e.current)
}
