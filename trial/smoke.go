package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/engin"
	"lycheepond/trial/load"
)

// Sizes of the smoke run.
const (
	smokeLimit = 38 * time.Second
	smokeWidth = 12
	shortWords = 60
	longWords  = 600
	shortWant  = 24
	longWant   = 120
)

func smokeCommand() command {
	sub := newSub("smoke", "send work of every class through both entries of both deployments and check each answer")
	examples := examplesDir
	sub.String(&examples, "e", "examples", "directory of the example objects")
	return command{sub: sub, run: func(ctx context.Context) error {
		ctx, stop := context.WithTimeout(ctx, smokeLimit)
		defer stop()
		return smoke(ctx, examples)
	}}
}

func smoke(ctx context.Context, examples string) (err error) {
	set, err := newSet("smoke")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = fmt.Errorf("%w (settings and logs are in %s)", err, set.Dir())
			return
		}
		os.RemoveAll(set.Dir())
	}()
	complete, wrong, err := smokeAll(ctx, set, examples)
	if err = errors.Join(err, set.Close(stopWait)); err != nil {
		return err
	}
	fmt.Printf("smoke: %d complete, %d wrong\n", complete, wrong)
	if wrong > 0 {
		return errors.New("some answers are wrong")
	}
	return nil
}

// smokeJobs is work of every class, streamed and whole, and plain calls, of
// every customer.
func (s *site) smokeJobs() []load.Job {
	var jobs []load.Job
	for i, customer := range s.customers() {
		for _, class := range s.classes() {
			if !allowed(customer, class.Name) {
				continue
			}
			// Each job stands twice, so that each entry gets it: the caller
			// takes the entries in turn.
			for _, stream := range []bool{true, true, false, false} {
				jobs = append(jobs, s.modelJob(customer.Name, class, stream, len(jobs), i%2 == 0))
			}
		}
		for _, method := range []string{http.MethodGet, http.MethodGet, http.MethodPost, http.MethodPost} {
			jobs = append(jobs, s.plainJob(customer.Name, method, len(jobs)))
		}
	}
	return jobs
}

func (s *site) modelJob(customer string, class spec.Class, stream bool, n int, chat bool) load.Job {
	words, want := shortWords, shortWant
	if class.Target.Complete.Std() > time.Minute {
		words, want = longWords, longWant
	}
	prompt := fmt.Sprintf("%s %s %d ", customer, class.Name, n) + strings.Repeat("field ", words)
	ask := engin.CompletionRequest{Model: s.model(), Prompt: prompt, MaxTokens: want, Stream: stream}
	if chat {
		ask.Prompt, ask.Messages = "", []engin.Message{{Role: "user", Content: prompt}}
	}
	return load.Job{Class: class, Customer: customer, Bearer: bearer(customer), Ask: ask}
}

func (s *site) plainJob(customer, method string, n int) load.Job {
	j := load.Job{
		Customer: customer, Bearer: bearer(customer), Method: method,
		Path: fmt.Sprintf("/services/%s/games/%d", s.service(), n),
	}
	if method == http.MethodPost {
		j.Body = fmt.Sprintf(`{"game":%d}`, n)
		j.NonIdempotent = true
		j.IdempotencyKey = fmt.Sprintf("%s-%d", customer, n)
	}
	return j
}
