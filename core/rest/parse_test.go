package rest

import (
	"testing"
	"time"
)

// Guards against a rest that is read wrongly: as none, or as one without end.
func TestParse(t *testing.T) {
	now := time.Now()
	for header, want := range map[string]time.Duration{
		"3": 3 * s, " 0.25 ": s / 4, "0": 0, "-1": -s, "soon": -1, "NaN": -1, "1e300": -1, "+Inf": -1,
	} {
		if got, ok := Parse(header, now); got != want || !ok {
			t.Errorf("%q: %v, %v, want %v", header, got, ok, want)
		}
	}
	date := now.Add(9 * s).UTC()
	for _, header := range []string{date.Format("Mon, 02 Jan 2006 15:04:05 GMT"), date.Format("Monday, 02-Jan-06 15:04:05 GMT"), date.Format(time.ANSIC)} {
		if got, ok := Parse(header, now); !ok || got < 7*s || got > 9*s {
			t.Errorf("%q, a date in nine seconds: %v, %v", header, got, ok)
		}
	}
	if _, ok := Parse("", now); ok {
		t.Error("an answer without the header asks for a rest")
	}
}
