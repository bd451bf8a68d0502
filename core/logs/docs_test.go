package logs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// docs/OPERATIONS.md must list every event.
func TestEveryEventIsDocumented(t *testing.T) {
	source, err := os.ReadFile("event.go")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	events := regexp.MustCompile(`Event = "([a-z_]+)"`).FindAllStringSubmatch(string(source), -1)
	if len(events) == 0 {
		t.Fatal("no event found in event.go")
	}
	for _, e := range events {
		if !strings.Contains(string(page), "`"+e[1]+"`") {
			t.Errorf("docs/OPERATIONS.md does not list the event %s", e[1])
		}
	}
}
