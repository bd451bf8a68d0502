// Package fixed runs property tests with a fixed seed, so that every run has
// the same result. With a random seed, a test would fail now and then, because
// of a fault or because the generated histories contained too few interesting
// ones, and the next run would not reproduce it.
package fixed

import (
	"flag"
	"strconv"
	"testing"
)

// Seed is the seed for packages that have no reason to use another one.
const Seed = 1

// Run runs the tests of a package with the given seed and number of checks for
// property tests. Flags on the command line override both. If checks is zero,
// the number is the default of the rapid library.
func Run(m *testing.M, seed, checks int) int {
	setDefault("rapid.seed", strconv.Itoa(seed))
	setDefault("rapid.nofailfile", "true")
	if checks > 0 {
		setDefault("rapid.checks", strconv.Itoa(checks))
	}
	return m.Run()
}

// setDefault changes the default of a flag. The command line is parsed later,
// by testing.M.Run, and overrides it.
func setDefault(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
