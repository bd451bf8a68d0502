package call

import (
	"context"
	"errors"
	"io"
)

// pieceSize is the largest piece of an answer that is no stream.
const pieceSize = 32 << 10

// Copy gives the body to sink piece by piece and to seen, which may be nil. It
// returns nil when the body ended as its framing says.
func Copy(ctx context.Context, body io.Reader, sink Sink, p *Progress, seen func([]byte)) error {
	buf := make([]byte, pieceSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			p.Mark()
			if seen != nil {
				seen(buf[:n])
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
