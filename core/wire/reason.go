package wire

var reasonNames = [...]string{
	ReasonNone: "none", ReasonLeaving: "leaving", ReasonDisplaced: "displaced", ReasonFull: "full",
	ReasonShed: "shed", ReasonNotHome: "not-home", ReasonNoLease: "no-lease", ReasonNeverGranted: "never-granted",
	ReasonUnreachable: "unreachable", ReasonBroken: "broken", ReasonCancelled: "cancelled",
	ReasonForgotten: "forgotten", ReasonDeadline: "deadline", ReasonCallerGone: "caller-gone",
	ReasonTooLong: "too-long",
}

// String returns the reason as it is written in logs, metrics and docs/PROTOCOL.md.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}
