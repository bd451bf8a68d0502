package answer

import (
	"testing"

	"lycheepond/core/wire"
)

// An agent takes over key records from an agent that stops, while its own answers
// fill the budget. It must not exceed the budget: the answer is dropped, and the
// record says that it is no longer kept.
func TestImportStaysWithinBudget(t *testing.T) {
	var b Budget
	for range MaxTotalBytes / MaxAnswerBytes {
		if l := Import(&b, &wire.KeyRecord{Status: 200, Body: make([]byte, MaxAnswerBytes), Complete: true}); !l.Complete() {
			t.Fatalf("dropped with %d bytes held", b.Used())
		}
	}
	l := Import(&b, &wire.KeyRecord{Status: 200, Body: []byte("x"), Complete: true})
	if l.Complete() || b.Exceeded() {
		t.Errorf("complete %v with %d bytes held", l.Complete(), b.Used())
	}
	var r wire.KeyRecord
	if !l.Export(&r) || !r.AnswerDropped {
		t.Error("the dropped answer is not marked as dropped")
	}
	if New(&b).Export(&r) {
		t.Error("an answer that has not ended was exported")
	}
}
