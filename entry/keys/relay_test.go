package keys

import (
	"testing"

	"lycheepond/core/wire"
)

// An entry relays the messages of a handover. It must pass them only to the process
// that they name, and only from the process that they name as sender, because a
// restarted agent doesn't know what its former process still does.
func TestHandoverIsRelayedOnlyBetweenNamedProcesses(t *testing.T) {
	f := newFixture(t)
	a, b := f.agent("a", 1), f.agent("b", 2)
	for _, tc := range []struct {
		name     string
		from, to wire.AgentProcess
		want     bool
	}{
		{"other sender", wire.AgentProcess{Name: "b", Incarnation: 2}, wire.AgentProcess{Name: "b", Incarnation: 2}, false},
		{"former incarnation", wire.AgentProcess{Name: "a", Incarnation: 7}, wire.AgentProcess{Name: "b", Incarnation: 2}, false},
		{"restarted receiver", wire.AgentProcess{Name: "a", Incarnation: 1}, wire.AgentProcess{Name: "b", Incarnation: 1}, false},
		{"unknown receiver", wire.AgentProcess{Name: "a", Incarnation: 1}, wire.AgentProcess{Name: "c", Incarnation: 1}, false},
		{"as named", wire.AgentProcess{Name: "a", Incarnation: 1}, wire.AgentProcess{Name: "b", Incarnation: 2}, true},
	} {
		for _, m := range []wire.Message{&wire.Handover{From: tc.from, To: tc.to}, &wire.HandoverAck{From: tc.from, To: tc.to}} {
			if !f.keeper.RelayHandover(a, m) {
				t.Errorf("%s: %s is not recognized as a handover", tc.name, m.Kind())
			}
		}
		if got := !b.Link().AllWritten(); got != tc.want {
			t.Errorf("%s: passed on %v", tc.name, got)
		}
	}
	if f.keeper.RelayHandover(a, new(wire.Heartbeat)) {
		t.Error("a heartbeat was recognized as a handover")
	}
}
