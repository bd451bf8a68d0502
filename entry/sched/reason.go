package sched

import "lycheepond/core/wire"

func reason(r wire.Reason) string {
	if int(r) < len(reasons) {
		return reasons[r]
	}
	return "unknown"
}

var reasons = [...]string{
	wire.ReasonNone: "none", wire.ReasonLeaving: "leaving", wire.ReasonDisplaced: "displaced",
	wire.ReasonFull: "full", wire.ReasonShed: "shed", wire.ReasonNotHome: "not-home",
	wire.ReasonNoLease: "no-lease", wire.ReasonNeverGranted: "never-granted",
	wire.ReasonUnreachable: "unreachable", wire.ReasonBroken: "broken",
	wire.ReasonCancelled: "cancelled", wire.ReasonForgotten: "forgotten",
	wire.ReasonDeadline: "deadline", wire.ReasonCallerGone: "caller-gone",
	wire.ReasonTooLong: "too-long",
}
