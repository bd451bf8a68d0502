package follow

import (
	"context"
	"time"
)

// retry calls f until it succeeds or ctx ends, at most limit times, with growing
// pauses; zero means no limit. It returns the error of the last call, or that of
// ctx.
func retry(ctx context.Context, limit int, random func() float64, f func(ctx context.Context) error) error {
	for failed := 0; ctx.Err() == nil; failed++ {
		err := call(ctx, f)
		if err == nil || failed+1 == limit {
			return err
		}
		sleep(ctx, backoff(failed, random()))
	}
	return ctx.Err()
}

// backoff returns the pause after a failed call. failed counts the failures before
// it, and rnd is a random number in [0, 1).
func backoff(failed int, rnd float64) time.Duration {
	pause := min(minRetryPause<<min(failed, 8), maxRetryPause)
	return time.Duration((0.5 + rnd/2) * float64(pause))
}

// call calls f with a timeout of CallTimeout.
func call(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return f(ctx)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
