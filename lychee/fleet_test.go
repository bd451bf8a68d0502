package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"lycheepond/core/plat"
	"lycheepond/core/store"
)

// process answers as an entry or an agent does.
func process(t *testing.T, answers map[string]string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, ok := answers[r.Method+" "+r.URL.Path]
		if r.Header.Get("Authorization") != "Bearer op" {
			w.WriteHeader(http.StatusUnauthorized)
		} else if !ok {
			w.WriteHeader(http.StatusNotFound)
		}
		fmt.Fprint(w, text)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

const entryStatus = `{"name":"%s","zone":"ne-a","ready":true,"running":3,"platform_away":%t,"platform_answer_age_ms":1500,"config_version":%d,"config_digest":%d,
"pools":[{"pool":"roster","in_flight":3,"queued":%d,"shed_level":%d,"agents":[
 {"name":"worker-1","zone":"ne-a","linked":true,"in_flight":2,"bound":4,"queued":1},
 {"name":"worker-2","zone":"ne-b","linked":true,"in_flight":1,"bound":8,"queued":0,"slow":true,"version":"2026-12-01"}]}]}`

const request = "000000000000000100000000000000a0"

func fleet(t *testing.T) *shell {
	s := newShell(t)
	s.platform.write("class", "swap", `{"name":"swap","tier":0}`)
	s.platform.write("model", "roster", `{"name":"roster","endpoints":{"model":"roster"},"version":"2026-12-02"}`)
	have := store.New()
	for _, o := range s.platform.objects {
		if _, err := have.Accept(plat.Event{Object: o}); err != nil {
			t.Fatal(err)
		}
	}
	explained := `{"id":"` + request + `","pool":"roster","class":"swap","tier":0,"customer":"metro-league","outcome":"complete",
"steps":[{"at_ms":0,"what":"offered","agent":"worker-1"},{"at_ms":4,"what":"granted","agent":"worker-1","why":"first claim"}]}`
	agent := map[string]string{
		"GET /status": `{"in_flight":2,"bound":4,"queued":1,"endpoint_version":"2026-12-02"}`,
		"POST /drain": "",
	}
	instance := func(name, role, admin string) {
		s.platform.instances = append(s.platform.instances, plat.Instance{Name: name, Role: role, Zone: "ne-a", AdminAddr: admin, State: plat.StateLive})
	}
	instance("entry-1", plat.RoleEntry, process(t, map[string]string{"GET /status": fmt.Sprintf(entryStatus, "entry-1", false, 2, have.Digest(), 5, 3)}))
	instance("entry-2", plat.RoleEntry, process(t, map[string]string{
		"GET /status": fmt.Sprintf(entryStatus, "entry-2", true, 1, 7, 0, 2), "GET /explain/" + request: explained,
	}))
	instance("worker-1", plat.RoleEndpoint, process(t, agent))
	instance("worker-2", plat.RoleEndpoint, "")
	return s
}

func TestStatus(t *testing.T) {
	// One of two entries has not heard of the newest configuration. The
	// operator must see which, and a script by the exit code.
	s := fleet(t)
	s.golden("status",
		[]string{"status", "--admin-token", "op"}, []string{"status", "--admin-token", "op", "--output", "json"},
		[]string{"explain", request, "-a", "op"}, []string{"drain", "worker-1", "-a", "op"},
		[]string{"drain", "worker-2", "-a", "op"}, []string{"explain", strings.Repeat("0", 32), "-a", "op"})
}

func TestStatusDuringOutage(t *testing.T) {
	// The platform is away and operators want to know whether the entries
	// still agree. They name the entries, and see which one is behind.
	s := fleet(t)
	var args []string
	for _, i := range s.platform.instances[:2] {
		args = append(args, "--entry", i.AdminAddr)
	}
	s.address = "http://127.0.0.1:1"
	code, out := s.run(append([]string{"status", "--admin-token", "op"}, args...)...)
	if code != exitFailed || !strings.Contains(out, "configuration version 2: the newest among the entries") || strings.Count(out, "lags") != 1 {
		t.Errorf("exit code %d: %s", code, out)
	}
}

func TestWrongToken(t *testing.T) {
	s := fleet(t)
	code, out := s.run("status", "--admin-token", "guess")
	if code != exitLags || !strings.Contains(out, "operators' token missing or wrong") {
		t.Errorf("exit code %d: %s", code, out)
	}
}

func TestSilentEntry(t *testing.T) {
	// An entry of the instance list does not answer. Nobody can say what it
	// has in force, so the configuration does not count as in force everywhere.
	s := newShell(t)
	s.platform.instances = []plat.Instance{{Name: "entry-1", Role: plat.RoleEntry, AdminAddr: "127.0.0.1:1", State: plat.StateLive}}
	code, out := s.run("status")
	if code != exitLags || !strings.Contains(out, "silent") {
		t.Errorf("exit code %d: %s", code, out)
	}
}
