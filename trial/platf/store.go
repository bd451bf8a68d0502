package platf

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"lycheepond/core/plat"
)

// Unconditional as the wanted version writes whatever the object's version is.
const Unconditional = -1

// Put writes an object if its version is want. It returns the object and true,
// or the present one and false.
func (p *Platform) Put(kind, name string, data json.RawMessage, want int64) (plat.Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.objects[kind][name]
	if want != Unconditional && old.Version != want {
		p.stats.Conflicts++
		return old, false
	}
	p.version++
	o := plat.Object{Kind: kind, Name: name, Version: p.version, Data: data}
	p.record(plat.Event{Object: o})
	return o, true
}

// Delete removes an object if its version is want. It returns the version of
// the deletion and true, or the present version and false.
func (p *Platform) Delete(kind, name string, want int64) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.objects[kind][name]
	if !ok || (want != Unconditional && old.Version != want) {
		return old.Version, false
	}
	p.version++
	p.record(plat.Event{Deleted: true, Object: plat.Object{Kind: kind, Name: name, Version: p.version}})
	return p.version, true
}

// record applies an event, logs it and wakes the watches. The caller holds mu.
func (p *Platform) record(ev plat.Event) {
	p.objects.apply(ev)
	p.log = append(p.log, logged{at: p.now(), event: ev})
	for len(p.log) > p.cfg.Retain {
		p.base.apply(p.log[0].event)
		p.compacted = p.log[0].event.Object.Version
		p.log = p.log[1:]
	}
	p.wake()
}

// view returns the objects and the version that a reader sees. The caller holds
// mu.
func (p *Platform) view() (table, int64) {
	stale := p.fault.StaleReads.Std()
	if stale <= 0 {
		return p.objects, p.version
	}
	t, version := p.base.copy(), p.compacted
	cut := p.now().Add(-stale)
	for _, l := range p.log {
		if l.at.After(cut) {
			break
		}
		t.apply(l.event)
		version = l.event.Object.Version
	}
	return t, version
}

func (p *Platform) batch(kind string) plat.Batch {
	t, version := p.view()
	b := plat.Batch{Version: version, Events: []plat.Event{}}
	for k, byName := range t {
		if kind != anyKind && k != kind {
			continue
		}
		for _, o := range byName {
			b.Events = append(b.Events, plat.Event{Object: o})
		}
	}
	slices.SortFunc(b.Events, func(a, b plat.Event) int {
		return strings.Compare(a.Object.Kind+"/"+a.Object.Name, b.Object.Kind+"/"+b.Object.Name)
	})
	return b
}

// anyKind watches or lists the objects of every kind.
const anyKind = "*"

// since returns the events of kind after version that a watch may see now, and
// how long until the next hidden one can be seen. The caller holds mu.
func (p *Platform) since(kind string, after int64) (b plat.Batch, hidden time.Duration) {
	lag := max(p.fault.Lag.Std(), p.fault.StaleReads.Std())
	b = plat.Batch{Version: after, Events: []plat.Event{}}
	now := p.now()
	var old []plat.Event
	for _, l := range p.log {
		if wait := l.at.Add(lag).Sub(now); wait > 0 {
			hidden = wait
			break
		}
		if l.event.Object.Version <= after {
			old = append(old, l.event)
			continue
		}
		b.Version = l.event.Object.Version
		if kind == anyKind || l.event.Object.Kind == kind {
			b.Events = append(b.Events, l.event)
		}
	}
	if n := min(p.fault.Replay, len(old)); n > 0 && len(b.Events) > 0 {
		// The oldest comes last, so that whoever believes the last word reverts.
		for i := range n {
			b.Events = append(b.Events, old[len(old)-1-i])
		}
	}
	return b, hidden
}

// PutInstance adds or changes a line of the instance list.
func (p *Platform) PutInstance(in plat.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[in.Name] = in
	p.keepRoster()
}

// DropInstance removes a line of the instance list.
func (p *Platform) DropInstance(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, name)
	p.keepRoster()
}

// rosterKeep is how many versions of the instance list are kept for the lag.
const rosterKeep = 256

func (p *Platform) keepRoster() {
	var version int64 = 1
	if n := len(p.rosters); n > 0 {
		version = p.rosters[n-1].roster.Version + 1
	}
	r := plat.Roster{Version: version, Instances: []plat.Instance{}}
	for _, name := range slices.Sorted(maps.Keys(p.instances)) {
		r.Instances = append(r.Instances, p.instances[name])
	}
	p.rosters = append(p.rosters, dated{at: p.now(), roster: r})
	if len(p.rosters) > rosterKeep {
		p.rosters = p.rosters[1:]
	}
	p.wake()
}

// seen returns the instance list that a reader sees now, and how long until the
// next one shows. The caller holds mu.
func (p *Platform) seen() (r plat.Roster, hidden time.Duration) {
	r.Instances = []plat.Instance{}
	lag, now := p.fault.Lag.Std(), p.now()
	for _, d := range p.rosters {
		if wait := d.at.Add(lag).Sub(now); wait > 0 {
			return r, wait
		}
		r = d.roster
	}
	return r, 0
}
