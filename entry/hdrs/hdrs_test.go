package hdrs

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
)

// A caller names additional headers in its Connection header. If they were forwarded, the
// endpoint would apply them to its own connection.
func TestEndToEndDropsConnectionHeaders(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-Mine", "x-other"}, "X-Mine": {"1"}, "X-Other": {"2"}, "Keep-Alive": {"timeout=5"},
		"Expect": {"100-continue"}, "Accept": {"a", "b"},
	}
	got := EndToEnd(h)
	if names := slices.Sorted(maps.Keys(got)); !slices.Equal(names, []string{"Accept"}) || len(got["Accept"]) != 2 {
		t.Errorf("forwards %v", got)
	}
}

func ExampleSize() {
	fmt.Println(Size(http.Header{"A": {"bc", "d"}, "Ef": {""}}))
	// Output: 7
}
