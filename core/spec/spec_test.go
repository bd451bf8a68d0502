package spec

import (
	"strings"
	"testing"
)

const badObjects = `kind: class
name: swap
tier: 7
target:
  first_token: -1s
  complete: fast
  finish: 2s
weight: 3
---
kind: customer
name: metro league
keys:
  - sha256: secret
    class: swap
  - sha256: 2ae3d43ba3c6d77738eb2845452450ebdfa7f61259028f3799b545c991ae764a
classes: [roster, roster]
limits: {concurrent: -1, requests_per_second: many}
---
kind: model
name: roster
endpoints: {}
---
kind: instance
name: worker-1
---
kind: service
name: app
endpoints: [app]
idempotent: [get]
idempotent: [GET]
`

// A file has many mistakes. Reporting one at a time would cost the operator one
// attempt for each, so all must be reported at once, each with its line, reason and
// remedy.
func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	_, ps := Read([]byte(badObjects))
	want := []struct {
		line  int
		field string
	}{
		{6, "target.complete"},
		{7, "target.finish"},
		{8, "weight"},
		{3, "tier"},
		{5, "target.first_token"},
		{17, "limits.requests_per_second"},
		{11, "name"},
		{13, "keys[0].sha256"},
		{14, "keys[0].class"},
		{15, "keys[1].class"},
		{16, "classes[1]"},
		{17, "limits.concurrent"},
		{21, "endpoints"},
		{23, "kind"},
		{28, "endpoints"},
		{30, "idempotent"},
	}
	for _, w := range want {
		found := false
		for _, p := range ps {
			found = found || (p.Line == w.line && p.Field == w.field)
			if p.Remedy == "" || p.Reason == "" {
				t.Errorf("no reason or remedy: %+v", p)
			}
		}
		if !found {
			t.Errorf("line %d, %s: not reported", w.line, w.field)
		}
	}
	if t.Failed() || len(ps) != len(want) {
		t.Errorf("%d problems, want %d:\n%v", len(ps), len(want), ps)
	}
}

// Each object is valid, but a class appears twice, a customer names a class that does
// not exist and has the key of another customer, and a model and a service share a
// name.
func TestCheckSet(t *testing.T) {
	const hash = "2ae3d43ba3c6d77738eb2845452450ebdfa7f61259028f3799b545c991ae764a"
	text := strings.ReplaceAll(`kind: class
name: swap
tier: 0
---
kind: customer
name: a
keys: [{sha256: HASH, class: swap}]
---
kind: customer
name: b
keys: [{sha256: HASH, class: tags}]
---
kind: class
name: swap
tier: 1
---
kind: model
name: x
endpoints: {model: x}
---
kind: service
name: x
endpoints: {service: x}
`, "HASH", hash)
	items, ps := Read([]byte(text))
	if len(ps) > 0 {
		t.Fatal(ps)
	}
	var got []string
	for _, p := range CheckSet(items) {
		got = append(got, p.Object+" "+p.Field)
	}
	want := "class/swap ,service/x name,customer/b keys[0].class,customer/b keys[0].sha256"
	if strings.Join(got, ",") != want {
		t.Errorf("got %v", got)
	}
}

// Stored content may have unknown fields or wrong types, or be cut short. Each case
// states the number of problems that must be found.
func TestDecode(t *testing.T) {
	for _, c := range []struct {
		name, data string
		problems   int
	}{
		{"whole", `{"name":"swap","tier":0,"target":{"complete":"2s"}}`, 0},
		{"applied", `{"name":"swap","tier":0,"target":{},"applied":{"by":"anna","at":"2026-12-02T21:00:00Z","id":"x"}}`, 0},
		{"unknown fields", `{"name":"swap","tier":0,"weight":1,"instances":[],"applied":{}}`, 2},
		{"other name", `{"name":"tags","tier":0}`, 1},
		{"number as duration", `{"name":"swap","tier":0,"deadline":30}`, 1},
		{"cut short", `{"name":"swap","tier":`, 1},
		{"two objects", `{"name":"swap"}{"name":"swap"}`, 1},
		{"empty", ``, 1},
		{"null", `null`, 2},
		{"overflow", `{"name":"swap","tier":300}`, 1},
	} {
		if _, ps := Decode(KindClass, "swap", []byte(c.data)); len(ps) != c.problems {
			t.Errorf("%s: %d problems, want %d: %v", c.name, len(ps), c.problems, ps)
		}
	}
}

// A duration must be written the way it was read.
func TestDurationRoundTrip(t *testing.T) {
	for _, text := range []string{"0s", "49ms", "1.5s", "10s", "5m", "5m10s", "10m", "1h", "10h", "1h0m5s", "20h30m"} {
		var d Duration
		if err := d.parse(text); err != nil || d.String() != text {
			t.Errorf("%s: got %v, %v", text, d, err)
		}
	}
}

// An object read from a file must decode from the stored form with the same content,
// and its writer must be kept.
func TestEncodeDecode(t *testing.T) {
	items, ps := Read([]byte("kind: class\nname: swap\ntier: 1\ntarget: {first_token: 1.5s}\ndeadline: 2m\n"))
	if len(ps) > 0 {
		t.Fatal(ps)
	}
	data, err := Encode(items[0].Object, &Applied{By: "anna", ID: "1"})
	if err != nil {
		t.Fatal(err)
	}
	o, ps := Decode(KindClass, "swap", data)
	if len(ps) > 0 {
		t.Fatal(ps)
	}
	if c := o.(Class); c.Tier != 1 || c.Target.FirstToken.Std().String() != "1.5s" || c.Applied.By != "anna" {
		t.Errorf("got %+v", c)
	}
	if by := AppliedOf(data); by == nil || by.By != "anna" {
		t.Errorf("applied %+v", by)
	}
}

var corpus = []string{
	badObjects, "", "---", "- a", "kind: class", "kind: [class]", "kind: class\nname: &a x\ntier: *a\n",
	"kind: class\nname: x\n? [a]\n: b\n", "kind: model\nname: x\nendpoints: {? [a] : b}\n", "\xff\xfe", "a: &a [*a]",
	"kind: class\n<<: {name: x}\n", "{\"kind\":\"class\",\"name\":\"x\",\"tier\":1e99}", "kind: class\ntier: !!binary AA==\n",
	"kind: customer\nname: x\nkeys:\n  - {sha256: !!null , class: }\n", "kind: class\ntarget: {complete: 9999999999h}\n",
	"a:\n b:\n  c:\n   - [[[[[[]]]]]]", "%YAML 9.9\n---\nkind: x", "kind: class\nname: \"\\u0000\"\n", "\t", "kind: class\n\tname: x",
}

// FuzzRead checks that no file crashes Read and that an object accepted from a file
// is also accepted from the platform. The fixed corpus runs with every test.
func FuzzRead(f *testing.F) {
	for _, text := range corpus {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		items, ps := Read(data)
		for _, p := range ps {
			if p.Reason == "" || p.Remedy == "" {
				t.Errorf("no reason or remedy: %+v", p)
			}
		}
		CheckSet(items)
		for _, it := range items {
			content, err := Encode(it.Object, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, ps := Decode(it.Kind, it.Name, content); len(ps) > 0 {
				t.Errorf("accepted from a file but rejected from the platform: %s: %v", content, ps)
			}
		}
	})
}

// FuzzDecode checks that no stored content crashes Decode.
func FuzzDecode(f *testing.F) {
	for _, text := range corpus {
		f.Add("class", []byte(text))
	}
	f.Add("customer", []byte(`{"name":"x","keys":[{"sha256":1}],"limits":{"concurrent":1.5}}`))
	f.Add("model", []byte(`{"name":"x","endpoints":{"a":null}}`))
	f.Add("service", []byte(`{"name":"x","endpoints":[],"idempotent":"GET"}`))
	f.Fuzz(func(_ *testing.T, kind string, data []byte) { Decode(kind, "x", data) })
}
