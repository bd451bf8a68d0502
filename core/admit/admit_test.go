package admit

import (
	"testing"
	"time"
)

func testPace() Pace {
	return Pace{FirstEvent: 20 * time.Millisecond, PerPromptToken: 20 * time.Microsecond, PerOutputToken: 5 * time.Millisecond}
}

func testRequest() Request {
	return Request{PromptTokens: 6000, OutputTokens: 400, Target: time.Second, UntilTarget: time.Second, UntilDeadline: 15 * time.Second, AvoidEndpoint: -1}
}

// While an endpoint has free slots, a request must go neither to a full endpoint nor to one
// that failed.
func TestDecidePrefersLeastLoaded(t *testing.T) {
	es := []Endpoint{
		{Usable: true, Slots: 9, Requests: 9, OutputTokens: 1800, Pace: testPace()},
		{Usable: true, Slots: 9, Requests: 2, OutputTokens: 400, Pace: testPace()},
		{Slots: 9, Pace: testPace()},
	}
	if d := Decide(testRequest(), es); d.Endpoint != 1 {
		t.Errorf("endpoint %d, want 1: %+v", d.Endpoint, d)
	}
}

// If all tiers were admitted up to the same queue length, the highest tier would be refused
// as often as the lowest.
func TestLowerTiersAreRefusedFirst(t *testing.T) {
	refused := [3]int{}
	for depth := range 40 {
		e := Endpoint{Usable: true, Slots: 9, Requests: 9 + depth, OutputTokens: (9 + depth) * 150, Pace: testPace()}
		for rank := range refused {
			r := Request{TierRank: rank, TierCount: len(refused), PromptTokens: 600, OutputTokens: 200, Target: time.Second, UntilTarget: time.Second, UntilDeadline: 12 * time.Second, AvoidEndpoint: -1}
			if Decide(r, []Endpoint{e}).Endpoint < 0 {
				refused[rank]++
			}
		}
	}
	if !(refused[0] < refused[1] && refused[1] < refused[2]) {
		t.Errorf("refused by rank: %v", refused)
	}
	if refused[0] == 0 {
		t.Error("the highest tier is never refused: queues would grow without bound")
	}
}

// At the start of a burst only short waits have been learned, and an owner predicts no wait
// at all. Engine queues must not grow with the burst.
func TestExactCountsBoundQueueDespiteLearnedWait(t *testing.T) {
	e := Endpoint{Usable: true, Slots: 7, OutputTokens: 7 * 50, Pace: testPace()}
	e.Pace.WaitFactor = minWaitFactor
	r := Request{TierCount: 3, PromptTokens: 600, OutputTokens: 50, Target: time.Second, UntilTarget: time.Second, UntilDeadline: 12 * time.Second, AvoidEndpoint: -1, ExactCounts: true}
	for Decide(r, []Endpoint{e}).Endpoint >= 0 && e.Requests < 100 {
		e.Requests++
		e.OutputTokens += r.OutputTokens
	}
	if e.Requests > 2*e.Slots {
		t.Errorf("%d requests at an engine of %d slots", e.Requests, e.Slots)
	}
}

// A refused caller that returns after RetryAfter must be admitted if the queue has drained
// as predicted.
func TestRetryAfterMatchesQueueDrainTime(t *testing.T) {
	e := Endpoint{Usable: true, Slots: 9, Requests: 30, OutputTokens: 30 * 200, Pace: testPace()}
	d := Decide(testRequest(), []Endpoint{e})
	if d.Reason != Full || d.RetryAfter < 500*time.Millisecond {
		t.Fatalf("%+v", d)
	}
	each := e.Pace.FirstEvent + 200*e.Pace.PerOutputToken
	e.Requests -= int(d.RetryAfter*9/each) + 1
	e.Requests = max(e.Requests, 0)
	e.OutputTokens = e.Requests * 200
	if d := Decide(testRequest(), []Endpoint{e}); d.Endpoint < 0 {
		t.Errorf("refused again: %+v", d)
	}
}

// If requests were refused while every endpoint is marked as failed, no endpoint could ever
// show that it works again.
func TestUnusableEndpointsAreUsedWhenThereAreNoOthers(t *testing.T) {
	if d := Decide(testRequest(), []Endpoint{{Slots: 9, Pace: testPace()}}); d.Endpoint != 0 {
		t.Errorf("%+v", d)
	}
	if d := Decide(testRequest(), nil); d.Reason != NoEndpoint || d.RetryAfter == 0 {
		t.Errorf("%+v", d)
	}
}

// An answer that cannot be complete by the deadline would only take a slot from other
// requests.
func TestAnswerThatCannotEndInTimeIsRefused(t *testing.T) {
	r := testRequest()
	r.OutputTokens = 8000
	if d := Decide(r, []Endpoint{{Usable: true, Slots: 9, Pace: testPace()}}); d.Reason != TooLong {
		t.Errorf("%+v", d)
	}
}

// At a busy endpoint's average pace, a long answer would end just after the deadline. If it
// were refused, every retry would be refused as well, although most such answers end in
// time.
func TestAnswerThatMayEndInTimeIsAdmitted(t *testing.T) {
	r := testRequest()
	r.OutputTokens = 3500
	if d := Decide(r, []Endpoint{{Usable: true, Slots: 9, Pace: testPace()}}); d.Endpoint != 0 {
		t.Errorf("%+v", d)
	}
}

// The endpoints of a pool differ in speed. With one pace for all of them, predictions would
// be too short for the slow ones and too long for the fast ones.
func TestLearnerLearnsPacePerEndpoint(t *testing.T) {
	l := NewLearner()
	for range 60 {
		l.ObserveFirstEvent("slow", 6000, 20*time.Millisecond+6000*60*time.Microsecond, 1)
		l.ObserveFirstEvent("fast", 6000, 20*time.Millisecond+6000*10*time.Microsecond, 1)
		l.ObserveOutput("slow", 100, 1400*time.Millisecond, 1)
		l.ObserveOutput("fast", 100, 300*time.Millisecond, 1)
	}
	slow, fast := l.Pace("slow"), l.Pace("fast")
	if slow.PerPromptToken < 50*time.Microsecond || fast.PerPromptToken > 15*time.Microsecond {
		t.Errorf("prompt: slow %v, fast %v", slow.PerPromptToken, fast.PerPromptToken)
	}
	if slow.PerOutputToken < 12*time.Millisecond || fast.PerOutputToken > 4*time.Millisecond {
		t.Errorf("output: slow %v, fast %v", slow.PerOutputToken, fast.PerOutputToken)
	}
}

// Answers vary widely in length, so the first of nine requests ends long before the
// average. Without the correction an entry overestimates the load twofold and refuses
// requests for which there is room.
func TestLearnerCorrectsPredictedWaits(t *testing.T) {
	l := NewLearner()
	e := Endpoint{Usable: true, Slots: 9, Requests: 12, OutputTokens: 12 * 200}
	for range 300 {
		e.Pace = l.Pace("e")
		l.ObserveWait(e.slotWait(Request{}), 30*time.Millisecond)
	}
	e.Pace = l.Pace("e")
	if got := e.slotWait(Request{}); got < 27*time.Millisecond || got > 33*time.Millisecond {
		t.Errorf("predicts a wait of %v, want about 30ms", got)
	}
}

// A prompt takes longer to prefill than its target allows while most slots are free. If it
// were refused, every retry would be refused as well, although there is room.
func TestLongPromptIsAdmittedWhenMostSlotsAreFree(t *testing.T) {
	r := testRequest()
	r.PromptTokens = 80000
	e := Endpoint{Usable: true, Slots: 9, Requests: 3, OutputTokens: 300, Pace: testPace()}
	if d := Decide(r, []Endpoint{e}); d.Endpoint != 0 {
		t.Errorf("%+v", d)
	}
	e.Requests, e.OutputTokens = 9, 900
	if d := Decide(r, []Endpoint{e}); d.Endpoint >= 0 || d.Reason != Late {
		t.Errorf("at a full endpoint: %+v", d)
	}
}

// The fastest endpoint has a queue and a slower one has a free slot. If only the fastest
// were considered, a request of the lowest tier would be refused although there is room for
// it.
func TestFreeSlotAtSlowerEndpointIsUsed(t *testing.T) {
	quick, slow := testPace(), testPace()
	slow.FirstEvent, slow.PerPromptToken = 5*slow.FirstEvent, 5*slow.PerPromptToken
	quick.WaitFactor = 0.6
	es := []Endpoint{
		{Usable: true, Slots: 7, Requests: 7, OutputTokens: 7 * 200, Pace: quick},
		{Usable: true, Slots: 7, Requests: 6, OutputTokens: 6 * 200, Pace: slow},
	}
	r := Request{TierRank: 2, TierCount: 3, PromptTokens: 500, OutputTokens: 280, Target: 400 * time.Millisecond, UntilTarget: 400 * time.Millisecond, UntilDeadline: 15 * time.Second, AvoidEndpoint: -1}
	if quick, slow := es[0].PredictFirstEvent(r), es[1].PredictFirstEvent(r); quick >= slow {
		t.Fatalf("first event after %v at the full endpoint, %v at the other", quick, slow)
	}
	if d := Decide(r, es); d.Endpoint != 1 {
		t.Errorf("%+v", d)
	}
}

// The instance list still names an engine that has gone. Its slots must not count as room
// that queued requests leave to lower tiers.
func TestFreeSlotsIgnoresFailedEndpoints(t *testing.T) {
	es := []Endpoint{{Usable: true, Slots: 7, Requests: 5}, {Slots: 7}, {Usable: true, Slots: 7, Requests: 9}}
	if got := FreeSlots(es); got != 2 {
		t.Errorf("%d slots appear free, want 2", got)
	}
}

// An endpoint's rate limit must hold even if the endpoint is in the same zone, is the only
// usable one, or has free slots.
func TestRateLimitedEndpointIsNotUsed(t *testing.T) {
	full := Endpoint{SameZone: true, Usable: true, Slots: 10, RateLimit: RateLimit{Limited: true, RequestsPerSecond: 2, NextAllowedIn: 400 * time.Millisecond}}
	r := Request{Target: time.Second, UntilTarget: time.Second, UntilDeadline: time.Minute, AvoidEndpoint: -1, TierCount: 1}
	for name, others := range map[string][]Endpoint{
		"alone": nil, "next to a failed one": {{Slots: 10}}, "next to a full one": {{Usable: true, Slots: 1, Requests: 50, OutputTokens: 50000, Pace: Pace{PerOutputToken: time.Second}}},
	} {
		dec := Decide(r, append([]Endpoint{full}, others...))
		if dec.Endpoint >= 0 || dec.Reason != Full {
			t.Errorf("%s: sent to %d, %v", name, dec.Endpoint, dec.Reason)
		}
		if name == "alone" && (dec.RetryAfter != full.NextAllowedIn || dec.SlotInterval.Round(time.Millisecond) != 500*time.Millisecond) {
			t.Errorf("retry after %v, slot interval %v", dec.RetryAfter, dec.SlotInterval)
		}
	}
	available := full
	available.AllowedNow, available.NextAllowedIn = 1, 0
	if dec := Decide(r, []Endpoint{available}); dec.Endpoint != 0 {
		t.Errorf("an endpoint below its rate limit is not used: %v", dec.Reason)
	}
	if free, slots := FreeSlots([]Endpoint{full, available}), UsableSlots([]Endpoint{full, available}); free != 1 || slots != 1 {
		t.Errorf("%d of %d slots are free, want 1 of 1", free, slots)
	}
}

// Guards against a request that is sent to an endpoint during its rest because no other is
// usable, and against a refusal that names another time than the end of the first rest.
func TestRestingEndpointIsNotUsed(t *testing.T) {
	resting := func(left time.Duration) Endpoint {
		return Endpoint{SameZone: true, Usable: true, Slots: 10, RestLeft: left, Pace: Pace{FirstEvent: 50 * time.Millisecond}}
	}
	full := Endpoint{Usable: true, Slots: 1, Requests: 50, OutputTokens: 50000, Pace: Pace{PerOutputToken: time.Second}}
	r := Request{Target: time.Second, UntilTarget: time.Second, UntilDeadline: time.Minute, AvoidEndpoint: -1, TierCount: 1}
	for name, tt := range map[string]struct {
		endpoints []Endpoint
		restWait  time.Duration
	}{
		"alone":              {[]Endpoint{resting(2 * time.Second)}, 2 * time.Second},
		"all rest":           {[]Endpoint{resting(2 * time.Second), resting(time.Second)}, time.Second},
		"next to a failed":   {[]Endpoint{resting(time.Second), {Slots: 10}}, time.Second},
		"next to a full one": {[]Endpoint{resting(time.Second), full}, 0},
		"after a failed one": {[]Endpoint{{Slots: 10}, resting(time.Second)}, time.Second},
	} {
		dec := Decide(r, tt.endpoints)
		if dec.Endpoint >= 0 || dec.Reason != Full || dec.RestWait != tt.restWait || dec.RetryAfter < tt.restWait {
			t.Errorf("%s: %+v", name, dec)
		}
		if tt.restWait > 0 && dec.FirstEvent-dec.SlotWait != 50*time.Millisecond {
			t.Errorf("%s: %v of work is expected, want 50ms", name, dec.FirstEvent-dec.SlotWait)
		}
	}
	if dec := Decide(r, []Endpoint{resting(time.Second), {Usable: true, Slots: 10}}); dec.Endpoint != 1 {
		t.Errorf("sent to %d, %v", dec.Endpoint, dec.Reason)
	}
	if free, slots := FreeSlots([]Endpoint{resting(1)}), UsableSlots([]Endpoint{resting(1)}); free != 0 || slots != 0 {
		t.Errorf("%d of %d slots of a resting endpoint are free", free, slots)
	}
}
