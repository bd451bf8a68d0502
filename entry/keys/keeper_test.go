package keys

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

const pool = "docket"

// fixture is a Keeper with a simulated platform, agents and clock.
type fixture struct {
	t     *testing.T
	now   time.Duration
	store *store.Store
	// object is the object at the platform; version zero means that there is none.
	object plat.Object
	// writeDelay is how long each write takes. loseReply drops the reply to the
	// next one.
	writeDelay time.Duration
	loseReply  bool
	// rivalWrites is the number of next writes of this entry before each of which
	// another entry writes. writes counts the writes of this entry. If staleObject
	// is set, reads return it, as from a lagging replica.
	rivalWrites int
	writes      int
	staleObject *plat.Object
	members     agents.Members
	roster      plat.Roster
	keeper      *Keeper
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, store: store.New()}
	f.keeper = New(Config{
		Record: record.Config{
			Put: f.put, Get: f.get,
			Raw: f.store.Raw, Accept: func(e plat.Event) { f.store.Accept(e) }, Now: func() time.Duration { return f.now },
		},
		Pools:   func() []string { return []string{pool} },
		Members: func(string) *agents.Members { return &f.members },
		Peer:    f.peer, RequestLink: func(string) {}, Roster: func() plat.Roster { return f.roster },
		Now: func() time.Duration { return f.now }, Wall: func() int64 { return f.now.Milliseconds() + 1 },
		Random: func() float64 { return 0.5 }, Log: zap.NewNop(),
	})
	return f
}

func (f *fixture) put(_ context.Context, kind, name string, data []byte, ifVersion int64) (plat.Object, error) {
	f.now += f.writeDelay
	f.writes++
	if f.rivalWrites > 0 {
		f.rivalWrites--
		f.object.Version++
	}
	if ifVersion != f.object.Version {
		return plat.Object{}, plat.NewConflict(kind, name, f.object.Version)
	}
	f.object = plat.Object{Kind: kind, Name: name, Version: f.object.Version + 1, Data: data}
	if f.loseReply {
		f.loseReply = false
		return plat.Object{}, context.DeadlineExceeded
	}
	return f.object, nil
}

func (f *fixture) get(context.Context, string, string) (plat.Object, error) {
	if f.staleObject != nil {
		return *f.staleObject, nil
	}
	return f.object, nil
}

func (f *fixture) peer(name string) (*agents.Peer, bool) {
	for _, p := range f.members.Peers {
		if p.Name() == name {
			return p, true
		}
	}
	return nil, false
}

// agent adds an agent to the pool. With incarnation zero it has no link.
func (f *fixture) agent(name string, incarnation uint64) *agents.Peer {
	inst := plat.Instance{Name: name, Role: plat.RoleEndpoint, State: plat.StateLive}
	f.roster.Instances = append(f.roster.Instances, inst)
	p := agents.NewPeer(&inst)
	f.members.Peers = append(f.members.Peers, p)
	if incarnation != 0 {
		f.connect(p, incarnation)
	}
	return p
}

func (f *fixture) connect(p *agents.Peer, incarnation uint64) {
	near, far := net.Pipe()
	f.t.Cleanup(func() { near.Close(); far.Close() })
	p.Connect(wire.New(near, wire.Hello{Name: p.Name(), Incarnation: incarnation}, wire.Config{}), new(wire.Heartbeat))
}

// check advances the clock by d and does what the keeper does at each check.
func (f *fixture) check(d time.Duration) {
	f.now += d
	pt := f.keeper.tableOf(pool)
	f.keeper.readTable(pool, pt)
	f.keeper.sendTable(pool, pt)
	f.keeper.updateTable(context.Background(), pool, pt)
}

func (f *fixture) table() spec.Homes {
	f.t.Helper()
	var t spec.Homes
	if err := json.Unmarshal(f.object.Data, &t); err != nil {
		f.t.Fatal(err)
	}
	return t
}

// leaseReply returns the keeper's reply to a lease request of an agent.
func (f *fixture) leaseReply() wire.LeaseReply {
	reply := wire.LeaseReply{Pool: pool}
	f.keeper.FillLeaseReply(&reply)
	return reply
}

// An entry starts shortly before the agents of a pool. If it wrote a table at once,
// the first of them would get every key for good.
func TestFirstTableWaitsForAgents(t *testing.T) {
	f := newFixture(t)
	f.agent("a", 1)
	b := f.agent("b", 0)
	f.check(0)
	if f.object.Version != 0 {
		t.Fatal("a table was written before all agents were linked")
	}
	f.connect(b, 1)
	f.check(checkInterval)
	if got := f.table(); len(got.Owners) != 2 || got.Epoch != 1 {
		t.Errorf("owners %v, epoch %d", got.Owners, got.Epoch)
	}
}

// An agent is killed and restarted, and its records are lost. Its keys must not be
// treated as new, so its slots change owners under a new epoch.
func TestRestartedOwnerLosesItsSlots(t *testing.T) {
	f := newFixture(t)
	a := f.agent("a", 1)
	f.agent("b", 1)
	f.check(0)
	a.Disconnect(f.now)
	f.check(checkInterval)
	if e := f.table().Epoch; e != 1 {
		t.Fatalf("epoch %d while the owner may come back", e)
	}
	f.connect(a, 2)
	f.check(checkInterval)
	got := f.table()
	if got.Epoch != 2 {
		t.Fatalf("epoch %d", got.Epoch)
	}
	for i, s := range got.Slots {
		if o := got.Owners[s.Owner]; s.OwnedSinceEpoch == 2 && s.LostBefore == 0 || o.Name == "a" && o.Incarnation == 1 {
			t.Fatalf("slot %d belongs to %v, since %d", i, o, s.LostBefore)
		}
	}
}

// An entry loses the link to an agent that the instance list calls live. Perhaps
// only this link broke, or perhaps the agent has stopped and the list is out of
// date. The agent must keep its slots for a while, otherwise each broken link would
// cost callers the records of their keys.
func TestUnlinkedOwnerKeepsItsSlots(t *testing.T) {
	f := newFixture(t)
	a := f.agent("a", 1)
	f.agent("b", 1)
	f.check(0)
	a.Disconnect(f.now)
	f.check(checkInterval)
	f.check(liveTimeout - checkInterval)
	if e := f.table().Epoch; e != 1 {
		t.Fatalf("epoch %d before lostTimeout", e)
	}
	f.check(checkInterval)
	if e := f.table().Epoch; e != 2 {
		t.Errorf("epoch %d after lostTimeout", e)
	}
}

// The platform is slow, and the write that confirms the epoch takes seconds. Only at
// the beginning of the write is the epoch certain to have been current. If an agent
// counted its lease from the end of the write, it would act for keys that have
// another home by then.
func TestConfirmationCountsFromStartOfWrite(t *testing.T) {
	f := newFixture(t)
	f.agent("a", 1)
	f.writeDelay = 2 * time.Second
	f.check(0)
	if reply := f.leaseReply(); !reply.Confirmed || reply.Epoch != 1 || reply.AgeMS != 2000 {
		t.Errorf("reply %+v", reply)
	}
}

// Another entry has changed the table and writes first at every attempt of this
// one. A failed confirmation must not count, however often it is attempted. Once the
// other entry has stopped writing, the new epoch must count.
func TestConflictConfirmsNothing(t *testing.T) {
	f := newFixture(t)
	f.agent("a", 1)
	f.check(0)
	other := f.table()
	other.Epoch = 7
	data, _ := json.Marshal(other)
	f.object.Version++
	f.object.Data = data
	f.rivalWrites = maxWriteAttempts
	f.check(2 * DefaultConfirmInterval)
	if reply := f.leaseReply(); reply.Epoch != 1 || reply.AgeMS != uint32(2*DefaultConfirmInterval/time.Millisecond) {
		t.Errorf("reply %+v after a conflict", reply)
	}
	f.check(2 * DefaultConfirmInterval)
	if reply := f.leaseReply(); reply.Epoch != 7 || reply.AgeMS != 0 {
		t.Errorf("reply %+v after reading the newer table", reply)
	}
}

// Dozens of entries confirm the same table, so it has nearly always changed since
// this entry read it. If each of them paused first and then wrote what it knew,
// most confirmations would fail, the agents' leases would expire and requests with
// a key would be refused.
func TestWriteIsRetriedAtOnceAfterAConflict(t *testing.T) {
	f := newFixture(t)
	f.agent("a", 1)
	f.check(0)
	f.rivalWrites = 1
	f.check(2 * DefaultConfirmInterval)
	if reply := f.leaseReply(); reply.Epoch != 1 || reply.AgeMS != 0 {
		t.Errorf("reply %+v although the second attempt had no conflict", reply)
	}
}

// The replica that an entry reads after a conflict lags behind. An immediate second
// write would fail again, and hundreds of entries would repeat it as fast as they
// can.
func TestWriteIsNotRetriedAtOnceAfterAStaleRead(t *testing.T) {
	f := newFixture(t)
	f.agent("a", 1)
	f.check(0)
	old := f.object
	f.staleObject, f.rivalWrites, f.writes = &old, 1, 0
	f.check(2 * DefaultConfirmInterval)
	if f.writes != 1 {
		t.Errorf("%d writes, want 1", f.writes)
	}
	f.check(checkInterval / 2)
	if f.writes != 1 {
		t.Errorf("%d writes within the pause", f.writes)
	}
}

// The whole fleet restarts, and hundreds of entries write the same table. If each
// continued at the same rate, the platform would refuse far more writes than it
// accepts, among them those of operators.
func TestPauseGrowsWithRepeatedConflicts(t *testing.T) {
	f := newFixture(t)
	f.agent("a", 1)
	f.check(0)
	f.rivalWrites = 1 << 20
	f.check(2 * DefaultConfirmInterval)
	pt := f.keeper.tableOf(pool)
	for want := 2 * conflictPause; want <= conflictPause<<maxPauseDoublings; want *= 2 {
		f.check(pt.confirmAt - f.now)
		if got := pt.confirmAt - f.now; got != want {
			t.Errorf("pause %v, want %v", got, want)
		}
	}
	f.check(pt.confirmAt - f.now)
	if got := pt.confirmAt - f.now; got != conflictPause<<maxPauseDoublings {
		t.Errorf("the pause grows beyond its limit to %v", got)
	}
	f.rivalWrites = 0
	f.check(pt.confirmAt - f.now)
	if reply := f.leaseReply(); !reply.Confirmed || reply.AgeMS != 0 || pt.conflicts != 0 {
		t.Errorf("reply %+v, %d conflicts after a successful write", reply, pt.conflicts)
	}
}

// The reply to a confirming write is lost after the write took effect. The entry
// can't know that it did, so it must not count the write and must confirm again.
func TestLostReplyConfirmsNothing(t *testing.T) {
	f := newFixture(t)
	f.agent("a", 1)
	f.loseReply = true
	f.check(0)
	if f.leaseReply().Confirmed {
		t.Fatal("a write without a reply counted")
	}
	f.check(time.Second)
	if reply := f.leaseReply(); !reply.Confirmed || reply.AgeMS != 0 {
		t.Errorf("reply %+v", reply)
	}
}

// Requests with a key are sent only to the incarnation that the table names. A
// restarted agent has no records and would run a request a second time.
func TestHomeMustBeTheNamedIncarnation(t *testing.T) {
	f := newFixture(t)
	a := f.agent("a", 1)
	f.check(0)
	if h, err := f.keeper.Home(pool, []byte("key")); err != nil || h.Peer != a || h.Epoch != 1 {
		t.Fatalf("home %+v, %v", h, err)
	}
	a.Disconnect(f.now)
	f.connect(a, 2)
	if _, err := f.keeper.Home(pool, []byte("key")); err == nil {
		t.Error("Home returned an incarnation without the key's records")
	}
}
