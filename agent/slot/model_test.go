package slot

import (
	"math/rand"
	"testing"
	"time"

	"lycheepond/agent/call"
	"lycheepond/agent/engine"
	"lycheepond/core/ident"
	"lycheepond/core/wire"
)

const (
	histories = 300
	steps     = 250
	modelIDs  = 6
)

// model checks an owner against what must always hold while frames come in
// any order, twice and late.
type model struct {
	b     *bench
	r     *rand.Rand
	peers []*peer
	// ran counts how often the endpoint was asked to run an ID.
	ran  map[ident.ID]int
	open []*fakeRun
}

// Two entries lose their links, are paused and dial again, frames are repeated
// and overtake each other, runs end in every way and the endpoint goes away.
// Whatever comes together: no request may run twice, and none that an entry
// was told was not run may run.
func TestRandomHistories(t *testing.T) {
	for seed := range int64(histories) {
		b := newBench(t, testBound)
		m := &model{b: b, r: rand.New(rand.NewSource(seed)), ran: map[ident.ID]int{}}
		m.peers = []*peer{b.link(entryInc), b.link(entryInc + 1)}
		m.peers[0].learn(table(1, 0))
		for range steps {
			m.step()
			m.check(seed)
		}
	}
}

func (m *model) step() {
	b := m.b
	p := m.peers[m.r.Intn(len(m.peers))]
	id := uint64(m.r.Intn(modelIDs))
	o := m.offer(p, id)
	switch m.r.Intn(16) {
	case 0, 1, 2:
		p.send(o)
	case 3, 4, 5, 6:
		p.send(&wire.Grant{ID: o.ID, Method: "POST", Path: "/"})
	case 7:
		p.send(&wire.Deny{ID: o.ID})
	case 8:
		p.send(&wire.Withdraw{ID: o.ID})
	case 9:
		p.send(&wire.Cancel{ID: o.ID, Reason: wire.ReasonCallerGone})
	case 10:
		p.send(&wire.Attach{ID: o.ID, NextSeq: uint32(m.r.Intn(2)), AgentIncarnation: selfInc})
	case 11:
		b.after(time.Duration(m.r.Intn(1500)) * time.Millisecond)
	case 12:
		m.relink(m.r.Intn(len(m.peers)))
	case 13:
		p.send(&wire.ShedLevel{Pool: pool, Level: uint8(m.r.Intn(4)), HoldMS: 1000})
	case 14:
		m.endRun()
	case 15:
		b.do(report{engine.Load{}, nil})
	}
	m.collect()
}

// offer makes the offer of an ID; every second one is keyed.
func (m *model) offer(p *peer, n uint64) *wire.Offer {
	o := &wire.Offer{ID: ident.Make(p.Incarnation, n), Pool: pool, Tier: uint8(n % 4), DeadlineMS: 20000, Repeatable: n%3 == 0}
	if n%2 == 1 {
		o.KeyHash, o.Epoch = []byte{byte(n / 2)}, 1
	}
	return o
}

// relink replaces the link of an entry. The old one may still deliver.
func (m *model) relink(i int) {
	old := m.peers[i]
	m.peers[i] = m.b.link(old.Incarnation)
	n := uint64(m.r.Intn(modelIDs))
	old.send(&wire.Grant{ID: ident.Make(old.Incarnation, n), Method: "POST", Path: "/"})
	m.b.do(linkDown{old.Peer})
	m.take(old)
}

func (m *model) endRun() {
	if len(m.open) == 0 {
		return
	}
	run := m.open[0]
	m.open = m.open[1:]
	switch m.r.Intn(3) {
	case 0:
		run.answer("x")
	case 1:
		run.end <- call.Result{Sent: true, Err: errLease}
	case 2:
		run.end <- call.Result{Err: call.ErrUnreachable}
		m.ran[run.id]--
	}
}

func (m *model) collect() {
	for {
		select {
		case ev := <-m.b.o.events.Items():
			m.b.do(ev)
		case run := <-m.b.runs:
			m.ran[run.id]++
			m.open = append(m.open, run)
		default:
			for _, p := range m.peers {
				m.take(p)
			}
			return
		}
	}
}

func (m *model) take(p *peer) {
	for {
		select {
		case got := <-p.got:
			if ret, ok := got.(*wire.Return); ok {
				m.refused(ret.ID)
			}
		default:
			return
		}
	}
}

// refused notes that an entry was told that a request was not run.
func (m *model) refused(id ident.ID) {
	m.b.t.Helper()
	if r := m.b.o.recs[id]; r != nil && (r.state == running || r.state == ended) {
		m.b.t.Fatalf("%s was returned in state %d", id, r.state)
	}
}

func (m *model) check(seed int64) {
	m.b.t.Helper()
	o := m.b.o
	for id, n := range m.ran {
		if n > 1 {
			m.b.t.Fatalf("seed %d: %s ran %d times", seed, id, n)
		}
	}
	claims := 0
	for id, r := range o.waiting {
		if r.state == claimed {
			claims++
		}
		if o.recs[id] != r || r.state >= running || r.state == lapsed {
			m.b.t.Fatalf("seed %d: %s waits in state %d", seed, id, r.state)
		}
	}
	if claims != o.claims {
		m.b.t.Fatalf("seed %d: %d claims counted, %d found", seed, o.claims, claims)
	}
	if n := o.queue.Len(); n+len(o.held) != len(o.waiting) {
		m.b.t.Fatalf("seed %d: %d queued, %d held, %d waiting", seed, n, len(o.held), len(o.waiting))
	}
	if len(o.running) > testBound {
		m.b.t.Fatalf("seed %d: %d running", seed, len(o.running))
	}
}
