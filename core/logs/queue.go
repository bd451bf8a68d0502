package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines is how many lines may wait for the writer: some seconds of all
	// that the samplers let through.
	queueLines = 2048
	// queueBatch is the most bytes written at once.
	queueBatch = 64 << 10
	// flushEvery is the longest that a line waits for others to be written with
	// it; a system call for each line costs more than making the line.
	flushEvery = 50 * time.Millisecond
)

// Queue hands lines to a writer without waiting for it. A collector that stops
// reading would otherwise stop the process at its next line, and every request
// with it. Lines that find no room are dropped and counted.
type Queue struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns a queue to w, which does nothing until Run.
func NewQueue(w io.Writer) *Queue { return &Queue{w: w, lines: make(chan []byte, queueLines)} }

// Write queues a copy of a line. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then what is queued.
func (q *Queue) Run(ctx context.Context) error {
	tick := time.NewTicker(flushEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return q.flush()
		case <-tick.C:
			if err := q.flush(); err != nil {
				// Nobody reads the log any more. Lines go on being dropped, and
				// callers being served.
				continue
			}
		}
	}
}

// flush writes what is queued.
func (q *Queue) flush() error {
	var batch []byte
	for {
		select {
		case line := <-q.lines:
			if batch = append(batch, line...); len(batch) < queueBatch {
				continue
			}
		default:
			if n := q.dropped.Swap(0); n > 0 {
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
