package orders

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
	"lycheepond/core/store"
	"lycheepond/core/wire"
	"lycheepond/entry/agents"
	"lycheepond/entry/record"
)

const model = "drafting"

// fixture is a Planner with a simulated platform, agents and clock.
type fixture struct {
	t           *testing.T
	now         time.Duration
	store       *store.Store
	object      plat.Object
	writes      int
	members     agents.Members
	wantVersion string
	planner     *Planner
}

func newFixture(t *testing.T, wantVersion string) *fixture {
	f := &fixture{t: t, store: store.New(), wantVersion: wantVersion}
	f.planner = New(Config{
		Record: record.Config{
			Put: f.put, Get: func(context.Context, string, string) (plat.Object, error) { return f.object, nil },
			Raw: f.store.Raw, Accept: func(e plat.Event) { f.store.Accept(e) }, Now: func() time.Duration { return f.now },
		},
		Models: func() []spec.Model {
			return []spec.Model{{Name: model, Version: f.wantVersion, Endpoints: map[string]string{"model": model}}}
		},
		Members: func(string) *agents.Members { return &f.members },
		Now:     func() time.Duration { return f.now }, Random: func() float64 { return 0.5 }, Log: zap.NewNop(),
	})
	return f
}

func (f *fixture) put(_ context.Context, kind, name string, data []byte, ifVersion int64) (plat.Object, error) {
	if ifVersion != f.object.Version {
		return plat.Object{}, plat.NewConflict(kind, name, f.object.Version)
	}
	f.writes++
	f.object = plat.Object{Kind: kind, Name: name, Version: f.object.Version + 1, Data: data}
	return f.object, nil
}

// agent adds an agent whose endpoint serves version. If version is empty, the agent
// has not reported it.
func (f *fixture) agent(name, version string) *agents.Peer {
	inst := plat.Instance{Name: name, State: plat.StateLive, Labels: map[string]string{"model": model}}
	p := agents.NewPeer(&inst)
	f.connect(p, version)
	f.members.Peers = append(f.members.Peers, p)
	return p
}

func (f *fixture) connect(p *agents.Peer, version string) {
	near, far := net.Pipe()
	f.t.Cleanup(func() { near.Close(); far.Close() })
	p.Connect(wire.New(near, wire.Hello{Name: p.Name(), Incarnation: 1}, wire.Config{}), &wire.Heartbeat{Model: model, Version: version})
}

// plan advances the clock by d and plans once.
func (f *fixture) plan(d time.Duration) {
	f.now += d
	f.planner.plan(context.Background())
}

func (f *fixture) assign() spec.Assign {
	f.t.Helper()
	var a spec.Assign
	if f.object.Version == 0 {
		return a
	}
	if err := json.Unmarshal(f.object.Data, &a); err != nil {
		f.t.Fatal(err)
	}
	return a
}

// An operator sets a new version at night while all endpoints are serving. If all
// of them loaded it at once, no request would be served, and the weight store would
// refuse most of them.
func TestNewVersionIsLoadedInSteps(t *testing.T) {
	f := newFixture(t, "v2")
	peers := []*agents.Peer{f.agent("a", "v1"), f.agent("b", "v1"), f.agent("c", "v1"), f.agent("d", "v1")}
	for range 200 {
		f.plan(planInterval)
		loading := 0
		for _, p := range peers {
			_, v := p.ServedModel()
			if l, ok := f.assign().Endpoints[p.Name()]; ok && l.Version != v {
				loading++
			}
		}
		if loading > maxConcurrentLoads {
			t.Fatalf("%d endpoints load at once", loading)
		}
		for _, p := range peers {
			if l, ok := f.assign().Endpoints[p.Name()]; ok {
				f.connect(p, l.Version)
			}
		}
	}
	for _, p := range peers {
		if _, v := p.ServedModel(); v != "v2" {
			t.Errorf("%s serves %s in the end", p.Name(), v)
		}
	}
	writes := f.writes
	f.plan(time.Minute)
	if f.writes != writes {
		t.Error("an assignment that all endpoints follow is still written")
	}
}

// An agent gives an order only while it knows that the assignment is in force. The
// entry must therefore confirm the assignment until the endpoint follows it.
func TestAssignmentIsConfirmedUntilFollowed(t *testing.T) {
	f := newFixture(t, "v2")
	f.agent("a", "v1")
	f.plan(planInterval)
	first := f.assign()
	f.plan(2 * confirmInterval)
	reply := wire.LeaseReply{Pool: wire.AssignPrefix + model}
	f.planner.FillLeaseReply(model, &reply)
	if !reply.Confirmed || reply.AgeMS != 0 || reply.Epoch != first.Epoch {
		t.Errorf("reply %+v", reply)
	}
}

// A link to an agent is new, and the agent has not reported yet what its endpoint
// serves. An order at this moment might take the endpoint out of service needlessly.
func TestUnknownEndpointIsLeftAlone(t *testing.T) {
	f := newFixture(t, "v2")
	f.agent("a", "")
	f.plan(planInterval)
	if f.object.Version != 0 {
		t.Errorf("assigned %+v", f.assign())
	}
}
