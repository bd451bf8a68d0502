//go:build cgo

#include <signal.h>

// Runs before the Go runtime, which respects that SIGHUP is ignored.
__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
