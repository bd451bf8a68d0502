package apply

import "strings"

// Lines returns the difference of two texts line by line: lines that begin
// with "- " are in the first only, with "+ " in the second only, with two
// spaces in both.
func Lines(a, b string) []string {
	x, y := split(a), split(b)
	common := longest(x, y)
	var out []string
	i, j := 0, 0
	for i < len(x) || j < len(y) {
		switch {
		case i < len(x) && j < len(y) && x[i] == y[j]:
			out = append(out, "  "+x[i])
			i, j = i+1, j+1
		case i < len(x) && (j == len(y) || common[i+1][j] >= common[i][j+1]):
			out = append(out, "- "+x[i])
			i++
		default:
			out = append(out, "+ "+y[j])
			j++
		}
	}
	return out
}

func split(s string) []string {
	if s = strings.TrimRight(s, "\n"); s == "" {
		return nil
	}
	return strings.Split(s, "\n")
}

// longest returns, for every pair of positions, the length of the longest
// common sequence of the lines from there on.
func longest(x, y []string) [][]int {
	l := make([][]int, len(x)+1)
	for i := range l {
		l[i] = make([]int, len(y)+1)
	}
	for i := len(x) - 1; i >= 0; i-- {
		for j := len(y) - 1; j >= 0; j-- {
			if x[i] == y[j] {
				l[i][j] = l[i+1][j+1] + 1
			} else {
				l[i][j] = max(l[i+1][j], l[i][j+1])
			}
		}
	}
	return l
}
