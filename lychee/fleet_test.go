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

// startAdminServer starts a fake admin listener of an entry or an agent, and returns
// its address. responses maps METHOD PATH to the body of the response.
func startAdminServer(t *testing.T, responses map[string]string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, ok := responses[r.Method+" "+r.URL.Path]
		if r.Header.Get("Authorization") != "Bearer op" {
			w.WriteHeader(http.StatusUnauthorized)
		} else if !ok {
			w.WriteHeader(http.StatusNotFound)
		}
		fmt.Fprint(w, body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

const entryStatusFormat = `{"name":"%s","zone":"ne-a","ready":true,"running":3,"platform_away":%t,"platform_answer_age_ms":1500,"config_version":%d,"config_digest":%d,
"pools":[{"pool":"roster","in_flight":3,"queued":%d,"shed_level":%d,"agents":[
 {"name":"worker-1","zone":"ne-a","linked":true,"in_flight":2,"bound":4,"queued":1},
 {"name":"worker-2","zone":"ne-b","linked":true,"in_flight":1,"bound":8,"queued":0,"slow":true,"version":"2026-12-01"}]}]}`

const requestID = "000000000000000100000000000000a0"

// newFleet returns a shell whose platform lists two entries and two endpoints.
// entry-2 has an older configuration and no answer from the platform. worker-2 has
// no admin address.
func newFleet(t *testing.T) *shell {
	s := newShell(t)
	s.platform.write("class", "swap", `{"name":"swap","tier":0}`)
	s.platform.write("model", "roster", `{"name":"roster","endpoints":{"model":"roster"},"version":"2026-12-02"}`)
	config := store.New()
	for _, o := range s.platform.objects {
		if _, err := config.Accept(plat.Event{Object: o}); err != nil {
			t.Fatal(err)
		}
	}
	explainResponse := `{"id":"` + requestID + `","pool":"roster","class":"swap","tier":0,"customer":"metro-league","outcome":"complete",
"steps":[{"at_ms":0,"what":"offered","agent":"worker-1"},{"at_ms":4,"what":"granted","agent":"worker-1","why":"first claim"}]}`
	agentResponses := map[string]string{
		"GET /status": `{"in_flight":2,"bound":4,"queued":1,"endpoint_version":"2026-12-02"}`,
		"POST /drain": "",
	}
	addInstance := func(name, role, admin string) {
		s.platform.instances = append(s.platform.instances, plat.Instance{Name: name, Role: role, Zone: "ne-a", AdminAddr: admin, State: plat.StateLive})
	}
	addInstance("entry-1", plat.RoleEntry, startAdminServer(t, map[string]string{"GET /status": fmt.Sprintf(entryStatusFormat, "entry-1", false, 2, config.Digest(), 5, 3)}))
	addInstance("entry-2", plat.RoleEntry, startAdminServer(t, map[string]string{
		"GET /status": fmt.Sprintf(entryStatusFormat, "entry-2", true, 1, 7, 0, 2), "GET /explain/" + requestID: explainResponse,
	}))
	addInstance("worker-1", plat.RoleEndpoint, startAdminServer(t, agentResponses))
	addInstance("worker-2", plat.RoleEndpoint, "")
	return s
}

func TestStatusShowsOutdatedEntry(t *testing.T) {
	// One of two entries does not have the newest configuration. The output must
	// show which one, and the exit code must tell a script.
	s := newFleet(t)
	s.assertGolden("status",
		[]string{"status", "--admin-token", "op"}, []string{"status", "--admin-token", "op", "--output", "json"},
		[]string{"explain", requestID, "-a", "op"}, []string{"drain", "worker-1", "-a", "op"},
		[]string{"drain", "worker-2", "-a", "op"}, []string{"explain", strings.Repeat("0", 32), "-a", "op"})
}

func TestStatusDuringPlatformOutage(t *testing.T) {
	// While the platform is away, operators give the entries' addresses. The
	// report must still show which entry has an outdated configuration.
	s := newFleet(t)
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

func TestStatusWithWrongToken(t *testing.T) {
	// A wrong operators' token must show up as the error of each entry.
	s := newFleet(t)
	code, out := s.run("status", "--admin-token", "guess")
	if code != exitNotInForce || !strings.Contains(out, "operators' token missing or wrong") {
		t.Errorf("exit code %d: %s", code, out)
	}
}

func TestStatusWithSilentEntry(t *testing.T) {
	// An entry of the instance list does not answer. Its configuration is
	// unknown, so the newest one must not be reported as in force everywhere.
	s := newShell(t)
	s.platform.instances = []plat.Instance{{Name: "entry-1", Role: plat.RoleEntry, AdminAddr: "127.0.0.1:1", State: plat.StateLive}}
	code, out := s.run("status")
	if code != exitNotInForce || !strings.Contains(out, "silent") {
		t.Errorf("exit code %d: %s", code, out)
	}
}
