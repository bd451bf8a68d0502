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
	// object is the object that the platform holds; version zero means none.
	object plat.Object
	// writeDelay is how long each write takes. loseReply drops the reply to the
	// next one.
	writeDelay time.Duration
	loseReply  bool
	// rivalWrites is how many writes another entry makes just before ours, and
	// writes counts ours. If staleObject is set, reads return it, as from a lagging
	// replica.
	rivalWrites int
	writes      int
	staleObject *plat.Object
	members     agents.Members
	roster      plat.Roster
	keeper      *Keeper
}

func newFixture(t *testing.T) *fixture {
	w := &fixture{t: t, store: store.New()}
	w.keeper = New(Config{
		Record: record.Config{
			Put: w.put, Get: w.get,
			Raw: w.store.Raw, Accept: func(e plat.Event) { w.store.Accept(e) }, Now: func() time.Duration { return w.now },
		},
		Pools:   func() []string { return []string{pool} },
		Members: func(string) *agents.Members { return &w.members },
		Peer:    w.peer, RequestLink: func(string) {}, Roster: func() plat.Roster { return w.roster },
		Now: func() time.Duration { return w.now }, Wall: func() int64 { return w.now.Milliseconds() + 1 },
		Random: func() float64 { return 0.5 }, Log: zap.NewNop(),
	})
	return w
}

func (w *fixture) put(_ context.Context, kind, name string, data []byte, ifVersion int64) (plat.Object, error) {
	w.now += w.writeDelay
	w.writes++
	if w.rivalWrites > 0 {
		w.rivalWrites--
		w.object.Version++
	}
	if ifVersion != w.object.Version {
		return plat.Object{}, plat.NewConflict(kind, name, w.object.Version)
	}
	w.object = plat.Object{Kind: kind, Name: name, Version: w.object.Version + 1, Data: data}
	if w.loseReply {
		w.loseReply = false
		return plat.Object{}, context.DeadlineExceeded
	}
	return w.object, nil
}

func (w *fixture) get(context.Context, string, string) (plat.Object, error) {
	if w.staleObject != nil {
		return *w.staleObject, nil
	}
	return w.object, nil
}

func (w *fixture) peer(name string) (*agents.Peer, bool) {
	for _, p := range w.members.Peers {
		if p.Name() == name {
			return p, true
		}
	}
	return nil, false
}

// agent adds an agent to the pool. With incarnation zero it has no link.
func (w *fixture) agent(name string, incarnation uint64) *agents.Peer {
	inst := plat.Instance{Name: name, Role: plat.RoleEndpoint, State: plat.StateLive}
	w.roster.Instances = append(w.roster.Instances, inst)
	p := agents.NewPeer(&inst)
	w.members.Peers = append(w.members.Peers, p)
	if incarnation != 0 {
		w.connect(p, incarnation)
	}
	return p
}

func (w *fixture) connect(p *agents.Peer, incarnation uint64) {
	near, far := net.Pipe()
	w.t.Cleanup(func() { near.Close(); far.Close() })
	p.Connect(wire.New(near, wire.Hello{Name: p.Name(), Incarnation: incarnation}, wire.Config{}), new(wire.Beat))
}

// check advances the clock by d and does what the keeper does at each tick.
func (w *fixture) check(d time.Duration) {
	w.now += d
	b := w.keeper.tableOf(pool)
	w.keeper.readTable(pool, b)
	w.keeper.sendTable(pool, b)
	w.keeper.updateTable(context.Background(), pool, b)
}

func (w *fixture) table() spec.Homes {
	w.t.Helper()
	var t spec.Homes
	if err := json.Unmarshal(w.object.Data, &t); err != nil {
		w.t.Fatal(err)
	}
	return t
}

func (w *fixture) ack() wire.LeaseAck {
	ack := wire.LeaseAck{Pool: pool}
	w.keeper.FillAck(&ack)
	return ack
}

// An entry starts shortly before the agents of a pool. If it wrote a table at once,
// the first of them would get every key for good.
func TestFirstTableWaitsForAgents(t *testing.T) {
	w := newFixture(t)
	w.agent("a", 1)
	b := w.agent("b", 0)
	w.check(0)
	if w.object.Version != 0 {
		t.Fatal("a table was written before all agents were linked")
	}
	w.connect(b, 1)
	w.check(checkInterval)
	if got := w.table(); len(got.Owners) != 2 || got.Epoch != 1 {
		t.Errorf("owners %v, epoch %d", got.Owners, got.Epoch)
	}
}

// An agent is killed and restarted, and its records are lost. Its keys must not be
// treated as new, so its slots change owners under a new epoch.
func TestRestartedOwnerLosesItsSlots(t *testing.T) {
	w := newFixture(t)
	a := w.agent("a", 1)
	w.agent("b", 1)
	w.check(0)
	a.Disconnect(w.now)
	w.check(checkInterval)
	if e := w.table().Epoch; e != 1 {
		t.Fatalf("epoch %d while the owner may come back", e)
	}
	w.connect(a, 2)
	w.check(checkInterval)
	got := w.table()
	if got.Epoch != 2 {
		t.Fatalf("epoch %d", got.Epoch)
	}
	for i, s := range got.Slots {
		if o := got.Owners[s.Owner]; s.Took == 2 && s.Since == 0 || o.Name == "a" && o.Incarnation == 1 {
			t.Fatalf("slot %d belongs to %v, since %d", i, o, s.Since)
		}
	}
}

// The instance list may still call an agent live after it has gone, and this entry
// alone may have lost the link to it. The agent must keep its slots for a while,
// otherwise each broken link would cost callers the records of their keys.
func TestUnlinkedOwnerKeepsItsSlots(t *testing.T) {
	w := newFixture(t)
	a := w.agent("a", 1)
	w.agent("b", 1)
	w.check(0)
	a.Disconnect(w.now)
	w.check(checkInterval)
	w.check(lostTimeout - checkInterval)
	if e := w.table().Epoch; e != 1 {
		t.Fatalf("epoch %d before lostTimeout", e)
	}
	w.check(checkInterval)
	if e := w.table().Epoch; e != 2 {
		t.Errorf("epoch %d after lostTimeout", e)
	}
}

// The platform is slow, and the write that confirms the epoch takes seconds. The
// epoch was certainly current only when the write began. If an agent counted from
// its end, it would act for keys that have another home by then.
func TestConfirmationCountsFromStartOfWrite(t *testing.T) {
	w := newFixture(t)
	w.agent("a", 1)
	w.writeDelay = 2 * time.Second
	w.check(0)
	if ack := w.ack(); !ack.Fresh || ack.Epoch != 1 || ack.AgeMS != 2000 {
		t.Errorf("ack %+v", ack)
	}
}

// Another entry has changed the table and writes first at every attempt of this
// one. A failed confirmation must not count, however often it is tried. Once the
// other entry has stopped, the new epoch counts.
func TestConflictConfirmsNothing(t *testing.T) {
	w := newFixture(t)
	w.agent("a", 1)
	w.check(0)
	other := w.table()
	other.Epoch = 7
	data, _ := json.Marshal(other)
	w.object.Version++
	w.object.Data = data
	w.rivalWrites = maxWriteAttempts
	w.check(2 * DefaultConfirmInterval)
	if ack := w.ack(); ack.Epoch != 1 || ack.AgeMS != uint32(2*DefaultConfirmInterval/time.Millisecond) {
		t.Errorf("ack %+v after a conflict", ack)
	}
	w.check(2 * DefaultConfirmInterval)
	if ack := w.ack(); ack.Epoch != 7 || ack.AgeMS != 0 {
		t.Errorf("ack %+v after reading the newer table", ack)
	}
}

// Dozens of entries confirm the same table, so it has nearly always changed since
// this entry read it. If each of them paused first and then wrote what it knew,
// most confirmations would fail, the agents' leases would expire and requests with
// a key would be refused.
func TestWriteIsRetriedAtOnceAfterAConflict(t *testing.T) {
	w := newFixture(t)
	w.agent("a", 1)
	w.check(0)
	w.rivalWrites = 1
	w.check(2 * DefaultConfirmInterval)
	if ack := w.ack(); ack.Epoch != 1 || ack.AgeMS != 0 {
		t.Errorf("ack %+v although the second attempt had no conflict", ack)
	}
}

// The replica that an entry reads after a conflict lags behind. An immediate second
// write would fail again, and hundreds of entries would repeat it as fast as they
// can.
func TestWriteIsNotRetriedAtOnceAfterAStaleRead(t *testing.T) {
	w := newFixture(t)
	w.agent("a", 1)
	w.check(0)
	old := w.object
	w.staleObject, w.rivalWrites, w.writes = &old, 1, 0
	w.check(2 * DefaultConfirmInterval)
	if w.writes != 1 {
		t.Errorf("%d writes, want 1", w.writes)
	}
	w.check(checkInterval / 2)
	if w.writes != 1 {
		t.Errorf("%d writes within the pause", w.writes)
	}
}

// The whole fleet restarts, and hundreds of entries write the same table. If each
// continued at the same rate, the platform would refuse far more writes than it
// accepts, among them those of operators.
func TestPauseGrowsWithRepeatedConflicts(t *testing.T) {
	w := newFixture(t)
	w.agent("a", 1)
	w.check(0)
	w.rivalWrites = 1 << 20
	w.check(2 * DefaultConfirmInterval)
	b := w.keeper.tableOf(pool)
	for want := 2 * conflictPause; want <= conflictPause<<maxPauseDoublings; want *= 2 {
		w.check(b.confirmAt - w.now)
		if got := b.confirmAt - w.now; got != want {
			t.Errorf("pause %v, want %v", got, want)
		}
	}
	w.check(b.confirmAt - w.now)
	if got := b.confirmAt - w.now; got != conflictPause<<maxPauseDoublings {
		t.Errorf("the pause grows beyond its limit to %v", got)
	}
	w.rivalWrites = 0
	w.check(b.confirmAt - w.now)
	if ack := w.ack(); !ack.Fresh || ack.AgeMS != 0 || b.conflicts != 0 {
		t.Errorf("ack %+v, %d failed after a good write", ack, b.conflicts)
	}
}

// The reply to a confirming write is lost after the write took effect. The entry
// can't know that, so it must not count the write and must confirm again.
func TestLostReplyConfirmsNothing(t *testing.T) {
	w := newFixture(t)
	w.agent("a", 1)
	w.loseReply = true
	w.check(0)
	if w.ack().Fresh {
		t.Fatal("a write without a reply counted")
	}
	w.check(time.Second)
	if ack := w.ack(); !ack.Fresh || ack.AgeMS != 0 {
		t.Errorf("ack %+v", ack)
	}
}

// Requests with a key are sent only to the incarnation that the table names. A
// restarted agent has no records and would run a request a second time.
func TestHomeMustBeTheNamedIncarnation(t *testing.T) {
	w := newFixture(t)
	a := w.agent("a", 1)
	w.check(0)
	if h, err := w.keeper.Home(pool, []byte("key")); err != nil || h.Peer != a || h.Epoch != 1 {
		t.Fatalf("home %+v, %v", h, err)
	}
	a.Disconnect(w.now)
	w.connect(a, 2)
	if _, err := w.keeper.Home(pool, []byte("key")); err == nil {
		t.Error("Home returned an incarnation without the key's records")
	}
}
