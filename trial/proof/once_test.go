package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"lycheepond/core/logs"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
	"lycheepond/trial/engin"
	"lycheepond/trial/fleet"
	"lycheepond/trial/load"
	"lycheepond/trial/proxy"
)

// A network between entries and agents delivers a frame twice, late, or not at
// all, or breaks at any step of a request. A caller sees at worst a refusal or
// outcome unknown; no assignment is made twice and none is called not-run that
// was made.
func TestFramesMisbehave(t *testing.T) {
	t.Parallel()
	r := newRig(t, shape{engines: []engin.Config{quick(), quick()}, entries: 2})
	steps := []struct {
		kind wire.Kind
		dir  proxy.Direction
	}{
		{wire.KindOffer, proxy.Up},
		{wire.KindClaim, proxy.Down},
		{wire.KindGrant, proxy.Up},
		{wire.KindDeny, proxy.Up},
		{wire.KindHead, proxy.Down},
		{wire.KindChunk, proxy.Down},
		{wire.KindEnd, proxy.Down},
	}
	for _, step := range steps {
		for _, action := range []proxy.Action{proxy.Duplicate, proxy.Late, proxy.CutBefore, proxy.CutAfter} {
			name := fmt.Sprintf("%s-%s", step.kind, action)
			trick := proxy.Trick{Direction: step.dir, Kind: step.kind, Action: action, Hold: spec.Duration(300 * time.Millisecond)}
			for _, p := range r.proxies {
				p.Play(trick)
			}
			var b batch
			for i := range 8 {
				r.send(&b, i%2, ask(i%spec.Tiers, fmt.Sprintf("%s-%d", name, i), 12, i%3 != 0))
			}
			seen := r.judge(b.end())
			t.Log(name, seen)
			r.settled(name)
		}
	}
}

// A link stops carrying bytes without closing, at any step, for longer than the
// heartbeats allow, and then goes on with what it held back. The agent then gets
// grants that are long given up. A caller hears unknown at worst.
func TestLinkFreezes(t *testing.T) {
	t.Parallel()
	r := newRig(t, shape{engines: []engin.Config{quick(), quick()}, entries: 2})
	steps := []struct {
		kind wire.Kind
		dir  proxy.Direction
	}{
		{wire.KindOffer, proxy.Up},
		{wire.KindClaim, proxy.Down},
		{wire.KindGrant, proxy.Up},
		{wire.KindChunk, proxy.Down},
	}
	for _, step := range steps {
		name := fmt.Sprintf("freeze-%s", step.kind)
		p := r.proxies["engine-1"]
		p.Play(proxy.Trick{Direction: step.dir, Kind: step.kind, Action: proxy.FreezeAt})
		var b batch
		for i := range 8 {
			r.send(&b, i%2, ask(i%spec.Tiers, fmt.Sprintf("%s-%d", name, i), 12, i%3 != 0))
		}
		results := b.end()
		p.Set(proxy.Fault{})
		r.settled(name)
		t.Log(name, r.judge(results))
	}
}

// moment is a frame on the way between entries and one agent.
type moment struct {
	name string
	dir  proxy.Direction
	kind wire.Kind
}

// catch sends work through both entries until the moment has come at engine-1,
// with two engines so that the other one can serve.
func catch(t *testing.T, tag string, at moment) (*rig, *fleet.Unit, *batch) {
	t.Helper()
	r := newRig(t, shape{engines: []engin.Config{quick(), quick()}, entries: 2})
	u := r.fleet.Unit("engine-1")
	before := r.proxies[u.Name].Seen(at.dir, at.kind)
	b := new(batch)
	for i := range 16 {
		r.send(b, i%2, ask(i%spec.Tiers, fmt.Sprintf("%s-%s-%d", tag, at.name, i), 30, i%3 != 0))
	}
	r.must(r.proxies[u.Name].Await(r.ctx, at.dir, at.kind, before+1))
	return r, u, b
}

// An agent is killed while offers wait at it and answers stream from it, and is
// started again. Its callers hear unknown or are served elsewhere; what ran once
// does not run again.
func TestAgentKilled(t *testing.T) {
	t.Parallel()
	for _, at := range []moment{
		{"offer", proxy.Up, wire.KindOffer},
		{"claim", proxy.Down, wire.KindClaim},
		{"grant", proxy.Up, wire.KindGrant},
		{"chunk", proxy.Down, wire.KindChunk},
		{"end", proxy.Down, wire.KindEnd},
	} {
		t.Run(at.name, func(t *testing.T) {
			r, u, b := catch(t, "kill", at)
			r.must(u.Agent.Kill())
			r.must(r.fleet.RestartAgent(r.ctx, u))
			seen := r.judge(b.end())
			t.Log(seen)
			if seen[load.Complete] == 0 {
				t.Error("nothing was completed by the other endpoint")
			}
			r.settled(at.name)
		})
	}
}

// An agent is paused, by its instance or a debugger, holding claims and grants,
// for longer than the entries wait. When it wakes it finds grants that were
// given up and offers that ran elsewhere. It runs none of those for which a
// caller was told not-run, and nothing twice.
func TestAgentPausedAndWakesLate(t *testing.T) {
	t.Parallel()
	for _, at := range []moment{
		{"offer", proxy.Up, wire.KindOffer},
		{"claim", proxy.Down, wire.KindClaim},
		{"grant", proxy.Up, wire.KindGrant},
		{"chunk", proxy.Down, wire.KindChunk},
	} {
		t.Run(at.name, func(t *testing.T) {
			r, u, b := catch(t, "pause", at)
			r.must(u.Agent.Pause())
			results := b.end()
			r.must(u.Agent.Resume())
			r.settled(at.name)
			t.Log(r.judge(results))
		})
	}
}

// An entry is killed, or paused past every timeout, while its callers' requests
// run. Its callers see the connection break or end late; the requests ran at
// most once. The other entry goes on: it ends all of its requests while the
// paused one is silent, whose links the agents close.
func TestEntryKilledOrPaused(t *testing.T) {
	t.Parallel()
	for _, pause := range []bool{false, true} {
		t.Run(fmt.Sprintf("pause=%v", pause), func(t *testing.T) {
			r := newRig(t, shape{engines: []engin.Config{quick(), quick()}, entries: 2})
			e := r.fleet.Entries()[0]
			var own, others batch
			var jobs []load.Job
			for i := range 8 {
				jobs = append(jobs, ask(i%spec.Tiers, fmt.Sprintf("entry-%v-%d", pause, i), 60, i%3 != 0))
				r.send(&own, 0, jobs[i])
				r.send(&others, 1, ask(i%spec.Tiers, fmt.Sprintf("other-%v-%d", pause, i), 60, i%3 != 0))
			}
			r.must(r.proxies["engine-1"].Await(r.ctx, proxy.Down, wire.KindChunk, 1))
			r.await("a request of the entry runs", func() bool {
				ran := r.executed()
				return slices.ContainsFunc(jobs, func(j load.Job) bool { return ran[digest(j)] > 0 })
			})
			if pause {
				before := r.linksLost(e)
				r.must(e.Proc.Pause())
				r.await("the agents have closed the silent links", func() bool {
					for name, n := range r.linksLost(e) {
						if n == before[name] {
							return false
						}
					}
					return true
				})
				time.Sleep(heartbeat * 5)
				if seen := r.judge(others.end()); seen[load.Complete] == 0 {
					t.Errorf("the other entry completed nothing meanwhile: %v", seen)
				}
				r.must(e.Proc.Resume())
			} else {
				r.must(e.Proc.Kill())
			}
			results := append(own.end(), others.end()...)
			if !pause {
				r.must(r.fleet.RestartEntry(r.ctx, e))
			}
			r.settled("entry")
			t.Log(r.judge(results))
		})
	}
}

// linksLost counts by agent how often its log says that a link to e has ended.
func (r *rig) linksLost(e *fleet.Entry) map[string]int {
	r.t.Helper()
	lost := make(map[string]int)
	for _, u := range r.fleet.Units() {
		data, err := os.ReadFile(u.Agent.LogPath())
		r.must(err)
		lost[u.Name] = 0
		for text := range bytes.Lines(data) {
			var line struct {
				Event logs.Event `json:"event"`
				Peer  string     `json:"peer"`
			}
			if json.Unmarshal(text, &line) == nil && line.Event == logs.EventLinkLost && line.Peer == e.Name {
				lost[u.Name]++
			}
		}
	}
	return lost
}

// An engine breaks an answer off half way. The caller never takes the half for
// the whole: a whole answer becomes outcome unknown, a stream ends with an
// error.
func TestTruncatedAnswers(t *testing.T) {
	t.Parallel()
	r := newRig(t, shape{engines: []engin.Config{quick()}, services: 1, entries: 1})
	r.must(r.fleet.Unit("engine-1").Fault(r.ctx, engin.Fault{TruncateNext: 4}))
	var b batch
	for i := range 4 {
		r.send(&b, 0, ask(1, fmt.Sprintf("cut-%d", i), 20, i%2 == 0))
	}
	seen := r.judge(b.end())
	t.Log(seen)
	if seen[load.Complete]+seen[load.Unknown] != 4 {
		t.Errorf("outcomes %v", seen)
	}
}
