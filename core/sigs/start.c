//go:build cgo

#include <signal.h>
#include <stddef.h>
#include <unistd.h>

// Cleared once the Go program receives its signals itself.
volatile sig_atomic_t lychee_is_starting = 1;

// Go calls this handler for a signal that the Go program does not receive.
static void on_stop(int sig) {
	if (lychee_is_starting) _exit(0);
	signal(sig, SIG_DFL);
	raise(sig);
}

// Runs before the Go runtime, which keeps an ignored SIGHUP ignored and passes the other
// signals on to a handler that it finds. The signals are unblocked only after that, so that
// those that a starter has blocked stay pending until here.
__attribute__((constructor)) static void handle_signals(void) {
	static const int stops[] = {SIGTERM, SIGINT};
	struct sigaction stop = {.sa_handler = on_stop, .sa_flags = SA_ONSTACK | SA_RESTART}, old;
	sigset_t handled;

	signal(SIGHUP, SIG_IGN);
	sigemptyset(&handled);
	sigaddset(&handled, SIGHUP);
	for (size_t i = 0; i < sizeof stops / sizeof stops[0]; i++) {
		if (sigaction(stops[i], NULL, &old) == 0 && old.sa_handler == SIG_DFL) sigaction(stops[i], &stop, NULL);
		sigaddset(&handled, stops[i]);
	}
	sigprocmask(SIG_UNBLOCK, &handled, NULL);
}
