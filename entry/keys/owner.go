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

// ErrNoHome reports that the home of a key is unknown or can't be reached.
var ErrNoHome = errors.New("keys: the agent that keeps this idempotency key can't be reached: ask again with the same key")

// Home returns the agent that keeps the record of a hashed key, or ErrNoHome.
func (k *Keeper) Home(pool string, key []byte) (sched.Home, error) {
	k.mu.Lock()
	pt := k.tables[pool]
	if pt == nil {
		k.mu.Unlock()
		return sched.Home{}, ErrNoHome
	}
	table := pt.table
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

// liveOwners returns the agents that may own slots. ready is false while no agent is
// linked, and before the first table while it waits for agents.
func (k *Keeper) liveOwners(pool string, pt *poolTable, now time.Duration) (out []spec.HomeOwner, ready bool) {
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
	if len(out) == 0 || (pt.version == 0 && missing > 0 && now-pt.firstSeenAt < settleTime) {
		return nil, false
	}
	isIsolated := missing > len(out)
	states := instanceStates(k.cfg.Roster())
	for _, o := range pt.table.Owners {
		if linked[o.Name] {
			delete(pt.absentSince, o)
			continue
		}
		if k.isPresent(pt, o, states[o.Name], now, isIsolated) {
			out = append(out, o)
		}
	}
	return out, true
}

// ownerOf returns an agent as an owner of slots.
func ownerOf(p *agents.Peer) spec.HomeOwner {
	a := p.Agent()
	return spec.HomeOwner{Name: a.Name, Incarnation: a.Incarnation}
}

// instanceStates returns the state of each instance by name.
func instanceStates(r plat.Roster) map[string]string {
	out := make(map[string]string, len(r.Instances))
	for _, i := range r.Instances {
		out[i.Name] = i.State
	}
	return out
}

// isPresent reports whether an owner that isn't linked, or is leaving, keeps its
// slots. A linked owner that is leaving accepts no new requests, so its slots go to
// others at once. isIsolated is set if this entry has lost most of its links; then
// an owner that the instance list calls live keeps its slots.
func (k *Keeper) isPresent(pt *poolTable, o spec.HomeOwner, state string, now time.Duration, isIsolated bool) bool {
	if p, ok := k.cfg.Peer(o.Name); ok {
		if p.IsLinked() && p.IsLeaving() {
			return false
		}
	} else if state == plat.StateLive {
		// This entry may not have chosen to link to it, so request a link before
		// deciding.
		k.cfg.RequestLink(o.Name)
	}
	since, ok := pt.absentSince[o]
	if !ok {
		pt.absentSince[o] = now
		return true
	}
	if state != plat.StateLive {
		return now-since < notLiveTimeout
	}
	return isIsolated || now-since < liveTimeout
}
