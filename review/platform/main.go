// Command standins plays the cases of the review. It starts the entries as the deploy file says,
// and stands in for clients, workers and the platform's store. Its argument is the case.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not
// be played.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRunTime ends a case that does not end by itself.
const maxRunTime = 115 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by name.
var cases = map[string]func(*rig) (verdict, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE, in the root of the repository")
		return exitFailed
	}
	g, err := newRig(filepath.Join("review", os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer g.close()
	type outcome struct {
		v   verdict
		err error
	}
	ended := make(chan outcome, 1)
	go func() {
		v, err := cases[os.Args[1]](g)
		ended <- outcome{v, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	var o outcome
	select {
	case o = <-ended:
	case <-interrupted:
		o.err = errors.New("interrupted")
	case <-time.After(maxRunTime):
		o.err = errors.New("the case did not end in time")
	}
	switch {
	case o.err != nil:
		g.recordf("not played: %v", o.err)
		fmt.Println("not played:", o.err)
		return exitFailed
	case o.v.broken:
		g.recordf("BROKEN %s", o.v.text)
		fmt.Println("BROKEN", o.v.text)
		return exitBroken
	}
	g.recordf("HELD %s", o.v.text)
	fmt.Println("HELD", o.v.text)
	return exitHeld
}

// rig holds what all cases share.
type rig struct {
	start time.Time
	// trouble is false if the case is to be played without its disruption.
	trouble bool
	dir     string

	mu      sync.Mutex
	record  *os.File
	entries []*entry
	// closed is set once no more processes may be started.
	closed bool
	// ran holds which worker began to work on a request last, by the ID of the request.
	ran map[string]string
}

func newRig(recordPath string) (*rig, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &rig{start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: f, ran: make(map[string]string)}, nil
}

// close ends all processes that the rig has started.
func (g *rig) close() {
	g.mu.Lock()
	g.closed = true
	entries := g.entries
	g.mu.Unlock()
	for _, e := range entries {
		e.kill()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.Close()
	os.RemoveAll(g.dir)
}

// launch starts the process of an entry, unless the rig has ended. exited is closed at its end.
func (g *rig) launch(e *entry, cmd *exec.Cmd, exited chan struct{}) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errors.New("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	if !slices.Contains(g.entries, e) {
		g.entries = append(g.entries, e)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd, e.exited = cmd, exited
	return nil
}

// recordf writes one line to the record.
func (g *rig) recordf(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	fmt.Fprintf(g.record, "%8.3f %s\n", time.Since(g.start).Seconds(), fmt.Sprintf(format, args...))
}

// noteRun records that a worker begins to work on a request.
func (g *rig) noteRun(id, worker string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ran[id] = worker
}

// ranAt returns the worker that began to work on a request last, empty if none did.
func (g *rig) ranAt(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ran[id]
}
