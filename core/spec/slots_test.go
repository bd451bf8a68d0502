package spec

import (
	"encoding/json"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Homes is written to the platform and read back. A slot with a changed owner or time
// would allow a key to run a second time.
func TestHomeSlotsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slot := rapid.Custom(func(t *rapid.T) HomeSlot {
			return HomeSlot{
				Owner:         rapid.IntRange(-1, 3).Draw(t, "owner"),
				PreviousOwner: rapid.IntRange(0, 1).Draw(t, "previousOwner"),
				LostBefore:    rapid.Int64Range(0, 2).Draw(t, "lostBefore"), OwnedSinceEpoch: rapid.Int64Range(1, 3).Draw(t, "ownedSinceEpoch"),
			}
		})
		want := Homes{Epoch: 3, Owners: []HomeOwner{}, Slots: rapid.SliceOf(slot).Draw(t, "slots")}
		data, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		var got Homes
		if err := json.Unmarshal(data, &got); err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(got.Slots, want.Slots) {
			t.Fatalf("%s became %v", data, got.Slots)
		}
	})
}

// The object was edited by hand. Columns of different lengths would assign slots to
// the wrong agents, and runs that are too long would exhaust the memory.
func TestMismatchedColumnsAreRejected(t *testing.T) {
	for _, text := range []string{
		`{"o":[0,0],"s":[[2,0]],"t":[[1,1]]}`,
		`{"o":[0,0],"s":[[3,0]],"t":[[2,1]]}`,
		`{"o":[0,0],"s":[[2,0]],"t":[[4611686018427387904,1]]}`,
		`{"o":[0,0],"s":[[2,0]],"t":[[-1,1],[3,1]]}`,
		`{"o":[0],"s":[],"t":[]}`,
		`{"o":[0,0],"s":[[2,0]],"t":[[2,1]],"f":[[1,1]]}`,
		`[{"o":0,"t":1}]`,
	} {
		var s HomeSlots
		if err := json.Unmarshal([]byte(text), &s); err == nil {
			t.Errorf("%s was read as %v", text, s)
		}
	}
}
