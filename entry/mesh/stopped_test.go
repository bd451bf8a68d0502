package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"lycheepond/core/relay"
	"lycheepond/core/wire"
)

// silenceLimit is how long a peer may be silent in a small fleet.
const silenceLimit = silentIntervals * maxTallyInterval

// runSilenceChecks looks for silent peers for d, as a running process does.
func (m *Mesh) runSilenceChecks(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(minTallyInterval)
		m.expireSilentPeers()
	}
}

// A process is paused for longer than its peers may be silent. When it resumes, it
// looks for silent peers before it reads the tallies that arrived during the pause.
// If all peers counted as lost, it would forget their requests at the endpoints and
// send its own into queues that it believes to be empty. When its pause counted as
// the peers' silence, this test reported 1 entry reachable and 3 losses.
func TestProcessPauseIsNotPeerSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, _ := receiver()
		lost := 0
		m.cfg.OnPeerLost = func(string) { lost++ }
		from := origin{"other", "z", 7}
		for seq := uint64(1); seq <= 3; seq++ {
			m.handleTally(from, relay.Direct, &wire.Tally{Seq: seq, Full: seq == 1}, nil)
			m.runSilenceChecks(silenceLimit / 2)
			time.Sleep(2 * silenceLimit)
			m.expireSilentPeers()
		}
		if reachable, _ := m.EntryCounts(); reachable != 2 || lost > 0 {
			t.Errorf("%d entries reachable after a pause, %d losses", reachable, lost)
		}
	})
}

// A dead peer must be detected even by a process that is paused again and again.
// Otherwise the peer's requests would count for ever, and this entry would avoid the
// endpoints that they occupied.
func TestDeadPeerIsDetectedBetweenPauses(t *testing.T) {
	for _, pause := range []time.Duration{0, silenceLimit / 2, silenceLimit, 2 * silenceLimit} {
		synctest.Test(t, func(t *testing.T) {
			m, _ := receiver()
			m.handleTally(origin{"other", "z", 7}, relay.Direct, &wire.Tally{Seq: 1, Full: true}, nil)
			began, running := time.Now(), time.Duration(0)
			for reachable := 2; reachable == 2 && running < 2*silenceLimit; reachable, _ = m.EntryCounts() {
				time.Sleep(pause)
				m.expireSilentPeers()
				m.runSilenceChecks(minTallyInterval)
				running += minTallyInterval
			}
			if reachable, _ := m.EntryCounts(); reachable == 2 {
				t.Errorf("with pauses of %v still reachable after running for %v", pause, running)
			}
			t.Logf("with pauses of %v lost after %v, running for %v of it", pause, time.Since(began), running)
		})
	}
}

// Peers that have been silent for a long time are removed from the platform's list
// of entries. A process that resumes after a long pause has received nothing during
// it. If it counted its own pause as the peers' silence, it would have running
// entries removed, even before its next check for silent peers.
func TestProcessPauseReportsNoSilentPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, _ := receiver()
		m.handleTally(origin{"other", "z", 7}, relay.Direct, &wire.Tally{Seq: 1, Full: true}, nil)
		m.peers["other"].listed = true
		m.runSilenceChecks(silenceLimit / 2)
		time.Sleep(2 * knownPeriod)
		if silent := m.SilentPeers(knownPeriod); len(silent) > 0 {
			t.Errorf("%v reported before silent peers were looked for", silent)
		}
		m.expireSilentPeers()
		m.runSilenceChecks(knownPeriod - silenceLimit)
		if silent := m.SilentPeers(knownPeriod); len(silent) > 0 {
			t.Errorf("%v reported %v after the pause", silent, knownPeriod-silenceLimit)
		}
		m.runSilenceChecks(2 * silenceLimit)
		if silent := m.SilentPeers(knownPeriod); len(silent) != 1 {
			t.Errorf("%v reported %v after the pause, want the silent peer", silent, knownPeriod+silenceLimit)
		}
	})
}

// A hub that stops sending is replaced at once. A process that resumes after a pause
// has received nothing from any hub. If it replaced the hubs before it has read
// their tallies, tallies would take other paths and needless links would be dialled.
func TestProcessPauseKeepsHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, _ := receiver()
		m.countLink(wire.Hello{Name: "other"}, true)
		m.handleTally(origin{"other", "z", 7}, relay.Direct, &wire.Tally{Seq: 1, Full: true}, nil)
		m.runSilenceChecks(maxTallyInterval)
		time.Sleep(silenceLimit)
		m.expireSilentPeers()
		if m.peers["other"].isLinkSilent(maxTallyInterval) {
			t.Error("replaced before its tallies are read")
		}
		m.runSilenceChecks(maxTallyInterval + hubMargin + minTallyInterval)
		if !m.peers["other"].isLinkSilent(maxTallyInterval) {
			t.Error("a hub that stays silent is not replaced")
		}
	})
}
