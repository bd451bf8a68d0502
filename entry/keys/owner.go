package keys

import (
	"errors"
	"time"

	"lycheepond/core/homes"
	"lycheepond/core/once"
	"lycheepond/core/plat"
	"lycheepond/core/spec"
	"lycheepond/entry/agents"
	"lycheepond/entry/sched"
)

// ErrNoHome reports that the agent that keeps a key can't be reached.
var ErrNoHome = errors.New("keys: the agent that keeps this idempotency key can't be reached: ask again with the same key")

// Home returns the agent that keeps the record of a hashed key, or ErrNoHome.
func (k *Keeper) Home(pool string, key []byte) (sched.Home, error) {
	k.mu.Lock()
	b := k.tables[pool]
	if b == nil {
		k.mu.Unlock()
		return sched.Home{}, ErrNoHome
	}
	table := b.table
	k.mu.Unlock()
	o, ok := homes.Home(table, key)
	if !ok {
		return sched.Home{}, ErrNoHome
	}
	p, ok := k.cfg.Peer(o.Name)
	if !ok {
		k.cfg.RequestLink(o.Name)
		return sched.Home{}, ErrNoHome
	}
	if !p.IsLinked() || p.Agent() != (once.Agent{Name: o.Name, Incarnation: o.Incarnation}) {
		k.Wake()
		return sched.Home{}, ErrNoHome
	}
	return sched.Home{Peer: p, Epoch: table.Epoch}, nil
}

// liveOwners returns the agents that may own slots. ready is false while too little
// is known to change the table.
func (k *Keeper) liveOwners(pool string, b *poolTable, now time.Duration) (out []spec.HomeOwner, ready bool) {
	m := k.cfg.Members(pool)
	if m == nil {
		return nil, false
	}
	linked := make(map[string]bool)
	missing := 0
	for _, p := range m.Peers {
		if p.IsLeaving() {
			continue
		}
		if !p.IsLinked() {
			missing++
			continue
		}
		linked[p.Name()] = true
		out = append(out, ownerOf(p))
	}
	if len(out) == 0 || (b.version == 0 && missing > 0 && now-b.firstSeenAt < settleTime) {
		return nil, false
	}
	isIsolated := missing > len(out)
	states := instanceStates(k.cfg.Roster())
	for _, o := range b.table.Owners {
		if linked[o.Name] {
			delete(b.absentSince, o)
			continue
		}
		if k.isPresent(b, o, states[o.Name], now, isIsolated) {
			out = append(out, o)
		}
	}
	return out, true
}

func ownerOf(p *agents.Peer) spec.HomeOwner {
	a := p.Agent()
	return spec.HomeOwner{Name: a.Name, Incarnation: a.Incarnation}
}

func instanceStates(r plat.Roster) map[string]string {
	out := make(map[string]string, len(r.Instances))
	for _, i := range r.Instances {
		out[i.Name] = i.State
	}
	return out
}

// isPresent reports whether an owner without a link still counts. A leaving owner
// accepts no new requests, so its keys go to others at once.
func (k *Keeper) isPresent(b *poolTable, o spec.HomeOwner, state string, now time.Duration, isIsolated bool) bool {
	if p, ok := k.cfg.Peer(o.Name); ok {
		if p.IsLinked() && p.IsLeaving() {
			return false
		}
	} else if state == plat.StateLive {
		// Another entry may be linked to it, so request a link before deciding.
		k.cfg.RequestLink(o.Name)
	}
	since, ok := b.absentSince[o]
	if !ok {
		b.absentSince[o] = now
		return true
	}
	if state != plat.StateLive {
		return now-since < goneTimeout
	}
	return isIsolated || now-since < lostTimeout
}
