package wire

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxFields is the most headers that a request or an answer may carry. The
// decoder allocates a slice from the length that the frame claims. A frame of a
// few bytes that claims four thousand million elements would end the process
// for want of memory, so slices of a message check the length first.
const MaxFields = 256

// Fields are the headers of a request or an answer.
type Fields []Field

// DecodeMsgpack reads at most MaxFields headers.
func (f *Fields) DecodeMsgpack(d *msgpack.Decoder) error {
	list, err := decodeList[Field](d, MaxFields)
	*f = list
	return err
}

func boundedLen(d *msgpack.Decoder, limit int) (int, error) {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return 0, err
	}
	if n > limit {
		return 0, fmt.Errorf("list of %d elements, at most %d are allowed", n, limit)
	}
	return max(n, 0), nil
}
