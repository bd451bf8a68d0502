package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"lycheepond/core/relay"
	"lycheepond/core/wire"
)

// within is how long a peer may be silent among few entries.
const within = heardTimes * tellAtLeast

// run looks for silent peers as a process that runs does, for d.
func (m *Mesh) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(tellEvery)
		m.expire()
	}
}

// A process is stopped for longer than its peers may be silent. When it goes on it
// looks for silent peers before it reads what they told meanwhile. If all count as
// gone, it forgets the work that they have at the endpoints, and sends its requests
// into queues that it takes for empty. With what it missed counted as their silence
// it said "1 entries heard after a stop, 3 times lost one".
func TestStopOfTheProcessIsNotThePeersSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, _ := receiver()
		lost := 0
		m.cfg.Lost = func(string) { lost++ }
		from := origin{"other", "z", 7}
		for seq := uint64(1); seq <= 3; seq++ {
			m.take(from, relay.Direct, &wire.Tally{Seq: seq, Full: seq == 1}, nil)
			m.run(within / 2)
			time.Sleep(2 * within)
			m.expire()
		}
		if heard, _ := m.Reach(); heard != 2 || lost > 0 {
			t.Errorf("%d entries heard after a stop, %d times lost one", heard, lost)
		}
	})
}

// A peer that is dead counts as gone also in a process that is stopped again and
// again: for ever counted, its work would keep requests away from the endpoints.
func TestDeadPeerIsFoundBetweenStops(t *testing.T) {
	for _, stop := range []time.Duration{0, within / 2, within, 2 * within} {
		synctest.Test(t, func(t *testing.T) {
			m, _ := receiver()
			m.take(origin{"other", "z", 7}, relay.Direct, &wire.Tally{Seq: 1, Full: true}, nil)
			began, ran := time.Now(), time.Duration(0)
			for heard := 2; heard == 2 && ran < 2*within; heard, _ = m.Reach() {
				time.Sleep(stop)
				m.expire()
				m.run(tellEvery)
				ran += tellEvery
			}
			if heard, _ := m.Reach(); heard == 2 {
				t.Errorf("with stops of %v still heard after it ran for %v", stop, ran)
			}
			t.Logf("with stops of %v gone after %v, of which it ran for %v", stop, time.Since(began), ran)
		})
	}
}

// Peers that were silent for long are taken off the platform's list of entries. A
// process that goes on after a long stop has heard nobody meanwhile; if it takes
// that for their silence, it takes entries off the list that are at work: "[other] off
// the list before it was looked for silent peers".
func TestStopOfTheProcessTakesNoPeerOffTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, _ := receiver()
		m.take(origin{"other", "z", 7}, relay.Direct, &wire.Tally{Seq: 1, Full: true}, nil)
		m.peers["other"].listed = true
		m.run(within / 2)
		time.Sleep(2 * knownFor)
		if off := m.Silent(knownFor); len(off) > 0 {
			t.Errorf("%v off the list before it was looked for silent peers", off)
		}
		m.expire()
		m.run(knownFor - within)
		if off := m.Silent(knownFor); len(off) > 0 {
			t.Errorf("%v off the list %v after the stop", off, knownFor-within)
		}
		m.run(2 * within)
		if off := m.Silent(knownFor); len(off) != 1 {
			t.Errorf("%v off the list %v after the stop, want the silent peer", off, knownFor+within)
		}
	})
}

// A hub that has stopped to tell is left for another one at once. In a process that
// goes on after a stop all hubs look so; left together, the fleet is told through
// others and links are dialled that nobody needs: "left before what it told is read".
func TestStopOfTheProcessLeavesNoHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, _ := receiver()
		m.linked(wire.Hello{Name: "other"}, true)
		m.take(origin{"other", "z", 7}, relay.Direct, &wire.Tally{Seq: 1, Full: true}, nil)
		m.run(tellAtLeast)
		time.Sleep(within)
		m.expire()
		if m.peers["other"].mute(tellAtLeast) {
			t.Error("left before what it told is read")
		}
		m.run(tellAtLeast + hubMargin + tellEvery)
		if !m.peers["other"].mute(tellAtLeast) {
			t.Error("a hub that stays silent is kept")
		}
	})
}
