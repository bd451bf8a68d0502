package ident

import "testing"

// An ID must contain the incarnation of the entry, and another counter must give
// another ID.
func TestMakeKeepsIncarnation(t *testing.T) {
	id := Make(0xfeedface01020304, 7)
	if got := id.Incarnation(); got != 0xfeedface01020304 {
		t.Fatalf("Incarnation() = %x", got)
	}
	if id == Make(0xfeedface01020304, 8) {
		t.Fatal("two counters gave the same ID")
	}
}

// Parse must accept the output of String and reject any other text.
func TestParse(t *testing.T) {
	id := Make(1, 2)
	for _, tc := range []struct {
		name, text string
		ok         bool
	}{
		{"round trip", id.String(), true},
		{"short", "abcd", false},
		{"not hexadecimal", "zz" + id.String()[2:], false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := Parse(tc.text)
			if (err == nil) != tc.ok {
				t.Fatalf("Parse(%q) error = %v", tc.text, err)
			}
			if tc.ok && got != id {
				t.Fatalf("Parse(%q) = %v", tc.text, got)
			}
		})
	}
}
