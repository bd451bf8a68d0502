package capac

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"lycheepond/core/homes"
	"lycheepond/core/plat"
	"lycheepond/core/spec"
	"lycheepond/core/subset"
	"lycheepond/core/wire"
)

// The target of docs/CAPACITY.md.
const (
	targetZones   = 28
	targetEntries = 420
	targetAgents  = 12000
	targetModels  = 4
)

// Bytes is the size of one object or message.
type Bytes struct {
	Of    string `json:"size_of"`
	Bytes int    `json:"bytes"`
	// DecodeMS is how long an object takes to decode; zero for messages.
	DecodeMS float64 `json:"decode_ms,omitempty"`
}

// decodes is how often an object is decoded to find the mean.
const decodes = 10

// object shows the size of one object.
func object[T any](of string, v T, show func(any) error) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	start := time.Now()
	for range decodes {
		if err := json.Unmarshal(data, new(T)); err != nil {
			return err
		}
	}
	took := time.Since(start) / decodes
	return show(Bytes{Of: of, Bytes: len(data), DecodeMS: round(float64(took.Nanoseconds()) / 1e6)})
}

// Reach is how many links the entries keep at the target's size.
type Reach struct {
	Entries int     `json:"links_of_entries"`
	Least   int     `json:"least"`
	Mean    float64 `json:"mean"`
	Most    int     `json:"most"`
	// ChooseMS is how long one entry takes to choose among all agents.
	ChooseMS float64 `json:"choose_ms"`
	// PerAgent is the mean number of links of an agent.
	PerAgent float64 `json:"links_an_agent"`
}

// Sizes shows what objects, messages and the choice of links come to at the
// target's size. It starts no process.
func Sizes(show func(any) error) error {
	errs := []error{
		object("instances, all", roster(), show),
		object("homes/MODEL, one pool", table(), show),
		object("assign/MODEL, one model", assignment(), show),
		object("customer", customer(0), show),
	}
	for _, m := range messages() {
		frame, err := wire.Append(nil, m)
		errs = append(errs, err, show(Bytes{Of: "frame " + m.Kind().String(), Bytes: len(frame)}))
	}
	return errors.Join(append(errs, show(reach()))...)
}

func nodes(kind string, n int) []subset.Node {
	out := make([]subset.Node, n)
	for i := range out {
		out[i] = subset.Node{Name: fmt.Sprintf("%s-%05d", kind, i), Zone: fmt.Sprintf("zone-%02d", i%targetZones)}
	}
	return out
}

func roster() plat.Roster {
	r := plat.Roster{Version: 1}
	for i, e := range nodes("entry", targetEntries) {
		r.Instances = append(r.Instances, plat.Instance{Name: e.Name, Role: plat.RoleEntry, Zone: e.Zone, LinkAddr: address(i), AdminAddr: address(i), State: plat.StateLive})
	}
	for i, a := range nodes("endpoint", targetAgents) {
		r.Instances = append(r.Instances, plat.Instance{
			Name: a.Name, Role: plat.RoleEndpoint, Zone: a.Zone, Labels: map[string]string{"model": model}, LinkAddr: address(i), AdminAddr: address(i), State: plat.StateLive,
		})
	}
	return r
}

func address(i int) string { return fmt.Sprintf("10.%d.%d.%d:7400", 16+i/65536, i/256%256, i%256) }

// table is the table of a pool after each slot changed its owner once.
func table() spec.Homes {
	t := spec.Homes{Epoch: 100000, Lease: spec.Duration(homes.DefaultLease), ConfirmedAtMS: time.Now().UnixMilli()}
	for i, a := range nodes("endpoint", targetAgents/targetModels) {
		t.Owners = append(t.Owners, spec.HomeOwner{Name: a.Name, Incarnation: 1<<63 + uint64(i)})
	}
	for i := range homes.Slots {
		t.Slots = append(t.Slots, spec.HomeSlot{Owner: i, LostBefore: t.ConfirmedAtMS, OwnedSinceEpoch: t.Epoch})
	}
	return t
}

func assignment() spec.Assign {
	a := spec.Assign{Epoch: 100000, Endpoints: make(map[string]spec.Assignment)}
	for _, e := range nodes("endpoint", targetAgents/targetModels) {
		a.Endpoints[e.Name] = spec.Assignment{Version: "v2026-12-02", Role: "decode"}
	}
	return a
}

func messages() []wire.Message {
	load := wire.Load{InFlight: 40, InFlightBound: 64, Queued: 20, QueuedCostMS: 4000, RunningTiers: 15, WaitingTiers: 15, ShedLevel: 3}
	data, err := json.Marshal(table())
	if err != nil {
		data = nil
	}
	return []wire.Message{
		&wire.Heartbeat{Load: load, ConfigVersion: 4_000_000},
		&wire.Claim{Load: load},
		&wire.ShedLevel{Pool: model, Level: 3, HoldMS: 1500},
		&wire.LeaseRequest{Seq: 100000, Pool: model},
		&wire.LeaseReply{Seq: 100000, Pool: model, Epoch: 100000, AgeMS: 4000, Confirmed: true},
		&wire.Offer{
			Pool: model, Customer: "customer-00001", Class: ownClass, Tier: 1, Model: model, PromptTokens: 1200, OutputTokens: 450, CostMS: 9000,
			FirstTargetMS: 1500, BetweenTargetMS: 49, DeadlineMS: 30000, Cancellable: true,
		},
		&wire.Withdraw{}, &wire.Deny{},
		&wire.ObjectUpdate{ObjectKind: spec.KindHomes, Name: model, Version: 4_000_000, Data: data},
	}
}

// reach chooses links for one entry of each zone; the others of a zone differ
// in nothing but their names.
func reach() Reach {
	entries, agents := nodes("entry", targetEntries), nodes("endpoint", targetAgents)
	r := Reach{Entries: targetEntries, Least: targetAgents}
	total := 0
	var took time.Duration
	for _, e := range entries {
		start, links := time.Now(), 0
		for m := range targetModels {
			links += len(subset.Agents(e, entries, pool(agents, m), subset.Config{}))
		}
		took += time.Since(start)
		total += links
		r.Least, r.Most = min(r.Least, links), max(r.Most, links)
	}
	r.Mean = round(float64(total) / targetEntries)
	r.PerAgent = round(float64(total) / targetAgents)
	r.ChooseMS = round(float64(took.Microseconds()) / 1000 / targetEntries)
	return r
}

// pool returns the agents of the m-th model, spread over all zones.
func pool(agents []subset.Node, m int) []subset.Node {
	var out []subset.Node
	for i, a := range agents {
		if i/targetZones%targetModels == m {
			out = append(out, a)
		}
	}
	return out
}
