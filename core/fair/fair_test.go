package fair

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lycheepond/core/waitq"
)

// load is what one customer asks for: requests a second and the time for which each holds a slot.
type load struct {
	name   string
	weight float64
	rate   float64
	work   time.Duration
}

// shardSim is a shard on simulated time. Requests wait for at most maxWait, those for whom too
// many are ahead are refused at once.
type shardSim struct {
	tier    *Tier
	slots   int
	busy    []time.Duration
	queue   waitq.Queue[simRequest]
	waiting []*waitq.Request[simRequest]
	rnd     *rand.Rand
}

type simRequest struct {
	request *Request
	load    *load
	since   time.Duration
}

const simMaxWait = 50 * time.Millisecond

// simulate sends loads to shards at random, from start to end, and adds the work that is placed.
func simulate(rnd *rand.Rand, shards []*shardSim, loads []load, start, end time.Duration) map[string]float64 {
	placed := make(map[string]float64)
	for now := start; now < end; now += time.Millisecond {
		for _, s := range shards {
			s.finish(now)
			s.dispatch(now, placed)
		}
		for i := range loads {
			l := &loads[i]
			// At most one request of a customer comes in a millisecond.
			if rnd.Float64() < l.rate/1000 {
				s := shards[rnd.IntN(len(shards))]
				s.arrive(now, l)
				s.dispatch(now, placed)
			}
		}
	}
	return placed
}

func (s *shardSim) finish(now time.Duration) {
	running := s.busy[:0]
	for _, until := range s.busy {
		if until > now {
			running = append(running, until)
		}
	}
	s.busy = running
	for len(s.waiting) > 0 && now-s.waiting[0].Value.since > simMaxWait {
		if s.queue.Remove(s.waiting[0]) {
			s.tier.Refuse(s.waiting[0].Value.request)
		}
		s.waiting = s.waiting[1:]
	}
}

func (s *shardSim) arrive(now time.Duration, l *load) {
	r := s.tier.Ask(now, l.name, l.weight, l.work)
	p := waitq.Priority{CustomerOwed: r.Owed(), StartTag: r.StartTag(), TargetAt: now, HoldTime: l.work}
	if s.queue.CountAhead(p) >= max(s.slots/4, 4) {
		s.tier.Refuse(r)
		return
	}
	s.tier.Wait(r)
	s.waiting = append(s.waiting, s.queue.Add(simRequest{r, l, now}, p))
}

func (s *shardSim) dispatch(now time.Duration, placed map[string]float64) {
	s.queue.SendInOrder(func(r *waitq.Request[simRequest]) (sent, more bool) {
		if len(s.busy) >= s.slots {
			return false, false
		}
		s.tier.Place(now, r.Value.request)
		s.busy = append(s.busy, now+time.Duration((0.5+s.rnd.Float64())*float64(r.Value.load.work)))
		placed[r.Value.load.name] += r.Value.load.work.Seconds()
		return true, true
	})
}

func newShards(n, slots int) []*shardSim {
	var out []*shardSim
	for i := range n {
		out = append(out, &shardSim{tier: new(Tier), slots: slots, rnd: rand.New(rand.NewPCG(9, uint64(i)))})
	}
	return out
}

// crowd returns n customers that each ask for more than their share of the slots, the last ones
// for four times as much as the first, with requests of different sizes.
func crowd(n, slots int) []load {
	var out []load
	for i := range n {
		work := time.Duration(100+100*(i%4)) * time.Millisecond
		out = append(out, load{fmt.Sprint("c", i), 1, 1.5 * (1 + 3*float64(i)/float64(n)) * float64(slots) / float64(n) / work.Seconds(), work})
	}
	return out
}

// jainIndex returns Jain's index of what customers were placed by weight.
func jainIndex(placed map[string]float64, loads []load) float64 {
	sum, squares := 0.0, 0.0
	for _, l := range loads {
		x := placed[l.name] / max(l.weight, 1)
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(loads)) * squares)
}

// Guards against unequal shares of customers who all ask for more than they get, and against
// slots that are left idle for the sake of equality.
func TestSharesAreEqual(t *testing.T) {
	for _, n := range []int{2, 16, 100} {
		loads := crowd(n, 80)
		rnd := rand.New(rand.NewPCG(1, uint64(n)))
		shards := newShards(1, 80)
		simulate(rnd, shards, loads, 0, 2*time.Second)
		placed := simulate(rnd, shards, loads, 2*time.Second, 5*time.Second)
		total := 0.0
		for _, w := range placed {
			total += w
		}
		if index := jainIndex(placed, loads); index < 0.98 || total < 0.96*3*80 {
			t.Errorf("%d customers: Jain's index %.4f, %.0f of %d slot-seconds used", n, index, total, 3*80)
		}
	}
}

// Guards against weights that do not count, that count too much, or that stop the division.
func TestSharesFollowWeights(t *testing.T) {
	loads := crowd(4, 80)
	for i, w := range []float64{1, 2, 4, 1} {
		loads[i].weight, loads[i].rate = w, 4*loads[i].rate
	}
	// Values that are not above zero count as one.
	loads[3].weight = math.NaN()
	rnd := rand.New(rand.NewPCG(2, 2))
	shards := newShards(1, 80)
	simulate(rnd, shards, loads, 0, 2*time.Second)
	placed := simulate(rnd, shards, loads, 2*time.Second, 5*time.Second)
	if index := jainIndex(placed, loads); index < 0.98 {
		t.Errorf("Jain's index by weight is %.4f: %v", index, placed)
	}
}

// The owner of a shard ends, and the next one knows no tags. Guards against unequal service for
// longer than a second after that.
func TestNewOwnerSharesWithinASecond(t *testing.T) {
	loads := crowd(16, 80)
	rnd := rand.New(rand.NewPCG(3, 3))
	shards := newShards(1, 80)
	simulate(rnd, shards, loads, 0, 3*time.Second)
	shards[0].tier, shards[0].queue, shards[0].waiting = new(Tier), waitq.Queue[simRequest]{}, nil
	first := jainIndex(simulate(rnd, shards, loads, 3*time.Second, 4*time.Second), loads)
	next := jainIndex(simulate(rnd, shards, loads, 4*time.Second, 7*time.Second), loads)
	t.Logf("Jain's index %.4f in the first second, %.4f in the next three", first, next)
	if next < 0.98 {
		t.Errorf("Jain's index is %.4f after a second", next)
	}
}

// Two entries take themselves for the owner. Guards against customers that get more from two
// owners than from one.
func TestTwoOwnersShareWhatTheyPlace(t *testing.T) {
	loads := crowd(16, 80)
	rnd := rand.New(rand.NewPCG(4, 4))
	shards := newShards(2, 40)
	simulate(rnd, shards, loads, 0, 2*time.Second)
	if index := jainIndex(simulate(rnd, shards, loads, 2*time.Second, 5*time.Second), loads); index < 0.98 {
		t.Errorf("Jain's index is %.4f", index)
	}
}

// Guards against a customer with many times its load that is refused altogether, against a floor
// that takes the others' shares, and against a customer that is refused after its load is usual
// again.
func TestFloorOfLargeCustomer(t *testing.T) {
	loads := []load{{"large", 1, 990, 200 * time.Millisecond}}
	for i := range 15 {
		loads = append(loads, load{fmt.Sprint("c", i), 1, 40, 200 * time.Millisecond})
	}
	rnd := rand.New(rand.NewPCG(5, 5))
	shards := newShards(1, 80)
	simulate(rnd, shards, loads, 0, 3*time.Second)
	placed := simulate(rnd, shards, loads, 3*time.Second, 13*time.Second)
	others := 0.0
	for _, l := range loads[1:] {
		others += placed[l.name]
	}
	// The large customer asks for 198 slots and the others for 120, of 80.
	if rate := placed["large"] / (10 * 198); rate < 0.35*80/318 || rate > 0.5*80/318 {
		t.Errorf("the large customer is served %.3f of what it asks for, all are served %.3f", rate, 80.0/318)
	}
	if others < 0.45*10*120 {
		t.Errorf("the others are served %.2f of what they ask for", others/(10*120))
	}
	// Then all ask for twice their share.
	for i := range loads {
		loads[i].rate, loads[i].work = 50, 200*time.Millisecond
	}
	simulate(rnd, shards, loads, 13*time.Second, 14*time.Second)
	if index := jainIndex(simulate(rnd, shards, loads, 14*time.Second, 17*time.Second), loads); index < 0.98 {
		t.Errorf("Jain's index is %.4f after the large customer has gone back to its usual load", index)
	}
}

// Guards against requests served by the floor that move the virtual time away from the tags that
// are served in order, or that leave a customer last for long afterwards.
func TestFloorDoesNotMoveVirtualTime(t *testing.T) {
	var tier Tier
	owed := 0
	for i := range 5000 {
		now := time.Duration(i) * 10 * time.Millisecond
		for _, name := range []string{"a", "b", "c", "d"} {
			tier.Place(now, tier.Ask(now, name, 1, 100*time.Millisecond))
		}
		for range 50 {
			if r := tier.Ask(now, "large", 1, 100*time.Millisecond); r.Owed() {
				owed++
				tier.Place(now, r)
			} else {
				tier.Refuse(r)
			}
		}
	}
	if owed < 1000 {
		t.Fatalf("%d requests were served by the floor: the test shows nothing", owed)
	}
	if a := tier.customers["a"].finish; tier.virtualTime > a {
		t.Errorf("the virtual time is %.1f, the customer that is served in order has %.1f", tier.virtualTime, a)
	}
	if ahead := tier.customers["large"].finish - tier.virtualTime; ahead > tier.credit() {
		t.Errorf("the customer that is served by the floor is ahead by %.1f, the bound is %.1f", ahead, tier.credit())
	}
}

// A customer uses the idle slots of a tier for a minute. Guards against others that are put first
// for as long when the tier becomes full, or second.
func TestPastUseIsForgotten(t *testing.T) {
	loads := crowd(2, 80)
	rnd := rand.New(rand.NewPCG(6, 6))
	shards := newShards(1, 80)
	simulate(rnd, shards, loads[:1], 0, time.Minute)
	simulate(rnd, shards, loads, time.Minute, time.Minute+time.Second)
	if index := jainIndex(simulate(rnd, shards, loads, time.Minute+time.Second, time.Minute+4*time.Second), loads); index < 0.98 {
		t.Errorf("Jain's index is %.4f", index)
	}
}

// An entry ends and its requests leave the queue. Guards against work that stays counted and
// delays the customer's next requests.
func TestWorkOfWaitingRequestsIsTakenBack(t *testing.T) {
	var tier Tier
	for range 100 {
		tier.Place(0, tier.Ask(0, "a", 1, time.Second))
	}
	before := tier.Ask(0, "a", 1, time.Second)
	tier.Refuse(before)
	var waiting []*Request
	for range 50 {
		r := tier.Ask(0, "a", 1, time.Second)
		tier.Wait(r)
		waiting = append(waiting, r)
	}
	if last := waiting[49].StartTag(); last < before.StartTag()+40*time.Second {
		t.Errorf("the 50th waiting request has the tag %v, the first %v", last, before.StartTag())
	}
	for _, r := range waiting {
		tier.Refuse(r)
	}
	if after := tier.Ask(0, "a", 1, time.Second); after.StartTag() != before.StartTag() {
		t.Errorf("the tag is %v, it was %v before the requests waited", after.StartTag(), before.StartTag())
	}
}

// Guards against memory that grows with the number of customers, and against sums that drift.
func TestStateIsBounded(t *testing.T) {
	var tier Tier
	rnd := rand.New(rand.NewPCG(7, 7))
	var waiting []*Request
	now := time.Duration(0)
	for range 200000 {
		now += time.Millisecond
		r := tier.Ask(now, fmt.Sprint(rnd.IntN(21000)), 1, 200*time.Millisecond)
		switch rnd.IntN(3) {
		case 0:
			tier.Place(now, r)
		case 1:
			tier.Refuse(r)
		default:
			tier.Wait(r)
			waiting = append(waiting, r)
		}
		if len(waiting) > 5000 {
			tier.Place(now, waiting[0])
			waiting = waiting[1:]
		}
	}
	listed, active := 0, 0.0
	for c := tier.first; c != nil; c = c.next {
		listed++
		if c.isActive {
			active += c.weight
		}
	}
	if len(tier.customers) > maxCustomers || listed != len(tier.customers) {
		t.Errorf("%d customers, %d in the list", len(tier.customers), listed)
	}
	if math.Abs(active-tier.activeWeight) > 1e-6 {
		t.Errorf("the active weight is %v, want %v", tier.activeWeight, active)
	}
	for _, r := range waiting {
		tier.Refuse(r)
	}
	for i := range 2 * maxCustomers {
		now += time.Second
		tier.Place(now, tier.Ask(now, fmt.Sprint("new", i%2), 1, time.Second))
	}
	if n := len(tier.customers); n > 100 {
		t.Errorf("%d customers are known after hours in which two asked", n)
	}
}

// Guards against work per decision that grows with the number of customers. The bound leaves room
// for slower memory.
func TestCostDoesNotGrowWithCustomers(t *testing.T) {
	cost := func(customers int) time.Duration {
		var tier Tier
		names := make([]string, customers)
		for i := range names {
			names[i] = fmt.Sprint("customer-", i)
		}
		const rounds = 100000
		start := time.Now()
		for i := range rounds {
			now := time.Duration(i) * time.Millisecond / 4
			tier.Place(now, tier.Ask(now, names[i%customers], 1, 200*time.Millisecond))
		}
		return time.Since(start) / rounds
	}
	few, many := cost(16), cost(21000)
	t.Logf("%v for a decision among 16 customers, %v among 21,000", few, many)
	if many > 20*few {
		t.Errorf("%v for a decision among 16 customers, %v among 21,000", few, many)
	}
}
