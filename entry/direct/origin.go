package direct

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/origin"
	"lycheepond/core/wire"
)

const (
	// originAnswerTimeout is how long the keepers' answers are awaited.
	originAnswerTimeout = 100 * time.Millisecond
	// originRetryAfter is the delay after which a caller should retry whose stream's origin is
	// not known. It can become known only through a keeper that did not answer in time.
	originRetryAfter = 200 * time.Millisecond
	// listDelay is how long the news of an endpoint that has begun again with another version may
	// take to reach this entry. Endpoints do not state their version, so an event of a stream
	// that goes on is forwarded only after that.
	listDelay = 100 * time.Millisecond
	// maxLoggedID bounds how many bytes of an ID that a caller names are logged.
	maxLoggedID = 64
	// minStreamAge and streamAgeTimeouts determine how long the origin of a stream is kept: a
	// multiple of the longest timeout of the resumable routes, since a caller may take a stream
	// up more than once.
	minStreamAge      = 10 * time.Second
	streamAgeTimeouts = 2
)

// sourceRecord is the source of an origin that this entry has recorded.
const sourceRecord = "record"

// errOtherVersion reports that the endpoint of an attempt has changed to another version of its
// software, so that the stream can't go on there.
var errOtherVersion = errors.New("direct: the endpoint has another version than the one that began the stream: send the request to another one")

// boundVersion is the version of the endpoints' software at which a stream must go on. The zero
// value stands for any version.
type boundVersion struct {
	isSet bool
	// isUnknown is set if the endpoint changed its version while the stream began.
	isUnknown bool
	version   string
}

// takesUpStream reports whether the job takes up a stream whose beginning it names.
func (j *Job) takesUpStream() bool {
	return j.Route.Stream && j.Route.Resumable && j.BeganAs != "" && j.LastEventID != ""
}

// originKey returns the key of the stream that the job begins or takes up.
func (j *Job) originKey() origin.Key {
	customer, id := "", j.ID
	if j.Customer != nil {
		customer = j.Customer.Name
	}
	if j.takesUpStream() {
		id = j.BeganAs
	}
	return origin.NewKey(customer, id)
}

// bindToOrigin binds a job that takes up a stream to the version that began it. If that is not
// known, it returns false: the job must not run anywhere.
func (d *Director) bindToOrigin(ctx context.Context, j *Job) bool {
	if !j.takesUpStream() {
		return true
	}
	o, source := d.findOrigin(ctx, j)
	logs.Info(d.cfg.Log, logs.EventStreamTakenUp, zap.String("request_id", j.ID), zap.String("stream", j.BeganAs[:min(len(j.BeganAs), maxLoggedID)]), zap.String("pool", j.Pool.Name),
		zap.String("began_in", o.Pool), zap.String("version", o.Version), zap.String("source", source))
	d.cfg.Metrics.Counter("streams_taken_up", meter.Label{Key: "source", Value: source}).Inc(1)
	if o.Pool != j.Pool.Name {
		return false
	}
	j.version = boundVersion{isSet: true, version: o.Version}
	return true
}

// findOrigin returns where the stream began that a job takes up, and who knew it. Without an
// answer the origin is zero.
func (d *Director) findOrigin(ctx context.Context, j *Job) (o origin.Origin, source string) {
	key := j.originKey()
	d.mu.Lock()
	o, source = d.knownOrigin(key, j.Pool.Name)
	d.mu.Unlock()
	if source == sourceRecord {
		return o, source
	}
	// An entry that is out of step doesn't know of the newest version, but the one that began the
	// stream does.
	told, all := d.askForOrigin(ctx, key, j.Pool.Name, o)
	switch {
	case told.Pool != "":
		return told, "peer"
	case source != "" && all && d.isInStep():
		return o, source
	}
	return origin.Origin{}, "none"
}

// isInStep reports whether the instance list has been verified since silent peers were heard.
// Otherwise this entry may be the one that is cut off.
func (d *Director) isInStep() bool {
	reachable, known := d.cfg.EntryCounts()
	if reachable > 1 || reachable == known || d.cfg.RosterVerifiedAt == nil {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg.RosterVerifiedAt().After(d.view.lostPeerAt)
}

// knownOrigin returns what this entry knows of where a stream began; source is empty if it knows
// nothing. The caller holds d.mu.
func (d *Director) knownOrigin(key origin.Key, pool string) (o origin.Origin, source string) {
	if o, ok := d.view.origins.Find(key); ok {
		return o, sourceRecord
	}
	if version, ok := d.onlyVersion(pool); ok {
		return origin.Origin{Pool: pool, Version: version}, "only version"
	}
	return origin.Origin{}, ""
}

// onlyVersion returns the version of a pool that began every stream which may still go on. The
// caller holds d.mu.
func (d *Director) onlyVersion(pool string) (version string, ok bool) {
	h := d.view.versions[pool]
	if h == nil || d.cfg.RosterIsCurrent != nil && !d.cfg.RosterIsCurrent() {
		return "", false
	}
	return h.Only(d.sinceStart(time.Now()), d.view.streamAge)
}

// noteVersions records which versions the pools have.
func (v *view) noteVersions(now time.Duration) {
	listed := make(map[string][]string)
	for _, e := range v.endpoints {
		listed[e.Pool] = append(listed[e.Pool], e.Version)
	}
	for pool, versions := range listed {
		h := v.versions[pool]
		if h == nil {
			h = new(origin.Versions)
			v.versions[pool] = h
		}
		h.Note(now, versions)
	}
}

// setStreamAge sets how long origins are kept.
func (v *view) setStreamAge() {
	v.streamAge = minStreamAge
	for _, r := range v.table.Config().Routes {
		if r.Stream && r.Resumable {
			v.streamAge = max(v.streamAge, streamAgeTimeouts*r.Timeout)
		}
	}
}

// endpointsAt returns the endpoints of a pool at which a stream that began at a version may go
// on.
func (v *view) endpointsAt(pool, version string) []*endpoint {
	if !v.rollouts.MayGoOn(pool, version) {
		return nil
	}
	var out []*endpoint
	for i := range v.roster.Endpoints {
		if e := v.endpoints[v.roster.Endpoints[i].ID]; e != nil && e.Pool == pool && e.Version == version && !e.Leaving {
			out = append(out, e)
		}
	}
	return out
}

// askForOrigin asks the keepers of a stream's record where the stream began, and returns the first
// origin that they know. If guess is set, which other entries may have guessed as well, it returns
// only another one. all reports whether all keepers have answered.
func (d *Director) askForOrigin(ctx context.Context, key origin.Key, pool string, guess origin.Origin) (told origin.Origin, all bool) {
	d.mu.Lock()
	keepers := d.originKeepers(key, origin.Asked)
	d.lastOriginQuery++
	id, answers := d.lastOriginQuery, make(chan *wire.OriginReply, len(keepers))
	d.originQueries[id] = answers
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.originQueries, id)
	}()
	asked := 0
	for _, name := range keepers {
		if d.cfg.Peers.SendOrigins(name, &wire.OriginQuery{ID: id, Key: uint64(key), Pool: pool}) {
			asked++
		}
	}
	timer := time.NewTimer(originAnswerTimeout)
	defer timer.Stop()
	for ; asked > 0; asked-- {
		select {
		case reply := <-answers:
			if o := (origin.Origin{Pool: reply.Pool, Version: reply.Version}); reply.Known && o != guess {
				return o, false
			}
		case <-timer.C:
			return origin.Origin{}, false
		case <-ctx.Done():
			return origin.Origin{}, false
		}
	}
	return origin.Origin{}, true
}

// originKeepers returns up to n of the other entries that keep the record of a stream. The caller
// holds d.mu.
func (d *Director) originKeepers(key origin.Key, n int) []string {
	if d.cfg.Peers.SendOrigins == nil {
		return nil
	}
	return origin.Keepers(key, d.keeperCandidates(), d.cfg.Peers.Self, n)
}

// keeperCandidates returns the entries among which the keepers of records are chosen. All entries
// have links to the owners of shards, if there are any. The caller holds d.mu.
func (d *Director) keeperCandidates() []origin.Candidate {
	now := time.Now()
	if d.candidates != nil && now.Sub(d.candidatesAt) <= ownerCacheTTL {
		return d.candidates
	}
	var owners map[string]bool
	if _, known := d.cfg.EntryCounts(); d.usesShardOwners(known) {
		owners = d.ownersOfShards(known, now)
	}
	d.candidates, d.candidatesAt = origin.Candidates(d.cfg.Peers.Entries(), owners), now
	return d.candidates
}

// HandleOrigins processes a peer's message about streams' origins.
func (d *Director) HandleOrigins(m wire.Message, reply func(m wire.Message) error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch m := m.(type) {
	case *wire.StreamOrigins:
		for _, s := range m.Streams {
			d.view.origins.Add(d.sinceStart(time.Now()), origin.Key(s.Key), origin.Origin{Pool: s.Pool, Version: s.Version})
		}
	case *wire.OriginQuery:
		o, source := d.knownOrigin(origin.Key(m.Key), m.Pool)
		// If the link can't take the message, it ends, and the peer waits for its timeout.
		_ = reply(&wire.OriginReply{ID: m.ID, Known: source != "", Pool: o.Pool, Version: o.Version})
	}
}

// HandleOriginReply processes a keeper's answer.
func (d *Director) HandleOriginReply(m *wire.OriginReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case d.originQueries[m.ID] <- m:
	default:
		// The query has ended, or the peer answers twice.
	}
}

// unsentOrigin is a record that not all of its keepers have yet.
type unsentOrigin struct {
	key    origin.Key
	origin origin.Origin
	at     time.Duration
}

// recordOrigin records where a stream began or went on. Keepers are told at once, unless the pool
// has one version only: every entry then knows the origin, and keepers are told when that changes.
// The caller holds d.mu.
func (d *Director) recordOrigin(key origin.Key, o origin.Origin) {
	now := d.sinceStart(time.Now())
	d.view.origins.Add(now, key, o)
	if _, ok := d.onlyVersion(o.Pool); ok || !d.sendOrigin(key, o) {
		d.unsentOrigins = append(d.unsentOrigins, unsentOrigin{key, o, now})
	}
}

// sendOrigin sends a record to its keepers and reports whether all of them could be sent it. The
// caller holds d.mu.
func (d *Director) sendOrigin(key origin.Key, o origin.Origin) bool {
	m := &wire.StreamOrigins{Streams: []wire.StreamOrigin{{Key: uint64(key), Pool: o.Pool, Version: o.Version}}}
	keepers, sent := d.originKeepers(key, origin.Copies), 0
	for _, name := range keepers {
		if d.cfg.Peers.SendOrigins(name, m) {
			sent++
		}
	}
	return len(keepers) > 0 && sent == len(keepers)
}

// sendUnsentOrigins sends the records of pools that have got another version and those that could
// not be sent before, and forgets those of streams that have ended.
func (d *Director) sendUnsentOrigins() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.sinceStart(time.Now())
	unsent := d.unsentOrigins[:0]
	hasOnlyVersion := make(map[string]bool)
	for _, u := range d.unsentOrigins {
		if now-u.at > d.view.streamAge {
			continue
		}
		if _, known := hasOnlyVersion[u.origin.Pool]; !known {
			_, hasOnlyVersion[u.origin.Pool] = d.onlyVersion(u.origin.Pool)
		}
		if hasOnlyVersion[u.origin.Pool] || !d.sendOrigin(u.key, u.origin) {
			unsent = append(unsent, u)
		}
	}
	d.unsentOrigins = unsent
}

// sweepOrigins forgets the origins of streams that have ended.
func (d *Director) sweepOrigins() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.sinceStart(time.Now())
	d.view.noteVersions(now)
	d.view.origins.Expire(now, d.view.streamAge)
}

// versionAt returns the version of the endpoint of an attempt. ok is false if the endpoint has
// changed since the placement, so that it is not known which version answers. The caller holds
// d.mu.
func (d *Director) versionAt(a *attempt) (version string, ok bool) {
	e := d.view.endpoints[a.id]
	switch {
	case e == nil:
		return a.version, !a.wasUnlisted
	case a.wasUnlisted:
		return e.Version, true
	}
	return e.Version, e.Incarnation == a.start.Incarnation && e.Version == a.version
}

// bindVersion is called before events of an attempt are forwarded. Before the first ones it binds a
// stream that begins to the version of the endpoint, or returns errOtherVersion if a stream that
// goes on is bound to another one.
func (t *task) bindVersion(a *attempt) error {
	if a.isConfirmed || !t.job.Route.Resumable {
		return nil
	}
	isFirst := !a.isBound
	if isFirst && t.version.isSet {
		t.awaitListNews(a)
	}
	a.isBound, a.isConfirmed = true, time.Since(a.sentAt) >= listDelay
	if !isFirst && !a.isConfirmed {
		return nil
	}
	d := t.d
	d.mu.Lock()
	defer d.mu.Unlock()
	version, ok := d.versionAt(a)
	switch {
	case isFirst && t.version.isSet && (!ok || version != t.version.version):
		return errOtherVersion
	case isFirst && !ok:
		t.version = boundVersion{isSet: true, isUnknown: true}
		return nil
	case !isFirst && ok:
		return nil
	}
	// If the list has changed while the stream goes on, its new version is the one that sends:
	// the process before has ended.
	t.version = boundVersion{isSet: true, version: version}
	d.recordOrigin(t.job.originKey(), origin.Origin{Pool: t.job.Pool.Name, Version: version})
	return nil
}

// awaitListNews waits until listDelay has passed since the attempt was sent, or the job ends.
func (t *task) awaitListNews(a *attempt) {
	timer := time.NewTimer(time.Until(a.sentAt.Add(listDelay)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.ctx.Done():
	}
}
