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
	historyCount = 300
	stepCount    = 250
	idCount      = 6
)

// model checks invariants of an owner while frames arrive in any order, late and
// more than once.
type model struct {
	h      *harness
	random *rand.Rand
	links  []*testLink
	// runCounts counts how often each ID was run at the endpoint.
	runCounts map[ident.ID]int
	openRuns  []*fakeRun
}

// Two entries lose their links, are paused and dial again; frames are repeated and
// overtake each other; runs end in every way, and the endpoint becomes unreachable.
// In every combination, no request may run twice, and a request that was returned
// to its entry may not run.
func TestRandomHistories(t *testing.T) {
	for seed := range int64(historyCount) {
		h := newHarness(t, testBound)
		m := &model{h: h, random: rand.New(rand.NewSource(seed)), runCounts: map[ident.ID]int{}}
		m.links = []*testLink{h.newLink(entryIncarnation), h.newLink(entryIncarnation + 1)}
		m.links[0].sendConfirmedTable(homesTable(1, 0))
		for range stepCount {
			m.step()
			m.check(seed)
		}
	}
}

func (m *model) step() {
	h := m.h
	p := m.links[m.random.Intn(len(m.links))]
	id := uint64(m.random.Intn(idCount))
	o := m.offer(p, id)
	switch m.random.Intn(16) {
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
		p.send(&wire.Attach{ID: o.ID, NextSeq: uint32(m.random.Intn(2)), AgentIncarnation: selfIncarnation})
	case 11:
		h.advance(time.Duration(m.random.Intn(1500)) * time.Millisecond)
	case 12:
		m.relink(m.random.Intn(len(m.links)))
	case 13:
		p.send(&wire.ShedLevel{Pool: testPool, Level: uint8(m.random.Intn(4)), HoldMS: 1000})
	case 14:
		m.endRun()
	case 15:
		h.apply(reportEvent{engine.Load{}, nil})
	}
	m.applyEvents()
}

// offer returns the offer of an ID. Every second one has an idempotency key.
func (m *model) offer(p *testLink, n uint64) *wire.Offer {
	o := &wire.Offer{ID: ident.Make(p.Incarnation, n), Pool: testPool, Tier: uint8(n % 4), DeadlineMS: 20000, Repeatable: n%3 == 0}
	if n%2 == 1 {
		o.KeyHash, o.Epoch = []byte{byte(n / 2)}, 1
	}
	return o
}

// relink replaces the link of an entry. The old link still delivers a frame.
func (m *model) relink(i int) {
	old := m.links[i]
	m.links[i] = m.h.newLink(old.Incarnation)
	n := uint64(m.random.Intn(idCount))
	old.send(&wire.Grant{ID: ident.Make(old.Incarnation, n), Method: "POST", Path: "/"})
	m.h.apply(linkDownEvent{old.Peer})
	m.readMessages(old)
}

func (m *model) endRun() {
	if len(m.openRuns) == 0 {
		return
	}
	run := m.openRuns[0]
	m.openRuns = m.openRuns[1:]
	switch m.random.Intn(3) {
	case 0:
		run.finish("x")
	case 1:
		run.result <- call.Result{Sent: true, Err: errLeaseExpired}
	case 2:
		run.result <- call.Result{Err: call.ErrUnreachable}
		m.runCounts[run.id]--
	}
}

func (m *model) applyEvents() {
	for {
		select {
		case ev := <-m.h.o.events.Items():
			m.h.apply(ev)
		case run := <-m.h.runs:
			m.runCounts[run.id]++
			m.openRuns = append(m.openRuns, run)
		default:
			for _, p := range m.links {
				m.readMessages(p)
			}
			return
		}
	}
}

func (m *model) readMessages(p *testLink) {
	for {
		select {
		case got := <-p.messages:
			if ret, ok := got.(*wire.Return); ok {
				m.checkReturned(ret.ID)
			}
		default:
			return
		}
	}
}

// checkReturned checks that a request that was returned to its entry does not run.
func (m *model) checkReturned(id ident.ID) {
	m.h.t.Helper()
	if r := m.h.o.records[id]; r != nil && (r.state == stateRunning || r.state == stateEnded) {
		m.h.t.Fatalf("request %s was returned in state %d", id, r.state)
	}
}

// check fails the test if a request ran twice, if the owner's maps and counts
// disagree, or if more requests run than the bound allows.
func (m *model) check(seed int64) {
	m.h.t.Helper()
	o := m.h.o
	for id, n := range m.runCounts {
		if n > 1 {
			m.h.t.Fatalf("seed %d: %s ran %d times", seed, id, n)
		}
	}
	claims := 0
	for id, r := range o.waiting {
		if r.state == stateClaimed {
			claims++
		}
		if o.records[id] != r || r.state >= stateRunning || r.state == stateLapsed {
			m.h.t.Fatalf("seed %d: %s waits in state %d", seed, id, r.state)
		}
	}
	if claims != o.claimCount {
		m.h.t.Fatalf("seed %d: %d claims counted, %d found", seed, o.claimCount, claims)
	}
	if n := o.queue.Len(); n+len(o.waitingUnqueued) != len(o.waiting) {
		m.h.t.Fatalf("seed %d: %d queued, %d unqueued, %d waiting", seed, n, len(o.waitingUnqueued), len(o.waiting))
	}
	if len(o.running) > testBound {
		m.h.t.Fatalf("seed %d: %d running", seed, len(o.running))
	}
}
