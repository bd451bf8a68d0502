package wire

import (
	"github.com/vmihailenco/msgpack/v5"

	"lycheepond/core/ident"
)

const (
	// MaxRecords is the most records that one Handover may carry.
	MaxRecords = 64
	// MaxShares is the most slots that one Handover may name.
	MaxShares = 4096
)

// Party is one agent process in a handover.
type Party struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Name        string
	Incarnation uint64
}

// Handover is one part of what an agent that leaves knows of the keys whose
// slots went to another agent. Entries carry it from one to the other.
type Handover struct {
	_msgpack struct{} `msgpack:",as_array"`
	Pool     string
	From, To Party
	// Took is the epoch in which the slots changed hands.
	Took int64
	// Seq counts the parts from zero. A part is sent again until its HandAck
	// comes, and the next one follows only then.
	Seq     uint32
	Records KeyRecords
	// Last says that all records of Shares have been sent and that the sender
	// will never act for any slot again. Shares is empty before.
	Last   bool
	Shares Shares
}

// HandAck says that part Seq of a handover was taken in. From is the agent that
// took it in.
type HandAck struct {
	_msgpack struct{} `msgpack:",as_array"`
	Pool     string
	From, To Party
	Took     int64
	Seq      uint32
}

// Share is a slot and the time in Unix milliseconds before which records of its
// keys may be lost, zero if none can be.
type Share struct {
	_msgpack struct{} `msgpack:",as_array"`
	Slot     uint32
	Since    int64
}

// KeyRecord is what is known of one idempotency key and its ended run.
type KeyRecord struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      []byte
	First    ident.ID
	Digest   uint64
	// Gone is set when the answer is no longer kept; what follows is empty
	// then. Status is zero when the answer never began.
	Gone   bool
	Status uint16
	Header Fields
	Body   []byte
	Whole  bool
	Reason Reason
	Usage  Usage
}

// KeyRecords is a bounded list of records.
type KeyRecords []KeyRecord

// DecodeMsgpack reads at most MaxRecords records.
func (r *KeyRecords) DecodeMsgpack(d *msgpack.Decoder) error {
	list, err := decodeList[KeyRecord](d, MaxRecords)
	*r = list
	return err
}

// Shares is a bounded list of slots.
type Shares []Share

// DecodeMsgpack reads at most MaxShares slots.
func (s *Shares) DecodeMsgpack(d *msgpack.Decoder) error {
	list, err := decodeList[Share](d, MaxShares)
	*s = list
	return err
}

func decodeList[T any](d *msgpack.Decoder, limit int) ([]T, error) {
	n, err := boundedLen(d, limit)
	if err != nil {
		return nil, err
	}
	var out []T
	for range n {
		var one T
		if err := d.Decode(&one); err != nil {
			return nil, err
		}
		out = append(out, one)
	}
	return out, nil
}
