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

// The size of the target deployment in docs/CAPACITY.md.
const (
	targetZones   = 28
	targetEntries = 420
	targetAgents  = 12000
	targetModels  = 4
)

// EncodedSize holds the size of one object or message.
type EncodedSize struct {
	// Subject names the object or the message.
	Subject string `json:"size_of"`
	Bytes   int    `json:"bytes"`
	// DecodeMS is the mean time to decode an object, in milliseconds. It is zero for
	// messages.
	DecodeMS float64 `json:"decode_ms,omitempty"`
}

// decodeRuns is how often an object is decoded to measure the mean time.
const decodeRuns = 10

// reportObject reports the size and the decoding time of one object.
func reportObject[T any](subject string, v T, report func(any) error) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	start := time.Now()
	for range decodeRuns {
		if err := json.Unmarshal(data, new(T)); err != nil {
			return err
		}
	}
	meanTime := time.Since(start) / decodeRuns
	return report(EncodedSize{Subject: subject, Bytes: len(data), DecodeMS: round(float64(meanTime.Nanoseconds()) / 1e6)})
}

// LinkCounts holds how many links entries and agents keep at the size of the target
// deployment.
type LinkCounts struct {
	// Entries is the number of entries.
	Entries int `json:"links_of_entries"`
	// MinLinks, MeanLinks and MaxLinks are the numbers of links of an entry.
	MinLinks  int     `json:"least"`
	MeanLinks float64 `json:"mean"`
	MaxLinks  int     `json:"most"`
	// ChooseMS is the mean time that an entry takes to choose its links among all
	// agents, in milliseconds.
	ChooseMS float64 `json:"choose_ms"`
	// LinksPerAgent is the mean number of links of an agent.
	LinksPerAgent float64 `json:"links_an_agent"`
}

// MeasureSizes measures the sizes of objects and messages and the choice of links for the
// target deployment. It starts no process, and calls report with EncodedSize values and
// one LinkCounts.
func MeasureSizes(report func(any) error) error {
	errs := []error{
		reportObject("instances, all", newRoster(), report),
		reportObject("homes/MODEL, one pool", homesTable(), report),
		reportObject("assign/MODEL, one model", newAssignment(), report),
		reportObject("customer", newCustomer(0), report),
	}
	for _, m := range exampleMessages() {
		frame, err := wire.Append(nil, m)
		errs = append(errs, err, report(EncodedSize{Subject: "frame " + m.Kind().String(), Bytes: len(frame)}))
	}
	return errors.Join(append(errs, report(countLinks()))...)
}

// newNodes returns n nodes with numbered names, spread over all zones.
func newNodes(kind string, n int) []subset.Node {
	out := make([]subset.Node, n)
	for i := range out {
		out[i] = subset.Node{Name: fmt.Sprintf("%s-%05d", kind, i), Zone: fmt.Sprintf("zone-%02d", i%targetZones)}
	}
	return out
}

// newRoster returns the instances of the target deployment.
func newRoster() plat.Roster {
	r := plat.Roster{Version: 1}
	for i, e := range newNodes("entry", targetEntries) {
		r.Instances = append(r.Instances, plat.Instance{Name: e.Name, Role: plat.RoleEntry, Zone: e.Zone, LinkAddr: address(i), AdminAddr: address(i), State: plat.StateLive})
	}
	for i, a := range newNodes("endpoint", targetAgents) {
		r.Instances = append(r.Instances, plat.Instance{
			Name: a.Name, Role: plat.RoleEndpoint, Zone: a.Zone, Labels: map[string]string{"model": model}, LinkAddr: address(i), AdminAddr: address(i), State: plat.StateLive,
		})
	}
	return r
}

// address returns a made-up address of instance i.
func address(i int) string { return fmt.Sprintf("10.%d.%d.%d:7400", 16+i/65536, i/256%256, i%256) }

// homesTable returns the table of the homes of one pool. Each slot in it changed its
// owner once.
func homesTable() spec.Homes {
	t := spec.Homes{Epoch: 100000, Lease: spec.Duration(homes.DefaultLease), ConfirmedAtMS: time.Now().UnixMilli()}
	for i, a := range newNodes("endpoint", targetAgents/targetModels) {
		t.Owners = append(t.Owners, spec.HomeOwner{Name: a.Name, Incarnation: 1<<63 + uint64(i)})
	}
	for i := range homes.DefaultSlots {
		t.Slots = append(t.Slots, spec.HomeSlot{Owner: i, LostBefore: t.ConfirmedAtMS, OwnedSinceEpoch: t.Epoch})
	}
	return t
}

// newAssignment returns the assignment of one model to its endpoints.
func newAssignment() spec.Assign {
	a := spec.Assign{Epoch: 100000, Endpoints: make(map[string]spec.Assignment)}
	for _, e := range newNodes("endpoint", targetAgents/targetModels) {
		a.Endpoints[e.Name] = spec.Assignment{Version: "v2026-12-02", Role: "decode"}
	}
	return a
}

// exampleMessages returns messages with typical contents.
func exampleMessages() []wire.Message {
	load := wire.Load{InFlight: 40, InFlightBound: 64, Queued: 20, QueuedCostMS: 4000, RunningTiers: 15, WaitingTiers: 15, ShedLevel: 3}
	data, err := json.Marshal(homesTable())
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
			Pool: model, Customer: "customer-00001", Class: tagClassName, Tier: 1, Model: model, PromptTokens: 1200, OutputTokens: 450, CostMS: 9000,
			FirstTargetMS: 1500, BetweenTargetMS: 49, DeadlineMS: 30000, Cancellable: true,
		},
		&wire.Withdraw{}, &wire.Deny{},
		&wire.ObjectUpdate{ObjectKind: spec.KindHomes, Name: model, Version: 4_000_000, Data: data},
	}
}

// countLinks chooses the links of all entries of the target deployment and counts them.
func countLinks() LinkCounts {
	entries, agents := newNodes("entry", targetEntries), newNodes("endpoint", targetAgents)
	r := LinkCounts{Entries: targetEntries, MinLinks: targetAgents}
	total := 0
	var chooseTime time.Duration
	for _, e := range entries {
		start, links := time.Now(), 0
		for m := range targetModels {
			links += len(subset.Agents(e, entries, poolAgents(agents, m), subset.Config{}))
		}
		chooseTime += time.Since(start)
		total += links
		r.MinLinks, r.MaxLinks = min(r.MinLinks, links), max(r.MaxLinks, links)
	}
	r.MeanLinks = round(float64(total) / targetEntries)
	r.LinksPerAgent = round(float64(total) / targetAgents)
	r.ChooseMS = round(float64(chooseTime.Microseconds()) / 1000 / targetEntries)
	return r
}

// poolAgents returns the agents of model number m, which are spread over all zones.
func poolAgents(agents []subset.Node, m int) []subset.Node {
	var out []subset.Node
	for i, a := range agents {
		if i/targetZones%targetModels == m {
			out = append(out, a)
		}
	}
	return out
}
