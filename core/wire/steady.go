package wire

import (
	"errors"
	"net"
	"os"
	"time"
)

// pieceSize is the most that one write to the connection holds. A frame may be a
// thousand times as long, so its size says nothing of whether the peer reads.
const pieceSize = 32 << 10

// steady is a link's connection. Its deadlines are about silence only: each piece
// that passes moves them, so a frame may take as long as its line needs.
type steady struct {
	net.Conn
	pace *pace
	// patience is how long one piece may take, moved when the write deadline was
	// last set. The goroutine that writes owns moved.
	patience time.Duration
	moved    time.Time
}

// Read reads what has come and takes it for a sign of life. A deadline that passed
// while the process did not run goes off before the bytes are read that came
// meanwhile, so a peer is silent only if there is still nothing at a second look.
func (s *steady) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && s.pace.look(time.Now()) == nil {
		n, err = s.Conn.Read(p)
	}
	if n == 0 || err != nil {
		return n, err
	}
	return n, s.pace.listen(time.Now())
}

// Write writes p in pieces.
func (s *steady) Write(p []byte) (int, error) {
	done := 0
	for done < len(p) {
		if err := s.extend(time.Now()); err != nil {
			return done, err
		}
		n, err := s.Conn.Write(p[done:min(len(p), done+pieceSize)])
		done += n
		if err != nil {
			return done, err
		}
	}
	return done, nil
}

// extend moves the write deadline. It moves in steps, as most writes follow each
// other closely.
func (s *steady) extend(now time.Time) error {
	step := s.patience / readSteps
	if now.Sub(s.moved) < step {
		return nil
	}
	s.moved = now
	return s.SetWriteDeadline(now.Add(s.patience + step))
}
