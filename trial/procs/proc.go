package procs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"lycheepond/core/launch"
)

// ErrEnded is returned for a signal to a process that has ended.
var ErrEnded = errors.New("procs: the process has ended: start it again")

// PID returns the process ID.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// LogPath returns the path of the process's log file.
func (p *Proc) LogPath() string { return p.logPath }

// Done returns a channel that is closed once the process has ended and was
// reaped.
func (p *Proc) Done() <-chan struct{} { return p.done }

// ExitErr returns the error with which the process ended, nil for exit status
// 0. It may be called only after Done is closed.
func (p *Proc) ExitErr() error { return p.exitErr }

// Signal sends sig to the process, or returns ErrEnded if it was reaped. It never
// signals another process that was given the same ID later.
func (p *Proc) Signal(sig syscall.Signal) error {
	select {
	case <-p.done:
		return ErrEnded
	default:
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("procs: %s: %w", p.name, err)
	}
	return nil
}

// Kill ends the process with SIGKILL and waits until it is reaped.
func (p *Proc) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Pause stops the process with SIGSTOP until Resume is called; its connections
// stay open. Pause returns once every thread has stopped. A thread gets the
// signal only when it next enters the kernel, so without this wait a thread
// could answer one more request on a busy machine.
func (p *Proc) Pause() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for deadline := time.Now().Add(pauseTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		stopped, err := allThreadsStopped(p.cmd.Process.Pid)
		if err != nil || stopped {
			return err
		}
	}
	return ErrNotStopped
}

// pauseTimeout is the time limit for all threads to stop, which usually takes
// milliseconds.
const pauseTimeout = 10 * time.Second

// ErrNotStopped is returned by Pause if a thread still runs after pauseTimeout.
var ErrNotStopped = errors.New("procs: the process did not stop: check whether it is being traced")

// allThreadsStopped reports whether every thread of a process is stopped.
func allThreadsStopped(pid int) (bool, error) {
	files, err := filepath.Glob("/proc/" + strconv.Itoa(pid) + "/task/*/stat")
	if err != nil {
		return false, err
	}
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			// The thread has ended since the directory was read.
			continue
		}
		// The state follows the command name, which is in parentheses and may
		// contain any character.
		_, rest, ok := strings.Cut(string(data[bytes.LastIndexByte(data, ')')+1:]), " ")
		if !ok || !strings.HasPrefix(rest, "T") {
			return false, nil
		}
	}
	return len(files) > 0, nil
}

// Resume continues a paused process.
func (p *Proc) Resume() error { return p.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM and waits for the process to end. After grace it kills the
// process and returns an error.
func (p *Proc) Stop(grace time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.waitOrKill(grace)
}

// stackTime is how long a process that is about to be killed may take to write its stacks.
const stackTime = time.Second

// waitOrKill waits until the process is reaped. After grace it has the process write
// its stacks to its log, kills it and returns an error.
func (p *Proc) waitOrKill(grace time.Duration) error {
	if p.isDoneWithin(grace) {
		return nil
	}
	if p.Signal(syscall.SIGQUIT) == nil {
		p.isDoneWithin(stackTime)
	}
	if err := p.Kill(); err != nil && !errors.Is(err, ErrEnded) && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return fmt.Errorf("procs: %s did not stop within its grace time and was killed: read %s", p.name, p.logPath)
}

// isDoneWithin waits until the process is reaped, and reports false if that takes longer
// than d.
func (p *Proc) isDoneWithin(d time.Duration) bool {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-p.done:
		return true
	case <-timer.C:
	}
	// Both may have been ready.
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// pollInterval is the interval between requests to a process that is not ready.
const pollInterval = 20 * time.Millisecond

// WaitHTTP repeats a GET request to url until it is answered with 200 or ctx
// ends.
func WaitHTTP(ctx context.Context, url string) error {
	var lastErr error
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = errors.New(resp.Status)
		}
		if ctx.Err() == nil {
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("procs: %s did not answer 200 in time: %w", url, lastErr)
		case <-time.After(pollInterval):
		}
	}
}

// forker starts processes from one thread that never ends.
type forker struct {
	requests chan forkRequest
}

// forkRequest is a request to start cmd. The result is sent to done.
type forkRequest struct {
	cmd  *exec.Cmd
	done chan error
}

// processForker is the forker that starts all processes. The kernel sends
// Pdeathsig when the thread that forked ends, not when its process ends. If the
// Go runtime ended that thread, a healthy process would die of SIGKILL for no
// visible reason.
var processForker = newForker()

func newForker() *forker {
	f := &forker{requests: make(chan forkRequest)}
	go f.run()
	return f
}

// run serves requests on a locked OS thread. It never returns, so the thread
// lives as long as this program.
func (f *forker) run() {
	runtime.LockOSThread()
	for req := range f.requests {
		req.done <- launch.Start(req.cmd)
	}
}

func (f *forker) start(cmd *exec.Cmd) error {
	done := make(chan error, 1)
	f.requests <- forkRequest{cmd: cmd, done: done}
	return <-done
}
