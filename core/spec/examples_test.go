package spec

import (
	"os"
	"path/filepath"
	"testing"
)

// The example objects must have no problems.
func TestExamples(t *testing.T) {
	for _, name := range []string{"whistlepath", "vlk"} {
		files, err := filepath.Glob(filepath.Join("..", "..", "examples", name, "*.yaml"))
		if err != nil || len(files) == 0 {
			t.Fatalf("no examples of %s: %v", name, err)
		}
		var all []Item
		for _, path := range files {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			items, ps := Read(data)
			if len(ps) > 0 {
				t.Errorf("%s:\n%v", path, ps)
			}
			all = append(all, items...)
		}
		if ps := CheckSet(all); len(ps) > 0 {
			t.Errorf("%s:\n%v", name, ps)
		}
		if len(all) != 4+5+2 {
			t.Errorf("%s: %d objects", name, len(all))
		}
	}
}
