package door

import (
	"context"
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
		return direct.Result{Outcome: direct.Refused, Why: "the process stops"}
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
