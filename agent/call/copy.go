package call

import (
	"context"
	"errors"
	"io"
)

// maxChunkBytes is the size of the largest chunk of an answer that is not a stream.
const maxChunkBytes = 32 << 10

// Copy passes the body chunk by chunk to sink and to observe, which may be nil.
// It returns nil if the body is complete according to its HTTP framing.
func Copy(ctx context.Context, body io.Reader, sink Sink, p *Progress, observe func([]byte)) error {
	buf := make([]byte, maxChunkBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			p.RecordChunk()
			if observe != nil {
				observe(buf[:n])
			}
			if err := sink.Chunk(ctx, append([]byte(nil), buf[:n]...)); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
