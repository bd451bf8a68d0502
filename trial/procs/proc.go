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
)

// ErrEnded reports a signal to a process that has ended.
var ErrEnded = errors.New("procs: the process has ended: start it again")

// PID returns the process ID.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// Log returns the path of the process's log.
func (p *Proc) Log() string { return p.log }

// Done is closed when the process has ended and was reaped.
func (p *Proc) Done() <-chan struct{} { return p.done }

// Exit returns how the process ended; it is meaningful once Done is closed.
func (p *Proc) Exit() error { return p.err }

// Signal sends sig to the process, never to a process that took over its ID.
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

// Kill ends the process at once, without any chance to say so, and reaps it.
func (p *Proc) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Pause stops the process until Resume; its connections stay open. It returns
// once every thread has stopped: the signal is delivered to each when it next
// enters the kernel, and on a busy machine a thread may answer one more request
// before that.
func (p *Proc) Pause() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for end := time.Now().Add(stopTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		stopped, err := allStopped(p.cmd.Process.Pid)
		if err != nil || stopped {
			return err
		}
	}
	return ErrNotStopped
}

// stopTime bounds the wait for all threads to stop; it takes milliseconds.
const stopTime = 10 * time.Second

// ErrNotStopped reports a process that a signal did not stop.
var ErrNotStopped = errors.New("procs: the process did not stop: look whether it is being traced")

// allStopped reports whether every thread of a process is stopped.
func allStopped(pid int) (bool, error) {
	files, err := filepath.Glob("/proc/" + strconv.Itoa(pid) + "/task/*/stat")
	if err != nil {
		return false, err
	}
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			// The thread has ended since.
			continue
		}
		// The state follows the name, which stands in parentheses and may hold
		// any character.
		_, rest, found := strings.Cut(string(data[bytes.LastIndexByte(data, ')')+1:]), " ")
		if !found || !strings.HasPrefix(rest, "T") {
			return false, nil
		}
	}
	return len(files) > 0, nil
}

// Resume lets a paused process go on.
func (p *Proc) Resume() error { return p.Signal(syscall.SIGCONT) }

// Stop asks the process to end and waits for it, at most grace.
func (p *Proc) Stop(grace time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.reap(grace)
}

// reap waits for the end and kills the process when grace is over.
func (p *Proc) reap(grace time.Duration) error {
	t := time.NewTimer(max(grace, 0))
	defer t.Stop()
	select {
	case <-p.done:
		return nil
	case <-t.C:
	}
	if err := p.Kill(); err != nil && !errors.Is(err, ErrEnded) && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return fmt.Errorf("procs: %s did not stop within its grace time and was killed: read %s", p.name, p.log)
}

// pollEvery is the pause between two looks at a process that is not ready.
const pollEvery = 20 * time.Millisecond

// WaitHTTP asks url until it answers 200.
func WaitHTTP(ctx context.Context, url string) error {
	var last error
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
			last = err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("procs: %s did not answer 200 in time: %w", url, last)
		case <-time.After(pollEvery):
		}
	}
}

// forker starts processes from one thread that never ends.
type forker struct {
	asks chan fork
}

type fork struct {
	cmd  *exec.Cmd
	done chan error
}

// starts is the one forker. Pdeathsig is bound to the thread that forks: if the
// runtime retired that thread, the kernel would kill a healthy process, seen as
// a process that dies with SIGKILL for no reason.
var starts = newForker()

func newForker() *forker {
	f := &forker{asks: make(chan fork)}
	go f.run()
	return f
}

// run lasts as long as the process, which is what Pdeathsig needs.
func (f *forker) run() {
	runtime.LockOSThread()
	for a := range f.asks {
		a.done <- a.cmd.Start()
	}
}

func (f *forker) start(cmd *exec.Cmd) error {
	done := make(chan error, 1)
	f.asks <- fork{cmd: cmd, done: done}
	return <-done
}
