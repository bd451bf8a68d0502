package keys

import (
	"testing"

	"lycheepond/core/wire"
)

// A handover passes an entry. It must reach only the very process that it is
// for, and come only from the one that it speaks for: an agent that was
// restarted knows nothing of what its former self still does.
func TestRelayOnlyBetweenTheNamedProcesses(t *testing.T) {
	w := newWorld(t)
	a, b := w.agent("a", 1), w.agent("b", 2)
	for _, tc := range []struct {
		name     string
		from, to wire.AgentProcess
		want     bool
	}{
		{"other sender", wire.AgentProcess{Name: "b", Incarnation: 2}, wire.AgentProcess{Name: "b", Incarnation: 2}, false},
		{"former self", wire.AgentProcess{Name: "a", Incarnation: 7}, wire.AgentProcess{Name: "b", Incarnation: 2}, false},
		{"restarted receiver", wire.AgentProcess{Name: "a", Incarnation: 1}, wire.AgentProcess{Name: "b", Incarnation: 1}, false},
		{"unknown receiver", wire.AgentProcess{Name: "a", Incarnation: 1}, wire.AgentProcess{Name: "c", Incarnation: 1}, false},
		{"as named", wire.AgentProcess{Name: "a", Incarnation: 1}, wire.AgentProcess{Name: "b", Incarnation: 2}, true},
	} {
		for _, m := range []wire.Message{&wire.Handover{From: tc.from, To: tc.to}, &wire.HandoverAck{From: tc.from, To: tc.to}} {
			if !w.k.Relay(a, m) {
				t.Errorf("%s: %s is not taken for a handover", tc.name, m.Kind())
			}
		}
		if got := !b.Link().Idle(); got != tc.want {
			t.Errorf("%s: passed on %v", tc.name, got)
		}
	}
	if w.k.Relay(a, new(wire.Heartbeat)) {
		t.Error("a heartbeat was taken for a handover")
	}
}
