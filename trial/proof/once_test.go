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
	"lycheepond/trial/fleet"
	"lycheepond/trial/load"
	"lycheepond/trial/proxy"
	"lycheepond/trial/simeng"
)

// The network between entries and agents delivers a frame twice or late, or the
// connection breaks before or after a frame, at each step of the protocol. A
// caller must get at worst a refusal or outcome unknown. No request may run
// twice, and none that ran may be answered not-run.
func TestDuplicatedLateAndLostFrames(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{engines: []simeng.Config{fastEngine(), fastEngine()}, entries: 2})
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
		for _, action := range []proxy.Action{proxy.Duplicate, proxy.Delay, proxy.CutBefore, proxy.CutAfter} {
			name := fmt.Sprintf("%s-%s", step.kind, action)
			fault := proxy.FrameFault{Direction: step.dir, Kind: step.kind, Action: action, Hold: spec.Duration(300 * time.Millisecond)}
			for _, p := range r.proxies {
				p.AddFrameFault(fault)
			}
			var b requestBatch
			for i := range 8 {
				r.send(&b, i%2, modelJob(i%spec.Tiers, fmt.Sprintf("%s-%d", name, i), 12, i%3 != 0))
			}
			outcomes := r.checkResults(b.wait())
			t.Log(name, outcomes)
			r.awaitRecovery(name)
		}
	}
}

// A link freezes without closing, at several steps of the protocol, for longer
// than the heartbeat timeout. Then it delivers the bytes that it held back, so
// that the agent gets grants that the entry has given up. A caller must get at
// worst outcome unknown.
func TestLinkFreezes(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{engines: []simeng.Config{fastEngine(), fastEngine()}, entries: 2})
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
		p.AddFrameFault(proxy.FrameFault{Direction: step.dir, Kind: step.kind, Action: proxy.FreezeBefore})
		var b requestBatch
		for i := range 8 {
			r.send(&b, i%2, modelJob(i%spec.Tiers, fmt.Sprintf("%s-%d", name, i), 12, i%3 != 0))
		}
		results := b.wait()
		p.SetFault(proxy.Fault{})
		r.awaitRecovery(name)
		t.Log(name, r.checkResults(results))
	}
}

// protocolStep is a step of the protocol between entries and an agent: a frame
// of kind that passes in direction dir.
type protocolStep struct {
	name string
	dir  proxy.Direction
	kind wire.Kind
}

// startAndAwaitStep starts a deployment with two engines, sends requests
// through both entries and waits until the step happens at the agent of
// engine-1. It returns the deployment, engine-1 and the requests in flight.
func startAndAwaitStep(t *testing.T, tag string, step protocolStep) (*rig, *fleet.Unit, *requestBatch) {
	t.Helper()
	r := newRig(t, rigConfig{engines: []simeng.Config{fastEngine(), fastEngine()}, entries: 2})
	u := r.fleet.Unit("engine-1")
	framesBefore := r.proxies[u.Name].FramesForwarded(step.dir, step.kind)
	b := new(requestBatch)
	for i := range 16 {
		r.send(b, i%2, modelJob(i%spec.Tiers, fmt.Sprintf("%s-%s-%d", tag, step.name, i), 30, i%3 != 0))
	}
	r.must(r.proxies[u.Name].AwaitFrames(r.ctx, step.dir, step.kind, framesBefore+1))
	return r, u, b
}

// An agent is killed while it has queued offers and streams answers, and is
// restarted. Its requests must end as unknown or be served by the other endpoint,
// and no request may run twice.
func TestAgentKilled(t *testing.T) {
	t.Parallel()
	for _, step := range []protocolStep{
		{"offer", proxy.Up, wire.KindOffer},
		{"claim", proxy.Down, wire.KindClaim},
		{"grant", proxy.Up, wire.KindGrant},
		{"chunk", proxy.Down, wire.KindChunk},
		{"end", proxy.Down, wire.KindEnd},
	} {
		t.Run(step.name, func(t *testing.T) {
			r, u, b := startAndAwaitStep(t, "kill", step)
			r.must(u.Agent.Kill())
			r.must(r.fleet.RestartAgent(r.ctx, u))
			outcomes := r.checkResults(b.wait())
			t.Log(outcomes)
			if outcomes[load.Complete] == 0 {
				t.Error("nothing was completed by the other endpoint")
			}
			r.awaitRecovery(step.name)
		})
	}
}

// An agent is paused, as by its instance or a debugger, while it has claims and
// grants, for longer than the entries wait. After it resumes, it finds grants
// that the entries have given up and offers that ran elsewhere. It must run
// none that was answered not-run, and no request may run twice.
func TestAgentPausedBeyondTimeouts(t *testing.T) {
	t.Parallel()
	for _, step := range []protocolStep{
		{"offer", proxy.Up, wire.KindOffer},
		{"claim", proxy.Down, wire.KindClaim},
		{"grant", proxy.Up, wire.KindGrant},
		{"chunk", proxy.Down, wire.KindChunk},
	} {
		t.Run(step.name, func(t *testing.T) {
			r, u, b := startAndAwaitStep(t, "pause", step)
			r.must(u.Agent.Pause())
			results := b.wait()
			r.must(u.Agent.Resume())
			r.awaitRecovery(step.name)
			t.Log(r.checkResults(results))
		})
	}
}

// An entry is killed, or paused for longer than every timeout, while its requests
// run. Its callers' connections break or end late, and each request may run at
// most once. Meanwhile the other entry must end all of its requests. The agents
// must close their links to the paused entry.
func TestEntryKilledOrPaused(t *testing.T) {
	t.Parallel()
	for _, pause := range []bool{false, true} {
		t.Run(fmt.Sprintf("pause=%v", pause), func(t *testing.T) {
			r := newRig(t, rigConfig{engines: []simeng.Config{fastEngine(), fastEngine()}, entries: 2})
			e := r.fleet.Entries()[0]
			var ownBatch, otherBatch requestBatch
			var jobs []load.Job
			for i := range 8 {
				jobs = append(jobs, modelJob(i%spec.Tiers, fmt.Sprintf("entry-%v-%d", pause, i), 60, i%3 != 0))
				r.send(&ownBatch, 0, jobs[i])
				r.send(&otherBatch, 1, modelJob(i%spec.Tiers, fmt.Sprintf("other-%v-%d", pause, i), 60, i%3 != 0))
			}
			r.must(r.proxies["engine-1"].AwaitFrames(r.ctx, proxy.Down, wire.KindChunk, 1))
			r.await("a request of the first entry runs", func() bool {
				runs := r.executions()
				return slices.ContainsFunc(jobs, func(j load.Job) bool { return runs[jobDigest(j)] > 0 })
			})
			if pause {
				lostBefore := r.countLostLinks(e)
				r.must(e.Proc.Pause())
				r.await("all agents have closed their link to the paused entry", func() bool {
					for name, n := range r.countLostLinks(e) {
						if n == lostBefore[name] {
							return false
						}
					}
					return true
				})
				time.Sleep(heartbeatInterval * 5)
				if outcomes := r.checkResults(otherBatch.wait()); outcomes[load.Complete] == 0 {
					t.Errorf("the other entry completed nothing during the pause: %v", outcomes)
				}
				r.must(e.Proc.Resume())
			} else {
				r.must(e.Proc.Kill())
			}
			results := append(ownBatch.wait(), otherBatch.wait()...)
			if !pause {
				r.must(r.fleet.RestartEntry(r.ctx, e))
			}
			r.awaitRecovery("entry")
			t.Log(r.checkResults(results))
		})
	}
}

// countLostLinks returns, by agent, the number of lost links to e in the
// agent's log.
func (r *rig) countLostLinks(e *fleet.Entry) map[string]int {
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

// An engine breaks off its answers halfway. A caller must not take half an answer
// for a complete one: without streaming it must get outcome unknown, and a stream
// must end with an error, unless the answer is completed after all.
func TestTruncatedAnswers(t *testing.T) {
	for _, unframed := range []bool{false, true} {
		t.Run(fmt.Sprint("unframed ", unframed), func(t *testing.T) {
			t.Parallel()
			testTruncatedAnswers(t, unframed)
		})
	}
}

func testTruncatedAnswers(t *testing.T, unframed bool) {
	r := newRig(t, rigConfig{engines: []simeng.Config{fastEngine()}, services: 1, entries: 1})
	r.must(r.fleet.Unit("engine-1").SetFault(r.ctx, simeng.Fault{TruncateNext: 4, Unframed: unframed}))
	var b requestBatch
	for i := range 4 {
		r.send(&b, 0, modelJob(1, fmt.Sprintf("cut-%d", i), 20, i%2 == 0))
	}
	outcomes := r.checkResults(b.wait())
	t.Log(outcomes)
	if outcomes[load.Complete]+outcomes[load.Unknown] != 4 {
		t.Errorf("outcomes %v", outcomes)
	}
}
