package exper

import (
	"math"
	"regexp"
	"slices"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/engin"
	"lycheepond/trial/load"
)

// Line is the figures of one tier.
type Line struct {
	Scenario     string `json:"scenario"`
	Policy       string `json:"policy"`
	Tier         int    `json:"tier"`
	Offered      int    `json:"offered"`
	WithinTarget int    `json:"within_target"`
	// Late counts whole answers outside the target and callers that gave up.
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	Wrong   int `json:"wrong"`
	// PromptTokens is the prompt work that reached engines.
	PromptTokens        int `json:"prompt_tokens"`
	WastedPrefillTokens int `json:"wasted_prefill_tokens"`
	// P50MS and P99MS are of the time to the last byte of whole answers.
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
}

// counted returns the results of requests that arrived after the lead.
func (o Outcome) counted() []load.Result {
	for i, r := range o.Results {
		if r.Job.SendAt >= o.lead {
			return o.Results[i:]
		}
	}
	return nil
}

// Lines returns the figures of each tier.
func (o Outcome) Lines() []Line {
	lines := make([]Line, spec.Tiers)
	times := make([][]time.Duration, spec.Tiers)
	tierOf := make(map[string]uint8)
	for i := range lines {
		lines[i] = Line{Scenario: o.Scenario, Policy: o.Policy, Tier: i}
	}
	for _, r := range o.counted() {
		tier := r.Job.Class.Tier
		tierOf[engin.Digest(r.Job.Ask.Text())] = tier
		lines[tier].count(r)
		if r.Outcome == load.Complete {
			times[tier] = append(times[tier], r.Total)
		}
	}
	for _, rec := range o.Records {
		if tier, ok := tierOf[rec.PromptDigest]; ok {
			lines[tier].PromptTokens += rec.PromptTokens
			lines[tier].WastedPrefillTokens += rec.WastedPrefillTokens
		}
	}
	for i := range lines {
		lines[i].P50MS = percentile(times[i], 0.50)
		lines[i].P99MS = percentile(times[i], 0.99)
	}
	return lines
}

func (l *Line) count(r load.Result) {
	l.Offered++
	switch r.Outcome {
	case load.Complete:
		if r.MetTargets() {
			l.WithinTarget++
		} else {
			l.Late++
		}
	case load.GaveUp:
		l.Late++
	case load.Refused, load.Failed:
		l.Refused++
	case load.Wrong:
		l.Wrong++
	default:
		l.Unknown++
	}
}

// percentile returns the q-th part of times in milliseconds, zero of none.
func percentile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	i := int(math.Ceil(q*float64(len(times)))) - 1
	d := times[max(i, 0)]
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}

// Note is figures beside the lines, for those who read along.
type Note struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Calm     bool   `json:"calm,omitempty"`
	// CapacityRPS is what the engines serve at their best, GoodputRPS what was
	// answered within target, in requests a second.
	CapacityRPS float64 `json:"capacity_rps"`
	GoodputRPS  float64 `json:"goodput_rps"`
	// WorkShare is the work of the answers within target that ended while
	// requests arrived, as a part of what the engines can do in that time at
	// their best.
	WorkShare float64 `json:"work_share"`
	// RefusalP99MS is from sending to the refusal.
	RefusalP99MS float64 `json:"refusal_p99_ms"`
	// Inversions counts refusals of a request while an answer of a lower tier
	// was being streamed to a caller.
	Inversions int `json:"inversions"`
	// Unknown is what callers heard whose answers broke off, and how often.
	Unknown []Reason `json:"unknown,omitempty"`
	// Customers is answers within target by customer.
	Customers []CustomerNote `json:"customers"`
}

// Reason is a reason that callers heard.
type Reason struct {
	Detail string `json:"detail"`
	Count  int    `json:"count"`
}

// CustomerNote is one customer's part of a Note.
type CustomerNote struct {
	Name    string `json:"name"`
	Offered int    `json:"offered"`
	Within  int    `json:"within_target"`
	// OfferedBy and WithinBy are the same by tier.
	OfferedBy [spec.Tiers]int `json:"offered_by_tier"`
	WithinBy  [spec.Tiers]int `json:"within_by_tier"`
}

func (c *CustomerNote) count(r load.Result) {
	c.Offered++
	c.OfferedBy[r.Job.Class.Tier]++
	if r.MetTargets() {
		c.Within++
		c.WithinBy[r.Job.Class.Tier]++
	}
}

// Note returns the figures beside the lines.
func (o Outcome) Note(calm bool) Note {
	n := Note{Scenario: o.Scenario, Policy: o.Policy, Calm: calm, CapacityRPS: math.Round(o.Capacity*10) / 10}
	var refusals []time.Duration
	within := 0
	for _, c := range everyone {
		cn := CustomerNote{Name: c.name}
		for _, r := range o.counted() {
			if r.Job.Customer != c.name {
				continue
			}
			cn.count(r)
			if r.Outcome == load.Refused {
				refusals = append(refusals, r.Total)
			}
		}
		within += cn.Within
		n.Customers = append(n.Customers, cn)
	}
	n.GoodputRPS = math.Round(float64(within)/(span-o.lead).Seconds()*10) / 10
	n.WorkShare = math.Round(o.workShare()*1000) / 1000
	n.RefusalP99MS = percentile(refusals, 0.99)
	n.Inversions = inversions(o.Results)
	n.Unknown = reasons(o.counted())
	return n
}

// ownID is what differs between two answers that tell the same reason.
var ownID = regexp.MustCompile(`"request_id":"[0-9a-f]*"|127\.0\.0\.1:[0-9]+`)

func reasons(results []load.Result) (out []Reason) {
	for _, r := range results {
		if r.Outcome != load.Unknown && r.Outcome != load.Failed {
			continue
		}
		detail := ownID.ReplaceAllString(r.Detail, "")
		i := slices.IndexFunc(out, func(x Reason) bool { return x.Detail == detail })
		if i < 0 {
			i = len(out)
			out = append(out, Reason{Detail: detail})
		}
		out[i].Count++
	}
	return out
}

func (o Outcome) workShare() float64 {
	work := make(map[string]float64)
	for _, s := range o.shapes {
		work[s.class.Name] = s.work()
	}
	var done float64
	for _, r := range o.Results {
		if at := r.SentAt + r.Total; r.MetTargets() && at >= o.lead && at < span {
			done += work[r.Job.Class.Name]
		}
	}
	return done / (totalSpeed() * (span - o.lead).Seconds())
}

func inversions(results []load.Result) int {
	n := 0
	for _, r := range results {
		if r.Outcome == load.Refused && servedBelow(results, r.Job.Class.Tier, r.SentAt+r.Total) {
			n++
		}
	}
	return n
}

// servedBelow reports whether a stream of a tier below tier ran at time at.
func servedBelow(results []load.Result, tier uint8, at time.Duration) bool {
	for _, s := range results {
		if s.Job.Class.Tier > tier && s.Job.Ask.Stream && s.Tokens > 0 && s.SentAt+s.First <= at && at < s.SentAt+s.Total {
			return true
		}
	}
	return false
}
