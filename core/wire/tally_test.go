package wire

import (
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// olderTally is the Tally of a version that does not send Freshness and the fields
// after it.
type olderTally struct {
	_msgpack                       struct{} `msgpack:",as_array"`
	Addr                           string
	ConfigRevision, RosterRevision int64
	Customers                      []CustomerUsage
	Endpoints                      []EndpointLoad
	Entries                        []EntryAddr
	Seq                            uint64
	Full                           bool
	MissingFrom                    []string
	Queues                         []TierQueue
}

// During an upgrade, entries of adjacent versions run side by side. If they could not
// read each other's tallies, each would count the other as silent and hand out the
// other's share of every limit a second time.
func TestTalliesOfAdjacentVersionsAreRead(t *testing.T) {
	queues := []TierQueue{{Pool: "p", Requests: 2}}
	older, err := msgpack.Marshal(&olderTally{Addr: "a", ConfigRevision: 3, Seq: 9, Queues: queues})
	if err != nil {
		t.Fatal(err)
	}
	got := new(Tally)
	if err := msgpack.Unmarshal(older, got); err != nil || got.Seq != 9 || len(got.Queues) != 1 || got.AcceptsMoreFields() {
		t.Errorf("an older tally is read as %+v, %v", got, err)
	}
	own := &Tally{Addr: "a", ConfigRevision: 3, Seq: 9, Queues: queues}
	own.SetAcceptsMoreFields()
	newer, err := own.Encode()
	if err != nil {
		t.Fatal(err)
	}
	old := new(olderTally)
	if err := msgpack.Unmarshal(newer, old); err != nil || old.ConfigRevision != 3 || old.Seq != 9 || len(old.Queues) != 1 {
		t.Errorf("a newer tally is read as %+v, %v", old, err)
	}
	if err := msgpack.Unmarshal(newer, got); err != nil || !got.AcceptsMoreFields() {
		t.Errorf("the mark of a sender that accepts more fields is lost: %+v, %v", got, err)
	}
}

// A later version sends fields that this version does not know. They must be skipped.
// A tally with too few fields is an error.
func TestTallyWithUnknownFields(t *testing.T) {
	freshness := []Freshness{{Content: SnapshotConfig, AgeMS: 5, RefreshID: 1 << 31}}
	suspects := []Suspect{{Fingerprint: []byte("fingerprint"), CompletedAgoMS: -1, Crashes: []Crash{{Endpoint: "e", AgeMS: 5}}}}
	parts := []SuspectPart{{Customer: "c", Part: "p", Suspect: suspects[0]}}
	lending := &Lending{Incarnation: 1 << 63, Wants: []LendingWant{{Resource: "e@7", Units: 6}}, Loans: []Loan{{Resource: "e@7", Peer: "b", PeerIncarnation: 9, Total: 5}}}
	rollouts := []Rollout{{Pool: "p", Target: "v2", Cells: []RolloutCell{{Route: "r", Answers: 3}}}}
	later, err := msgpack.Marshal([]any{"a", 3, 4, nil, nil, nil, uint64(9), true, nil, nil, uint64(1) << 40, freshness, uint32(800), suspects, []Limit{{Endpoint: "e", RequestsPerSecond: 2.5}}, rollouts, []LeavingEndpoint{{Endpoint: "e", Incarnation: 7}}, []Rest{{Start: "e@7", LeftMS: 900}}, int64(33), parts, lending, []string{"new"}, 7})
	if err != nil {
		t.Fatal(err)
	}
	got := new(Tally)
	if err := msgpack.Unmarshal(later, got); err != nil || got.Seq != 9 || got.UptimeMS != 1<<40 || len(got.Freshness) != 1 || got.Freshness[0] != freshness[0] || got.Capacity != 800 || len(got.Suspects) != 1 || got.Suspects[0].Crashes[0] != suspects[0].Crashes[0] || len(got.Limits) != 1 || got.Limits[0].RequestsPerSecond != 2.5 || len(got.Rollouts) != 1 || got.Rollouts[0].Cells[0].Answers != 3 || len(got.Leaving) != 1 || got.Leaving[0].Incarnation != 7 || len(got.Rests) != 1 || got.Rests[0].LeftMS != 900 || got.ConfigAhead != 33 || len(got.Parts) != 1 || got.Parts[0].Part != "p" || got.Parts[0].Suspect.Crashes[0] != suspects[0].Crashes[0] || !reflect.DeepEqual(got.Lending, lending) {
		t.Errorf("a later tally is read as %+v, %v", got, err)
	}
	if err := msgpack.Unmarshal([]byte{0x92, 0xa1, 'a', 3}, new(Tally)); err == nil {
		t.Error("a tally with too few fields was accepted")
	}
}

// Guards against a report of loans that a peer cannot read, or that is not sent for want of other
// changes: the peer would never get the units that its lender has given up.
func TestTallyWithLending(t *testing.T) {
	sent := &Tally{Addr: "a", Lending: &Lending{Incarnation: 3, Wants: []LendingWant{{Resource: "e@7", Units: 6}}}}
	b, err := sent.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got := new(Tally)
	if err := msgpack.Unmarshal(b, got); err != nil || !got.HasChanges() || !reflect.DeepEqual(got.Lending, sent.Lending) {
		t.Errorf("read as %+v, %v", got, err)
	}
}

// Guards against a report on a part of prompts that a peer cannot read.
func TestTallyWithParts(t *testing.T) {
	sent := &Tally{Addr: "a", ConfigAhead: 33, Parts: []SuspectPart{{Customer: "c", Part: "p", Suspect: Suspect{CompletedAgoMS: -1, Quarantines: 2}}}}
	b, err := sent.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got := new(Tally)
	if err := msgpack.Unmarshal(b, got); err != nil || got.ConfigAhead != 33 || len(got.Parts) != 1 || got.Parts[0].Customer != "c" || got.Parts[0].Suspect.Quarantines != 2 || !got.HasChanges() {
		t.Errorf("read as %+v, %v", got, err)
	}
}
