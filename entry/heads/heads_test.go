package heads

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
)

// A caller names headers of its own that end at this hop. Passed on, they would
// reach an endpoint that takes them for its own connection's.
func TestForwardLeavesOutWhatTheConnectionNames(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-Mine", "x-other"}, "X-Mine": {"1"}, "X-Other": {"2"}, "Keep-Alive": {"timeout=5"},
		"Expect": {"100-continue"}, "Accept": {"a", "b"},
	}
	got := Forward(h)
	if names := slices.Sorted(maps.Keys(got)); !slices.Equal(names, []string{"Accept"}) || len(got["Accept"]) != 2 {
		t.Errorf("passes on %v", got)
	}
}

func ExampleSize() {
	fmt.Println(Size(http.Header{"A": {"bc", "d"}, "Ef": {""}}))
	// Output: 7
}
