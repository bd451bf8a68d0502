package wire

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"lycheepond/core/ident"
)

// chunkFields is the number of fields of a Chunk on the wire.
const chunkFields = 3

// errChunk is the cause in the FrameError of a malformed Chunk.
var errChunk = errors.New("not a chunk of an answer")

// EncodeMsgpack writes the chunk as an array of its fields. Most frames are chunks,
// so it avoids the reflection that encodes other messages.
func (c *Chunk) EncodeMsgpack(e *msgpack.Encoder) error {
	if err := e.EncodeArrayLen(chunkFields); err != nil {
		return err
	}
	if err := e.EncodeBytes(c.ID[:]); err != nil {
		return err
	}
	if err := e.EncodeUint(uint64(c.Seq)); err != nil {
		return err
	}
	return e.EncodeBytes(c.Data)
}

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (c *Chunk) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	size, err := 0, errChunk
	if n == chunkFields {
		size, err = d.DecodeBytesLen()
	}
	if err != nil {
		return err
	}
	if size != ident.Size {
		return errChunk
	}
	if err := d.ReadFull(c.ID[:]); err != nil {
		return err
	}
	if c.Seq, err = d.DecodeUint32(); err != nil {
		return err
	}
	c.Data, err = d.DecodeBytes()
	return err
}
