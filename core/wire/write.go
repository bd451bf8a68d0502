package wire

import (
	"bufio"
	"context"
	"errors"
	"syscall"
	"time"

	"lycheepond/core/ring"
)

// write sends what is queued, in batches, and a heartbeat when nothing was
// sent for one period, or for the idle period if it would say nothing new.
func (l *Link) write(ctx context.Context) error {
	w := bufio.NewWriterSize(l.steady, linkBuffer)
	tick := time.NewTicker(l.heartbeat)
	defer tick.Stop()
	// A link opens with a heartbeat, so that the peer knows at once whether this
	// process is leaving and how loaded it is.
	l.queued.Add(1)
	last := l.beat()
	buf, err := l.batch(w, last, false, nil)
	if err != nil {
		return err
	}
	sent, spared := false, 0
	for {
		var m Message
		bulk := false
		select {
		case <-ctx.Done():
			return ErrClosed
		case <-l.finish:
			return l.last(w, buf)
		case m = <-l.out.Items():
			sent = true
		case m = <-l.bulk.Items():
			sent, bulk = true, true
		case <-tick.C:
			if sent {
				sent, spared = false, 0
				continue
			}
			m = l.beat()
			if sameBeat(last, m) && l.pace.spares(spared+1, time.Now()) {
				spared++
				continue
			}
			last, spared = m, 0
			l.queued.Add(1)
		}
		if buf, err = l.batch(w, m, bulk, buf); err != nil {
			return err
		}
	}
}

// last writes what is queued and closes the writing half of the connection.
func (l *Link) last(w *bufio.Writer, buf []byte) error {
	l.hush()
	for {
		m, more := take(l.out)
		bulk := !more
		if bulk {
			m, more = take(l.bulk)
		}
		if !more {
			break
		}
		var err error
		if buf, err = l.batch(w, m, bulk, buf); err != nil {
			return err
		}
	}
	half, ok := l.conn.(interface{ CloseWrite() error })
	if !ok {
		return ErrClosed
	}
	return half.CloseWrite()
}

// maxBatch is how many messages are written before they are flushed.
const maxBatch = 256

// batch writes m and what waits behind it with one flush. Before a message
// that was given to SendWait it writes all that was given to Send.
func (l *Link) batch(w *bufio.Writer, m Message, bulk bool, buf []byte) ([]byte, error) {
	n := uint64(0)
	for more := true; more && n < maxBatch; {
		for before := true; bulk && before; {
			var c Message
			if c, before = take(l.out); !before {
				continue
			}
			var err error
			if buf, err = l.put(w, c, buf); err != nil {
				return buf, err
			}
			n++
		}
		var err error
		if buf, err = l.put(w, m, buf); err != nil {
			return buf, err
		}
		if n++; n >= maxBatch {
			break
		}
		bulk = false
		if m, more = take(l.out); !more {
			m, more = take(l.bulk)
			bulk = more
		}
	}
	if err := w.Flush(); err != nil {
		return buf, err
	}
	l.written.Add(n)
	return buf, nil
}

func take(r *ring.Ring[Message]) (Message, bool) {
	select {
	case m := <-r.Items():
		return m, true
	default:
		return nil, false
	}
}

// put writes the frame of m to w.
func (l *Link) put(w *bufio.Writer, m Message, buf []byte) ([]byte, error) {
	buf, err := Append(buf[:0], m)
	if err != nil {
		return buf, err
	}
	if err := l.pace.pass(m.Kind(), time.Now()); err != nil {
		return buf, err
	}
	if m.Kind().Control() {
		l.controlOut.Add(uint64(len(buf)))
	} else {
		l.dataOut.Add(uint64(len(buf)))
	}
	_, err = w.Write(buf)
	return buf, err
}

// unwritten ends the link after a failed write. If the peer has gone, what it wrote
// before lies in the kernel; closing now would throw its last answers away, and
// reading does not wait any more.
func (l *Link) unwritten(err error) {
	l.hush()
	if err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
		l.stop(err)
	}
}
