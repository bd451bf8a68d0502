package admit

import (
	"testing"
	"time"
)

// Guards against requests that go to an endpoint in a slow spell or queue behind others at one that
// states its speed, and against free slots that stay empty because all endpoints are slow.
func TestSlowdownChoosesEndpoint(t *testing.T) {
	endpoint := func(requests int, slowdown float64) Endpoint {
		return Endpoint{Usable: true, Slots: 9, Requests: requests, OutputTokens: requests * 100, Pace: testPace(), Slowdown: slowdown}
	}
	for name, tt := range map[string]struct {
		prompt    int
		endpoints []Endpoint
		want      int
	}{
		"fewer requests but slow":    {2000, []Endpoint{endpoint(5, 2.5), endpoint(8, 1)}, 1},
		"fewer requests":             {2000, []Endpoint{endpoint(5, 1), endpoint(8, 1)}, 0},
		"the only free slot is slow": {8000, []Endpoint{endpoint(8, 2.5), endpoint(17, 1)}, -1},
		"all are slow":               {8000, []Endpoint{endpoint(8, 2.5), endpoint(17, 2.5)}, 0},
		"most of the slots are free": {8000, []Endpoint{endpoint(2, 2.5), endpoint(17, 1)}, 0},
		"full, states nothing":       {100, []Endpoint{endpoint(9, 0)}, 0},
		"full, states its speed":     {100, []Endpoint{endpoint(9, 1)}, -1},
	} {
		r := Request{PromptTokens: tt.prompt, OutputTokens: 100, Target: 700 * time.Millisecond, UntilTarget: time.Second, UntilDeadline: time.Minute, AvoidEndpoint: -1, ExactCounts: true}
		if d := Decide(r, tt.endpoints); d.Endpoint != tt.want {
			t.Errorf("%s: %+v", name, d)
		}
	}
}

// Times from slow spells must not spoil the lasting pace, and an endpoint must not look faster
// because it wrongly says that it is slow or fast.
func TestLearnerCorrectsStatedSlowdowns(t *testing.T) {
	l := NewLearner()
	for i := range 200 {
		l.ObserveOutput("usual", 100, 500*time.Millisecond, 1)
		l.ObserveOutput("complains", 100, 500*time.Millisecond, 4)
		l.ObserveOutput("praises", 100, 500*time.Millisecond, 0.25)
		slowdown := []float64{2.5, 1, 1, 1, 1}[i%5]
		l.ObserveOutput("spells", 100, time.Duration(slowdown*float64(500*time.Millisecond)), slowdown)
	}
	want := l.Pace("usual").PerOutputToken
	if got := l.Pace("spells").PerOutputToken; got < want || got > want+want/100 {
		t.Errorf("%v for each token with spells, %v without", got, want)
	}
	for _, id := range []string{"complains", "praises"} {
		if got := l.Pace(id).PerOutputToken; got < want {
			t.Errorf("an endpoint that %s has a pace of %v, better than %v", id, got, want)
		}
	}
}
