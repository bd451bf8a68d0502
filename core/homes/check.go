package homes

import (
	"fmt"
	"time"

	"lycheepond/core/spec"
)

// Bounds of a table. They keep the sums of times within their type and the
// object within the platform's megabyte.
const (
	maxLease = time.Hour
	maxSlots = 1 << 15
)

// TableError reports a table that no entry of this version writes.
type TableError struct{ reason string }

// Error names the fault and the remedy.
func (e *TableError) Error() string {
	return fmt.Sprintf("homes: table of key homes rejected: %s: the last good one stays in force; delete the object only while no agent runs", e.reason)
}

// Check returns a *TableError for a table whose use could let two agents act
// for one key.
func Check(t spec.Homes) error {
	switch lease := t.Lease.Std(); {
	case t.Epoch < 1:
		return &TableError{fmt.Sprintf("epoch %d", t.Epoch)}
	case lease <= 0 || lease > maxLease:
		return &TableError{fmt.Sprintf("lease %v", lease)}
	case len(t.Slots) == 0 || len(t.Slots) > maxSlots:
		return &TableError{fmt.Sprintf("%d slots", len(t.Slots))}
	}
	for i, s := range t.Slots {
		if s.Owner < -1 || s.Owner >= len(t.Owners) || s.OwnedSinceEpoch < 1 || s.OwnedSinceEpoch > t.Epoch || s.LostBefore < 0 || s.PreviousOwner < 0 || s.PreviousOwner > len(t.FormerOwners) {
			return &TableError{fmt.Sprintf("slot %d", i)}
		}
	}
	return nil
}
