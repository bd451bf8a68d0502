package blame

import "testing"

// A request that comes again must be recognised, and no other one taken for it.
func TestContentTellsRequestsApart(t *testing.T) {
	same := Of("POST", "h", "/a/b?q=1", "customer", []byte("body"))
	if Of("POST", "h", "/a/b?q=1", "customer", []byte("body")) != same {
		t.Error("the same request has two contents")
	}
	for what, other := range map[string]Content{
		"method":    Of("PUT", "h", "/a/b?q=1", "customer", []byte("body")),
		"host":      Of("POST", "g", "/a/b?q=1", "customer", []byte("body")),
		"query":     Of("POST", "h", "/a/b?q=2", "customer", []byte("body")),
		"customer":  Of("POST", "h", "/a/b?q=1", "other", []byte("body")),
		"body":      Of("POST", "h", "/a/b?q=1", "customer", []byte("bodY")),
		"boundary":  Of("POST", "h", "/a/b?q=1c", "ustomer", []byte("body")),
		"boundary2": Of("POST", "h", "/a/b?q=1", "customerb", []byte("ody")),
	} {
		if other == same {
			t.Errorf("requests that differ in their %s have the same content", what)
		}
	}
	if got, ok := Parse(same.String()); !ok || got != same {
		t.Errorf("%v became %v", same, got)
	}
	if _, ok := Parse("no digest"); ok {
		t.Error("no digest was read as one")
	}
}
