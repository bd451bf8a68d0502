package kept

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"lycheepond/core/meter"
)

// Reason is the reason why this process closed a connection.
type Reason uint8

// The reasons for closing a connection.
const (
	// IdleBound means that no request arrived for longer than the bound allows.
	IdleBound Reason = iota
	// SlowHead means that a request began to arrive and its head was not complete in time.
	SlowHead
	// PlannedStop means that the process is stopping and the connection was idle.
	PlannedStop
	// GraceExpired means that a request outlived the grace of a planned stop.
	GraceExpired
	// HeadMemory means that the heads of all requests took too much memory.
	HeadMemory
	// NoRoom means that there were too many connections.
	NoRoom
	reasonCount
)

var reasonNames = [reasonCount]string{"idle bound", "slow head", "planned stop", "end of the grace", "memory of heads", "no room"}

func (r Reason) String() string { return reasonNames[r] }

func (r Reason) label() meter.Label {
	return meter.Label{Key: "why", Value: strings.ReplaceAll(r.String(), " ", "_")}
}

// ClosedError is the cause with which the context of a request is cancelled when this process
// closes the request's connection.
type ClosedError struct {
	Reason Reason
	// Age is how long the connection had been in the state in which it was closed: idle, or
	// serving a request.
	Age time.Duration
	// Bound is the bound on Age; zero if the reason has none.
	Bound time.Duration
}

func (c *ClosedError) Error() string {
	return fmt.Sprintf("kept: this process closed the connection after %v (%s): send the request again on another", c.Age.Round(time.Millisecond), c.Reason)
}

// Label returns the metrics label for the reason.
func (c *ClosedError) Label() meter.Label { return c.Reason.label() }

// Cause returns why this process closed the connection that ctx belongs to, or nil if it did
// not.
func Cause(ctx context.Context) *ClosedError {
	var c *ClosedError
	if errors.As(context.Cause(ctx), &c) {
		return c
	}
	return nil
}
