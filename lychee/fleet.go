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

func status(ctx context.Context, t *tool) int {
	r, err := t.surveyor().Report(ctx)
	if err != nil {
		fmt.Fprintln(t.errOut, "lychee:", err)
	}
	t.show.Report(r)
	switch {
	case err != nil:
		return exitFailed
	case !r.InForce:
		return exitLags
	}
	return exitGood
}

func drain(ctx context.Context, t *tool) int {
	roster, err := t.surveyor().Roster(ctx)
	if err != nil {
		return t.fail(err)
	}
	for _, i := range roster.Instances {
		if i.Name != t.first {
			continue
		}
		if i.Role != plat.RoleEndpoint || i.AdminAddr == "" {
			fmt.Fprintf(t.errOut, "lychee: %s is no endpoint with an admin address: stop it with SIGTERM, which drains it too\n", i.Name)
			return exitInput
		}
		if err := t.admin.Drain(ctx, i.AdminAddr); err != nil {
			return t.fail(err)
		}
		t.show.Message(i.Name + ": takes no more work, finishes what runs and stops; `lychee status` shows it as leaving")
		return exitGood
	}
	fmt.Fprintf(t.errOut, "lychee: no instance %q in the instance list: `lychee status` shows the endpoints\n", t.first)
	return exitInput
}

func explain(ctx context.Context, t *tool) int {
	if _, err := ident.Parse(t.first); err != nil {
		fmt.Fprintln(t.errOut, "lychee:", err, "(the Lychee-Request-Id of an answer)")
		return exitInput
	}
	// With the platform away the entries that were given are still asked.
	roster, rosterErr := t.surveyor().Roster(ctx)
	entries := t.surveyor().EntryAddresses(roster)
	errs := []error{rosterErr}
	for _, e := range entries {
		found, err := t.explainAt(ctx, e)
		if found {
			return exitGood
		}
		errs = append(errs, err)
	}
	errs = append(errs, errors.New("no entry knows the request: each keeps its last few thousand only, and loses them when it is replaced"))
	return t.fail(errors.Join(errs...))
}

func (t *tool) explainAt(ctx context.Context, e survey.Entry) (bool, error) {
	found, err := t.admin.Explain(ctx, e.Address, t.first)
	if errors.Is(err, admin.ErrUnknown) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	t.show.Explained(e.Name, found)
	return true, nil
}

// traceLogs tells from logs what became of a request.
func traceLogs(_ context.Context, t *tool) int {
	var logs []io.Reader
	for _, name := range t.files {
		switch name {
		case "":
		case "-":
			logs = append(logs, os.Stdin)
		default:
			f, err := os.Open(name)
			if err != nil {
				fmt.Fprintln(t.errOut, "lychee:", err)
				return exitInput
			}
			defer f.Close()
			logs = append(logs, f)
		}
	}
	found, err := trace.Read(t.first, logs...)
	if err != nil {
		return t.fail(err)
	}
	t.show.Trace(found)
	return exitGood
}

func version(_ context.Context, t *tool) int {
	t.show.Message("lychee " + release)
	return exitGood
}
