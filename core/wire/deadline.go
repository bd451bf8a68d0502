package wire

import (
	"errors"
	"net"
	"os"
	"time"
)

// maxWriteBytes is the largest single write to the connection in bytes. A frame can be a
// thousand times as long, so the time that a whole frame takes does not show whether
// the peer is reading.
const maxWriteBytes = 32 << 10

// deadlineConn is a link's connection. Its deadlines only detect silence: every read
// and every piece written extends them, so a frame may take as long as the
// connection's bandwidth requires.
type deadlineConn struct {
	net.Conn
	liveness *liveness
	// writeTimeout is the time that one piece may take. deadlineSetAt is the time at
	// which the write deadline was last set; only the writing goroutine uses it.
	writeTimeout  time.Duration
	deadlineSetAt time.Time
}

// Read reads available bytes and counts them as a sign of life. After a pause of the
// process, a passed deadline fires before the bytes that arrived meanwhile are read.
// So Read tries a second time before the peer counts as silent.
func (s *deadlineConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && s.liveness.allowReread(time.Now()) == nil {
		n, err = s.Conn.Read(p)
	}
	if n == 0 || err != nil {
		return n, err
	}
	return n, s.liveness.recordReceived(time.Now())
}

// Write writes p in pieces.
func (s *deadlineConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := s.extendWriteDeadline(time.Now()); err != nil {
			return written, err
		}
		n, err := s.writePiece(p[written:min(len(p), written+maxWriteBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// writePiece writes p. Like Read, it tries a second time after a passed deadline: after a
// pause of the process, the deadline fires although the peer reads.
func (s *deadlineConn) writePiece(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && s.allowRewrite(time.Now()) == nil {
		var more int
		more, err = s.Conn.Write(p[n:])
		n += more
	}
	return n, err
}

// allowRewrite extends the write deadline just enough to write what the connection has
// room for. The next piece gets the full time.
func (s *deadlineConn) allowRewrite(now time.Time) error {
	s.deadlineSetAt = time.Time{}
	return s.SetWriteDeadline(now.Add(s.writeTimeout / deadlineSteps))
}

// extendWriteDeadline moves the write deadline. It does so in steps, because most
// writes follow each other closely.
func (s *deadlineConn) extendWriteDeadline(now time.Time) error {
	step := s.writeTimeout / deadlineSteps
	if now.Sub(s.deadlineSetAt) < step {
		return nil
	}
	s.deadlineSetAt = now
	return s.SetWriteDeadline(now.Add(s.writeTimeout + step))
}
