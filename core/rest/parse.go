package rest

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// dateLayouts are the forms of a date in an HTTP header, the current one first.
var dateLayouts = []string{"Mon, 02 Jan 2006 15:04:05 GMT", time.RFC850, time.ANSIC}

// Parse parses a Retry-After header as endpoints send it: seconds, possibly with a fraction,
// or a date. It returns false if s is empty. A time that cannot be read or represented is
// returned as a negative one, which no endpoint can mean.
func Parse(s string, now time.Time) (time.Duration, bool) {
	s = strings.TrimSpace(s)
	if s == "" {
		return 0, false
	}
	for _, layout := range dateLayouts {
		if date, err := time.Parse(layout, s); err == nil {
			return date.Sub(now), true
		}
	}
	seconds, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(seconds) || math.Abs(seconds) >= math.MaxInt64/float64(time.Second) {
		return -1, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}
