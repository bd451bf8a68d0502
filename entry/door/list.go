package door

import (
	"iter"
	"strings"
)

// splitList returns the items of a comma-separated header.
func splitList(s string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for item := range strings.SplitSeq(s, ",") {
			if item = strings.TrimSpace(item); item != "" && !yield(item) {
				return
			}
		}
	}
}
