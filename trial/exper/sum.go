package exper

import (
	"math"
	"regexp"
	"slices"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/load"
	"lycheepond/trial/simeng"
)

// TierSummary holds the figures of one tier in one run.
type TierSummary struct {
	Scenario     string `json:"scenario"`
	Policy       string `json:"policy"`
	Tier         int    `json:"tier"`
	Offered      int    `json:"offered"`
	WithinTarget int    `json:"within_target"`
	// Late counts complete answers outside the target and requests whose caller
	// gave up.
	Late int `json:"late"`
	// Refused also counts requests that were rejected because of a mistake of the
	// caller.
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	Wrong   int `json:"wrong"`
	// PromptTokens is the number of prompt tokens of all attempts that reached an
	// engine.
	PromptTokens        int `json:"prompt_tokens"`
	WastedPrefillTokens int `json:"wasted_prefill_tokens"`
	// P50MS and P99MS are percentiles of the time to the last byte of complete
	// answers, in milliseconds.
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
}

// countedResults returns the results of requests that were due after the ramp-up.
func (run RunResult) countedResults() []load.Result {
	for i, r := range run.Results {
		if r.Job.SendAt >= run.rampUp {
			return run.Results[i:]
		}
	}
	return nil
}

// TierSummaries returns the figures of each tier, indexed by tier.
func (run RunResult) TierSummaries() []TierSummary {
	summaries := make([]TierSummary, spec.Tiers)
	totalTimes := make([][]time.Duration, spec.Tiers)
	tierOf := make(map[string]uint8)
	for i := range summaries {
		summaries[i] = TierSummary{Scenario: run.Scenario, Policy: run.Policy, Tier: i}
	}
	for _, r := range run.countedResults() {
		tier := r.Job.Class.Tier
		tierOf[simeng.Digest(r.Job.ModelRequest.PromptText())] = tier
		summaries[tier].addResult(r)
		if r.Outcome == load.Complete {
			totalTimes[tier] = append(totalTimes[tier], r.TotalTime)
		}
	}
	for _, rec := range run.Records {
		if tier, ok := tierOf[rec.PromptDigest]; ok {
			summaries[tier].PromptTokens += rec.PromptTokens
			summaries[tier].WastedPrefillTokens += rec.WastedPrefillTokens
		}
	}
	for i := range summaries {
		summaries[i].P50MS = percentile(totalTimes[i], 0.50)
		summaries[i].P99MS = percentile(totalTimes[i], 0.99)
	}
	return summaries
}

// addResult counts a result.
func (s *TierSummary) addResult(r load.Result) {
	s.Offered++
	switch r.Outcome {
	case load.Complete:
		if r.MetTargets() {
			s.WithinTarget++
		} else {
			s.Late++
		}
	case load.GaveUp:
		s.Late++
	case load.Refused, load.Failed:
		s.Refused++
	case load.Wrong:
		s.Wrong++
	default:
		s.Unknown++
	}
}

// percentile returns the quantile q, from 0 to 1, of times in milliseconds, rounded
// to a tenth. It returns 0 if there are no times, and sorts them.
func percentile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	i := int(math.Ceil(q*float64(len(times)))) - 1
	d := times[max(i, 0)]
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}

// RunSummary holds figures of a whole run, in addition to those of its tiers.
type RunSummary struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	// Calm is set for a run without the extra load of the hot customer.
	Calm bool `json:"calm,omitempty"`
	// CapacityRPS is the highest rate that the engines can serve and GoodputRPS
	// the rate of answers within target, both in requests per second.
	CapacityRPS float64 `json:"capacity_rps"`
	GoodputRPS  float64 `json:"goodput_rps"`
	// WorkShare is the work of the answers within target that ended while
	// requests still arrived, as a fraction of the work that the engines can do in
	// that time.
	WorkShare float64 `json:"work_share"`
	// RefusalP99MS is the 99th percentile of the time from sending a request to
	// its refusal, in milliseconds.
	RefusalP99MS float64 `json:"refusal_p99_ms"`
	// Inversions counts refusals that arrived while an answer of a lower tier was
	// being streamed to a caller.
	Inversions int `json:"inversions"`
	// Unknown counts the requests with an unknown outcome or a mistake of the
	// caller by their detail.
	Unknown []UnknownReason `json:"unknown,omitempty"`
	// Customers holds the counts of each customer.
	Customers []CustomerSummary `json:"customers"`
}

// UnknownReason is the detail of some results and the number of these results.
type UnknownReason struct {
	Detail string `json:"detail"`
	Count  int    `json:"count"`
}

// CustomerSummary counts the requests of one customer.
type CustomerSummary struct {
	Name         string `json:"name"`
	Offered      int    `json:"offered"`
	WithinTarget int    `json:"within_target"`
	// OfferedByTier and WithinTargetByTier hold the same counts for each tier.
	OfferedByTier      [spec.Tiers]int `json:"offered_by_tier"`
	WithinTargetByTier [spec.Tiers]int `json:"within_by_tier"`
}

// addResult counts a result.
func (c *CustomerSummary) addResult(r load.Result) {
	c.Offered++
	c.OfferedByTier[r.Job.Class.Tier]++
	if r.MetTargets() {
		c.WithinTarget++
		c.WithinTargetByTier[r.Job.Class.Tier]++
	}
}

// Summary returns the figures of the whole run. The flag calm tells whether it was
// a run without the extra load of the hot customer.
func (run RunResult) Summary(calm bool) RunSummary {
	summary := RunSummary{Scenario: run.Scenario, Policy: run.Policy, Calm: calm, CapacityRPS: math.Round(run.CapacityRPS*10) / 10}
	var refusalTimes []time.Duration
	withinTarget := 0
	for _, c := range customers {
		customer := CustomerSummary{Name: c.name}
		for _, r := range run.countedResults() {
			if r.Job.Customer != c.name {
				continue
			}
			customer.addResult(r)
			if r.Outcome == load.Refused {
				refusalTimes = append(refusalTimes, r.TotalTime)
			}
		}
		withinTarget += customer.WithinTarget
		summary.Customers = append(summary.Customers, customer)
	}
	summary.GoodputRPS = math.Round(float64(withinTarget)/(arrivalSpan-run.rampUp).Seconds()*10) / 10
	summary.WorkShare = math.Round(run.workShare()*1000) / 1000
	summary.RefusalP99MS = percentile(refusalTimes, 0.99)
	summary.Inversions = countInversions(run.Results)
	summary.Unknown = countUnknownReasons(run.countedResults())
	return summary
}

// requestSpecificText matches the parts in which the details of two results differ
// although they have the same reason.
var requestSpecificText = regexp.MustCompile(`"request_id":"[0-9a-f]*"|127\.0\.0\.1:[0-9]+`)

// countUnknownReasons counts the results that are Unknown or Failed by their detail.
func countUnknownReasons(results []load.Result) (out []UnknownReason) {
	for _, r := range results {
		if r.Outcome != load.Unknown && r.Outcome != load.Failed {
			continue
		}
		detail := requestSpecificText.ReplaceAllString(r.Detail, "")
		i := slices.IndexFunc(out, func(x UnknownReason) bool { return x.Detail == detail })
		if i < 0 {
			i = len(out)
			out = append(out, UnknownReason{Detail: detail})
		}
		out[i].Count++
	}
	return out
}

// workShare returns the figure RunSummary.WorkShare.
func (run RunResult) workShare() float64 {
	work := make(map[string]float64)
	for _, s := range run.shapes {
		work[s.class.Name] = s.engineSeconds()
	}
	var completedWork float64
	for _, r := range run.Results {
		if at := r.SentAt + r.TotalTime; r.MetTargets() && at >= run.rampUp && at < arrivalSpan {
			completedWork += work[r.Job.Class.Name]
		}
	}
	return completedWork / (totalSpeed() * (arrivalSpan - run.rampUp).Seconds())
}

// countInversions returns how many requests were refused while an answer of a lower
// tier was being streamed.
func countInversions(results []load.Result) int {
	n := 0
	for _, r := range results {
		if r.Outcome == load.Refused && isLowerTierStreaming(results, r.Job.Class.Tier, r.SentAt+r.TotalTime) {
			n++
		}
	}
	return n
}

// isLowerTierStreaming reports whether an answer of a tier lower than tier was being
// streamed at the time at, counted from the start of the run.
func isLowerTierStreaming(results []load.Result, tier uint8, at time.Duration) bool {
	for _, s := range results {
		if s.Job.Class.Tier > tier && s.Job.ModelRequest.Stream && s.Tokens > 0 && s.SentAt+s.TimeToFirstToken <= at && at < s.SentAt+s.TotalTime {
			return true
		}
	}
	return false
}
