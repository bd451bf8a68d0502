// Command lychee is for operators: it checks, compares, applies and reads
// configuration, and shows how a fleet is.
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
	exitGood = iota
	// exitFailed: something could not be reached or read.
	exitFailed
	// exitInput: the command line or a file is wrong; nothing was written.
	exitInput
	// exitDiffers: `diff` found differences.
	exitDiffers
	// exitConflict: someone else changed an object; it was not written.
	exitConflict
	// exitUncertain: a write may or may not have taken effect.
	exitUncertain
	// exitLags: `status` found a configuration that is not in force everywhere.
	exitLags
)

// release is set by the linker.
var release = "dev"

// world is what a command touches.
type world struct {
	args   []string
	env    func(string) (string, bool)
	out    io.Writer
	errOut io.Writer
	now    func() time.Time
	newID  func() string
	// pause waits before a call to the platform is repeated.
	pause func(ctx context.Context)
}

// pauseBetween is the time between two calls that follow up a lost reply.
const pauseBetween = 500 * time.Millisecond

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, world{
		args: os.Args[1:], env: os.LookupEnv, out: os.Stdout, errOut: os.Stderr,
		now: time.Now, newID: newID, pause: pause,
	})
	stop()
	os.Exit(code)
}

func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func pause(ctx context.Context) {
	t := time.NewTimer(pauseBetween)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
