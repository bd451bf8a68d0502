package kept

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"lycheepond/core/meter"
)

// Why is the reason for which this process closed a connection.
type Why uint8

// The reasons.
const (
	// IdleBound is that no request came for longer than the bound allows.
	IdleBound Why = iota
	// SlowHead is that a request began to arrive and its head did not end.
	SlowHead
	// PlannedStop is that the process stops and the connection was idle.
	PlannedStop
	// GraceOver is that a request outlived the grace of a planned stop.
	GraceOver
	whys
)

var whyNames = [whys]string{"idle bound", "slow head", "planned stop", "end of the grace"}

func (w Why) String() string { return whyNames[w] }

func (w Why) label() meter.Label {
	return meter.Label{Key: "why", Value: strings.ReplaceAll(w.String(), " ", "_")}
}

// Closed is the cause with which the context of a request ends when this process
// closes the request's connection.
type Closed struct {
	Why Why
	// Since is how long the connection had been in the state that it was closed
	// in: idle, or busy with a request.
	Since time.Duration
	// Bound is the bound on Since; zero if the reason has none.
	Bound time.Duration
}

func (c *Closed) Error() string {
	return fmt.Sprintf("kept: this process closed the connection after %v (%s): send the request again on another", c.Since.Round(time.Millisecond), c.Why)
}

// Label is the label of counters.
func (c *Closed) Label() meter.Label { return c.Why.label() }

// Cause returns why this process closed the connection that ctx belongs to, and
// nil if it did not.
func Cause(ctx context.Context) *Closed {
	var c *Closed
	if errors.As(context.Cause(ctx), &c) {
		return c
	}
	return nil
}
