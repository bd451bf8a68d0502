//go:build cgo

package sigs

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"lycheepond/core/launch"
)

func TestMain(m *testing.M) {
	switch os.Getenv(roleEnv) {
	case "":
		os.Exit(m.Run())
	case "wait":
		ctx, _ := Context(context.Background())
		fmt.Println("started")
		<-ctx.Done()
	case "stop twice":
		ctx, stop := Context(context.Background())
		fmt.Println("started")
		<-ctx.Done()
		stop()
		fmt.Println("stopping")
		time.Sleep(10 * time.Second)
	}
}

// startChild starts the test binary in a role, with the signals blocked as by launch.Start.
func startChild(t *testing.T, role string) (*exec.Cmd, *strings.Builder) {
	t.Helper()
	var out strings.Builder
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleEnv+"="+role)
	cmd.Stdout = &out
	if err := launch.Start(cmd); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	return cmd, &out
}

// A stop in the first instant of a process ended it by the signal, as if it had crashed.
func TestStopRightAfterStart(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		for i := range 20 {
			cmd, _ := startChild(t, "wait")
			time.Sleep(time.Duration(i%5) * time.Millisecond)
			if err := cmd.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
			if err := cmd.Wait(); err != nil {
				t.Errorf("%v: the process ended with %v", sig, err)
			}
		}
	}
}

// A change of the settings in the first instant of a process ended it.
func TestHangupRightAfterStart(t *testing.T) {
	for i := range 20 {
		cmd, out := startChild(t, "wait")
		for range 3 {
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Duration(i%5) * time.Millisecond)
		}
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("the process ended with %v after %q", err, out)
		}
	}
}

// A second stop must end a process that hangs in its first one, and say so by its status.
func TestSecondStopEndsBySignal(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleEnv+"=stop twice")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := launch.Start(cmd); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	for _, line := range []string{"started", "stopping"} {
		var got string
		if _, err := fmt.Fscan(out, &got); err != nil || got != line {
			t.Fatalf("the process wrote %q (%v), want %q", got, err, line)
		}
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	if err := cmd.Wait(); err == nil || err.Error() != "signal: terminated" {
		t.Errorf("the process ended with %v", err)
	}
}
