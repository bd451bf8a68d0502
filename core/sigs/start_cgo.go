//go:build cgo

package sigs

// #include <signal.h>
// extern volatile sig_atomic_t lychee_is_starting;
import "C"

// FromStart reports whether signals are handled from before the start of the Go runtime. It
// is false in a program that was built without a C compiler.
const FromStart = true

// endStart ends the handling of signals from before the start of the Go runtime.
func endStart() { C.lychee_is_starting = 0 }
