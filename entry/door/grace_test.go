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

// A request is queued, or waits for the head of an answer, when the grace of a planned stop is
// over. It was read completely and nothing of an answer was written, so its caller must still
// get the outcome. A closed connection would not show it.
func TestRequestIsAnsweredAtEndOfGrace(t *testing.T) {
	t.Parallel()
	began := make(chan bool, 1)
	srv := newTestServer(t, 2*time.Second, func(ctx context.Context, _ *direct.Job, _ direct.Sink) direct.Result {
		began <- true
		<-ctx.Done()
		return direct.Result{Outcome: direct.Refused, Reason: "the process stops"}
	})
	c, err := srv.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.sendRequest("/long")
	<-began
	srv.stop()
	if got := c.readStatus(); got != http.StatusServiceUnavailable {
		t.Errorf("got %d instead of a refusal", got)
	}
}

// The listener for the balancer's readiness check fails while a request runs. The request must
// not be affected: the entry stops as in a planned stop and ends with the error.
func TestFailedListenerInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	began, end := make(chan bool, 1), make(chan bool)
	srv := newTestServer(t, longGrace, func(ctx context.Context, j *direct.Job, s direct.Sink) direct.Result {
		began <- true
		<-end
		return answerOK(ctx, j, s)
	})
	c, err := srv.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.sendRequest("/long")
	<-began
	srv.readyLn.Close()
	waitFor(t, "the stop", srv.server.IsStopping)
	close(end)
	if got := c.readStatus(); got != http.StatusOK {
		t.Errorf("got %d", got)
	}
	if err := <-srv.runErr; !errors.Is(err, net.ErrClosed) {
		t.Errorf("the server ended with %v", err)
	}
}
