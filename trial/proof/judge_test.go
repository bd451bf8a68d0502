package proof

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"lycheepond/trial/load"
	"lycheepond/trial/simeng"
)

// modelJob returns a model request of the class of a tier. Its prompt starts
// with name and a space; name must be unique within a test, because executions
// are matched by the digest of the prompt.
func modelJob(tier int, name string, tokens int, stream bool) load.Job {
	return load.Job{
		Class: classes[tier], Customer: customer, Bearer: bearer,
		ModelRequest: simeng.CompletionRequest{Model: model, Prompt: name + " " + strings.Repeat("field ", 20), MaxTokens: tokens, Stream: stream},
	}
}

// serviceJob returns a call of the plain service that is not idempotent. Its
// body is name, which must be unique within a test. An empty key sends no
// idempotency key.
func serviceJob(name, key string) load.Job {
	return load.Job{
		Class: classes[1], Customer: customer, Bearer: bearer, Method: http.MethodPost,
		Path: "/services/" + service + "/register", Body: name, NonIdempotent: true, IdempotencyKey: key,
	}
}

// requestBatch sends requests concurrently and collects their results.
type requestBatch struct {
	wg      sync.WaitGroup
	mu      sync.Mutex
	results []load.Result
}

// send sends a request through an entry, without waiting for its answer.
func (r *rig) send(b *requestBatch, entry int, j load.Job) {
	b.wg.Go(func() {
		b.add([]load.Result{r.callers[entry].Send(r.ctx, 0, j)})
	})
}

func (b *requestBatch) add(results []load.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.results = append(b.results, results...)
}

// wait waits until all requests have ended and returns their results.
func (b *requestBatch) wait() []load.Result {
	b.wg.Wait()
	return b.results
}

// jobDigest returns the digest under which endpoints record the execution of a
// job.
func jobDigest(j load.Job) string {
	if j.Path == "" {
		return simeng.Digest(j.ModelRequest.PromptText())
	}
	sum := sha256.Sum256([]byte(j.Body))
	return hex.EncodeToString(sum[:])
}

// executions returns the number of executions at all endpoints by request digest.
func (r *rig) executions() map[string]int {
	r.t.Helper()
	counts := make(map[string]int)
	for _, u := range r.fleet.Units() {
		records, err := u.Records(r.ctx)
		r.must(err)
		for _, rec := range records {
			if rec.Kind != simeng.KindOrder {
				counts[rec.PromptDigest]++
			}
		}
	}
	return counts
}

// checkResults checks the guarantees that hold after any fault: no request ran
// more than once, no request ran whose caller was answered not-run, every
// completed request ran, every complete answer belongs to its request, and no
// request failed in another way. It returns the number of results by outcome.
func (r *rig) checkResults(results []load.Result) map[load.Outcome]int {
	r.t.Helper()
	runs := r.executions()
	outcomes := make(map[load.Outcome]int)
	for _, res := range results {
		outcomes[res.Outcome]++
		n := runs[jobDigest(res.Job)]
		name := strings.TrimSpace(res.Job.Body + strings.SplitN(res.Job.ModelRequest.Prompt, " ", 2)[0])
		switch {
		case n > 1:
			r.t.Errorf("%s ran %d times (%s, id %s)", name, n, res.Outcome, res.ID)
		case res.Outcome == load.Wrong:
			r.t.Errorf("%s got an answer that belongs to another request (id %s): %s", name, res.ID, res.Detail)
		case res.Outcome == load.Refused && n != 0:
			r.t.Errorf("%s was answered not-run but ran (id %s): %s", name, res.ID, res.Detail)
		case res.Outcome == load.Complete && n != 1:
			r.t.Errorf("%s is complete but ran %d times (id %s)", name, n, res.ID)
		case res.Outcome == load.Failed || res.Outcome == load.GaveUp:
			r.t.Errorf("%s ended as %s, status %d (id %s): %s", name, res.Outcome, res.Status, res.ID, res.Detail)
		}
	}
	return outcomes
}

// awaitRecovery waits until every entry completes requests again after a fault.
// Its requests contain tag, which must be unique within a test.
func (r *rig) awaitRecovery(tag string) {
	r.t.Helper()
	for i := range r.callers {
		sent := 0
		r.await("the entry completes requests again", func() bool {
			sent++
			j := modelJob(1, fmt.Sprintf("again-%s-%d-%d", tag, i, sent), 4, false)
			return r.callers[i].Send(r.ctx, 0, j).Outcome == load.Complete
		})
	}
}
