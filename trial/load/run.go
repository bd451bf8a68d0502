package load

import (
	"context"
	"sync"
	"time"

	"lycheepond/trial/serve"
)

// Run sends every job at its time and returns the results in the order of the
// jobs. Jobs must be sorted by At. Jobs whose time had not come when ctx ended
// have the zero Outcome.
func (c *Caller) Run(ctx context.Context, jobs []Job) []Result {
	results := make([]Result, len(jobs))
	start := time.Now()
	var wait sync.WaitGroup
	for i, j := range jobs {
		results[i].Job = j
		if !serve.Sleep(ctx, j.At-time.Since(start)) {
			break
		}
		wait.Go(func() {
			sent := time.Since(start)
			results[i] = c.Send(ctx, i, j)
			results[i].Sent = sent
		})
	}
	wait.Wait()
	return results
}

// RunWide sends jobs as fast as width callers can, each waiting for its answer.
func (c *Caller) RunWide(ctx context.Context, jobs []Job, width int) []Result {
	results := make([]Result, len(jobs))
	next := make(chan int)
	var wait sync.WaitGroup
	for range width {
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
