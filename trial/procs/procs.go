// Package procs starts programs as processes of their own, waits until they are
// ready, and stops, pauses or kills them by their process ID.
package procs

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"lycheepond/trial/serve"
)

// Config says where programs are and where their output goes.
type Config struct {
	// Bin is the directory of the built programs.
	Bin string
	// Dir takes settings files and logs.
	Dir string
	// Env is added to the environment of every process.
	Env []string
}

// Set is the processes of one experiment. Close ends those that still run.
type Set struct {
	cfg Config

	mu    sync.Mutex
	procs []*Proc
}

// Proc is one process.
type Proc struct {
	name string
	cmd  *exec.Cmd
	log  string
	// ready is closed when the process has printed its ready line; listen is
	// set before that.
	ready  chan struct{}
	listen string
	// done is closed when the process has been reaped; err is set before that.
	done chan struct{}
	err  error
}

// New returns an empty set and makes its directory.
func New(cfg Config) (*Set, error) {
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("procs: %w: choose a directory that can be written", err)
	}
	return &Set{cfg: cfg}, nil
}

// Dir returns the directory of settings and logs.
func (s *Set) Dir() string { return s.cfg.Dir }

// Write stores a settings file and returns its path.
func (s *Set) Write(name string, data []byte) (string, error) {
	path := filepath.Join(s.cfg.Dir, name)
	return path, os.WriteFile(path, data, 0o600)
}

// Start runs a program of Bin under a name of its own. Its standard error and
// what follows the ready line go to NAME.log in Dir.
func (s *Set) Start(name, program string, args ...string) (*Proc, error) {
	logPath := filepath.Join(s.cfg.Dir, name+".log")
	file, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(s.cfg.Bin, program), args...)
	cmd.Env = append(os.Environ(), s.cfg.Env...)
	cmd.Stderr = file
	// A group of its own keeps the terminal's Ctrl-C from the process, so that
	// the harness alone decides the order in which things stop. Pdeathsig ends
	// the process if the harness is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		file.Close()
		return nil, err
	}
	p := &Proc{name: name, cmd: cmd, log: logPath, ready: make(chan struct{}), done: make(chan struct{})}
	if err := s.launch(p); err != nil {
		file.Close()
		return nil, fmt.Errorf("procs: start %s: %w: run make build first", name, err)
	}
	go p.follow(bufio.NewReader(out), file)
	return p, nil
}

// launch starts the process from the set's own thread: Pdeathsig acts when the
// thread that forked ends, not the process.
func (s *Set) launch(p *Proc) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := starts.start(p.cmd); err != nil {
		return err
	}
	s.procs = append(s.procs, p)
	return nil
}

// follow reads standard output until it ends and then reaps the process.
func (p *Proc) follow(out *bufio.Reader, file *os.File) {
	defer close(p.done)
	defer file.Close()
	seen := false
	for {
		line, err := out.ReadBytes('\n')
		var r serve.Ready
		if !seen && json.Unmarshal(line, &r) == nil && r.Ready != "" {
			seen = true
			p.listen = r.Listen
			close(p.ready)
		} else if _, werr := file.Write(line); werr != nil {
			break
		}
		if err != nil {
			break
		}
	}
	p.err = p.cmd.Wait()
}

// Procs returns the processes that were started, in order.
func (s *Set) Procs() []*Proc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Proc(nil), s.procs...)
}

// Close stops every process, newest first, and kills those that need longer
// than grace.
func (s *Set) Close(grace time.Duration) error {
	var errs []error
	list := s.Procs()
	until := time.Now().Add(grace)
	for i := len(list) - 1; i >= 0; i-- {
		// A paused process can't act on SIGTERM.
		list[i].Signal(syscall.SIGCONT)
		list[i].Signal(syscall.SIGTERM)
	}
	for i := len(list) - 1; i >= 0; i-- {
		if err := list[i].reap(time.Until(until)); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// Ready waits until p has printed its ready line and returns where it listens.
func (p *Proc) Ready(ctx context.Context) (string, error) {
	select {
	case <-p.ready:
		return p.listen, nil
	case <-p.done:
		return "", fmt.Errorf("procs: %s ended before it was ready (%v): read %s", p.name, p.err, p.log)
	case <-ctx.Done():
		return "", fmt.Errorf("procs: %s is not ready: %w: read %s", p.name, context.Cause(ctx), p.log)
	}
}
