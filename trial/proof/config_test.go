package proof

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/fleet"
	"lycheepond/trial/load"
	"lycheepond/trial/simapi"
	"lycheepond/trial/simeng"
)

// customerWithKey returns a customer whose only API key is rotatingKey(n).
func customerWithKey(n int) spec.Customer {
	sum := sha256.Sum256([]byte(rotatingKey(n)))
	return spec.Customer{Name: "rotating", Keys: []spec.Key{{SHA256: hex.EncodeToString(sum[:]), Class: classes[1].Name}}}
}

// rotatingKey returns the n-th API key of the customer "rotating".
func rotatingKey(n int) string { return fmt.Sprintf("rotating-key-%d", n) }

// entryAccepts reports whether an entry accepts rotatingKey(n).
func (r *rig) entryAccepts(entry, n int) bool {
	r.t.Helper()
	return r.listModelsStatus(entry, rotatingKey(n)) == http.StatusOK
}

// listModelsStatus requests the list of models with an API key and returns the
// HTTP status, 0 without an answer. The entry answers this request without an
// endpoint.
func (r *rig) listModelsStatus(entry int, key string) int {
	r.t.Helper()
	req, err := http.NewRequestWithContext(r.ctx, http.MethodGet, "http://"+r.fleet.Entries()[entry].ListenAddr+"/v1/models", nil)
	r.must(err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// putCustomerKey writes the customer "rotating" with rotatingKey(n) to the
// platform.
func (r *rig) putCustomerKey(n int) {
	r.t.Helper()
	r.must(r.fleet.Platform().PutObject(r.ctx, spec.KindCustomer, "rotating", customerWithKey(n)))
}

// awaitKeyInForce waits until each entry accepts rotatingKey(n) and then checks
// that the entry accepts no older key.
func (r *rig) awaitKeyInForce(n int) {
	r.t.Helper()
	for entry := range r.callers {
		r.await(fmt.Sprintf("entry %d accepts key %d", entry, n), func() bool { return r.entryAccepts(entry, n) })
		for oldKey := range n {
			if r.entryAccepts(entry, oldKey) {
				r.t.Errorf("entry %d accepts key %d while key %d is in force", entry, oldKey, n)
			}
		}
	}
}

// checkKeyStaysAccepted checks for 2 seconds that every entry accepts
// rotatingKey(n).
func (r *rig) checkKeyStaysAccepted(n int) {
	r.t.Helper()
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); {
		for entry := range r.callers {
			if !r.entryAccepts(entry, n) {
				r.t.Fatalf("entry %d no longer accepts key %d", entry, n)
			}
		}
	}
}

// runLychee runs the operators' command line tool and returns its output and exit
// code.
func (r *rig) runLychee(args ...string) (string, int) {
	r.t.Helper()
	cmd := exec.CommandContext(r.ctx, filepath.Join(binDir, "lychee"), args...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		r.t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// An operator replaces a customer's key. Then the platform returns stale reads,
// repeats old events in its watches, delays its watches and its instance list, or
// is down. An entry that applied an old version after a newer one would accept
// the replaced key again.
func TestReplacedKeyNeverAcceptedAgain(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{engines: []simeng.Config{fastEngine()}, entries: 2})
	r.putCustomerKey(0)
	r.awaitKeyInForce(0)
	r.putCustomerKey(1)
	r.awaitKeyInForce(1)
	p := r.fleet.Platform()
	for i, f := range []simapi.Fault{
		{Replay: 50},
		{StaleReads: spec.Duration(time.Minute)},
		{Lag: spec.Duration(time.Second)},
		{Replay: 50, StaleReads: spec.Duration(time.Minute)},
		{Down: true},
	} {
		r.must(p.SetFault(r.ctx, f))
		if !f.Down && f.StaleReads == 0 {
			r.putCustomerKey(i + 2)
			r.awaitKeyInForce(i + 2)
			// A change of another object makes the watches repeat old events.
			r.must(p.PutObject(r.ctx, spec.KindClass, "other", spec.Class{Name: "other", Tier: uint8(i % 4)}))
			r.checkKeyStaysAccepted(i + 2)
			continue
		}
		newestKey := 1
		for n := range i + 2 {
			if r.entryAccepts(0, n) {
				newestKey = n
			}
		}
		r.checkKeyStaysAccepted(newestKey)
		r.must(p.SetFault(r.ctx, simapi.Fault{}))
		r.putCustomerKey(i + 2)
		r.awaitKeyInForce(i + 2)
	}
}

// An entry is restarted while the platform is down. Without any configuration it
// would refuse every customer, and with an outdated one it would accept a
// replaced key. It must get the newest configuration from its peers.
func TestEntryStartsDuringOutage(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{engines: []simeng.Config{fastEngine(), fastEngine()}, entries: 2})
	r.putCustomerKey(0)
	r.awaitKeyInForce(0)
	r.putCustomerKey(1)
	r.awaitKeyInForce(1)
	r.must(r.fleet.Platform().SetFault(r.ctx, simapi.Fault{Down: true}))
	e := r.fleet.Entries()[1]
	r.must(e.Proc.Kill())
	ctx, stop := context.WithTimeout(r.ctx, time.Minute)
	defer stop()
	if err := r.fleet.RestartEntry(ctx, e); err != nil && !strings.Contains(err.Error(), "503") {
		t.Fatal(err)
	}
	r.awaitKeyInForce(1)
	var b requestBatch
	for i := range 8 {
		r.send(&b, 1, modelJob(i%4, fmt.Sprintf("outage-%d", i), 8, i%2 == 0))
	}
	if outcomes := r.checkResults(b.wait()); outcomes[load.Complete] != 8 {
		t.Errorf("outcomes %v", outcomes)
	}
}

// An invalid object is written to the platform without the operators' tool, which
// would reject it. Each entry must reject it too and keep the last valid version
// in force.
func TestInvalidObjectKeepsLastValidVersion(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{engines: []simeng.Config{fastEngine()}, entries: 2})
	r.putCustomerKey(0)
	r.awaitKeyInForce(0)
	invalidCustomer := customerWithKey(1)
	invalidCustomer.Limits.RequestsPerSecond = -4
	r.must(r.fleet.Platform().PutObject(r.ctx, spec.KindCustomer, "rotating", invalidCustomer))
	r.must(r.fleet.Platform().PutObject(r.ctx, spec.KindCustomer, "marker", func() spec.Customer { c := customerWithKey(7); c.Name = "marker"; return c }()))
	for e := range r.callers {
		r.await("the object written after the invalid one is in force", func() bool { return r.entryAccepts(e, 7) })
		if !r.entryAccepts(e, 0) || r.entryAccepts(e, 1) {
			t.Errorf("entry %d applied the invalid object", e)
		}
	}
}

// Several operators apply different versions of the same class concurrently. An
// operator whose write is rejected must get the reason, so that no change is lost
// without notice. Then the reply to a write is lost after the write took effect;
// the tool must report success.
func TestConcurrentOperators(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{engines: []simeng.Config{fastEngine()}, entries: 2})
	dir := t.TempDir()
	writeClass := func(name string, target string) string {
		path := filepath.Join(dir, name+".yaml")
		text := "kind: class\nname: raced\ntier: 2\ntarget:\n  first_token: " + target + "\n"
		r.must(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	platformArgs := []string{"--platform", "http://" + r.fleet.Platform().Addr()}
	apply := func(path string, extra ...string) (string, int) {
		return r.runLychee(append(append([]string{"apply", path}, platformArgs...), extra...)...)
	}
	if out, code := apply(writeClass("first", "1s")); code != 0 {
		t.Fatalf("apply: %d %s", code, out)
	}
	type result struct {
		out  string
		code int
	}
	results := make(chan result, 6)
	for i := range 6 {
		path := writeClass(fmt.Sprintf("op-%d", i), fmt.Sprintf("%ds", i+2))
		go func() {
			out, code := apply(path)
			results <- result{out, code}
		}()
	}
	succeeded := 0
	for range 6 {
		if res := <-results; res.code == 0 {
			succeeded++
		} else if !strings.Contains(strings.ToLower(res.out), "changed") {
			t.Errorf("a rejected apply did not say that the object has changed: %d %s", res.code, res.out)
		}
	}
	if succeeded == 0 {
		t.Error("no apply succeeded")
	}
	r.must(r.fleet.Platform().SetFault(r.ctx, simapi.Fault{LoseReplies: 1}))
	if out, code := apply(writeClass("lost", "9s")); code != 0 {
		t.Errorf("apply failed although its write took effect: %d %s", code, out)
	}
	out, code := r.runLychee(append([]string{"get", "class", "raced", "--output", "json"}, platformArgs...)...)
	if code != 0 || !strings.Contains(out, "9s") {
		t.Errorf("get: %d %s", code, out)
	}
}

// An agent is paused while the operator changes the wanted version of a model
// twice, and its engine ignores fencing numbers. After the agent resumes, the
// engine must not be ordered to the older version after the newer one.
func TestPausedAgentSendsNoOutdatedOrder(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{engines: []simeng.Config{fastEngine(), fastEngine()}, entries: 2})
	u := r.fleet.Unit("engine-1")
	setWantedVersion := func(version string) {
		r.must(r.fleet.Platform().PutObject(r.ctx, spec.KindModel, model, spec.Model{
			Name: model, Endpoints: map[string]string{"model": model}, Version: version,
		}))
	}
	orders := func(u *fleet.Unit) (out []string) {
		for _, rec := range r.records(u) {
			if rec.Kind == simeng.KindOrder {
				out = append(out, rec.Version)
			}
		}
		return out
	}
	r.must(u.Agent.Pause())
	setWantedVersion("v2")
	r.await("the other engine was ordered to v2", func() bool {
		o := orders(r.fleet.Unit("engine-2"))
		return len(o) > 0 && o[len(o)-1] == "v2"
	})
	setWantedVersion("v3")
	r.await("the other engine was ordered to v3", func() bool {
		o := orders(r.fleet.Unit("engine-2"))
		return len(o) > 0 && o[len(o)-1] == "v3"
	})
	r.must(u.Agent.Resume())
	r.await("the paused agent's engine was ordered to v3", func() bool {
		o := orders(u)
		return len(o) > 0 && o[len(o)-1] == "v3"
	})
	ordered := map[string]bool{}
	for _, v := range orders(u) {
		if v == "v2" && ordered["v3"] {
			t.Errorf("orders %v: v2 was ordered after v3", orders(u))
		}
		ordered[v] = true
	}
	t.Log(orders(u))
}
