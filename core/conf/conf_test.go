package conf

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lycheepond/core/spec"
)

// noEnv looks up a variable in an empty environment.
func noEnv(string) (string, bool) { return "", false }

const badEntry = `name: entry-a1
fleet_key: short
platform:
  address: 127.0.0.1:7000
  adress: x
log: {level: loud}
listen: 8080
link: 127.0.0.1:99999
admin:
  listen: 127.0.0.1:8081
peers: [here]
heartbeat: 1
grace: 5 minutes
tls: {cert: a.pem}
`

// A settings file has many mistakes. The process must report all of them with their
// lines before it does anything else.
func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	var e Entry
	err := Parse([]byte(badEntry), noEnv, &e)
	var ps spec.Problems
	if !errors.As(err, &ps) {
		t.Fatalf("got %v", err)
	}
	var got []string
	for _, p := range ps {
		got = append(got, fmt.Sprintf("%d %s", p.Line, p.Field))
		if p.Reason == "" || p.Remedy == "" {
			t.Errorf("no reason or remedy: %+v", p)
		}
	}
	want := []string{
		"5 platform.adress", "12 heartbeat", "13 grace", "1 zone", "2 fleet_key", "4 platform.address",
		"6 log.level", "14 tls.key", "14 tls.ca", "7 listen", "8 link", "9 admin.token", "11 peers[0]",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

const goodAgent = `name: worker-1
zone: ne-a
fleet_key: ${KEY}
platform: {address: "http://127.0.0.1:7000", token: "${TOKEN}"}
link: 127.0.0.1:9090
endpoint: {address: "http://127.0.0.1:9000", kind: engine, checks_fence: true}
`

// A secret from the environment may contain characters with a meaning in YAML. It must
// be used unchanged. A missing variable must be named.
func TestEnvironmentVariables(t *testing.T) {
	env := map[string]string{"KEY": "0123456789: \"abcdef\" #x", "TOKEN": "t"}
	var a Agent
	err := Parse([]byte(goodAgent), func(n string) (string, bool) { v, ok := env[n]; return v, ok }, &a)
	if err != nil {
		t.Fatal(err)
	}
	if string(a.Keys().Current) != env["KEY"] || a.Heartbeat.Std() != time.Second || a.Grace.Std() != DefaultGrace {
		t.Errorf("got %+v", a)
	}
	if text := fmt.Sprintf("%v %+v %s", a, a, a.FleetKey); strings.Contains(text, "abcdef") {
		t.Errorf("the secret is printed: %s", text)
	}
	err = Parse([]byte(goodAgent), noEnv, new(Agent))
	if err == nil || !strings.Contains(err.Error(), "line 3: environment variable KEY is not set") {
		t.Errorf("got %v", err)
	}
}

// The fleet key is replaced while the process runs: first both keys are accepted, then
// the new one is used. A mistake in the file must leave the current keys in use.
func TestKeysAreReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent.yaml")
	write := func(line string) {
		text := strings.Replace(goodAgent, "fleet_key: ${KEY}", line, 1)
		text = strings.Replace(text, "${TOKEN}", "t", 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("fleet_key: 0123456789abcdef-old")
	initial, err := AgentKeys(path)
	if err != nil {
		t.Fatal(err)
	}
	live := NewLiveKeys(path, initial, AgentKeys)
	ctx, stop := context.WithCancel(context.Background())
	hup, reloaded, ended := make(chan os.Signal), make(chan error), make(chan struct{})
	go func() {
		live.Run(ctx, hup, time.Hour, func(err error) { reloaded <- err })
		close(ended)
	}()
	reload := func() error { hup <- os.Interrupt; return <-reloaded }
	write("fleet_keys: [0123456789abcdef-new, 0123456789abcdef-old]")
	if err := reload(); err != nil {
		t.Fatal(err)
	}
	if k := live.Keys(); string(k.Current) != "0123456789abcdef-new" || len(k.Accepted) != 2 {
		t.Errorf("got %s", k.Accepted)
	}
	write("fleet_keys: [x]")
	if err := reload(); err == nil {
		t.Error("a bad file was accepted")
	}
	if k := live.Keys(); string(k.Current) != "0123456789abcdef-new" {
		t.Errorf("a bad file replaced the keys: %s", k.Current)
	}
	stop()
	<-ended
}

// A key written between the first read of the settings and the start of LiveKeys stayed unknown
// until the file changed again.
func TestKeyChangedDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent.yaml")
	write := func(key string) {
		text := strings.NewReplacer("${KEY}", key, "${TOKEN}", "t").Replace(goodAgent)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("0123456789abcdef-old")
	initial, err := AgentKeys(path)
	if err != nil {
		t.Fatal(err)
	}
	write("0123456789abcdef-new")
	live := NewLiveKeys(path, initial, AgentKeys)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		live.Run(ctx, nil, 10*time.Millisecond, func(error) {})
		close(ended)
	}()
	for end := time.Now().Add(5 * time.Second); string(live.Keys().Current) != "0123456789abcdef-new"; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("the key is %s", live.Keys().Current)
			break
		}
	}
	stop()
	<-ended
}

// FuzzParse checks that no settings file crashes Parse and that its errors are lists
// of problems. The fixed corpus runs with every test.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		badEntry, goodAgent, "", "---", "[]", "name: [a]", "platform: x", "peers: {a: b}", "name: &a x\nzone: *a\n",
		"a: &a [*a]", "name: ${X", "name: ${}", "heartbeat: 99999999999999h", "\xff", "listen: ':-1'", "fleet_keys: [~]",
		"<<: {name: x}", "? a\n: b", "name: x\nname: y\n", "tls: ~", "endpoint:\n\tkind: x",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, into := range []any{new(Entry), new(Agent)} {
			var ps spec.Problems
			if err := Parse(data, noEnv, into); err != nil && !errors.As(err, &ps) {
				t.Errorf("not a list of problems: %v", err)
			}
		}
	})
}
