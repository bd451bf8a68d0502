package simapi

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"lycheepond/core/plat"
)

// AnyVersion is the expected version of a write that takes effect regardless of
// the object's version.
const AnyVersion = -1

// Put writes an object if its current version is expectedVersion, where 0 means
// that it must not exist and AnyVersion accepts every version. It returns the
// written object and true, or the current one and false.
func (p *Platform) Put(kind, name string, data json.RawMessage, expectedVersion int64) (plat.Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.objects[kind][name]
	if expectedVersion != AnyVersion && old.Version != expectedVersion {
		p.stats.Conflicts++
		return old, false
	}
	p.version++
	o := plat.Object{Kind: kind, Name: name, Version: p.version, Data: data}
	p.record(plat.Event{Object: o})
	return o, true
}

// Delete removes an object if its current version is expectedVersion, where
// AnyVersion accepts every version. It returns the version of the deletion and
// true, or the current version, 0 if the object does not exist, and false.
func (p *Platform) Delete(kind, name string, expectedVersion int64) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.objects[kind][name]
	if !ok || (expectedVersion != AnyVersion && old.Version != expectedVersion) {
		return old.Version, false
	}
	p.version++
	p.record(plat.Event{Deleted: true, Object: plat.Object{Kind: kind, Name: name, Version: p.version}})
	return p.version, true
}

// record applies an event, adds it to the log, compacts the log and wakes the
// long polls. The caller holds mu.
func (p *Platform) record(ev plat.Event) {
	p.objects.apply(ev)
	p.log = append(p.log, loggedEvent{at: p.now(), event: ev})
	for len(p.log) > p.cfg.MaxEvents {
		p.base.apply(p.log[0].event)
		p.compactedVersion = p.log[0].event.Object.Version
		p.log = p.log[1:]
	}
	p.wakePolls()
}

// visibleObjects returns the objects that a reader sees under the current
// faults, and their version. The caller holds mu and must not change the table.
func (p *Platform) visibleObjects() (objectTable, int64) {
	age := p.fault.StaleReads.Std()
	if age <= 0 {
		return p.objects, p.version
	}
	t, version := p.base.copy(), p.compactedVersion
	asOf := p.now().Add(-age)
	for _, l := range p.log {
		if l.at.After(asOf) {
			break
		}
		t.apply(l.event)
		version = l.event.Object.Version
	}
	return t, version
}

// listObjects returns the visible objects of kind, ordered by kind and name. The
// caller holds mu.
func (p *Platform) listObjects(kind string) plat.Batch {
	t, version := p.visibleObjects()
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

// anyKind in a list or watch selects the objects of every kind.
const anyKind = "*"

// eventsAfter returns the events of kind after version after that a watch sees
// now, and the time until the next event becomes visible, zero if there is
// none. The caller holds mu.
func (p *Platform) eventsAfter(kind string, after int64) (b plat.Batch, untilVisible time.Duration) {
	lag := max(p.fault.Lag.Std(), p.fault.StaleReads.Std())
	b = plat.Batch{Version: after, Events: []plat.Event{}}
	now := p.now()
	var oldEvents []plat.Event
	for _, l := range p.log {
		if wait := l.at.Add(lag).Sub(now); wait > 0 {
			untilVisible = wait
			break
		}
		if l.event.Object.Version <= after {
			oldEvents = append(oldEvents, l.event)
			continue
		}
		b.Version = l.event.Object.Version
		if kind == anyKind || l.event.Object.Kind == kind {
			b.Events = append(b.Events, l.event)
		}
	}
	if n := min(p.fault.Replay, len(oldEvents)); n > 0 && len(b.Events) > 0 {
		// The oldest event comes last, so that a reader that trusts the last
		// event regardless of its version reverts.
		for i := range n {
			b.Events = append(b.Events, oldEvents[len(oldEvents)-1-i])
		}
	}
	return b, untilVisible
}

// PutInstance adds an instance to the instance list or replaces it there.
func (p *Platform) PutInstance(in plat.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[in.Name] = in
	p.recordRoster()
}

// DropInstance removes an instance from the instance list.
func (p *Platform) DropInstance(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, name)
	p.recordRoster()
}

// maxRosterVersions is the number of versions of the instance list that are
// kept, so that a lagging reader can be given an old one.
const maxRosterVersions = 256

// recordRoster stores the instance list as a new version and wakes the long
// polls. The caller holds mu.
func (p *Platform) recordRoster() {
	var version int64 = 1
	if n := len(p.rosterHistory); n > 0 {
		version = p.rosterHistory[n-1].roster.Version + 1
	}
	r := plat.Roster{Version: version, Instances: []plat.Instance{}}
	for _, name := range slices.Sorted(maps.Keys(p.instances)) {
		r.Instances = append(r.Instances, p.instances[name])
	}
	p.rosterHistory = append(p.rosterHistory, datedRoster{at: p.now(), roster: r})
	if len(p.rosterHistory) > maxRosterVersions {
		p.rosterHistory = p.rosterHistory[1:]
	}
	p.wakePolls()
}

// visibleRoster returns the instance list that a reader sees now, and the time
// until the next version becomes visible, zero if there is none. The caller
// holds mu.
func (p *Platform) visibleRoster() (r plat.Roster, untilVisible time.Duration) {
	r.Instances = []plat.Instance{}
	lag, now := p.fault.Lag.Std(), p.now()
	for _, d := range p.rosterHistory {
		if wait := d.at.Add(lag).Sub(now); wait > 0 {
			return r, wait
		}
		r = d.roster
	}
	return r, 0
}
