package main

import (
	"context"
	"fmt"
	"os"

	"lycheepond/trial/load"
	"lycheepond/trial/procs"
)

// runSmokeJobs sends the jobs of both deployments at the same time and counts the complete
// and the wrong answers. It fails if any job has another outcome.
func runSmokeJobs(ctx context.Context, set *procs.Set, examples string) (completeCount, wrongCount int, err error) {
	sites, err := startSites(ctx, set, examples)
	if err != nil {
		return 0, 0, err
	}
	results := make(chan []load.Result, len(sites))
	for _, s := range sites {
		go func() {
			results <- load.NewCaller(s.entryAddrs()).RunConcurrently(ctx, s.smokeJobs(), smokeConcurrency)
		}()
	}
	otherCount := 0
	for range sites {
		for _, r := range <-results {
			switch r.Outcome {
			case load.Complete:
				completeCount++
			case load.Wrong:
				wrongCount++
				printResult(r)
			default:
				otherCount++
				printResult(r)
			}
		}
	}
	if otherCount > 0 {
		return completeCount, wrongCount, fmt.Errorf("smoke: %d complete, %d wrong, %d neither", completeCount, wrongCount, otherCount)
	}
	return completeCount, wrongCount, nil
}

// printResult writes the result of a job that failed to standard error.
func printResult(r load.Result) {
	fmt.Fprintf(os.Stderr, "%s: status %d, class %s, customer %s, %s%s, request %s: %s\n",
		r.Outcome, r.Status, r.Job.Class.Name, r.Job.Customer, r.Job.Method, r.Job.Path, r.ID, r.Detail)
}
