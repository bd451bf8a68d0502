package main

import (
	"context"
	"fmt"
	"os"

	"lycheepond/trial/load"
	"lycheepond/trial/procs"
)

// smokeAll runs the jobs of both deployments at once.
func smokeAll(ctx context.Context, set *procs.Set, examples string) (complete, wrong int, err error) {
	sites, err := startSites(ctx, set, examples)
	if err != nil {
		return 0, 0, err
	}
	results := make(chan []load.Result, len(sites))
	for _, s := range sites {
		go func() { results <- load.NewCaller(s.targets()).RunConcurrently(ctx, s.smokeJobs(), smokeWidth) }()
	}
	rest := 0
	for range sites {
		for _, r := range <-results {
			switch r.Outcome {
			case load.Complete:
				complete++
			case load.Wrong:
				wrong++
				report(r)
			default:
				rest++
				report(r)
			}
		}
	}
	if rest > 0 {
		return complete, wrong, fmt.Errorf("smoke: %d complete, %d wrong, %d neither", complete, wrong, rest)
	}
	return complete, wrong, nil
}

// report writes a result that is not as it should be to standard error.
func report(r load.Result) {
	fmt.Fprintf(os.Stderr, "%s: status %d, class %s, customer %s, %s%s, request %s: %s\n",
		r.Outcome, r.Status, r.Job.Class.Name, r.Job.Customer, r.Job.Method, r.Job.Path, r.ID, r.Detail)
}
