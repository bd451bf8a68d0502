package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"lycheepond/core/ident"
	"lycheepond/core/plat"
	"lycheepond/lychee/admin"
	"lycheepond/lychee/survey"
	"lycheepond/lychee/trace"
)

// runStatus shows the state of the fleet. While the platform is away, it shows
// the state of the entries given with --entry and fails.
func runStatus(ctx context.Context, t *tool) int {
	report, err := t.newCollector().BuildReport(ctx)
	if err != nil {
		fmt.Fprintln(t.stderr, "lychee:", err)
	}
	t.results.WriteReport(report)
	switch {
	case err != nil:
		return exitFailed
	case !report.InForceEverywhere:
		return exitNotInForce
	}
	return exitOK
}

// runDrain makes an endpoint's agent finish its requests and stop.
func runDrain(ctx context.Context, t *tool) int {
	roster, err := t.newCollector().FetchRoster(ctx)
	if err != nil {
		return t.fail(err)
	}
	for _, instance := range roster.Instances {
		if instance.Name != t.firstArg {
			continue
		}
		if instance.Role != plat.RoleEndpoint || instance.AdminAddr == "" {
			fmt.Fprintf(t.stderr, "lychee: %s is no endpoint with an admin address: stop it with SIGTERM, which drains it too\n", instance.Name)
			return exitInvalidInput
		}
		if err := t.admin.Drain(ctx, instance.AdminAddr); err != nil {
			return t.fail(err)
		}
		t.results.WriteMessage(instance.Name + ": takes no more work, finishes what runs and stops; `lychee status` shows it as leaving")
		return exitOK
	}
	fmt.Fprintf(t.stderr, "lychee: no instance %q in the instance list: `lychee status` shows the endpoints\n", t.firstArg)
	return exitInvalidInput
}

// runExplain shows the decisions about a request, from the record of the first entry
// that has one.
func runExplain(ctx context.Context, t *tool) int {
	if _, err := ident.Parse(t.firstArg); err != nil {
		fmt.Fprintln(t.stderr, "lychee:", err, "(the Lychee-Request-Id of an answer)")
		return exitInvalidInput
	}
	// While the platform is away, only the entries given with --entry are queried.
	roster, rosterErr := t.newCollector().FetchRoster(ctx)
	entries := t.newCollector().ListEntries(roster)
	errs := []error{rosterErr}
	for _, entry := range entries {
		found, err := t.explainFrom(ctx, entry)
		if found {
			return exitOK
		}
		errs = append(errs, err)
	}
	errs = append(errs, errors.New("no entry knows the request: each keeps its last few thousand only, and loses them when it is replaced"))
	return t.fail(errors.Join(errs...))
}

// explainFrom fetches one entry's record of the request and writes it. It returns
// false without an error if the entry has none.
func (t *tool) explainFrom(ctx context.Context, entry survey.Entry) (bool, error) {
	record, err := t.admin.Explain(ctx, entry.Address, t.firstArg)
	if errors.Is(err, admin.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	t.results.WriteExplanation(entry.Name, record)
	return true, nil
}

// runTrace finds out from log files how a request ended and why.
func runTrace(_ context.Context, t *tool) int {
	var logs []io.Reader
	for _, name := range t.files {
		switch name {
		case "":
		case "-":
			logs = append(logs, os.Stdin)
		default:
			f, err := os.Open(name)
			if err != nil {
				fmt.Fprintln(t.stderr, "lychee:", err)
				return exitInvalidInput
			}
			defer f.Close()
			logs = append(logs, f)
		}
	}
	result, err := trace.Read(t.firstArg, logs...)
	if err != nil {
		return t.fail(err)
	}
	t.results.WriteTrace(result)
	return exitOK
}

// runVersion prints the version of the program.
func runVersion(_ context.Context, t *tool) int {
	t.results.WriteMessage("lychee " + release)
	return exitOK
}
