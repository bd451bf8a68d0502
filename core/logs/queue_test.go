package logs

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
)

// The log collector stops reading. A process that waited for it would stop serving
// requests.
func TestQueueNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	q := NewQueue(w)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- q.Run(ctx) }()
	for range 3 * maxQueuedLines {
		if n, err := q.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	r.Close()
	cancel()
	<-ended
}

// Lines that find no room in the queue are dropped. Their number must be written.
func TestQueueReportsDroppedLines(t *testing.T) {
	var out bytes.Buffer
	q := NewQueue(&out)
	for range maxQueuedLines + 7 {
		q.Write([]byte("line\n"))
	}
	if err := q.flush(); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "line\n"); n != maxQueuedLines {
		t.Errorf("%d lines", n)
	}
	if !strings.Contains(out.String(), `"event":"lines_dropped","lines":7`) {
		t.Error("the number of dropped lines is not written")
	}
}
