// Package sigs receives the signals that stop a process or tell it to read its settings
// again, from as early in its start as possible.
//
// A signal that arrives before signal.Notify is called ends the process. That call in main
// is too late on a busy machine: the runtime and the packages that main imports are
// initialized before it, which takes tens of milliseconds there. A program that imports this
// package registers for the signals while it is initialized. Where cgo is available, a C
// constructor covers the time before: SIGHUP is ignored, because the settings have not been
// read yet, and SIGTERM and an interrupt end the process with status 0, because it has served
// nothing.
//
// Between execve and the constructor the process has executed no instruction of its own. Only
// its starter can keep a signal from ending it then, by blocking the signal as package launch does.
package sigs

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// early holds the signals that arrived before Context was called.
var early = notifyEarly()

// hangups receives SIGHUP for as long as the process runs, so that the signal never ends it.
// Nobody reads it: the parts of a program that act on the signal register themselves.
var hangups = make(chan os.Signal, 1)

func notifyEarly() chan os.Signal {
	c := make(chan os.Signal, 8)
	signal.Notify(c, syscall.SIGHUP, syscall.SIGTERM, os.Interrupt)
	endStart()
	return c
}

// Context returns a context that ends with parent or with the first SIGTERM or interrupt,
// also one that arrived before the call. After stop these signals end the process again.
// Context must be called once.
func Context(parent context.Context) (ctx context.Context, stop context.CancelFunc) {
	notified, stopNotify := signal.NotifyContext(parent, syscall.SIGTERM, os.Interrupt)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Stop(early)
	ctx, cancel := context.WithCancel(notified)
	for {
		select {
		case s := <-early:
			if s != syscall.SIGHUP {
				cancel()
			}
		default:
			return ctx, func() {
				cancel()
				stopNotify()
			}
		}
	}
}
