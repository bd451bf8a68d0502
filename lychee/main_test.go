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

// fakePlatform serves the platform's object API. Its replies can be lost and its
// reads can be stale.
type fakePlatform struct {
	mu        sync.Mutex
	version   int64
	objects   map[string]plat.Object
	instances []plat.Instance
	// loseReplies is the number of next writes that take effect without a reply.
	loseReplies int
	// beforeWrite is called once, before the next write.
	beforeWrite func()
	// staleReads is the number of next reads that are answered from oldObjects.
	// oldObjects holds the objects from before the last write.
	staleReads int
	oldObjects map[string]plat.Object
}

func (p *fakePlatform) write(kind, name, data string) {
	p.version++
	p.objects[kind+"/"+name] = plat.Object{Kind: kind, Name: name, Version: p.version, Data: []byte(data)}
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		p.serveGet(w, path)
	default:
		p.serveWrite(w, r, path)
	}
}

func (p *fakePlatform) serveGet(w http.ResponseWriter, path string) {
	objects := p.objects
	if p.staleReads > 0 && p.oldObjects != nil {
		p.staleReads--
		objects = p.oldObjects
	}
	o, ok := objects[path]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(o)
}

func (p *fakePlatform) serveWrite(w http.ResponseWriter, r *http.Request, path string) {
	if f := p.beforeWrite; f != nil {
		p.beforeWrite = nil
		f()
	}
	wantVersion, _ := strconv.Unquote(r.Header.Get("If-Match"))
	if wantVersion != strconv.FormatInt(p.objects[path].Version, 10) {
		w.WriteHeader(http.StatusConflict)
		fmt.Fprintf(w, `{"current":%d}`, p.objects[path].Version)
		return
	}
	p.oldObjects = make(map[string]plat.Object)
	for k, v := range p.objects {
		p.oldObjects[k] = v
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

// shell runs commands against a fakePlatform. Their files are in dir.
type shell struct {
	t        *testing.T
	platform *fakePlatform
	address  string
	dir      string
	lastID   int
}

func newShell(t *testing.T) *shell {
	t.Helper()
	p := &fakePlatform{objects: make(map[string]plat.Object)}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return &shell{t: t, platform: p, address: server.URL, dir: t.TempDir()}
}

// writeFile writes a file into dir and returns its path.
func (s *shell) writeFile(name, text string) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// run runs one command and returns its exit code and its output, standard error
// included.
func (s *shell) run(args ...string) (int, string) {
	s.t.Helper()
	var out bytes.Buffer
	env := map[string]string{envPlatform: s.address, envAuthor: "anna@desk"}
	code := run(context.Background(), environment{
		args: args, lookupEnv: func(n string) (string, bool) { v, ok := env[n]; return v, ok }, stdout: &out, stderr: &out,
		now:   func() time.Time { return time.Date(2026, 12, 2, 21, 0, 0, 0, time.UTC) },
		newID: func() string { s.lastID++; return fmt.Sprint("id-", s.lastID) },
		pause: func(context.Context) {},
	})
	return code, s.normalize(out.String())
}

// assertGolden runs commands and compares their output and exit codes with
// testdata/NAME.golden.
func (s *shell) assertGolden(name string, commands ...[]string) {
	s.t.Helper()
	var transcript strings.Builder
	for _, args := range commands {
		code, out := s.run(args...)
		commandLine := strings.ReplaceAll(strings.Join(args, " "), s.dir, "DIR")
		fmt.Fprintf(&transcript, "$ lychee %s\n%s(exit code %d)\n\n", commandLine, out, code)
	}
	goldie.New(s.t).Assert(s.t, name, []byte(transcript.String()))
}

const swapClass = "kind: class\nname: swap\ntier: 0\ntarget: {complete: 2s}\n"

func TestObjectLifecycle(t *testing.T) {
	// One object is checked, created, listed, changed and deleted. Applying it a
	// second time must leave it unchanged.
	s := newShell(t)
	path := s.writeFile("swap.yaml", swapClass)
	changed := s.writeFile("changed.yaml", strings.Replace(swapClass, "2s", "1500ms", 1))
	s.assertGolden("life",
		[]string{"check", path}, []string{"diff", path}, []string{"apply", path}, []string{"apply", path},
		[]string{"get", "class"}, []string{"get", "class", "swap"}, []string{"diff", changed},
		[]string{"apply", changed, "--output", "json"}, []string{"delete", "class", "swap"}, []string{"get", "class", "swap"})
}

func TestInvalidInputIsReported(t *testing.T) {
	// Each mistake in a file, an argument or a flag must be reported with its
	// location, its remedy and an exit code other than 0.
	s := newShell(t)
	path := s.writeFile("bad.yaml", "kind: class\nname: swap\ntier: 7\nweight: 2\n---\nkind: customer\nname: a\nkeys: [{sha256: secret, class: gone}]\n---\nkind: customer\nname: b\nkeys:\n- sha256: "+strings.Repeat("ab", 32)+"\n  class: swap\n- sha256: "+strings.Repeat("cd", 32)+"\n  class: gone\n")
	settings := s.writeFile("entry.yaml", "name: e\nlisten: 80\nplatform: {address: x}\nfleet_key: ${UNSET}\n")
	s.assertGolden("mistakes",
		[]string{"check", path, settings}, []string{"apply", path}, []string{"check", path, "-o", "json"},
		[]string{"apply", settings}, []string{"check", filepath.Join(s.dir, "none.yaml")}, []string{"get", "class", "none"},
		[]string{"explain", "x"}, []string{"drain", "none"}, []string{"get", "class", "-o", "xml"})
}

func TestApplyConflict(t *testing.T) {
	// Two operators change one class at the same time. The second must not
	// silently overwrite the first one's change. The output must show who made
	// that change and what differs.
	s := newShell(t)
	path := s.writeFile("swap.yaml", swapClass)
	if code, out := s.run("apply", path); code != exitOK {
		t.Fatal(out)
	}
	s.platform.beforeWrite = func() {
		s.platform.write("class", "swap", `{"name":"swap","tier":1,"target":{"complete":"9s"},"applied":{"by":"bert@home","at":"2026-12-02T20:59:00Z","id":"b"}}`)
	}
	mine := s.writeFile("mine.yaml", strings.Replace(swapClass, "2s", "3s", 1))
	stale := s.writeFile("stale.yaml", "if_version: 1\n"+strings.Replace(swapClass, "2s", "4s", 1))
	s.assertGolden("race", []string{"apply", mine}, []string{"get", "class", "swap"}, []string{"apply", stale})
}

func TestApplyAfterLostReply(t *testing.T) {
	// The platform executes a write, but its reply is lost. The operator must
	// learn that the write took effect, even if a lagging replica returns the
	// object from before the write.
	for _, staleReads := range []int{0, 1, 3} {
		s := newShell(t)
		s.platform.loseReplies, s.platform.staleReads = 1, 0
		path := s.writeFile("swap.yaml", swapClass)
		if code, out := s.run("apply", path); code != exitOK || !strings.Contains(out, "the reply was lost, but the write took effect") {
			t.Errorf("new object: exit code %d: %s", code, out)
		}
		s.platform.loseReplies = 1
		changed := s.writeFile("changed.yaml", strings.Replace(swapClass, "2s", "3s", 1))
		s.platform.beforeWrite = func() { s.platform.staleReads = staleReads }
		if code, out := s.run("apply", changed); code != exitOK || !strings.Contains(out, "the reply was lost, but the write took effect") {
			t.Errorf("%d stale reads: exit code %d: %s", staleReads, code, out)
		}
		if s.platform.version != 2 {
			t.Errorf("%d stale reads: %d writes, want 2", staleReads, s.platform.version)
		}
	}
}

func TestApplyUncertainDuringOutage(t *testing.T) {
	// The platform executes a write, its reply is lost, and then the platform is
	// away. The command must report neither failure nor success.
	s := newShell(t)
	path := s.writeFile("swap.yaml", swapClass)
	isDown := false
	address := s.address
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isDown {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		isDown = r.Method == http.MethodPut
		if isDown {
			panic(http.ErrAbortHandler)
		}
		http.Redirect(w, r, address+r.URL.String(), http.StatusTemporaryRedirect)
	}))
	defer proxy.Close()
	if code, text := s.run("apply", path, "--platform", proxy.URL); code != exitUncertain {
		t.Errorf("exit code %d: %s", code, text)
	}
}

func TestDeleteReferencedClass(t *testing.T) {
	// An operator deletes a class that a customer's key refers to. All requests
	// with the key would then be refused, so the command must fail without
	// --force.
	s := newShell(t)
	s.platform.write("class", "swap", `{"name":"swap","tier":0}`)
	s.platform.write("customer", "league", `{"name":"league","keys":[{"sha256":"`+strings.Repeat("ab", 32)+`","class":"swap"}]}`)
	if code, out := s.run("delete", "class", "swap"); code != exitInvalidInput || !strings.Contains(out, "customer/league") {
		t.Errorf("exit code %d: %s", code, out)
	}
	if code, out := s.run("delete", "class", "swap", "--force"); code != exitOK {
		t.Errorf("exit code %d: %s", code, out)
	}
}

func TestExamplesAreValid(t *testing.T) {
	// All example files must pass the check, and apply must accept the objects of
	// one example.
	s := newShell(t)
	for _, name := range []string{"whistlepath", "vlk", "settings"} {
		if code, out := s.run("check", filepath.Join("..", "examples", name)); code != exitOK {
			t.Errorf("%s: exit code %d: %s", name, code, out)
		}
	}
	if code, out := s.run("apply", filepath.Join("..", "examples", "vlk")); code != exitOK {
		t.Errorf("exit code %d: %s", code, out)
	}
}

// normalize replaces addresses and paths that differ between runs by fixed names.
func (s *shell) normalize(text string) string {
	pairs := []string{s.address, "PLATFORM", s.dir, "DIR"}
	for _, i := range s.platform.instances {
		if i.AdminAddr != "" {
			pairs = append(pairs, i.AdminAddr, "ADMIN-OF-"+i.Name)
		}
	}
	return strings.NewReplacer(pairs...).Replace(text)
}
