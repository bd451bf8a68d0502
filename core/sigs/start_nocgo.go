//go:build !cgo

package sigs

// FromStart reports whether signals are handled from before the start of the Go runtime. It
// is false in a program that was built without a C compiler.
const FromStart = false

func endStart() {}
