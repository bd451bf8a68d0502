package conf

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// docs/OPERATIONS.md must list every setting.
func TestEverySettingIsDocumented(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range []reflect.Type{reflect.TypeFor[Entry](), reflect.TypeFor[Agent](), reflect.TypeFor[Direct]()} {
		for _, name := range settingNames(s, "") {
			if !strings.Contains(string(page), "`"+name+"`") {
				t.Errorf("docs/OPERATIONS.md does not list the setting %s", name)
			}
		}
	}
}

// settingNames returns the full name of every setting in a struct.
func settingNames(t reflect.Type, prefix string) []string {
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		switch {
		case options == "inline":
			names = append(names, settingNames(f.Type, prefix)...)
		case f.Type.Kind() == reflect.Struct:
			names = append(names, settingNames(f.Type, prefix+name+".")...)
		default:
			names = append(names, prefix+name)
		}
	}
	return names
}
