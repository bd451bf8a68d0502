package conf

import (
	"os"
	"path/filepath"
	"testing"
)

func TestExamples(t *testing.T) {
	env := func(name string) (string, bool) { return "value-of-" + name, true }
	for name, into := range map[string]any{"entry.yaml": new(Entry), "agent.yaml": new(Agent)} {
		data, err := os.ReadFile(filepath.Join("..", "..", "examples", "settings", name))
		if err != nil {
			t.Fatal(err)
		}
		if err := Parse(data, env, into); err != nil {
			t.Errorf("%s:\n%v", name, err)
		}
	}
}
