package engine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
)

// maxEventBytes bounds the length of a stream event; readBufferBytes is the size
// of the read buffer.
const (
	maxEventBytes   = 1 << 20
	readBufferBytes = 16 << 10
)

var errEventSize = errors.New("engine: stream event longer than 1 MiB: the endpoint does not use the completions format")

var (
	donePrefix = []byte("data: [DONE]")
	usageKey   = []byte(`"usage"`)
	dataPrefix = []byte("data:")
)

// readStream relays server-sent events, each as one chunk. The sequence number of
// a chunk is then the event number from which the engine can resume the stream.
func (a *relay) readStream(ctx context.Context, body io.Reader) error {
	r := bufio.NewReaderSize(body, readBufferBytes)
	for {
		event, err := readEvent(r)
		switch {
		case errors.Is(err, io.EOF) && a.sawDone:
			return nil
		case errors.Is(err, io.EOF):
			return ErrTruncated
		case err != nil && a.sawDone:
			// The answer is complete, so an error at the end of its connection
			// does not matter to the caller.
			return nil
		case err != nil:
			return err
		}
		a.inspectEvent(event)
		if err := a.sink.Chunk(ctx, event); err != nil {
			return err
		}
		a.relayedEvents++
	}
}

// inspectEvent detects the end of the stream, records the arrival of any other
// event, and reads its usage if it has one.
func (a *relay) inspectEvent(event []byte) {
	if bytes.HasPrefix(event, donePrefix) {
		a.sawDone = true
		return
	}
	a.progress.RecordChunk()
	if !bytes.Contains(event, usageKey) {
		return
	}
	if u, ok := parseUsage(bytes.TrimSpace(bytes.TrimPrefix(event, dataPrefix))); ok {
		a.usage = u
	}
}

// readEvent reads one event, including the empty line that ends it. It skips
// empty lines before the event.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
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
