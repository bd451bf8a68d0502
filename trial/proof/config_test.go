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
	"lycheepond/trial/engin"
	"lycheepond/trial/fleet"
	"lycheepond/trial/load"
	"lycheepond/trial/platf"
)

// withKey returns a customer whose one key is number n.
func withKey(n int) spec.Customer {
	sum := sha256.Sum256([]byte(keyOf(n)))
	return spec.Customer{Name: "rotating", Keys: []spec.Key{{SHA256: hex.EncodeToString(sum[:]), Class: classes[1].Name}}}
}

func keyOf(n int) string { return fmt.Sprintf("rotating-key-%d", n) }

// accepted reports whether an entry accepts key n of the rotating customer.
func (r *rig) accepted(entry, n int) bool {
	r.t.Helper()
	return r.status(entry, keyOf(n)) == http.StatusOK
}

// status lists the models with a key, which needs no endpoint.
func (r *rig) status(entry int, key string) int {
	r.t.Helper()
	req, err := http.NewRequestWithContext(r.ctx, http.MethodGet, "http://"+r.fleet.Entries()[entry].Listen+"/v1/models", nil)
	r.must(err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// put writes the customer with key n.
func (r *rig) put(n int) {
	r.t.Helper()
	r.must(r.fleet.Platform().PutObject(r.ctx, spec.KindCustomer, "rotating", withKey(n)))
}

// everywhere waits until all entries accept key n and then checks that none
// accepts an older one.
func (r *rig) everywhere(n int) {
	r.t.Helper()
	for e := range r.callers {
		r.await(fmt.Sprintf("entry %d accepts key %d", e, n), func() bool { return r.accepted(e, n) })
		for old := range n {
			if r.accepted(e, old) {
				r.t.Errorf("entry %d accepts key %d while key %d is in force", e, old, n)
			}
		}
	}
}

// stays watches for a while that every entry goes on accepting key n.
func (r *rig) stays(n int) {
	r.t.Helper()
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); {
		for e := range r.callers {
			if !r.accepted(e, n) {
				r.t.Fatalf("entry %d no longer accepts key %d", e, n)
			}
		}
	}
}

// lychee runs the operators' command and returns its output and exit code.
func (r *rig) lychee(args ...string) (string, int) {
	r.t.Helper()
	cmd := exec.CommandContext(r.ctx, filepath.Join(bin, "lychee"), args...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		r.t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// An operator replaces a customer's key. After that the platform answers reads
// from the past, its watches repeat old events, and the instance list lags. A
// process that took any of this for news would accept the old key again.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	r := newRig(t, shape{engines: []engin.Config{quick()}, entries: 2})
	r.put(0)
	r.everywhere(0)
	r.put(1)
	r.everywhere(1)
	p := r.fleet.Platform()
	for i, f := range []platf.Fault{
		{Replay: 50},
		{StaleReads: spec.Duration(time.Minute)},
		{Lag: spec.Duration(time.Second)},
		{Replay: 50, StaleReads: spec.Duration(time.Minute)},
		{Down: true},
	} {
		r.must(p.Fault(r.ctx, f))
		if !f.Down && f.StaleReads == 0 {
			r.put(i + 2)
			r.everywhere(i + 2)
			// Another object changes, and with it the old events come again.
			r.must(p.PutObject(r.ctx, spec.KindClass, "other", spec.Class{Name: "other", Tier: uint8(i % 4)}))
			r.stays(i + 2)
			continue
		}
		newest := 1
		for n := range i + 2 {
			if r.accepted(0, n) {
				newest = n
			}
		}
		r.stays(newest)
		r.must(p.Fault(r.ctx, platf.Fault{}))
		r.put(i + 2)
		r.everywhere(i + 2)
	}
}

// An entry is replaced while the platform is away. A fresh process that knew
// nothing would refuse every customer; one that took its configuration from a
// lagging place would accept an old key. It takes the newest from its peers.
func TestEntryStartsDuringOutage(t *testing.T) {
	t.Parallel()
	r := newRig(t, shape{engines: []engin.Config{quick(), quick()}, entries: 2})
	r.put(0)
	r.everywhere(0)
	r.put(1)
	r.everywhere(1)
	r.must(r.fleet.Platform().Fault(r.ctx, platf.Fault{Down: true}))
	e := r.fleet.Entries()[1]
	r.must(e.Proc.Kill())
	ctx, stop := context.WithTimeout(r.ctx, time.Minute)
	defer stop()
	if err := r.fleet.RestartEntry(ctx, e); err != nil && !strings.Contains(err.Error(), "503") {
		t.Fatal(err)
	}
	r.everywhere(1)
	var b batch
	for i := range 8 {
		r.send(&b, 1, ask(i%4, fmt.Sprintf("outage-%d", i), 8, i%2 == 0))
	}
	if seen := r.judge(b.end()); seen[load.Complete] != 8 {
		t.Errorf("outcomes %v", seen)
	}
}

// A bad object reaches the platform past the operators' tool. Each process
// refuses it again: the last good version stays in force.
func TestBadObjectLeavesLastGoodInForce(t *testing.T) {
	t.Parallel()
	r := newRig(t, shape{engines: []engin.Config{quick()}, entries: 2})
	r.put(0)
	r.everywhere(0)
	bad := withKey(1)
	bad.Limits.RequestsPerSecond = -4
	r.must(r.fleet.Platform().PutObject(r.ctx, spec.KindCustomer, "rotating", bad))
	r.must(r.fleet.Platform().PutObject(r.ctx, spec.KindCustomer, "marker", func() spec.Customer { c := withKey(7); c.Name = "marker"; return c }()))
	for e := range r.callers {
		r.await("the object behind the bad one is in force", func() bool { return r.accepted(e, 7) })
		if !r.accepted(e, 0) || r.accepted(e, 1) {
			t.Errorf("entry %d put the bad object in force", e)
		}
	}
}

// Two operators change the same class at once, and the reply to a write is lost
// after it took effect. The one who lost the race is told so and by whom; the
// one whose reply was lost is told that the write stands; neither change
// disappears unnoticed.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	r := newRig(t, shape{engines: []engin.Config{quick()}, entries: 2})
	dir := t.TempDir()
	file := func(name string, target string) string {
		path := filepath.Join(dir, name+".yaml")
		text := "kind: class\nname: raced\ntier: 2\ntarget:\n  first_token: " + target + "\n"
		r.must(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	base := []string{"--platform", "http://" + r.fleet.Platform().Addr()}
	apply := func(path string, extra ...string) (string, int) {
		return r.lychee(append(append([]string{"apply", path}, base...), extra...)...)
	}
	if out, code := apply(file("first", "1s")); code != 0 {
		t.Fatalf("apply: %d %s", code, out)
	}
	type ended struct {
		out  string
		code int
	}
	results := make(chan ended, 6)
	for i := range 6 {
		path := file(fmt.Sprintf("op-%d", i), fmt.Sprintf("%ds", i+2))
		go func() {
			out, code := apply(path)
			results <- ended{out, code}
		}()
	}
	won := 0
	for range 6 {
		if res := <-results; res.code == 0 {
			won++
		} else if !strings.Contains(strings.ToLower(res.out), "changed") {
			t.Errorf("an operator who lost was not told why: %d %s", res.code, res.out)
		}
	}
	if won == 0 {
		t.Error("no operator won")
	}
	r.must(r.fleet.Platform().Fault(r.ctx, platf.Fault{LoseReplies: 1}))
	if out, code := apply(file("lost", "9s")); code != 0 {
		t.Errorf("the write took effect and apply says %d %s", code, out)
	}
	out, code := r.lychee(append([]string{"get", "class", "raced", "--output", "json"}, base...)...)
	if code != 0 || !strings.Contains(out, "9s") {
		t.Errorf("get: %d %s", code, out)
	}
}

// An agent holds an order for its engine, which ignores fencing numbers, and is
// paused. Meanwhile the operator chooses another version. When the agent wakes,
// the engine must not load what is no longer wanted after what is.
func TestPausedAgentGivesNoOldOrder(t *testing.T) {
	t.Parallel()
	r := newRig(t, shape{engines: []engin.Config{quick(), quick()}, entries: 2})
	u := r.fleet.Unit("engine-1")
	want := func(version string) {
		r.must(r.fleet.Platform().PutObject(r.ctx, spec.KindModel, model, spec.Model{
			Name: model, Endpoints: map[string]string{"model": model}, Version: version,
		}))
	}
	orders := func(u *fleet.Unit) (out []string) {
		for _, rec := range r.records(u) {
			if rec.Kind == engin.KindOrder {
				out = append(out, rec.Version)
			}
		}
		return out
	}
	r.must(u.Agent.Pause())
	want("v2")
	r.await("the other engine was ordered to v2", func() bool {
		o := orders(r.fleet.Unit("engine-2"))
		return len(o) > 0 && o[len(o)-1] == "v2"
	})
	want("v3")
	r.await("the other engine was ordered to v3", func() bool {
		o := orders(r.fleet.Unit("engine-2"))
		return len(o) > 0 && o[len(o)-1] == "v3"
	})
	r.must(u.Agent.Resume())
	r.await("the paused agent's engine was ordered to v3", func() bool {
		o := orders(u)
		return len(o) > 0 && o[len(o)-1] == "v3"
	})
	seen := map[string]bool{}
	for _, v := range orders(u) {
		if v == "v2" && seen["v3"] {
			t.Errorf("orders %v: an old one after a newer", orders(u))
		}
		seen[v] = true
	}
	t.Log(orders(u))
}
