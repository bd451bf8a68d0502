package wire

import (
	"github.com/vmihailenco/msgpack/v5"

	"lycheepond/core/ident"
)

const (
	// MaxRecords is the maximum number of records in one Handover.
	MaxRecords = 64
	// MaxSlots is the maximum number of slots in one Handover.
	MaxSlots = 4096
)

// AgentProcess identifies one agent process in a handover.
type AgentProcess struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Name        string
	Incarnation uint64
}

// Handover is one part of the key records that a stopping agent passes on to the
// agent that now owns their slots. Entries forward it from one agent to the other.
type Handover struct {
	_msgpack struct{} `msgpack:",as_array"`
	Pool     string
	From, To AgentProcess
	// Epoch is the epoch in which the slots changed their owner.
	Epoch int64
	// Seq numbers the parts from zero. A part is sent again until its HandoverAck
	// arrives, and only then the next one is sent.
	Seq     uint32
	Records KeyRecords
	// Last is set in the final part: all records of the keys in Slots have been sent,
	// and the sender will never act for any slot again. Slots is empty in all other
	// parts.
	Last  bool
	Slots HandoverSlots
}

// HandoverAck acknowledges part Seq of a handover. From is the agent that received
// the part.
type HandoverAck struct {
	_msgpack struct{} `msgpack:",as_array"`
	Pool     string
	From, To AgentProcess
	Epoch    int64
	Seq      uint32
}

// HandoverSlot is a slot and the time in Unix milliseconds before which records of its
// keys may be lost, or zero if none can be lost.
type HandoverSlot struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Slot       uint32
	LostBefore int64
}

// KeyRecord holds what is known about one idempotency key and its finished run.
type KeyRecord struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      []byte
	FirstID  ident.ID
	Digest   uint64
	// AnswerDropped is set when the answer is no longer kept; the fields after it are
	// empty then. Status is zero if the answer never began.
	AnswerDropped bool
	Status        uint16
	Header        Fields
	Body          []byte
	Complete      bool
	Reason        Reason
	Usage         Usage
}

// KeyRecords is a list of at most MaxRecords records.
type KeyRecords []KeyRecord

// DecodeMsgpack reads at most MaxRecords records and returns an error for a longer
// list.
func (r *KeyRecords) DecodeMsgpack(d *msgpack.Decoder) error {
	list, err := decodeList[KeyRecord](d, MaxRecords)
	*r = list
	return err
}

// HandoverSlots is a list of at most MaxSlots slots.
type HandoverSlots []HandoverSlot

// DecodeMsgpack reads at most MaxSlots slots and returns an error for a longer list.
func (s *HandoverSlots) DecodeMsgpack(d *msgpack.Decoder) error {
	list, err := decodeList[HandoverSlot](d, MaxSlots)
	*s = list
	return err
}

// decodeList reads an array of at most limit elements.
func decodeList[T any](d *msgpack.Decoder, limit int) ([]T, error) {
	n, err := decodeBoundedLen(d, limit)
	if err != nil {
		return nil, err
	}
	var list []T
	for range n {
		var elem T
		if err := d.Decode(&elem); err != nil {
			return nil, err
		}
		list = append(list, elem)
	}
	return list, nil
}
