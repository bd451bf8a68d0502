package door

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"lycheepond/entry/direct"
)

// A request stands in line, or waits for the head of an answer, when the grace of a
// planned stop is over. It was read whole and nothing of an answer was written, so
// its caller can be told; a connection that is closed tells it nothing.
func TestEndOfTheGraceIsAnswered(t *testing.T) {
	t.Parallel()
	began := make(chan bool, 1)
	st := newStand(t, 2*time.Second, func(ctx context.Context, _ *direct.Job, _ direct.Sink) direct.Result {
		began <- true
		<-ctx.Done()
		return direct.Result{Outcome: direct.Refused, Reason: "the process stops"}
	})
	c, err := st.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.send("/long")
	<-began
	st.stop()
	if got := c.answer(); got != http.StatusServiceUnavailable {
		t.Errorf("got %d in place of a refusal", got)
	}
}

// The listener that the balancer asks fails while a request runs. That request has
// nothing to do with it: the entry stops as it would by plan, and ends with the
// error.
func TestFailedListenerCutsNoRequest(t *testing.T) {
	t.Parallel()
	began, end := make(chan bool, 1), make(chan bool)
	st := newStand(t, grace, func(ctx context.Context, j *direct.Job, s direct.Sink) direct.Result {
		began <- true
		<-end
		return fine(ctx, j, s)
	})
	c, err := st.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.send("/long")
	<-began
	st.ready.Close()
	await(t, "the stop", st.door.Leaving)
	close(end)
	if got := c.answer(); got != http.StatusOK {
		t.Errorf("got %d", got)
	}
	if err := <-st.ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("the door ended with %v", err)
	}
}
