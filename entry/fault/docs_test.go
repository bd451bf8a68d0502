package fault

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Callers look up the type of an error in docs/OPERATIONS.md. A kind that is
// missing there has no explanation.
func TestEveryKindIsDocumented(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	for kind := range statuses {
		if !strings.Contains(string(page), "`"+string(kind)+"`") {
			t.Errorf("docs/OPERATIONS.md does not list %s", kind)
		}
	}
}
