package wire

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxFields is the maximum number of headers of a request or an answer. The decoder
// allocates a slice of the length that a frame states, and a frame of a few bytes can
// state 4 billion elements, which would exhaust the memory of the process. Therefore
// the slice types of messages check the stated length first.
const MaxFields = 256

// Fields are the headers of a request or an answer.
type Fields []Field

// DecodeMsgpack reads at most MaxFields headers.
func (f *Fields) DecodeMsgpack(d *msgpack.Decoder) error {
	list, err := decodeList[Field](d, MaxFields)
	*f = list
	return err
}

// decodeBoundedLen reads the length of an array and returns an error if it is more
// than limit. A nil array has the length zero.
func decodeBoundedLen(d *msgpack.Decoder, limit int) (int, error) {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return 0, err
	}
	if n > limit {
		return 0, fmt.Errorf("list of %d elements, at most %d are allowed", n, limit)
	}
	return max(n, 0), nil
}
