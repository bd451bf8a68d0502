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

// world is a platform and agents around a Planner, with a clock of its own.
type world struct {
	t       *testing.T
	now     time.Duration
	store   *store.Store
	object  plat.Object
	writes  int
	members agents.Members
	want    string
	p       *Planner
}

func newWorld(t *testing.T, want string) *world {
	w := &world{t: t, store: store.New(), want: want}
	w.p = New(Config{
		Record: record.Config{
			Put: w.put, Get: func(context.Context, string, string) (plat.Object, error) { return w.object, nil },
			Raw: w.store.Raw, Accept: func(e plat.Event) { w.store.Accept(e) }, Now: func() time.Duration { return w.now },
		},
		Models: func() []spec.Model {
			return []spec.Model{{Name: model, Version: w.want, Endpoints: map[string]string{"model": model}}}
		},
		Members: func(string) *agents.Members { return &w.members },
		Now:     func() time.Duration { return w.now }, Random: func() float64 { return 0.5 }, Log: zap.NewNop(),
	})
	return w
}

func (w *world) put(_ context.Context, kind, name string, data []byte, ifVersion int64) (plat.Object, error) {
	if ifVersion != w.object.Version {
		return plat.Object{}, plat.NewConflict(kind, name, w.object.Version)
	}
	w.writes++
	w.object = plat.Object{Kind: kind, Name: name, Version: w.object.Version + 1, Data: data}
	return w.object, nil
}

// agent adds an agent whose endpoint serves version; empty has not told.
func (w *world) agent(name, version string) *agents.Peer {
	inst := plat.Instance{Name: name, State: plat.StateLive, Labels: map[string]string{"model": model}}
	p := agents.NewPeer(&inst)
	w.serves(p, version)
	w.members.Peers = append(w.members.Peers, p)
	return p
}

func (w *world) serves(p *agents.Peer, version string) {
	near, far := net.Pipe()
	w.t.Cleanup(func() { near.Close(); far.Close() })
	p.Connect(wire.New(near, wire.Hello{Name: p.Name(), Incarnation: 1}, wire.Config{}), &wire.Beat{Model: model, Version: version})
}

func (w *world) plan(d time.Duration) {
	w.now += d
	w.p.plan(context.Background())
}

func (w *world) assign() spec.Assign {
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

// The nightly change sets a new version while all endpoints are at work. If
// all of them loaded it at once nobody would be served, and the weight store
// would refuse most of them.
func TestNewVersionGoesRoundInSteps(t *testing.T) {
	w := newWorld(t, "v2")
	peers := []*agents.Peer{w.agent("a", "v1"), w.agent("b", "v1"), w.agent("c", "v1"), w.agent("d", "v1")}
	for range 200 {
		w.plan(planEvery)
		loading := 0
		for _, p := range peers {
			_, v := p.ServedModel()
			if l, ok := w.assign().Endpoints[p.Name()]; ok && l.Version != v {
				loading++
			}
		}
		if loading > loads {
			t.Fatalf("%d endpoints load at once", loading)
		}
		for _, p := range peers {
			if l, ok := w.assign().Endpoints[p.Name()]; ok {
				w.serves(p, l.Version)
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
		t.Error("an assignment that all follow is still written")
	}
}

// An agent gives an order only while it knows that the assignment is in force.
// Until its endpoint follows, the entry keeps confirming it.
func TestAssignmentIsConfirmedUntilFollowed(t *testing.T) {
	w := newWorld(t, "v2")
	w.agent("a", "v1")
	w.plan(planEvery)
	first := w.assign()
	w.plan(2 * touchEvery)
	ack := wire.LeaseAck{Pool: wire.AssignPrefix + model}
	w.p.Ack(model, &ack)
	if !ack.Fresh || ack.AgeMS != 0 || ack.Epoch != first.Epoch {
		t.Errorf("ack %+v", ack)
	}
}

// A link to an agent is new and what its endpoint serves has not been told
// yet. An order now might take the endpoint from work that it does well.
func TestUnknownEndpointIsLeftAlone(t *testing.T) {
	w := newWorld(t, "v2")
	w.agent("a", "")
	w.plan(planEvery)
	if w.object.Version != 0 {
		t.Errorf("assigned %+v", w.assign())
	}
}
