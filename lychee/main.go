// Command lychee is the operators' command-line tool. It checks, compares,
// applies and reads configuration, and shows the state of a fleet.
package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes; docs/OPERATIONS.md lists them.
const (
	exitOK = iota
	// exitFailed: something could not be reached, read or found.
	exitFailed
	// exitInvalidInput: the command line or a file is invalid; nothing was
	// written.
	exitInvalidInput
	// exitDifferences: `diff` found differences.
	exitDifferences
	// exitConflict: someone else changed an object, so it was not written.
	exitConflict
	// exitUncertain: a write may or may not have taken effect.
	exitUncertain
	// exitNotInForce: `status` found that the newest configuration is not in
	// force at every entry.
	exitNotInForce
)

// release is the version of the program. The linker sets it.
var release = "dev"

// environment holds the arguments of a command and its access to environment
// variables, output, time and random IDs. Tests substitute their own.
type environment struct {
	args      []string
	lookupEnv func(string) (string, bool)
	stdout    io.Writer
	stderr    io.Writer
	now       func() time.Time
	// newID returns a fresh ID for one write.
	newID func() string
	// pause waits before a call to the platform is repeated. It returns early
	// when ctx is done.
	pause func(ctx context.Context)
}

// retryInterval is the time between two calls that find out whether a write
// whose reply was lost took effect.
const retryInterval = 500 * time.Millisecond

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, environment{
		args: os.Args[1:], lookupEnv: os.LookupEnv, stdout: os.Stdout, stderr: os.Stderr,
		now: time.Now, newID: newID, pause: waitRetryInterval,
	})
	stop()
	os.Exit(code)
}

// newID returns 12 random bytes in hexadecimal.
func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// waitRetryInterval waits for retryInterval, or until ctx is done.
func waitRetryInterval(ctx context.Context) {
	t := time.NewTimer(retryInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
