package spec

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxDuration is the longest duration that an object may state.
const maxDuration = 24 * time.Hour

// namePattern matches names: up to 63 characters, with a letter or digit at both
// ends.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)

// nameRemedy is the remedy for a name that namePattern does not match.
const nameRemedy = "write up to 63 letters, digits, dots, dashes or underscores, with a letter or digit at both ends"

// Check returns every problem of the class that can be found without other objects.
func (c Class) Check() Problems {
	var ps Problems
	checkName(&ps, c.Name)
	if c.Tier >= Tiers {
		ps.add("tier", fmt.Sprintf("%d is out of range", c.Tier), "write 0 (refused last) to 3 (refused first)")
	}
	checkDuration(&ps, "target.first_token", c.Target.FirstToken)
	checkDuration(&ps, "target.between_tokens", c.Target.BetweenTokens)
	checkDuration(&ps, "target.complete", c.Target.Complete)
	checkDuration(&ps, "deadline", c.Deadline)
	if c.Target.Complete > 0 && c.Target.FirstToken > c.Target.Complete {
		ps.add("target.first_token", "is later than target.complete", "lower it or raise target.complete")
	}
	if targetEnd := max(c.Target.Complete, c.Target.FirstToken); targetEnd > 0 && c.EffectiveDeadline() < targetEnd.Std() {
		ps.add("deadline", fmt.Sprintf("%v is before the target of %v", c.EffectiveDeadline(), targetEnd.Std()), "raise the deadline or lower the target")
	}
	return ps
}

// EffectiveDeadline returns the class's deadline, or DefaultDeadline if it states
// none.
func (c Class) EffectiveDeadline() time.Duration {
	if c.Deadline == 0 {
		return DefaultDeadline
	}
	return c.Deadline.Std()
}

// Check returns every problem of the customer that can be found without other
// objects.
func (c Customer) Check() Problems {
	var ps Problems
	checkName(&ps, c.Name)
	if len(c.Keys) == 0 {
		ps.add("keys", "customer has no key and cannot call", "add at least one key with its sha256 and class")
	}
	seen := make(map[string]bool)
	for i, k := range c.Keys {
		field := "keys[" + strconv.Itoa(i) + "]"
		k.check(&ps, field, c.Classes)
		if seen[strings.ToLower(k.SHA256)] {
			ps.add(field+".sha256", "key appears twice", "remove one")
		}
		seen[strings.ToLower(k.SHA256)] = true
	}
	checkList(&ps, "classes", c.Classes)
	if r := c.Limits.RequestsPerSecond; r < 0 || math.IsNaN(r) || math.IsInf(r, 0) {
		ps.add("limits.requests_per_second", "is not a positive number", "write a number above 0, or leave it out for no limit")
	}
	if c.Limits.Concurrent < 0 {
		ps.add("limits.concurrent", "is negative", "write a whole number above 0, or leave it out for no limit")
	}
	return ps
}

func (k Key) check(ps *Problems, field string, classes []string) {
	if raw, err := hex.DecodeString(k.SHA256); err != nil || len(raw) != 32 {
		ps.add(field+".sha256", "is not a SHA-256", "write the 64 hexadecimal digits that `printf %s KEY | sha256sum` prints; never the key itself")
	}
	if k.Class == "" {
		ps.add(field+".class", "is missing", "name the class of requests that name none")
	} else if len(classes) > 0 && !slices.Contains(classes, k.Class) {
		ps.add(field+".class", fmt.Sprintf("%q is not among the customer's classes", k.Class), "add it to classes or choose another")
	}
}

// Check returns every problem of the model that can be found without other objects.
func (m Model) Check() Problems {
	var ps Problems
	checkName(&ps, m.Name)
	checkSelector(&ps, m.Endpoints)
	if m.Version != "" && !namePattern.MatchString(m.Version) {
		ps.add("version", fmt.Sprintf("%q is not a version", m.Version), nameRemedy)
	}
	checkList(&ps, "adapters", m.Adapters)
	return ps
}

// methods lists the HTTP methods that Service.Idempotent may name.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut,
	http.MethodDelete, http.MethodPost, http.MethodPatch,
}

// Check returns every problem of the service that can be found without other objects.
func (s Service) Check() Problems {
	var ps Problems
	checkName(&ps, s.Name)
	checkSelector(&ps, s.Endpoints)
	for i, m := range s.Idempotent {
		if !slices.Contains(methods, m) {
			ps.add("idempotent["+strconv.Itoa(i)+"]", fmt.Sprintf("%q is not a method", m), "use one of "+strings.Join(methods, ", "))
		}
	}
	return ps
}

func checkName(ps *Problems, name string) {
	if name == "" {
		ps.add("name", "is missing", nameRemedy)
	} else if !namePattern.MatchString(name) {
		ps.add("name", fmt.Sprintf("%q is not a name", name), nameRemedy)
	}
}

func checkDuration(ps *Problems, field string, d Duration) {
	if d < 0 {
		ps.add(field, d.Std().String()+" is negative", "write a duration above 0, or leave it out")
	} else if d.Std() > maxDuration {
		ps.add(field, d.Std().String()+" is longer than a day", "write at most 24h")
	}
}

func checkSelector(ps *Problems, labels map[string]string) {
	if len(labels) == 0 {
		ps.add("endpoints", "selector is empty and would match every endpoint", "write at least one label, such as model: roster")
	}
	for k, v := range labels {
		if k == "" || v == "" {
			ps.add("endpoints", fmt.Sprintf("label %q: %q is empty", k, v), "write key and value")
		}
	}
}

func checkList(ps *Problems, field string, list []string) {
	for i, v := range list {
		at := field + "[" + strconv.Itoa(i) + "]"
		if !namePattern.MatchString(v) {
			ps.add(at, fmt.Sprintf("%q is not a name", v), nameRemedy)
		} else if slices.Contains(list[:i], v) {
			ps.add(at, fmt.Sprintf("%q appears twice", v), "remove one")
		}
	}
}
