package logs

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
)

// The collector of the log stops reading. A process that waited for it would
// answer nobody any more.
func TestQueueNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	q := NewQueue(w)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- q.Run(ctx) }()
	for range 3 * queueLines {
		if n, err := q.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	r.Close()
	cancel()
	<-ended
}

func TestQueueTellsWhatItDropped(t *testing.T) {
	var out bytes.Buffer
	q := NewQueue(&out)
	for range queueLines + 7 {
		q.Write([]byte("line\n"))
	}
	if err := q.flush(); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "line\n"); n != queueLines {
		t.Errorf("%d lines", n)
	}
	if !strings.Contains(out.String(), `"event":"lines_dropped","lines":7`) {
		t.Error("the dropped lines are not told")
	}
}
