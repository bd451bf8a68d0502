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

// world is a platform and agents around a Keeper, with a clock of its own.
type world struct {
	t     *testing.T
	now   time.Duration
	store *store.Store
	// object is what the platform holds; version zero is none.
	object plat.Object
	// slow passes during each write; lose drops the reply to the next one.
	slow time.Duration
	lose bool
	// rivals is how many writes another entry gets in before ours, and puts
	// counts ours. past is what a lagging replica answers, if set.
	rivals  int
	puts    int
	past    *plat.Object
	members agents.Members
	roster  plat.Roster
	k       *Keeper
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, store: store.New()}
	w.k = New(Config{
		Record: record.Config{
			Put: w.put, Get: w.get,
			Raw: w.store.Raw, Accept: func(e plat.Event) { w.store.Accept(e) }, Now: func() time.Duration { return w.now },
		},
		Pools:   func() []string { return []string{pool} },
		Members: func(string) *agents.Members { return &w.members },
		Peer:    w.peer, Want: func(string) {}, Roster: func() plat.Roster { return w.roster },
		Now: func() time.Duration { return w.now }, Wall: func() int64 { return w.now.Milliseconds() + 1 },
		Random: func() float64 { return 0.5 }, Log: zap.NewNop(),
	})
	return w
}

func (w *world) put(_ context.Context, kind, name string, data []byte, ifVersion int64) (plat.Object, error) {
	w.now += w.slow
	w.puts++
	if w.rivals > 0 {
		w.rivals--
		w.object.Version++
	}
	if ifVersion != w.object.Version {
		return plat.Object{}, plat.NewConflict(kind, name, w.object.Version)
	}
	w.object = plat.Object{Kind: kind, Name: name, Version: w.object.Version + 1, Data: data}
	if w.lose {
		w.lose = false
		return plat.Object{}, context.DeadlineExceeded
	}
	return w.object, nil
}

func (w *world) get(context.Context, string, string) (plat.Object, error) {
	if w.past != nil {
		return *w.past, nil
	}
	return w.object, nil
}

func (w *world) peer(name string) (*agents.Peer, bool) {
	for _, p := range w.members.Peers {
		if p.Name() == name {
			return p, true
		}
	}
	return nil, false
}

// agent adds an agent of the pool; incarnation zero leaves it without a link.
func (w *world) agent(name string, incarnation uint64) *agents.Peer {
	inst := plat.Instance{Name: name, Role: plat.RoleEndpoint, State: plat.StateLive}
	w.roster.Instances = append(w.roster.Instances, inst)
	p := agents.NewPeer(&inst)
	w.members.Peers = append(w.members.Peers, p)
	if incarnation != 0 {
		w.connect(p, incarnation)
	}
	return p
}

func (w *world) connect(p *agents.Peer, incarnation uint64) {
	near, far := net.Pipe()
	w.t.Cleanup(func() { near.Close(); far.Close() })
	p.Connect(wire.New(near, wire.Hello{Name: p.Name(), Incarnation: incarnation}, wire.Config{}), new(wire.Heartbeat))
}

// look does what the keeper does at each tick, after d.
func (w *world) look(d time.Duration) {
	w.now += d
	b := w.k.book(pool)
	w.k.read(pool, b)
	w.k.tell(pool, b)
	w.k.step(context.Background(), pool, b)
}

func (w *world) table() spec.Homes {
	w.t.Helper()
	var t spec.Homes
	if err := json.Unmarshal(w.object.Data, &t); err != nil {
		w.t.Fatal(err)
	}
	return t
}

func (w *world) ack() wire.LeaseReply {
	ack := wire.LeaseReply{Pool: pool}
	w.k.Ack(&ack)
	return ack
}

// An entry starts a moment before the agents of a pool. A table that it made
// at once would give every key to the first of them for good.
func TestFirstTableWaitsForAgents(t *testing.T) {
	w := newWorld(t)
	w.agent("a", 1)
	b := w.agent("b", 0)
	w.look(0)
	if w.object.Version != 0 {
		t.Fatal("a table was made before all agents were linked")
	}
	w.connect(b, 1)
	w.look(lookEvery)
	if got := w.table(); len(got.Owners) != 2 || got.Epoch != 1 {
		t.Errorf("owners %v, epoch %d", got.Owners, got.Epoch)
	}
}

// An agent is killed and started again; its records are gone. Its keys must
// not be taken for new, so its slots change hands under a new epoch.
func TestRestartedOwnerLosesItsSlots(t *testing.T) {
	w := newWorld(t)
	a := w.agent("a", 1)
	w.agent("b", 1)
	w.look(0)
	a.Disconnect(w.now)
	w.look(lookEvery)
	if e := w.table().Epoch; e != 1 {
		t.Fatalf("epoch %d while the owner may come back", e)
	}
	w.connect(a, 2)
	w.look(lookEvery)
	got := w.table()
	if got.Epoch != 2 {
		t.Fatalf("epoch %d", got.Epoch)
	}
	for i, s := range got.Slots {
		if o := got.Owners[s.Owner]; s.OwnedSinceEpoch == 2 && s.LostBefore == 0 || o.Name == "a" && o.Incarnation == 1 {
			t.Fatalf("slot %d is with %v, since %d", i, o, s.LostBefore)
		}
	}
}

// The instance list calls an agent live for as long as it lags, and this
// entry alone may have lost the link to it. Its slots stay where they are for
// a while, else each broken link would cost callers the records of their keys.
func TestUnlinkedOwnerKeepsItsSlots(t *testing.T) {
	w := newWorld(t)
	a := w.agent("a", 1)
	w.agent("b", 1)
	w.look(0)
	a.Disconnect(w.now)
	w.look(lookEvery)
	w.look(lostAfter - lookEvery)
	if e := w.table().Epoch; e != 1 {
		t.Fatalf("epoch %d before the owner is given up", e)
	}
	w.look(lookEvery)
	if e := w.table().Epoch; e != 2 {
		t.Errorf("epoch %d after the owner is given up", e)
	}
}

// The platform is slow: the write that confirms the epoch takes seconds. The
// epoch was certainly current only when the write began; an agent that counted
// from its end would act for keys that have another home by then.
func TestConfirmationCountsFromTheBeginning(t *testing.T) {
	w := newWorld(t)
	w.agent("a", 1)
	w.slow = 2 * time.Second
	w.look(0)
	if ack := w.ack(); !ack.Confirmed || ack.Epoch != 1 || ack.AgeMS != 2000 {
		t.Errorf("ack %+v", ack)
	}
}

// Another entry has changed the table and is faster at every try of this one.
// A confirmation that fails must not count, however often it is tried; once the
// other is done the new epoch counts.
func TestConflictConfirmsNothing(t *testing.T) {
	w := newWorld(t)
	w.agent("a", 1)
	w.look(0)
	other := w.table()
	other.Epoch = 7
	data, _ := json.Marshal(other)
	w.object.Version++
	w.object.Data = data
	w.rivals = maxTries
	w.look(2 * DefaultTouch)
	if ack := w.ack(); ack.Epoch != 1 || ack.AgeMS != uint32(2*DefaultTouch/time.Millisecond) {
		t.Errorf("ack %+v after a conflict", ack)
	}
	w.look(2 * DefaultTouch)
	if ack := w.ack(); ack.Epoch != 7 || ack.AgeMS != 0 {
		t.Errorf("ack %+v after reading the newer table", ack)
	}
}

// Dozens of entries confirm the same table, so it has nearly always changed
// since this one heard of it. If each of them paused first and then wrote what
// it knew, most confirmations would fail, the agents' leases run out and keyed
// calls be refused.
func TestFasterEntryIsFollowedAtOnce(t *testing.T) {
	w := newWorld(t)
	w.agent("a", 1)
	w.look(0)
	w.rivals = 1
	w.look(2 * DefaultTouch)
	if ack := w.ack(); ack.Epoch != 1 || ack.AgeMS != 0 {
		t.Errorf("ack %+v although the second try had no rival", ack)
	}
}

// The replica that an entry reads after a conflict lags. To write again at once
// would fail again, and hundreds of entries would do so as fast as they can.
func TestStaleReadIsNotTriedAgainAtOnce(t *testing.T) {
	w := newWorld(t)
	w.agent("a", 1)
	w.look(0)
	old := w.object
	w.past, w.rivals, w.puts = &old, 1, 0
	w.look(2 * DefaultTouch)
	if w.puts != 1 {
		t.Errorf("%d writes", w.puts)
	}
	w.look(lookEvery / 2)
	if w.puts != 1 {
		t.Errorf("%d writes within the pause", w.puts)
	}
}

// Everything restarts at once, and hundreds of entries write the same table. If
// each went on at the same pace, the platform would refuse far more writes than
// it takes, those of operators among them.
func TestPauseGrowsWhileOthersAreFaster(t *testing.T) {
	w := newWorld(t)
	w.agent("a", 1)
	w.look(0)
	w.rivals = 1 << 20
	w.look(2 * DefaultTouch)
	b := w.k.book(pool)
	for want := 2 * conflictPause; want <= conflictPause<<maxDoubled; want *= 2 {
		w.look(b.next - w.now)
		if got := b.next - w.now; got != want {
			t.Errorf("pause %v, want %v", got, want)
		}
	}
	w.look(b.next - w.now)
	if got := b.next - w.now; got != conflictPause<<maxDoubled {
		t.Errorf("the pause grows on to %v", got)
	}
	w.rivals = 0
	w.look(b.next - w.now)
	if ack := w.ack(); !ack.Confirmed || ack.AgeMS != 0 || b.failed != 0 {
		t.Errorf("ack %+v, %d failed after a good write", ack, b.failed)
	}
}

// The reply to a confirming write is lost after the write took effect. The
// entry can't know, so it counts nothing and confirms again.
func TestLostReplyConfirmsNothing(t *testing.T) {
	w := newWorld(t)
	w.agent("a", 1)
	w.lose = true
	w.look(0)
	if w.ack().Confirmed {
		t.Fatal("a write without a reply counted")
	}
	w.look(time.Second)
	if ack := w.ack(); !ack.Confirmed || ack.AgeMS != 0 {
		t.Errorf("ack %+v", ack)
	}
}

// Keys go only to the incarnation that the table names: a restarted agent has
// no records and would run a key a second time.
func TestHomeIsTheIncarnation(t *testing.T) {
	w := newWorld(t)
	a := w.agent("a", 1)
	w.look(0)
	if h, err := w.k.Home(pool, []byte("key")); err != nil || h.Peer != a || h.Epoch != 1 {
		t.Fatalf("home %+v, %v", h, err)
	}
	a.Disconnect(w.now)
	w.connect(a, 2)
	if _, err := w.k.Home(pool, []byte("key")); err == nil {
		t.Error("a key was sent to an incarnation without its records")
	}
}
