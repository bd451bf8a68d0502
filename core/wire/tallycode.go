package wire

import (
	"errors"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// tallyFields is the number of fields of a tally when readers required exactly
	// this number. The others are the numbers of fields with UptimeMS and Freshness,
	// Capacity, Suspects, Limits, Rollouts, Leaving, Rests, ConfigAhead, Parts and Lending
	// appended in turn.
	tallyFields     = 10
	freshnessFields = tallyFields + 2
	capacityFields  = freshnessFields + 1
	suspectFields   = capacityFields + 1
	limitsFields    = suspectFields + 1
	rolloutFields   = limitsFields + 1
	leavingFields   = rolloutFields + 1
	restFields      = leavingFields + 1
	aheadFields     = restFields + 1
	partFields      = aheadFields + 1
	lendingFields   = partFields + 1
	// moreFieldsMark is added to the names in MissingFrom by a sender that reads
	// tallies with more than tallyFields fields. No entry has this name, and readers
	// that require exactly tallyFields only search the list for their own name.
	moreFieldsMark = "+"
	// originsMark is added in the same way by a sender that reads the messages about streams'
	// origins. A message of a kind that the receiver does not know ends the link.
	originsMark = "++"
	// placeMark is added in the same way by a sender that reads PlaceHold, PlaceBookings and place
	// messages with more than the basic number of fields.
	placeMark = "+++"
)

var errTallyFields = errors.New("wire: a tally lacks fields: run the same version on both ends")

// AcceptsMoreFields reports whether the sender reads tallies with fields after
// Queues.
func (t *Tally) AcceptsMoreFields() bool { return slices.Contains(t.MissingFrom, moreFieldsMark) }

// SetAcceptsMoreFields marks the sender as one that reads tallies with fields after
// Queues.
func (t *Tally) SetAcceptsMoreFields() {
	t.MissingFrom = append(slices.Clip(t.MissingFrom), moreFieldsMark)
}

// ReadsOrigins reports whether the sender reads StreamOrigins, OriginQuery and OriginReply.
func (t *Tally) ReadsOrigins() bool { return slices.Contains(t.MissingFrom, originsMark) }

// SetReadsOrigins marks the sender as one that reads these messages.
func (t *Tally) SetReadsOrigins() {
	t.MissingFrom = append(slices.Clip(t.MissingFrom), originsMark)
}

// ReadsPlaceExtensions reports whether the sender reads PlaceHold, PlaceBookings and any number of
// fields of the other place messages. Others are sent what Basic returns.
func (t *Tally) ReadsPlaceExtensions() bool { return slices.Contains(t.MissingFrom, placeMark) }

// SetReadsPlaceExtensions marks the sender as one that reads these messages.
func (t *Tally) SetReadsPlaceExtensions() {
	t.MissingFrom = append(slices.Clip(t.MissingFrom), placeMark)
}

// EncodeMsgpack writes the tally as an array. It omits as many of the fields after
// Queues as possible: trailing fields without a value are left out.
func (t *Tally) EncodeMsgpack(e *msgpack.Encoder) error {
	fields := []any{t.Addr, t.ConfigRevision, t.RosterRevision, t.Customers, t.Endpoints, t.Entries, t.Seq, t.Full, t.MissingFrom, t.Queues}
	n := tallyFields
	switch {
	case t.Lending != nil:
		n = lendingFields
	case len(t.Parts) > 0:
		n = partFields
	case t.ConfigAhead > 0:
		n = aheadFields
	case len(t.Rests) > 0:
		n = restFields
	case len(t.Leaving) > 0:
		n = leavingFields
	case len(t.Rollouts) > 0:
		n = rolloutFields
	case len(t.Limits) > 0:
		n = limitsFields
	case len(t.Suspects) > 0:
		n = suspectFields
	case t.Capacity > 0:
		n = capacityFields
	case t.UptimeMS > 0 || len(t.Freshness) > 0:
		n = freshnessFields
	}
	if err := e.EncodeArrayLen(n); err != nil {
		return err
	}
	if err := e.EncodeMulti(fields...); err != nil || n < freshnessFields {
		return err
	}
	// EncodeUint uses the smallest encoding, which matters because every tally has
	// this field.
	if err := e.EncodeUint(t.UptimeMS); err != nil {
		return err
	}
	if err := e.Encode(t.Freshness); err != nil || n < capacityFields {
		return err
	}
	if err := e.EncodeUint(uint64(t.Capacity)); err != nil || n < suspectFields {
		return err
	}
	if err := e.Encode(t.Suspects); err != nil || n < limitsFields {
		return err
	}
	if err := e.Encode(t.Limits); err != nil || n < rolloutFields {
		return err
	}
	if err := e.Encode(t.Rollouts); err != nil || n < leavingFields {
		return err
	}
	if err := e.Encode(t.Leaving); err != nil || n < restFields {
		return err
	}
	if err := e.Encode(t.Rests); err != nil || n < aheadFields {
		return err
	}
	if err := e.EncodeInt(t.ConfigAhead); err != nil || n < partFields {
		return err
	}
	if err := e.Encode(t.Parts); err != nil || n < lendingFields {
		return err
	}
	return e.Encode(t.Lending)
}

// DecodeMsgpack also reads a tally of an older version, which lacks fields after
// Queues, and one of a later version, whose additional fields it skips.
func (t *Tally) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < tallyFields {
		return errTallyFields
	}
	if err := d.DecodeMulti(&t.Addr, &t.ConfigRevision, &t.RosterRevision, &t.Customers, &t.Endpoints, &t.Entries, &t.Seq, &t.Full, &t.MissingFrom, &t.Queues); err != nil {
		return err
	}
	if n < freshnessFields {
		return nil
	}
	if err := d.DecodeMulti(&t.UptimeMS, &t.Freshness); err != nil {
		return err
	}
	if n < capacityFields {
		return nil
	}
	if err := d.Decode(&t.Capacity); err != nil {
		return err
	}
	if n < suspectFields {
		return nil
	}
	if err := d.Decode(&t.Suspects); err != nil {
		return err
	}
	if n < limitsFields {
		return nil
	}
	if err := d.Decode(&t.Limits); err != nil {
		return err
	}
	if n < rolloutFields {
		return nil
	}
	if err := d.Decode(&t.Rollouts); err != nil {
		return err
	}
	if n < leavingFields {
		return nil
	}
	if err := d.Decode(&t.Leaving); err != nil {
		return err
	}
	if n < restFields {
		return nil
	}
	if err := d.Decode(&t.Rests); err != nil {
		return err
	}
	if n < aheadFields {
		return nil
	}
	if err := d.Decode(&t.ConfigAhead); err != nil {
		return err
	}
	if n < partFields {
		return nil
	}
	if err := d.Decode(&t.Parts); err != nil {
		return err
	}
	if n < lendingFields {
		return nil
	}
	if err := d.Decode(&t.Lending); err != nil {
		return err
	}
	for range n - lendingFields {
		if err := d.Skip(); err != nil {
			return err
		}
	}
	return nil
}
