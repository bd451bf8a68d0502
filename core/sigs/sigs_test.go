package sigs

import (
	"context"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// roleEnv tells a child process, which runs the test binary, what to do in main.
const roleEnv = "LYCHEEPOND_TEST_SIGS"

// Signals arrive before main and before Context is called. Child processes get only the signals
// that their test sends.
func init() {
	if os.Getenv(roleEnv) != "" {
		return
	}
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			panic(err)
		}
	}
}

// stopsInTime calls Context, which must be called once, and reports whether the SIGTERM
// that arrived before ends it.
var stopsInTime = sync.OnceValue(func() bool {
	ctx, _ := Context(context.Background())
	select {
	case <-ctx.Done():
		return true
	case <-time.After(10 * time.Second):
		return false
	}
})

// SIGHUP during the start must not end the process, and SIGTERM must stop it as planned.
func TestSignalsDuringStart(t *testing.T) {
	if !stopsInTime() {
		t.Error("SIGTERM during the start is lost")
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	<-hangups
}
