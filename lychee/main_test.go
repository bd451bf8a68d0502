package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lycheepond/core/plat"
)

// platform is a small object API whose replies can be lost and whose reads can
// be old.
type platform struct {
	mu        sync.Mutex
	version   int64
	objects   map[string]plat.Object
	instances []plat.Instance
	// loseReplies is how many writes take effect without a reply.
	loseReplies int
	// before is called once in front of the next write.
	before func()
	// stale answers the next reads with the objects of a moment before.
	stale int
	old   map[string]plat.Object
}

func (p *platform) write(kind, name, data string) {
	p.version++
	p.objects[kind+"/"+name] = plat.Object{Kind: kind, Name: name, Version: p.version, Data: []byte(data)}
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	switch {
	case r.URL.Path == "/v1/instances":
		_ = json.NewEncoder(w).Encode(plat.Roster{Version: 1, Instances: p.instances})
	case r.Method == http.MethodGet && !strings.Contains(path, "/"):
		b := plat.Batch{Version: p.version}
		for v := range p.version + 1 {
			for _, o := range p.objects {
				if o.Version == v && o.Kind == path {
					b.Events = append(b.Events, plat.Event{Object: o})
				}
			}
		}
		_ = json.NewEncoder(w).Encode(b)
	case r.Method == http.MethodGet:
		p.get(w, path)
	default:
		p.change(w, r, path)
	}
}

func (p *platform) get(w http.ResponseWriter, path string) {
	from := p.objects
	if p.stale > 0 && p.old != nil {
		p.stale--
		from = p.old
	}
	o, ok := from[path]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(o)
}

func (p *platform) change(w http.ResponseWriter, r *http.Request, path string) {
	if f := p.before; f != nil {
		p.before = nil
		f()
	}
	want, _ := strconv.Unquote(r.Header.Get("If-Match"))
	if want != strconv.FormatInt(p.objects[path].Version, 10) {
		w.WriteHeader(http.StatusConflict)
		fmt.Fprintf(w, `{"current":%d}`, p.objects[path].Version)
		return
	}
	p.old = make(map[string]plat.Object)
	for k, v := range p.objects {
		p.old[k] = v
	}
	kind, name, _ := strings.Cut(path, "/")
	var body bytes.Buffer
	_, _ = body.ReadFrom(r.Body)
	p.write(kind, name, body.String())
	if r.Method == http.MethodDelete {
		delete(p.objects, path)
	}
	if p.loseReplies > 0 {
		p.loseReplies--
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(plat.Object{Kind: kind, Name: name, Version: p.version, Data: body.Bytes()})
}

// shell runs commands against a platform.
type shell struct {
	t        *testing.T
	platform *platform
	address  string
	dir      string
	ids      int
}

func newShell(t *testing.T) *shell {
	t.Helper()
	p := &platform{objects: make(map[string]plat.Object)}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return &shell{t: t, platform: p, address: server.URL, dir: t.TempDir()}
}

func (s *shell) file(name, text string) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// run runs one command and returns its exit code and all that it wrote.
func (s *shell) run(args ...string) (int, string) {
	s.t.Helper()
	var out bytes.Buffer
	env := map[string]string{envPlatform: s.address, envBy: "anna@desk"}
	code := run(context.Background(), world{
		args: args, env: func(n string) (string, bool) { v, ok := env[n]; return v, ok }, out: &out, errOut: &out,
		now:   func() time.Time { return time.Date(2026, 12, 2, 21, 0, 0, 0, time.UTC) },
		newID: func() string { s.ids++; return fmt.Sprint("id-", s.ids) },
		pause: func(context.Context) {},
	})
	return code, s.plain(out.String())
}

// golden runs commands and compares what they wrote with a file.
func (s *shell) golden(name string, commands ...[]string) {
	s.t.Helper()
	var all strings.Builder
	for _, args := range commands {
		code, out := s.run(args...)
		shown := strings.ReplaceAll(strings.Join(args, " "), s.dir, "DIR")
		fmt.Fprintf(&all, "$ lychee %s\n%s(exit code %d)\n\n", shown, out, code)
	}
	goldie.New(s.t).Assert(s.t, name, []byte(all.String()))
}

const swap = "kind: class\nname: swap\ntier: 0\ntarget: {complete: 2s}\n"

func TestLife(t *testing.T) {
	s := newShell(t)
	path := s.file("swap.yaml", swap)
	changed := s.file("changed.yaml", strings.Replace(swap, "2s", "1500ms", 1))
	s.golden("life",
		[]string{"check", path}, []string{"diff", path}, []string{"apply", path}, []string{"apply", path},
		[]string{"get", "class"}, []string{"get", "class", "swap"}, []string{"diff", changed},
		[]string{"apply", changed, "--output", "json"}, []string{"delete", "class", "swap"}, []string{"get", "class", "swap"})
}

func TestMistakes(t *testing.T) {
	s := newShell(t)
	path := s.file("bad.yaml", "kind: class\nname: swap\ntier: 7\nweight: 2\n---\nkind: customer\nname: a\nkeys: [{sha256: secret, class: gone}]\n---\nkind: customer\nname: b\nkeys:\n- sha256: "+strings.Repeat("ab", 32)+"\n  class: swap\n- sha256: "+strings.Repeat("cd", 32)+"\n  class: gone\n")
	settings := s.file("entry.yaml", "name: e\nlisten: 80\nplatform: {address: x}\nfleet_key: ${UNSET}\n")
	s.golden("mistakes",
		[]string{"check", path, settings}, []string{"apply", path}, []string{"check", path, "-o", "json"},
		[]string{"apply", settings}, []string{"check", filepath.Join(s.dir, "none.yaml")}, []string{"get", "class", "none"},
		[]string{"explain", "x"}, []string{"drain", "none"}, []string{"get", "class", "-o", "xml"})
}

func TestRacingOperators(t *testing.T) {
	// Two operators change one class at the same time. The second must not
	// undo the first's change unseen: it learns who made it and what differs.
	s := newShell(t)
	path := s.file("swap.yaml", swap)
	if code, out := s.run("apply", path); code != exitGood {
		t.Fatal(out)
	}
	s.platform.before = func() {
		s.platform.write("class", "swap", `{"name":"swap","tier":1,"target":{"complete":"9s"},"applied":{"by":"bert@home","at":"2026-12-02T20:59:00Z","id":"b"}}`)
	}
	mine := s.file("mine.yaml", strings.Replace(swap, "2s", "3s", 1))
	stale := s.file("stale.yaml", "if_version: 1\n"+strings.Replace(swap, "2s", "4s", 1))
	s.golden("race", []string{"apply", mine}, []string{"get", "class", "swap"}, []string{"apply", stale})
}

func TestLostReply(t *testing.T) {
	// The platform takes a write, but its reply is lost. The operator must be
	// told that it is in force, also when a replica that lags denies it.
	for _, stale := range []int{0, 1, 3} {
		s := newShell(t)
		s.platform.loseReplies, s.platform.stale = 1, 0
		path := s.file("swap.yaml", swap)
		if code, out := s.run("apply", path); code != exitGood || !strings.Contains(out, "the reply was lost, but the write took effect") {
			t.Errorf("new object: exit code %d: %s", code, out)
		}
		s.platform.loseReplies = 1
		changed := s.file("changed.yaml", strings.Replace(swap, "2s", "3s", 1))
		s.platform.before = func() { s.platform.stale = stale }
		if code, out := s.run("apply", changed); code != exitGood || !strings.Contains(out, "the reply was lost, but the write took effect") {
			t.Errorf("%d stale reads: exit code %d: %s", stale, code, out)
		}
		if s.platform.version != 2 {
			t.Errorf("%d stale reads: %d writes, want 2", stale, s.platform.version)
		}
	}
}

func TestLostReplyForGood(t *testing.T) {
	// The platform takes a write, its reply is lost, and then it is away. The
	// operator must not be told that it failed, nor that it is in force.
	s := newShell(t)
	path := s.file("swap.yaml", swap)
	out := false
	address := s.address
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if out {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		out = r.Method == http.MethodPut
		if out {
			panic(http.ErrAbortHandler)
		}
		http.Redirect(w, r, address+r.URL.String(), http.StatusTemporaryRedirect)
	}))
	defer proxy.Close()
	if code, text := s.run("apply", path, "--platform", proxy.URL); code != exitUncertain {
		t.Errorf("exit code %d: %s", code, text)
	}
}

func TestDeletedWhileNamed(t *testing.T) {
	// An operator deletes a class that a customer's key still names. Requests
	// with the key would all be refused, so the command refuses.
	s := newShell(t)
	s.platform.write("class", "swap", `{"name":"swap","tier":0}`)
	s.platform.write("customer", "league", `{"name":"league","keys":[{"sha256":"`+strings.Repeat("ab", 32)+`","class":"swap"}]}`)
	if code, out := s.run("delete", "class", "swap"); code != exitInput || !strings.Contains(out, "customer/league") {
		t.Errorf("exit code %d: %s", code, out)
	}
	if code, out := s.run("delete", "class", "swap", "--force"); code != exitGood {
		t.Errorf("exit code %d: %s", code, out)
	}
}

func TestExamples(t *testing.T) {
	s := newShell(t)
	for _, name := range []string{"whistlepath", "vlk", "settings"} {
		if code, out := s.run("check", filepath.Join("..", "examples", name)); code != exitGood {
			t.Errorf("%s: exit code %d: %s", name, code, out)
		}
	}
	if code, out := s.run("apply", filepath.Join("..", "examples", "vlk")); code != exitGood {
		t.Errorf("exit code %d: %s", code, out)
	}
}

// plain takes what differs from run to run out of a text.
func (s *shell) plain(text string) string {
	pairs := []string{s.address, "PLATFORM", s.dir, "DIR"}
	for _, i := range s.platform.instances {
		if i.AdminAddr != "" {
			pairs = append(pairs, i.AdminAddr, "ADMIN-OF-"+i.Name)
		}
	}
	return strings.NewReplacer(pairs...).Replace(text)
}
