package wire

import (
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// The numbers of fields of place messages when readers required exactly these numbers.
const (
	basicRequestFields = 12
	basicReplyFields   = 15
	basicReportFields  = 4
)

var errPlaceFields = errors.New("wire: a place message lacks fields: run the same version on both ends")

// basicMessage is a message of which only some fields are sent.
type basicMessage struct {
	Message
	// fields are pointers to these fields.
	fields []any
}

// EncodeMsgpack writes the fields as an array.
func (m *basicMessage) EncodeMsgpack(e *msgpack.Encoder) error {
	if err := e.EncodeArrayLen(len(m.fields)); err != nil {
		return err
	}
	return e.EncodeMulti(m.fields...)
}

// Basic returns a message as it is sent to a peer without Tally.ReadsPlaceExtensions: place
// messages with the fields that every version reads. It returns nil if no such peer reads the
// message, and messages of other kinds unchanged.
func Basic(m Message) Message {
	switch t := m.(type) {
	case *PlaceRequest:
		f := t.fields()
		return &basicMessage{m, f[:basicRequestFields]}
	case *PlaceReply:
		f := t.fields()
		return &basicMessage{m, f[:basicReplyFields]}
	case *PlaceReport:
		if t.Load != nil && t.Outcome == PlaceOpen {
			// Without Load the report would mean that output has come.
			return nil
		}
		f := t.fields()
		return &basicMessage{m, f[:basicReportFields]}
	case *PlaceHold, *PlaceBookings:
		return nil
	}
	return m
}

// fields returns pointers to all fields, in the order of their encoding. The result is an array,
// here and in the other messages, because a slice would be allocated for each message read.
func (m *PlaceRequest) fields() [15]any {
	return [...]any{
		&m.ID, &m.Pool, &m.Zone, &m.ShardIndex, &m.CustomerTier, &m.RouteTier, &m.TargetUS, &m.TargetLeftUS, &m.DeadlineLeftUS, &m.PromptTokens, &m.OutputTokens, &m.MayQueue,
		&m.Fingerprint, &m.Customer, &m.SilenceLeftUS,
	}
}

func (m *PlaceReply) fields() [21]any {
	return [...]any{
		&m.ID, &m.Decided, &m.Endpoint, &m.Addr, &m.Slots, &m.RosterRevision, &m.RefusalReason, &m.RetryAfterUS, &m.SlotIntervalUS, &m.FirstEventUS, &m.WaitUS, &m.QueuedUS, &m.RequestsAhead, &m.PromptTokens, &m.HadFreeSlot,
		&m.Plan, &m.FirstAgoUS, &m.Incarnation, &m.SlowdownPercent, &m.Share, &m.ShareDue,
	}
}

func (m *PlaceReport) fields() [5]any {
	return [...]any{&m.ID, &m.OutputTokens, &m.Outcome, &m.EndpointRequests, &m.Load}
}

// DecodeMsgpack also reads a request of an older or a later version.
func (m *PlaceRequest) DecodeMsgpack(d *msgpack.Decoder) error {
	f := m.fields()
	return decodeFields(d, f[:], basicRequestFields)
}

// DecodeMsgpack also reads a reply of an older or a later version.
func (m *PlaceReply) DecodeMsgpack(d *msgpack.Decoder) error {
	f := m.fields()
	return decodeFields(d, f[:], basicReplyFields)
}

// DecodeMsgpack also reads a report of an older or a later version.
func (m *PlaceReport) DecodeMsgpack(d *msgpack.Decoder) error {
	f := m.fields()
	return decodeFields(d, f[:], basicReportFields)
}

// decodeFields reads an array of at least minimum elements into the values that fields point to.
// Values without an element stay as they are. Further elements are dropped with the rest of the
// input; Decoder.Skip would use up the stack on endlessly nested lists.
func decodeFields(d *msgpack.Decoder, fields []any, minimum int) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < minimum {
		return errPlaceFields
	}
	for _, f := range fields[:min(n, len(fields))] {
		if err := d.Decode(f); err != nil {
			return err
		}
	}
	if n > len(fields) {
		_, err = io.Copy(io.Discard, d.Buffered())
	}
	return err
}
