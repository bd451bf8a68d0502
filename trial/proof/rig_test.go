package proof

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/fleet"
	"lycheepond/trial/load"
	"lycheepond/trial/plain"
	"lycheepond/trial/procs"
	"lycheepond/trial/proxy"
	"lycheepond/trial/simeng"
)

// binDir is the directory into which TestMain builds the programs.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lycheepond-proof-")
	if err != nil {
		panic(err)
	}
	binDir = dir
	// The programs are built with the race detector, too. A data race ends the
	// process, so that the test in which it happened fails.
	build := exec.Command("go", "build", "-race", "-o", dir+"/", "lycheepond/entry", "lycheepond/agent", "lycheepond/lychee", "lycheepond/trial")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		os.Exit(1)
	}
	code := m.Run()
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

const (
	zone     = "z1"
	model    = "roster"
	service  = "docket"
	customer = "metro"
	bearer   = "metro-key"
	// testTimeout is the time limit of one test. It is far longer than any test
	// needs, so that no test fails because the machine is busy.
	testTimeout = 2 * time.Minute
	// heartbeatInterval is shorter than the default, so that a dead peer is
	// detected soon.
	heartbeatInterval = 400 * time.Millisecond
	grace             = 20 * time.Second
)

// classes holds one class for each tier. Their latency targets are loose, so that
// only faults affect the results, and their deadlines are short enough for a test
// to end in time.
var classes = [spec.Tiers]spec.Class{}

// longClass is a class of the lowest tier for long requests without a latency
// target.
var longClass = spec.Class{Name: "slate", Tier: spec.Tiers - 1, Deadline: spec.Duration(90 * time.Second)}

func init() {
	for i := range classes {
		classes[i] = spec.Class{
			Name: fmt.Sprintf("t%d", i), Tier: uint8(i), Deadline: spec.Duration(40 * time.Second),
			Target: spec.Target{FirstToken: spec.Duration(2 * time.Second)},
		}
	}
}

// rig is a deployment under test. Entries reach each agent through a proxy.
type rig struct {
	t     *testing.T
	ctx   context.Context
	set   *procs.Set
	fleet *fleet.Fleet
	// proxies holds the proxy in front of each agent, by endpoint name.
	proxies map[string]*proxy.Proxy
	// callers holds one caller for each entry.
	callers []*load.Caller
}

// rigConfig configures a rig.
type rigConfig struct {
	// engines holds a configuration for each engine; they are called engine-1 and
	// so on.
	engines []simeng.Config
	// services is the number of plain services, called service-1 and so on.
	// callTime is the time that each of their calls takes.
	services int
	callTime time.Duration
	entries  int
	// objects are written to the platform after those of every rig.
	objects []spec.Item
}

// fastEngine returns the configuration of a fast engine with few slots.
func fastEngine() simeng.Config {
	c := simeng.DefaultConfig()
	c.Slots, c.PrefillTPS, c.DecodeTPS = 4, 40000, 200
	c.LoadLag = 200 * time.Millisecond
	return c
}

// newRig starts a deployment and ends it when the test ends. If the test failed,
// it prints the ends of all logs.
func newRig(t *testing.T, s rigConfig) *rig {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	set, err := procs.New(procs.Config{BinDir: binDir, Dir: t.TempDir(), Env: []string{"GORACE=halt_on_error=1"}})
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, ctx: ctx, set: set, proxies: make(map[string]*proxy.Proxy)}
	t.Cleanup(func() {
		if t.Failed() {
			r.logTails()
		}
		if err := set.Close(grace); err != nil && !t.Failed() {
			r.logTails()
			t.Error(err)
		}
		cancel()
	})
	plan := fleet.Plan{
		Name: "proof", Zones: []string{zone}, Entries: s.entries, Heartbeat: heartbeatInterval, Grace: grace,
		LinkProxy: r.startProxy, Objects: append(objects(), s.objects...),
	}
	for i, c := range s.engines {
		plan.Endpoints = append(plan.Endpoints, fleet.EngineEndpoint(fmt.Sprintf("engine-%d", i+1), zone, model, c))
	}
	for i := range s.services {
		plan.Endpoints = append(plan.Endpoints, fleet.PlainEndpoint(fmt.Sprintf("service-%d", i+1), zone, service, plain.Config{CallTime: s.callTime, Slots: 4}))
	}
	if r.fleet, err = fleet.Start(ctx, set, plan); err != nil {
		t.Fatal(err)
	}
	for _, e := range r.fleet.Entries() {
		r.callers = append(r.callers, load.NewCaller([]string{e.ListenAddr}))
	}
	return r
}

// objects returns the objects that every rig uses: a customer, a model, a service
// and the classes.
func objects() []spec.Item {
	sum := sha256.Sum256([]byte(bearer))
	items := []spec.Item{
		{Kind: spec.KindCustomer, Name: customer, Object: spec.Customer{Name: customer, Keys: []spec.Key{{SHA256: hex.EncodeToString(sum[:]), Class: classes[1].Name}}}},
		{Kind: spec.KindModel, Name: model, Object: spec.Model{Name: model, Endpoints: map[string]string{"model": model}}},
		{Kind: spec.KindService, Name: service, Object: spec.Service{Name: service, Endpoints: map[string]string{"service": service}}},
	}
	for _, c := range append(classes[:], longClass) {
		items = append(items, spec.Item{Kind: spec.KindClass, Name: c.Name, Object: c})
	}
	return items
}

// startProxy starts a proxy in front of an agent's link and returns its address.
func (r *rig) startProxy(name, linkAddr string) (string, error) {
	p, err := proxy.New(proxy.Config{Listen: "127.0.0.1:0", Upstream: linkAddr, WholeFrames: true})
	if err != nil {
		return "", err
	}
	r.proxies[name] = p
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	r.t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			r.t.Error(err)
		}
	})
	return p.Addr(), nil
}

// must ends the test if err is not nil.
func (r *rig) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

// logTails prints the last 4000 bytes of each process's log.
func (r *rig) logTails() {
	const tail = 4000
	for _, p := range r.set.Procs() {
		data, err := os.ReadFile(p.LogPath())
		if err != nil || len(data) == 0 {
			continue
		}
		r.t.Logf("%s:\n%s", filepath.Base(p.LogPath()), data[max(0, len(data)-tail):])
	}
}

// await polls ok until it returns true, and ends the test at its time limit.
// description completes the sentence "timeout while waiting until".
func (r *rig) await(description string, ok func() bool) {
	r.t.Helper()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-r.ctx.Done():
			r.t.Fatalf("timeout while waiting until %s", description)
		case <-tick.C:
		}
	}
}
