package apply

import "strings"

// Diff returns the difference between two texts line by line. Each line begins
// with "- " if it is only in a, with "+ " if it is only in b, and with two spaces
// if it is in both.
func Diff(a, b string) []string {
	aLines, bLines := splitLines(a), splitLines(b)
	lcs := lcsLengths(aLines, bLines)
	var out []string
	i, j := 0, 0
	for i < len(aLines) || j < len(bLines) {
		switch {
		case i < len(aLines) && j < len(bLines) && aLines[i] == bLines[j]:
			out = append(out, "  "+aLines[i])
			i, j = i+1, j+1
		case i < len(aLines) && (j == len(bLines) || lcs[i+1][j] >= lcs[i][j+1]):
			out = append(out, "- "+aLines[i])
			i++
		default:
			out = append(out, "+ "+bLines[j])
			j++
		}
	}
	return out
}

// splitLines returns the lines of s without trailing newlines.
func splitLines(s string) []string {
	if s = strings.TrimRight(s, "\n"); s == "" {
		return nil
	}
	return strings.Split(s, "\n")
}

// lcsLengths returns a table whose element i, j is the length of the longest
// common subsequence of a[i:] and b[j:].
func lcsLengths(a, b []string) [][]int {
	lengths := make([][]int, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}
