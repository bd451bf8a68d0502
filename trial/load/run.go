package load

import (
	"context"
	"sync"
	"time"

	"lycheepond/trial/serve"
)

// Run sends every job at its SendAt and returns the results in the order of the
// jobs, which must be sorted by SendAt. A job that was not yet due when ctx ended
// has the zero Outcome.
func (c *Caller) Run(ctx context.Context, jobs []Job) []Result {
	results := make([]Result, len(jobs))
	start := time.Now()
	var wait sync.WaitGroup
	for i, j := range jobs {
		results[i].Job = j
		if !serve.Sleep(ctx, j.SendAt-time.Since(start)) {
			break
		}
		wait.Go(func() {
			sent := time.Since(start)
			results[i] = c.Send(ctx, i, j)
			results[i].SentAt = sent
		})
	}
	wait.Wait()
	return results
}

// RunConcurrently sends the jobs with concurrency callers, regardless of their
// SendAt. Each caller sends its next job as soon as it has the answer to the last.
func (c *Caller) RunConcurrently(ctx context.Context, jobs []Job, concurrency int) []Result {
	results := make([]Result, len(jobs))
	next := make(chan int)
	var wait sync.WaitGroup
	for range concurrency {
		wait.Go(func() {
			for i := range next {
				results[i] = c.Send(ctx, i, jobs[i])
			}
		})
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	wait.Wait()
	return results
}
