package spec

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

// Duration is a time.Duration that is written as text with its unit, such as 1.5s or
// 49ms.
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the duration as operators write it, such as 5m, without trailing
// zero units.
func (d Duration) String() string {
	s := time.Duration(d).String()
	if strings.HasSuffix(s, "m0s") {
		s = s[:len(s)-2]
	}
	if strings.HasSuffix(s, "h0m") {
		s = s[:len(s)-2]
	}
	return s
}

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads text with a unit.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("a duration is text with a unit, such as \"1.5s\": got %s", b)
	}
	return d.parse(s)
}

// MarshalYAML writes the duration as text.
func (d Duration) MarshalYAML() (any, error) { return d.String(), nil }

// UnmarshalYAML reads text with a unit.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	if err := d.parse(n.Value); err != nil {
		return fmt.Errorf("line %d: %w", n.Line, err)
	}
	return nil
}

func (d *Duration) parse(s string) error {
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("%q is not a duration: write a number with a unit, such as 1.5s or 49ms", s)
	}
	*d = Duration(v)
	return nil
}
