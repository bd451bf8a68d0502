package store

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes what rapid draws, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "800", "rapid.nofailfile": "true"} {
		given := false
		flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
		if !given {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
