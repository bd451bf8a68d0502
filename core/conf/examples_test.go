package conf

import (
	"os"
	"path/filepath"
	"testing"
)

// The example settings must have no problems.
func TestExamples(t *testing.T) {
	env := func(name string) (string, bool) { return "value-of-" + name, true }
	for name, into := range map[string]any{"entry.yaml": new(Entry), "agent.yaml": new(Agent), "direct-vlk.yaml": new(Direct), "direct-whistlepath.yaml": new(Direct)} {
		data, err := os.ReadFile(filepath.Join("..", "..", "examples", "settings", name))
		if err != nil {
			t.Fatal(err)
		}
		if err := Parse(data, env, into); err != nil {
			t.Errorf("%s:\n%v", name, err)
		}
	}
}
