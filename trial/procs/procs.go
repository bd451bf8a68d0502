// Package procs runs programs as child processes: it starts them, waits until
// they are ready, and pauses, stops or kills them.
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

// Config holds the directories and the environment of the processes of a Set.
type Config struct {
	// BinDir is the directory of the built programs.
	BinDir string
	// Dir is the directory for settings files and logs.
	Dir string
	// Env holds variables, as NAME=VALUE, that are added to the environment of
	// every process.
	Env []string
}

// Set holds the processes of one experiment. Its methods may be called from any
// goroutine. Close ends the processes that still run.
type Set struct {
	cfg Config

	mu    sync.Mutex
	procs []*Proc
}

// Proc is a process that was started by a Set.
type Proc struct {
	name    string
	cmd     *exec.Cmd
	logPath string
	// ready is closed when the process has printed its ready line. listenAddr,
	// the address in that line, is set before.
	ready      chan struct{}
	listenAddr string
	// done is closed when the process has been reaped. exitErr, the result of
	// Wait, is set before.
	done    chan struct{}
	exitErr error
}

// New creates the directory of settings files and logs and returns a set without
// processes.
func New(cfg Config) (*Set, error) {
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("procs: %w: choose a directory that can be written", err)
	}
	return &Set{cfg: cfg}, nil
}

// Dir returns the directory of settings files and logs.
func (s *Set) Dir() string { return s.cfg.Dir }

// WriteFile writes a file with the given name in Dir, readable only by its
// owner, and returns its path.
func (s *Set) WriteFile(name string, data []byte) (string, error) {
	path := filepath.Join(s.cfg.Dir, name)
	return path, os.WriteFile(path, data, 0o600)
}

// Start starts a program of BinDir as a process called name. Its standard error
// and its standard output except the ready line are appended to NAME.log in Dir.
func (s *Set) Start(name, program string, args ...string) (*Proc, error) {
	logPath := filepath.Join(s.cfg.Dir, name+".log")
	file, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(s.cfg.BinDir, program), args...)
	cmd.Env = append(os.Environ(), s.cfg.Env...)
	cmd.Stderr = file
	// In a process group of its own the process doesn't get the terminal's
	// Ctrl-C, so only this program decides the order in which processes stop.
	// Pdeathsig ends the process if this program is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		file.Close()
		return nil, err
	}
	p := &Proc{name: name, cmd: cmd, logPath: logPath, ready: make(chan struct{}), done: make(chan struct{})}
	if err := s.launch(p); err != nil {
		file.Close()
		return nil, fmt.Errorf("procs: start %s: %w: run make build first", name, err)
	}
	go p.copyOutput(bufio.NewReader(out), file)
	return p, nil
}

// launch starts the process through the shared forker, because Pdeathsig is sent
// when the thread that forked ends, and adds it to the set.
func (s *Set) launch(p *Proc) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := processForker.start(p.cmd); err != nil {
		return err
	}
	s.procs = append(s.procs, p)
	return nil
}

// copyOutput copies the standard output of the process to its log, except the
// ready line, until it ends, and then reaps the process.
func (p *Proc) copyOutput(out *bufio.Reader, file *os.File) {
	defer close(p.done)
	defer file.Close()
	isReady := false
	for {
		line, err := out.ReadBytes('\n')
		var r serve.Ready
		if !isReady && json.Unmarshal(line, &r) == nil && r.Ready != "" {
			isReady = true
			p.listenAddr = r.Listen
			close(p.ready)
		} else if _, werr := file.Write(line); werr != nil {
			break
		}
		if err != nil {
			break
		}
	}
	p.exitErr = p.cmd.Wait()
}

// Procs returns the processes in the order in which they were started.
func (s *Set) Procs() []*Proc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Proc(nil), s.procs...)
}

// Close sends SIGTERM to every process, newest first, and kills those that run on
// after grace, which covers all of them. It returns an error for each one killed.
func (s *Set) Close(grace time.Duration) error {
	var errs []error
	procs := s.Procs()
	deadline := time.Now().Add(grace)
	for i := len(procs) - 1; i >= 0; i-- {
		// A paused process can't act on SIGTERM.
		procs[i].Signal(syscall.SIGCONT)
		procs[i].Signal(syscall.SIGTERM)
	}
	for i := len(procs) - 1; i >= 0; i-- {
		if err := procs[i].waitOrKill(time.Until(deadline)); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// Ready waits until p has printed its ready line and returns the address it
// listens on. It returns an error if p ends or ctx ends first.
func (p *Proc) Ready(ctx context.Context) (string, error) {
	select {
	case <-p.ready:
		return p.listenAddr, nil
	case <-p.done:
		return "", fmt.Errorf("procs: %s ended before it was ready (%v): read %s", p.name, p.exitErr, p.logPath)
	case <-ctx.Done():
		return "", fmt.Errorf("procs: %s is not ready: %w: read %s", p.name, context.Cause(ctx), p.logPath)
	}
}
