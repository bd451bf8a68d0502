package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"

	"lycheepond/agent/call"
	"lycheepond/core/wire"
)

// maxEvent is the longest event of a stream in bytes.
const maxEvent = 1 << 20

var errEventSize = errors.New("engine: event of a stream longer than 1 MiB: the engine does not speak the completions form")

var (
	doneMark  = []byte("data: [DONE]")
	usageMark = []byte(`"usage"`)
	dataMark  = []byte("data:")
)

// stream relays server-sent events, one piece each, so that the number of a
// piece is the number by which the engine resumes.
func stream(ctx context.Context, body io.Reader, sink call.Sink, p *call.Progress) (wire.Usage, error) {
	var u wire.Usage
	r := bufio.NewReaderSize(body, 16<<10)
	done := false
	for {
		event, err := readEvent(r)
		if err != nil {
			if errors.Is(err, io.EOF) && done {
				return u, nil
			}
			if errors.Is(err, io.EOF) {
				return u, ErrTruncated
			}
			return u, err
		}
		switch {
		case bytes.HasPrefix(event, doneMark):
			done = true
		case bytes.Contains(event, usageMark):
			if got, ok := usageOf(bytes.TrimSpace(bytes.TrimPrefix(event, dataMark))); ok {
				u = got
			}
		}
		if !done {
			p.Mark()
		}
		if err := sink.Chunk(ctx, event); err != nil {
			return u, err
		}
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
