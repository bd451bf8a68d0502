package boot

import (
	"context"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"

	"lycheepond/core/conf"
)

// childEnv is set in the child process, which runs the test binary as the program
// under test.
const childEnv = "LYCHEEPOND_TEST_HUP"

// The settings file of a process changes, and the process receives a SIGHUP before
// the handler that reloads the file is installed or after it has been removed. The
// process and its requests must continue. Without any handler, the signal's default
// action ended the process with "signal: hangup".
func TestHangupDoesNotEndProcess(t *testing.T) {
	if path := os.Getenv(childEnv); path != "" {
		os.Args = []string{"program", "--config", path}
		p := Program[conf.Agent]{Name: "program", Run: func(context.Context, *conf.Agent, string) error {
			// A signal to the calling thread is delivered before the call returns.
			runtime.LockOSThread()
			return syscall.Tgkill(os.Getpid(), syscall.Gettid(), syscall.SIGHUP)
		}}
		os.Exit(p.Main())
	}
	// A child inherits an ignored signal, as under nohup, but no handler.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	path := filepath.Join(t.TempDir(), "agent.yaml")
	settings := "name: a\nzone: z\nplatform: {address: \"http://127.0.0.1:1\"}\nfleet_key: 0123456789abcdef\nlink: 127.0.0.1:1\nendpoint: {address: \"http://127.0.0.1:1\", kind: service}\n"
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "-test.run", t.Name())
	cmd.Env = append(os.Environ(), childEnv+"="+path)
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Errorf("the process ended: %v\n%s", err, out)
	}
}
