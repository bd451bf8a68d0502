package wire

import (
	"bufio"
	"context"
	"errors"
	"syscall"
	"time"

	"lycheepond/core/ring"
)

// writeLoop writes the queued messages in batches. It writes a heartbeat when nothing
// was sent for one heartbeat period, or for the idle period if the heartbeat would
// report no change.
func (l *Link) writeLoop(ctx context.Context) error {
	w := bufio.NewWriterSize(l.timedConn, linkBufferSize)
	tick := time.NewTicker(l.heartbeat)
	defer tick.Stop()
	// The first message on a link is a heartbeat, so that the peer knows at once
	// whether this process is stopping and how loaded it is.
	l.queuedMessages.Add(1)
	lastHeartbeat := l.newHeartbeat()
	buf, err := l.writeBatch(w, lastHeartbeat, false, nil)
	if err != nil {
		return err
	}
	hasSent, skippedHeartbeats := false, 0
	for {
		var m Message
		bulk := false
		select {
		case <-ctx.Done():
			return ErrClosed
		case <-l.finish:
			return l.writeRemaining(w, buf)
		case m = <-l.sendQueue.Items():
			hasSent = true
		case m = <-l.bulkQueue.Items():
			hasSent, bulk = true, true
		case <-tick.C:
			if hasSent {
				hasSent, skippedHeartbeats = false, 0
				continue
			}
			m = l.newHeartbeat()
			if sameHeartbeat(lastHeartbeat, m) && l.liveness.maySkip(skippedHeartbeats+1, time.Now()) {
				skippedHeartbeats++
				continue
			}
			lastHeartbeat, skippedHeartbeats = m, 0
			l.queuedMessages.Add(1)
		}
		if buf, err = l.writeBatch(w, m, bulk, buf); err != nil {
			return err
		}
	}
}

// writeRemaining writes the queued messages and closes the writing half of the
// connection.
func (l *Link) writeRemaining(w *bufio.Writer, buf []byte) error {
	l.stopSends()
	for {
		m, ok := tryReceive(l.sendQueue)
		bulk := !ok
		if bulk {
			m, ok = tryReceive(l.bulkQueue)
		}
		if !ok {
			break
		}
		var err error
		if buf, err = l.writeBatch(w, m, bulk, buf); err != nil {
			return err
		}
	}
	half, ok := l.conn.(interface{ CloseWrite() error })
	if !ok {
		return ErrClosed
	}
	return half.CloseWrite()
}

// maxBatchMessages is the number of messages after which the writer flushes.
const maxBatchMessages = 256

// writeBatch writes m and the messages queued behind it, and flushes once. Before
// each message of SendWait it writes all queued messages of Send. bulk is set if m is
// a message of SendWait.
func (l *Link) writeBatch(w *bufio.Writer, m Message, bulk bool, buf []byte) ([]byte, error) {
	count := uint64(0)
	for more := true; more && count < maxBatchMessages; {
		for pending := true; bulk && pending; {
			var control Message
			if control, pending = tryReceive(l.sendQueue); !pending {
				continue
			}
			var err error
			if buf, err = l.writeFrame(w, control, buf); err != nil {
				return buf, err
			}
			count++
		}
		var err error
		if buf, err = l.writeFrame(w, m, buf); err != nil {
			return buf, err
		}
		if count++; count >= maxBatchMessages {
			break
		}
		bulk = false
		if m, more = tryReceive(l.sendQueue); !more {
			m, more = tryReceive(l.bulkQueue)
			bulk = more
		}
	}
	if err := w.Flush(); err != nil {
		return buf, err
	}
	l.writtenMessages.Add(count)
	return buf, nil
}

// tryReceive returns the next queued message without waiting; ok is false if there is
// none.
func tryReceive(r *ring.Ring[Message]) (Message, bool) {
	select {
	case m := <-r.Items():
		return m, true
	default:
		return nil, false
	}
}

// writeFrame writes the frame of m to w.
func (l *Link) writeFrame(w *bufio.Writer, m Message, buf []byte) ([]byte, error) {
	buf, err := Append(buf[:0], m)
	if err != nil {
		return buf, err
	}
	if err := l.liveness.recordMessage(m.Kind(), time.Now()); err != nil {
		return buf, err
	}
	if m.Kind().IsControl() {
		l.controlOut.Add(uint64(len(buf)))
	} else {
		l.dataOut.Add(uint64(len(buf)))
	}
	_, err = w.Write(buf)
	return buf, err
}

// handleWriteEnd ends the link after a failed write. If the peer has closed the
// connection, the link keeps reading: the peer's last answers are still in the
// kernel, closing would lose them, and reading them ends without waiting.
func (l *Link) handleWriteEnd(err error) {
	l.stopSends()
	if err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
		l.cancel(silentOnTimeout(err))
	}
}
