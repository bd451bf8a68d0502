package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
)

// maxEvent is the longest event of a stream in bytes, readSize how much of it
// is read at once.
const (
	maxEvent = 1 << 20
	readSize = 16 << 10
)

var errEventSize = errors.New("engine: event of a stream longer than 1 MiB: the engine does not speak the completions form")

var (
	doneMark  = []byte("data: [DONE]")
	usageMark = []byte(`"usage"`)
	dataMark  = []byte("data:")
)

// stream relays server-sent events, one piece each, so that the number of a
// piece is the number by which the engine resumes.
func (a *relay) stream(ctx context.Context, body io.Reader) error {
	r := bufio.NewReaderSize(body, readSize)
	for {
		event, err := readEvent(r)
		switch {
		case errors.Is(err, io.EOF) && a.done:
			return nil
		case errors.Is(err, io.EOF):
			return ErrTruncated
		case err != nil && a.done:
			// All of the answer has come; how its connection ended is nothing
			// to the caller.
			return nil
		case err != nil:
			return err
		}
		a.look(event)
		if err := a.sink.Chunk(ctx, event); err != nil {
			return err
		}
		a.events++
	}
}

// look takes what an event tells about the answer.
func (a *relay) look(event []byte) {
	if bytes.HasPrefix(event, doneMark) {
		a.done = true
		return
	}
	a.progress.Mark()
	if !bytes.Contains(event, usageMark) {
		return
	}
	if u, ok := usageOf(bytes.TrimSpace(bytes.TrimPrefix(event, dataMark))); ok {
		a.usage = u
	}
}

// readEvent reads up to and including the empty line that ends an event.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEvent {
			return nil, errEventSize
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) > 0 {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, nil
		}
		if len(bytes.TrimRight(event, "\r\n")) == 0 {
			event = event[:0]
		}
	}
}
