package wire

import (
	"bufio"
	"context"
	"time"

	"lycheepond/core/ring"
)

// write sends what is queued, in batches, and a heartbeat when nothing was
// sent for one period, or for the idle period if it would say nothing new.
func (l *Link) write(ctx context.Context) error {
	defer l.stop()
	w := bufio.NewWriterSize(l.conn, linkBuffer)
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

// maxBatch is how many messages are written before the deadline is set anew.
const maxBatch = 256

// batch writes m and what waits behind it with one flush. Before a message
// that was given to SendWait it writes all that was given to Send.
func (l *Link) batch(w *bufio.Writer, m Message, bulk bool, buf []byte) ([]byte, error) {
	if err := l.conn.SetWriteDeadline(time.Now().Add(l.heartbeat * MissedHeartbeats)); err != nil {
		return buf, err
	}
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
