package homes

import (
	"fmt"
	"time"

	"lycheepond/core/spec"
)

// Limits of a table. They prevent sums of times from overflowing and keep the
// object below the platform's limit of one megabyte.
const (
	maxLease = time.Hour
	maxSlots = 1 << 15
)

// TableError reports a table that no entry of this version would write.
type TableError struct{ reason string }

// Error describes the fault and what to do about it.
func (e *TableError) Error() string {
	return fmt.Sprintf("homes: table of key homes rejected: %s: the last good one stays in force; delete the object only while no agent runs", e.reason)
}

// Validate returns a *TableError for a table with which two agents could act
// for the same key.
func Validate(t spec.Homes) error {
	switch lease := t.Lease.Std(); {
	case t.Epoch < 1:
		return &TableError{fmt.Sprintf("epoch %d", t.Epoch)}
	case lease <= 0 || lease > maxLease:
		return &TableError{fmt.Sprintf("lease %v", lease)}
	case len(t.Slots) == 0 || len(t.Slots) > maxSlots:
		return &TableError{fmt.Sprintf("%d slots", len(t.Slots))}
	}
	for i, s := range t.Slots {
		if s.Owner < -1 || s.Owner >= len(t.Owners) || s.OwnedSinceEpoch < 1 || s.OwnedSinceEpoch > t.Epoch || s.LostBefore < 0 || s.PreviousOwner < 0 || s.PreviousOwner > len(t.PreviousOwners) {
			return &TableError{fmt.Sprintf("slot %d", i)}
		}
	}
	return nil
}
