package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"lycheepond/trial/ideal"
)

func idealCommand() command {
	sub := newSubcommand("ideal", "compute from the logs of a day which requests a scheduler that knew all of them in advance could have served")
	var paths []string
	sub.StringSlice(&paths, "l", "log", "log of an entry, may be repeated")
	return command{sub: sub, run: func(context.Context) error { return runIdeal(os.Stdout, paths) }}
}

// runIdeal reads the logs and writes a table of the shares of requests that were served
// and that the ideal plan serves.
func runIdeal(w io.Writer, paths []string) error {
	if len(paths) == 0 {
		return errors.New("no log: name the logs of all entries with -l")
	}
	var logs []io.Reader
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return err
		}
		defer f.Close()
		logs = append(logs, f)
	}
	all, err := ideal.Read(logs...)
	if err != nil {
		return err
	}
	ideal.Plan(all)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "tier\tfifth by output\tasked\tserved\tideal")
	for _, r := range ideal.Summarize(all) {
		n := float64(max(r.Requests, 1))
		fmt.Fprintf(table, "%s\t%d\t%d\t%.2f\t%.2f\n", r.Tier, r.Fifth+1, r.Requests, float64(r.Served)/n, float64(r.Planned)/n)
	}
	return table.Flush()
}
