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
	w := &fixture{t: t, store: store.New(), wantVersion: wantVersion}
	w.planner = New(Config{
		Record: record.Config{
			Put: w.put, Get: func(context.Context, string, string) (plat.Object, error) { return w.object, nil },
			Raw: w.store.Raw, Accept: func(e plat.Event) { w.store.Accept(e) }, Now: func() time.Duration { return w.now },
		},
		Models: func() []spec.Model {
			return []spec.Model{{Name: model, Version: w.wantVersion, Endpoints: map[string]string{"model": model}}}
		},
		Members: func(string) *agents.Members { return &w.members },
		Now:     func() time.Duration { return w.now }, Random: func() float64 { return 0.5 }, Log: zap.NewNop(),
	})
	return w
}

func (w *fixture) put(_ context.Context, kind, name string, data []byte, ifVersion int64) (plat.Object, error) {
	if ifVersion != w.object.Version {
		return plat.Object{}, plat.NewConflict(kind, name, w.object.Version)
	}
	w.writes++
	w.object = plat.Object{Kind: kind, Name: name, Version: w.object.Version + 1, Data: data}
	return w.object, nil
}

// agent adds an agent whose endpoint serves version. If version is empty, the agent
// has not reported it.
func (w *fixture) agent(name, version string) *agents.Peer {
	inst := plat.Instance{Name: name, State: plat.StateLive, Labels: map[string]string{"model": model}}
	p := agents.NewPeer(&inst)
	w.connect(p, version)
	w.members.Peers = append(w.members.Peers, p)
	return p
}

func (w *fixture) connect(p *agents.Peer, version string) {
	near, far := net.Pipe()
	w.t.Cleanup(func() { near.Close(); far.Close() })
	p.Connect(wire.New(near, wire.Hello{Name: p.Name(), Incarnation: 1}, wire.Config{}), &wire.Beat{Model: model, Version: version})
}

func (w *fixture) plan(d time.Duration) {
	w.now += d
	w.planner.plan(context.Background())
}

func (w *fixture) assign() spec.Assign {
	w.t.Helper()
	var a spec.Assign
	if w.object.Version == 0 {
		return a
	}
	if err := json.Unmarshal(w.object.Data, &a); err != nil {
		w.t.Fatal(err)
	}
	return a
}

// An operator sets a new version at night while all endpoints are serving. If all
// of them loaded it at once, no request would be served, and the weight store would
// refuse most of them.
func TestNewVersionIsLoadedInSteps(t *testing.T) {
	w := newFixture(t, "v2")
	peers := []*agents.Peer{w.agent("a", "v1"), w.agent("b", "v1"), w.agent("c", "v1"), w.agent("d", "v1")}
	for range 200 {
		w.plan(planInterval)
		loading := 0
		for _, p := range peers {
			_, v := p.ServedModel()
			if l, ok := w.assign().Endpoints[p.Name()]; ok && l.Version != v {
				loading++
			}
		}
		if loading > maxConcurrentLoads {
			t.Fatalf("%d endpoints load at once", loading)
		}
		for _, p := range peers {
			if l, ok := w.assign().Endpoints[p.Name()]; ok {
				w.connect(p, l.Version)
			}
		}
	}
	for _, p := range peers {
		if _, v := p.ServedModel(); v != "v2" {
			t.Errorf("%s serves %s in the end", p.Name(), v)
		}
	}
	writes := w.writes
	w.plan(time.Minute)
	if w.writes != writes {
		t.Error("an assignment that all endpoints follow is still written")
	}
}

// An agent gives an order only while it knows that the assignment is in force. The
// entry must confirm it until the endpoint follows.
func TestAssignmentIsConfirmedUntilFollowed(t *testing.T) {
	w := newFixture(t, "v2")
	w.agent("a", "v1")
	w.plan(planInterval)
	first := w.assign()
	w.plan(2 * confirmInterval)
	ack := wire.LeaseAck{Pool: wire.AssignPrefix + model}
	w.planner.FillAck(model, &ack)
	if !ack.Fresh || ack.AgeMS != 0 || ack.Epoch != first.Epoch {
		t.Errorf("ack %+v", ack)
	}
}

// A link to an agent is new, and the agent has not reported yet what its endpoint
// serves. An order now might take the endpoint from useful work.
func TestUnknownEndpointIsLeftAlone(t *testing.T) {
	w := newFixture(t, "v2")
	w.agent("a", "")
	w.plan(planInterval)
	if w.object.Version != 0 {
		t.Errorf("assigned %+v", w.assign())
	}
}
