package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines that may wait for the writer: several
	// seconds of all the lines that the sampling lets through.
	maxQueuedLines = 2048
	// maxBatchBytes is the size at which a batch is written.
	maxBatchBytes = 64 << 10
	// flushInterval is the longest time that a line waits to be written together with
	// others. A system call for each line costs more than formatting the line.
	flushInterval = 50 * time.Millisecond
)

// Queue passes lines to a writer without waiting for it. Otherwise a log collector
// that stops reading would block the process, and every request in it, at the next
// line. Lines that find no room are dropped and counted.
type Queue struct {
	w            io.Writer
	lines        chan []byte
	droppedLines atomic.Int64
}

// NewQueue returns a queue for w. It writes nothing until Run.
func NewQueue(w io.Writer) *Queue { return &Queue{w: w, lines: make(chan []byte, maxQueuedLines)} }

// Write queues a copy of a line, or drops the line if the queue is full. It never
// returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.droppedLines.Add(1)
	}
	return len(line), nil
}

// Run writes the queued lines until ctx ends, and then those that are left. Only one
// goroutine may call it.
func (q *Queue) Run(ctx context.Context) error {
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return q.flush()
		case <-tick.C:
			if err := q.flush(); err != nil {
				// Nobody reads the log. Further lines are dropped, and requests
				// continue to be served.
				continue
			}
		}
	}
}

// flush writes the queued lines and the number of dropped ones.
func (q *Queue) flush() error {
	var batch []byte
	for {
		select {
		case line := <-q.lines:
			if batch = append(batch, line...); len(batch) < maxBatchBytes {
				continue
			}
		default:
			if n := q.droppedLines.Swap(0); n > 0 {
				batch = append(batch, fmt.Sprintf("{\"level\":\"warn\",\"event\":%q,\"lines\":%d}\n", EventLinesDropped, n)...)
			}
			if len(batch) == 0 {
				return nil
			}
			_, err := q.w.Write(batch)
			return err
		}
		if _, err := q.w.Write(batch); err != nil {
			return err
		}
		batch = batch[:0]
	}
}
