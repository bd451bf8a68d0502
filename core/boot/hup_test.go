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

// hupEnv makes the test's own program the one that is tried.
const hupEnv = "LYCHEEPOND_TEST_HUP"

// The settings file of a process changes, and it is told by SIGHUP before the part
// that listens for the signal has begun, or after it has ended. The process and the
// requests in it go on. Until something listens the signal's default holds: "the
// process ended: signal: hangup".
func TestHangupEndsNoProcess(t *testing.T) {
	if path := os.Getenv(hupEnv); path != "" {
		os.Args = []string{"program", "--config", path}
		p := Program[conf.Agent]{Name: "program", Run: func(context.Context, *conf.Agent, string) error {
			// Sent to the thread itself the signal has come when the call returns.
			runtime.LockOSThread()
			return syscall.Tgkill(os.Getpid(), syscall.Gettid(), syscall.SIGHUP)
		}}
		os.Exit(p.Main())
	}
	// A child inherits that a signal is ignored, as under nohup, but no handler.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	path := filepath.Join(t.TempDir(), "agent.yaml")
	settings := "name: a\nzone: z\nplatform: {address: \"http://127.0.0.1:1\"}\nfleet_key: 0123456789abcdef\nlink: 127.0.0.1:1\nendpoint: {address: \"http://127.0.0.1:1\", kind: service}\n"
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "-test.run", t.Name())
	cmd.Env = append(os.Environ(), hupEnv+"="+path)
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Errorf("the process ended: %v\n%s", err, out)
	}
}
