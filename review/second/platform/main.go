// Command stand runs the cases of the review as separate processes: the entries of the project, with
// the command and the settings of its deploy file, and stand-ins of the platform's store, of
// workers and of clients. Run it in the root of the repository.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun is the longest time of a run.
const maxRun = 115 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps names to cases. A case returns whether the rule was broken. trouble is false for the
// same run without the disruption.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"quota":   longPrompts.run,
	"restart": killedProcesses.run,
	"budget":  runBudget,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD-FILE")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	go endOnSignal(r)
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.say("the rule was BROKEN")
		return exitBroken
	}
	r.say("the rule held")
	return exitHeld
}

// endOnSignal ends the run and all processes that it started on a signal, or when it takes too long.
func endOnSignal(r *record) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	select {
	case s := <-c:
		fmt.Fprintln(os.Stderr, "ended by signal:", s)
	case <-time.After(maxRun):
		fmt.Fprintln(os.Stderr, "ended after", maxRun)
	}
	cleanUp()
	r.close()
	os.Exit(exitNotRun)
}
