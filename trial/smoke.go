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
	"lycheepond/trial/load"
	"lycheepond/trial/simeng"
)

// The parameters of the smoke run. The lengths are those of prompts in words and of
// answers in tokens, for short and for long requests.
const (
	smokeTimeout      = 38 * time.Second
	smokeConcurrency  = 12
	shortWords        = 60
	longWords         = 600
	shortOutputTokens = 24
	longOutputTokens  = 120
)

func smokeCommand() command {
	sub := newSubcommand("smoke", "send requests of every class through both entries of both deployments and check each answer")
	examples := examplesDir
	sub.String(&examples, "e", "examples", "directory of the example objects")
	return command{sub: sub, run: func(ctx context.Context) error {
		ctx, stop := context.WithTimeout(ctx, smokeTimeout)
		defer stop()
		return smoke(ctx, examples)
	}}
}

// smoke starts both deployments, sends the jobs and prints how many answers are complete
// and wrong. It keeps the settings and logs if there was an error.
func smoke(ctx context.Context, examples string) (err error) {
	set, err := newProcessSet("smoke")
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
	completeCount, wrongCount, err := runSmokeJobs(ctx, set, examples)
	if err = errors.Join(err, set.Close(maxStopTime)); err != nil {
		return err
	}
	fmt.Printf("smoke: %d complete, %d wrong\n", completeCount, wrongCount)
	if wrongCount > 0 {
		return errors.New("some answers are wrong")
	}
	return nil
}

// smokeJobs returns requests of each customer: to the model in each class that the
// customer may use, streamed and not streamed, and to the plain service.
func (s *site) smokeJobs() []load.Job {
	var jobs []load.Job
	for i, customer := range s.customers() {
		for _, class := range s.classes() {
			if !mayUseClass(customer, class.Name) {
				continue
			}
			// Each kind of job occurs twice in a row, so that both entries get
			// one: the caller sends to the entries in turn.
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

// modelJob returns job number n as a request to the model. It is a long request if the
// target of the class for a complete answer is more than a minute.
func (s *site) modelJob(customer string, class spec.Class, stream bool, n int, isChat bool) load.Job {
	words, outputTokens := shortWords, shortOutputTokens
	if class.Target.Complete.Std() > time.Minute {
		words, outputTokens = longWords, longOutputTokens
	}
	prompt := fmt.Sprintf("%s %s %d ", customer, class.Name, n) + strings.Repeat("field ", words)
	req := simeng.CompletionRequest{Model: s.model(), Prompt: prompt, MaxTokens: outputTokens, Stream: stream}
	if isChat {
		req.Prompt, req.Messages = "", []simeng.Message{{Role: "user", Content: prompt}}
	}
	return load.Job{Class: class, Customer: customer, Bearer: bearer(customer), ModelRequest: req}
}

// plainJob returns job number n as a request to the plain service.
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
