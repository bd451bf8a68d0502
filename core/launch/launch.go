// Package launch starts programs so that a signal sent to one at once does not end it before
// it can receive signals.
package launch

import (
	"os/exec"
	"runtime"
	"syscall"
	"unsafe"
)

// Start starts cmd with SIGHUP, SIGTERM and SIGINT blocked. They stay pending until the program
// unblocks them, which one that imports package sigs does as soon as it handles them. When
// another program does so is up to it and its runtime.
func Start(cmd *exec.Cmd) error {
	// The child inherits the mask of the thread that starts it.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	blocked := signalSet(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	var old uint64
	if err := setMask(sigBlock, &blocked, &old); err != nil {
		return err
	}
	err := cmd.Start()
	if restoreErr := setMask(sigSetMask, &old, nil); err == nil {
		err = restoreErr
	}
	return err
}

// Values of how in rt_sigprocmask, and the size in bytes of the kernel's signal set.
const (
	sigBlock      = 0
	sigSetMask    = 2
	signalSetSize = 8
)

// signalSet returns the kernel's set of the given signals.
func signalSet(signals ...syscall.Signal) (set uint64) {
	for _, s := range signals {
		set |= 1 << (s - 1)
	}
	return set
}

// setMask changes the signal mask of the calling thread and stores the one before in old,
// unless that is nil.
func setMask(how uintptr, set, old *uint64) error {
	_, _, errno := syscall.RawSyscall6(syscall.SYS_RT_SIGPROCMASK, how, uintptr(unsafe.Pointer(set)), uintptr(unsafe.Pointer(old)), signalSetSize, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}
