package answer

import (
	"testing"

	"lycheepond/core/wire"
)

// An agent takes over the records of one that leaves while its own answers fill
// the memory. It must stay below its bound: the answer is given up, and whoever
// asks hears that it is no longer kept.
func TestImportStaysWithinBudget(t *testing.T) {
	var b Budget
	for range MaxAll / MaxRun {
		if l := Import(&b, &wire.KeyRecord{Status: 200, Body: make([]byte, MaxRun), Complete: true}); !l.Complete() {
			t.Fatalf("given up with %d bytes held", b.Used())
		}
	}
	l := Import(&b, &wire.KeyRecord{Status: 200, Body: []byte("x"), Complete: true})
	if l.Complete() || b.Over() {
		t.Errorf("complete %v with %d bytes held", l.Complete(), b.Used())
	}
	var r wire.KeyRecord
	if !l.Export(&r) || !r.AnswerDropped {
		t.Error("what was given up is not said to be gone")
	}
	if New(&b).Export(&r) {
		t.Error("an answer that has not ended was exported")
	}
}
