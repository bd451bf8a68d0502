package slot

import (
	"testing"
	"time"

	"lycheepond/agent/call"
	"lycheepond/core/homes"
	"lycheepond/core/ident"
	"lycheepond/core/meter"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

const nextInc = 78

// moved returns the table in which all slots went from the bench's agent to
// the next one.
func moved(epoch int64) spec.Homes {
	t := table(epoch, startWall+time.Hour.Milliseconds())
	t.Owners[0] = spec.HomeOwner{Name: "n", Incarnation: nextInc}
	t.Left = []spec.HomeOwner{{Name: "a", Incarnation: selfInc}}
	for i := range t.Slots {
		t.Slots[i].From = 1
	}
	return t
}

// nextBench is the bench of the agent that takes the slots over.
func nextBench(t *testing.T) *bench {
	b := newBench(t, testBound)
	cfg := b.o.cfg
	cfg.Self, cfg.Stats = spec.HomeOwner{Name: "n", Incarnation: nextInc}, NewStats(meter.New())
	ctx := b.o.ctx
	b.o = New(cfg)
	b.o.ctx = ctx
	return b
}

// ran runs one keyed request to its end.
func (p *peer) ran(n uint64, key string, pieces ...string) {
	p.b.t.Helper()
	p.started(keyed(n, key, 1)).answer(pieces...)
	next[*wire.End](p)
}

// carry passes all parts from p to q and the answers back until the last one.
func carry(p, q *peer) (parts int) {
	for last := false; !last; parts++ {
		m := next[*wire.Handover](p)
		q.send(m)
		p.send(next[*wire.HandAck](q))
		last = m.Last
	}
	return parts
}

// An agent is restarted as planned. What callers ask its successor about the
// keys is answered as the agent itself would have: the same answer, the mistake
// of a key used twice, or that the answer is no longer kept.
func TestHandoverAnswersAsBefore(t *testing.T) {
	b, c := newBench(t, testBound), nextBench(t)
	p, q := b.link(entryInc), c.link(entryInc)
	p.learn(table(1, 0))
	p.ran(1, "kept", "fi", "led")
	p.ran(2, "gone", "x")
	b.o.keys["gone"].log.DropChunks()
	for n := range uint64(2 * wire.MaxRecords) {
		p.ran(100+n, "more"+ident.Make(1, n).String(), "y")
	}
	b.do(leave{})
	b.pump(func() bool { return b.o.tasks == 0 })
	b.after(tickEvery)
	if b.o.left() {
		t.Fatal("left while the table still names it")
	}
	p.tell(moved(2))
	if b.o.left() {
		t.Fatal("left as soon as it heard that its slots moved")
	}
	c.o.homes[pool] = homes.NewHolder(c.o.cfg.Self)
	q.learn(moved(2))
	q.send(keyed(500, "kept", 2))
	if r := next[*wire.Return](q); r.Reason != wire.ReasonNoLease {
		t.Fatalf("before the handover: %+v", r)
	}
	b.after(tickEvery)
	if b.o.left() {
		t.Fatal("left before its records were handed over")
	}
	if parts := carry(p, q); parts != 3 {
		t.Errorf("%d parts", parts)
	}
	b.pump(b.o.left)
	q.send(keyed(501, "kept", 2))
	if k := next[*wire.Known](q); k.State != wire.KeyJoined || k.First != offerOf(1).ID {
		t.Fatalf("known %+v", k)
	}
	if h := next[*wire.Head](q); h.Status != 200 {
		t.Fatalf("head %+v", h)
	}
	if ch := next[*wire.Chunk](q); string(ch.Data) != "filed" {
		t.Fatalf("chunk %+v", ch)
	}
	if e := next[*wire.End](q); !e.Whole || e.Bytes != 5 {
		t.Fatalf("end %+v", e)
	}
	other := keyed(502, "kept", 2)
	other.Digest++
	q.send(other)
	if k := next[*wire.Known](q); k.State != wire.KeyMismatch {
		t.Fatalf("known %+v", k)
	}
	q.send(keyed(503, "gone", 2))
	if k := next[*wire.Known](q); k.State != wire.KeyForgotAnswer {
		t.Fatalf("known %+v", k)
	}
	q.started(keyed(504, "never used", 2))
}

// The entry between two agents loses parts and repeats others. No record is
// missing in the end, and the successor acts only after the last part.
func TestHandoverPartsLostAndRepeated(t *testing.T) {
	b, c := newBench(t, testBound), nextBench(t)
	p, q := b.link(entryInc), c.link(entryInc)
	p.learn(table(1, 0))
	for n := range uint64(wire.MaxRecords + 1) {
		p.ran(n+1, ident.Make(1, n).String())
	}
	b.do(leave{})
	p.tell(moved(2))
	b.after(tickEvery)
	first := next[*wire.Handover](p)
	q.learn(table(1, 0))
	q.send(first)
	none[*wire.HandAck](q)
	q.learn(moved(2))
	b.after(handAgain)
	again := next[*wire.Handover](p)
	if again.Seq != 0 {
		t.Fatalf("part %d before part 0 was taken in", again.Seq)
	}
	q.send(again)
	q.send(first)
	ack := next[*wire.HandAck](q)
	next[*wire.HandAck](q)
	p.send(ack)
	p.send(ack)
	last := next[*wire.Handover](p)
	if !last.Last || len(last.Records) != 1 {
		t.Fatalf("part %d with %d records", last.Seq, len(last.Records))
	}
	skipped := *last
	skipped.Seq++
	q.send(&skipped)
	none[*wire.HandAck](q)
	q.send(keyed(900, "k", 2))
	if r := next[*wire.Return](q); r.Reason != wire.ReasonNoLease {
		t.Fatalf("acts before the last part: %+v", r)
	}
	q.send(last)
	p.send(next[*wire.HandAck](q))
	if len(c.o.keys) != wire.MaxRecords+1 {
		t.Fatalf("%d records", len(c.o.keys))
	}
	b.pump(b.o.left)
}

// A submission still runs when the planned stop begins. Its record must not be
// missing from what the successor gets, or the retry would run it again.
func TestHandoverWaitsForKeyedWork(t *testing.T) {
	b, c := newBench(t, testBound), nextBench(t)
	p, q := b.link(entryInc), c.link(entryInc)
	p.learn(table(1, 0))
	r := p.started(keyed(1, "k", 1))
	b.do(leave{})
	p.tell(moved(2))
	q.learn(moved(2))
	b.after(handWait + tickEvery)
	none[*wire.Handover](p)
	r.answer("filed")
	next[*wire.End](p)
	b.after(tickEvery)
	carry(p, q)
	q.send(keyed(2, "k", 2))
	if ch := next[*wire.Chunk](q); string(ch.Data) != "filed" {
		t.Fatalf("chunk %+v", ch)
	}
	c.idle()
}

// The successor never answers. The agent leaves all the same, and the
// successor serves only keys made after the lease, as if the agent had died.
func TestHandoverThatBreaksHalfWay(t *testing.T) {
	b, c := newBench(t, testBound), nextBench(t)
	p, q := b.link(entryInc), c.link(entryInc)
	p.learn(table(1, 0))
	for n := range uint64(wire.MaxRecords + 1) {
		p.ran(n+1, ident.Make(1, n).String())
	}
	b.do(leave{})
	p.tell(moved(2))
	q.learn(moved(2))
	b.after(tickEvery)
	q.send(next[*wire.Handover](p))
	b.after(handWait)
	b.pump(b.o.left)
	c.after(homes.Margin(testLease))
	q.confirm(2, 0)
	q.send(keyed(900, "k", 2))
	if k := next[*wire.Known](q); k.State != wire.KeyUnknown {
		t.Fatalf("known %+v", k)
	}
}

// The endpoint broke off in the middle of a submission's answer. The retry at
// the successor hears just that, and not that the answer is whole.
func TestHandoverOfBrokenAnswer(t *testing.T) {
	b, c := newBench(t, testBound), nextBench(t)
	p, q := b.link(entryInc), c.link(entryInc)
	p.learn(table(1, 0))
	r := p.started(keyed(1, "k", 1))
	r.sink.Head(200, nil)
	r.end <- call.Result{Sent: true, Err: errLease}
	before := next[*wire.End](p)
	b.do(leave{})
	p.tell(moved(2))
	q.learn(moved(2))
	b.after(tickEvery)
	carry(p, q)
	q.send(keyed(2, "k", 2))
	if e := next[*wire.End](q); e.Whole || e.Reason != before.Reason {
		t.Fatalf("end %+v, before %+v", e, before)
	}
}

// The successor has no room for more records. Were the part taken in, it would
// forget records of its own, and its keys would become unknown.
func TestHandoverBeyondTheBoundIsRefused(t *testing.T) {
	c := nextBench(t)
	q := c.link(entryInc)
	q.learn(moved(2))
	for n := range uint64(maxKeys) {
		id := ident.Make(1, n)
		c.o.keys[id.String()] = &keyRec{first: id}
	}
	q.send(&wire.Handover{
		Pool: pool, From: wire.Party{Name: "a", Incarnation: selfInc}, To: party(c.o.cfg.Self), Took: 2,
		Records: wire.KeyRecords{{Key: []byte("k")}}, Last: true, Shares: wire.Shares{{}, {Slot: 1}, {Slot: 2}, {Slot: 3}},
	})
	none[*wire.HandAck](q)
	if len(c.o.keys) != maxKeys || c.o.homes[pool].Since([]byte("k")) == 0 {
		t.Errorf("%d records", len(c.o.keys))
	}
}

// The agent that leaves has forgotten records for want of room. Its successor
// must not run such keys, though it was told of all records that there are.
func TestHandoverTellsOfForgottenRecords(t *testing.T) {
	b, c := newBench(t, testBound), nextBench(t)
	p, q := b.link(entryInc), c.link(entryInc)
	p.learn(table(1, 0))
	b.o.keyFloor = startWall + 500
	b.do(leave{})
	p.tell(moved(2))
	q.learn(moved(2))
	b.after(tickEvery)
	carry(p, q)
	m := keyed(1, "forgotten", 2)
	m.KeyMade = startWall + 400
	q.send(m)
	if k := next[*wire.Known](q); k.State != wire.KeyUnknown {
		t.Fatalf("known %+v", k)
	}
}
