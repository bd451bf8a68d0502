package poison

import "testing"

// A retry must have the fingerprint of its request, and different requests must have
// different fingerprints.
func TestFingerprint(t *testing.T) {
	same := NewFingerprint("POST", "h", "/a/b?q=1", "customer", []byte("body"))
	if NewFingerprint("POST", "h", "/a/b?q=1", "customer", []byte("body")) != same {
		t.Error("the same request has two fingerprints")
	}
	for what, other := range map[string]Fingerprint{
		"method":    NewFingerprint("PUT", "h", "/a/b?q=1", "customer", []byte("body")),
		"host":      NewFingerprint("POST", "g", "/a/b?q=1", "customer", []byte("body")),
		"query":     NewFingerprint("POST", "h", "/a/b?q=2", "customer", []byte("body")),
		"customer":  NewFingerprint("POST", "h", "/a/b?q=1", "other", []byte("body")),
		"body":      NewFingerprint("POST", "h", "/a/b?q=1", "customer", []byte("bodY")),
		"boundary":  NewFingerprint("POST", "h", "/a/b?q=1c", "ustomer", []byte("body")),
		"boundary2": NewFingerprint("POST", "h", "/a/b?q=1", "customerb", []byte("ody")),
	} {
		if other == same {
			t.Errorf("requests that differ in their %s have the same fingerprint", what)
		}
	}
	if got, ok := ParseFingerprint(same.String()); !ok || got != same {
		t.Errorf("%v was parsed as %v", same, got)
	}
	if _, ok := ParseFingerprint("no fingerprint"); ok {
		t.Error("a malformed fingerprint was accepted")
	}
}
