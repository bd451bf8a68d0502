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
	"lycheepond/trial/engin"
	"lycheepond/trial/fleet"
	"lycheepond/trial/load"
	"lycheepond/trial/plain"
	"lycheepond/trial/procs"
	"lycheepond/trial/proxy"
)

// bin is where TestMain built the programs.
var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lycheepond-proof-")
	if err != nil {
		panic(err)
	}
	bin = dir
	// The programs run with the race detector too, so that a data race in a
	// real process ends it and the test that met it fails.
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
	// limit bounds one test. It is far above what any of them needs, so that a
	// busy machine changes no verdict.
	limit = 2 * time.Minute
	// heartbeat makes a dead peer known soon.
	heartbeat = 400 * time.Millisecond
	grace     = 20 * time.Second
)

// classes holds one class for each tier, with a loose target so that only
// faults decide, and deadlines that let a test end.
var classes = [spec.Tiers]spec.Class{}

// slate is long work of the lowest tier that nobody waits for on a screen.
var slate = spec.Class{Name: "slate", Tier: spec.Tiers - 1, Deadline: spec.Duration(90 * time.Second)}

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
	t       *testing.T
	ctx     context.Context
	set     *procs.Set
	fleet   *fleet.Fleet
	proxies map[string]*proxy.Proxy
	callers []*load.Caller
}

// shape says what a rig consists of.
type shape struct {
	engines  []engin.Config
	services int
	work     time.Duration
	entries  int
	objects  []spec.Item
}

// quick is an engine that answers soon and holds few sequences.
func quick() engin.Config {
	c := engin.Default()
	c.Slots, c.PrefillTPS, c.DecodeTPS = 4, 40000, 200
	c.LoadLag = 200 * time.Millisecond
	return c
}

func newRig(t *testing.T, s shape) *rig {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	set, err := procs.New(procs.Config{Bin: bin, Dir: t.TempDir(), Env: []string{"GORACE=halt_on_error=1"}})
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, ctx: ctx, set: set, proxies: make(map[string]*proxy.Proxy)}
	t.Cleanup(func() {
		if t.Failed() {
			r.dump()
		}
		if err := set.Close(grace); err != nil && !t.Failed() {
			t.Error(err)
		}
		cancel()
	})
	plan := fleet.Plan{
		Name: "proof", Zones: []string{zone}, Entries: s.entries, Heartbeat: heartbeat, Grace: grace,
		Via: r.via, Objects: append(objects(), s.objects...),
	}
	for i, c := range s.engines {
		plan.Endpoints = append(plan.Endpoints, fleet.EngineEndpoint(fmt.Sprintf("engine-%d", i+1), zone, model, c))
	}
	for i := range s.services {
		plan.Endpoints = append(plan.Endpoints, fleet.PlainEndpoint(fmt.Sprintf("service-%d", i+1), zone, service, plain.Config{Work: s.work, Slots: 4}))
	}
	if r.fleet, err = fleet.Start(ctx, set, plan); err != nil {
		t.Fatal(err)
	}
	for _, e := range r.fleet.Entries() {
		r.callers = append(r.callers, load.NewCaller([]string{e.Listen}))
	}
	return r
}

func objects() []spec.Item {
	sum := sha256.Sum256([]byte(bearer))
	items := []spec.Item{
		{Kind: spec.KindCustomer, Name: customer, Object: spec.Customer{Name: customer, Keys: []spec.Key{{SHA256: hex.EncodeToString(sum[:]), Class: classes[1].Name}}}},
		{Kind: spec.KindModel, Name: model, Object: spec.Model{Name: model, Endpoints: map[string]string{"model": model}}},
		{Kind: spec.KindService, Name: service, Object: spec.Service{Name: service, Endpoints: map[string]string{"service": service}}},
	}
	for _, c := range append(classes[:], slate) {
		items = append(items, spec.Item{Kind: spec.KindClass, Name: c.Name, Object: c})
	}
	return items
}

// via puts a proxy in front of an agent's link.
func (r *rig) via(name, link string) (string, error) {
	p, err := proxy.New(proxy.Config{Listen: "127.0.0.1:0", Upstream: link, Frames: true})
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

// must fails the test on an error.
func (r *rig) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

// dump shows the ends of all logs after a failure.
func (r *rig) dump() {
	const tail = 4000
	for _, p := range r.set.Procs() {
		data, err := os.ReadFile(p.LogPath())
		if err != nil || len(data) == 0 {
			continue
		}
		r.t.Logf("%s:\n%s", filepath.Base(p.LogPath()), data[max(0, len(data)-tail):])
	}
}

// await polls until ok reports true or the test's limit is over.
func (r *rig) await(what string, ok func() bool) {
	r.t.Helper()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-r.ctx.Done():
			r.t.Fatalf("gave up waiting until %s", what)
		case <-tick.C:
		}
	}
}
