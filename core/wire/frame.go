package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrame is the largest frame body in bytes that a reader accepts. The body of a
// caller's request is at most 4 MiB, so a longer frame is damaged or hostile.
const MaxFrame = 5 << 20

// headerSize is the size in bytes of a frame's header: the body's length in four
// bytes and the message's kind in one.
const headerSize = 5

// linkBufferSize is the size in bytes of each of a link's two buffers. An entry has
// 115 links and 32 MB of memory at the planned fleet size, and larger buffers don't
// increase the token throughput.
const linkBufferSize = 8 << 10

// ErrFrameSize reports a frame whose stated length is out of range.
var ErrFrameSize = errors.New("wire: frame length out of range: the peer is not a lycheepond process of this version, or the stream is damaged; the link is closed")

// FrameError reports a frame that could not be decoded.
type FrameError struct {
	kind Kind
	err  error
}

// Kind returns the type byte of the bad frame.
func (e *FrameError) Kind() Kind { return e.kind }

// Error describes the frame, the cause and the remedy.
func (e *FrameError) Error() string {
	return fmt.Sprintf("wire: bad %s frame (type %d): %v: run the same version of lycheepond on both ends", e.kind, uint8(e.kind), e.err)
}

// Unwrap returns the decoder's error.
func (e *FrameError) Unwrap() error { return e.err }

var errUnknownKind = errors.New("unknown type")

// encoder is a reusable encoder and the buffer that it writes to.
type encoder struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
}

var encoderPool = sync.Pool{New: func() any {
	e := new(encoder)
	e.enc = msgpack.NewEncoder(&e.buf)
	e.enc.UseCompactInts(true)
	e.enc.UseCompactFloats(true)
	return e
}}

// Append appends the frame of m to dst. It returns a *FrameError if m cannot be
// encoded and ErrFrameSize if its body is larger than MaxFrame.
func Append(dst []byte, m Message) ([]byte, error) {
	e := encoderPool.Get().(*encoder)
	defer encoderPool.Put(e)
	e.buf.Reset()
	if err := e.enc.Encode(m); err != nil {
		return dst, &FrameError{kind: m.Kind(), err: err}
	}
	if e.buf.Len() > MaxFrame {
		return dst, ErrFrameSize
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(e.buf.Len()))
	dst = append(dst, byte(m.Kind()))
	return append(dst, e.buf.Bytes()...), nil
}

// Reader reads messages from a stream. It is not safe for concurrent use.
type Reader struct {
	r *bufio.Reader
	// buf holds the body of the frame that is being decoded. Decoded messages never
	// refer to it.
	buf []byte
	dec *msgpack.Decoder
	src *bytes.Reader
	// controlBytes and dataBytes count the bytes of the frames read so far.
	controlBytes, dataBytes uint64
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	src := bytes.NewReader(nil)
	return &Reader{r: bufio.NewReaderSize(r, linkBufferSize), src: src, dec: msgpack.NewDecoder(src)}
}

// Wait blocks until the header of the next frame has arrived, without consuming it.
// It may be called again after a temporary error such as a passed deadline.
func (r *Reader) Wait() error {
	_, err := r.r.Peek(headerSize)
	if errors.Is(err, io.EOF) && r.r.Buffered() > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Next returns the next message. It returns io.EOF only between two frames,
// io.ErrUnexpectedEOF inside one, ErrFrameSize for a frame that is too long and a
// *FrameError for one that cannot be decoded.
func (r *Reader) Next() (Message, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r.r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:4])
	kind := Kind(head[4])
	if n > MaxFrame {
		return nil, ErrFrameSize
	}
	m := newMessage(kind)
	if m == nil {
		return nil, &FrameError{kind: kind, err: errUnknownKind}
	}
	if err := r.readBody(int(n)); err != nil {
		return nil, err
	}
	r.count(kind, uint64(n)+headerSize)
	if err := r.decode(m); err != nil {
		return nil, &FrameError{kind: kind, err: err}
	}
	return m, nil
}

// readBody reads n bytes into buf. It grows buf only as bytes arrive, so that a
// hostile length without a body costs no memory.
func (r *Reader) readBody(n int) error {
	const step = 64 << 10
	r.buf = r.buf[:0]
	for len(r.buf) < n {
		want := min(n-len(r.buf), step)
		start := len(r.buf)
		r.buf = append(r.buf, make([]byte, want)...)
		if _, err := io.ReadFull(r.r, r.buf[start:]); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// decode decodes the body in buf into m, which must use all of it.
func (r *Reader) decode(m Message) (err error) {
	defer func() {
		// The decoder panics on some damaged input. One faulty peer must not end the
		// process, so the panic becomes an error of this link.
		if p := recover(); p != nil {
			err = fmt.Errorf("decoder: %v", p)
		}
	}()
	r.src.Reset(r.buf)
	r.dec.Reset(r.src)
	if err := r.dec.Decode(m); err != nil {
		return err
	}
	if r.src.Len() != 0 {
		return fmt.Errorf("%d bytes after the end of the message", r.src.Len())
	}
	return nil
}

// count adds the n bytes of a frame of kind k to the counters.
func (r *Reader) count(k Kind, n uint64) {
	if k.IsControl() {
		r.controlBytes += n
		return
	}
	r.dataBytes += n
}
