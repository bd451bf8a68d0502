// Package ideal computes, from the logs of a day, which requests a scheduler that knew all
// of them in advance could have served with the slots that the endpoints had.
//
// It plans the highest tier first and, within a tier, the request with the shortest slot
// time first. Each request starts as early as a slot is free and not later than its target.
// So no request is refused while one of a lower tier is served in its place, and few
// schedules serve more requests. The result is not a strict upper bound: the packing is
// greedy, and the slot times of requests that were not served are estimates.
package ideal

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// binTime is the time resolution of the plan.
	binTime = 100 * time.Millisecond
	// maxRetryGap is the longest time from an arrival of a refused request to its retry.
	maxRetryGap = 3 * time.Second
	// slotWindow is the time before and after a bin in which the highest number of used
	// slots counts as the number of slots that exist in the bin.
	slotWindow = 3 * time.Second
	// promptTokensPerOutputToken is the number of prompt tokens that take as long as one
	// output token.
	promptTokensPerOutputToken = 200
	// startCostTokens is the number of output tokens that take as long as starting a
	// request.
	startCostTokens = 5
	// maxLineBytes bounds one line of a log.
	maxLineBytes = 1 << 20
)

// Request is one request of a caller, together with the retries after its refusals. Its
// times count from the first arrival of the day.
type Request struct {
	Tier string
	// ArrivedAt is when it arrived for the first time, and Target the time from then within
	// which its first event is due.
	ArrivedAt, Target time.Duration
	// OutputTokens is the expected number of output tokens.
	OutputTokens int
	// SlotTime is how long it holds a slot. It is estimated if the request was not served.
	SlotTime time.Duration
	// IsServed is set if it was answered. It then held a slot from StartedAt on.
	IsServed  bool
	StartedAt time.Duration
	// IsPlanned is set if the plan serves it.
	IsPlanned bool

	// costTokens is its estimated cost, as the output tokens that take as long.
	costTokens float64
	// lastArrivedAt is when its latest retry arrived.
	lastArrivedAt time.Duration
}

// logLine holds the fields of a log line that are used here.
type logLine struct {
	Time         time.Time `json:"time"`
	Event        string    `json:"event"`
	Tier         string    `json:"tier"`
	Fingerprint  string    `json:"fingerprint"`
	Reason       string    `json:"why"`
	InputTokens  *int      `json:"input"`
	OutputTokens int       `json:"output"`
	// Took is the time from the request's arrival to its end.
	Took duration `json:"took"`
	// QueueTime is the part of Took that the request waited in the queue.
	QueueTime duration `json:"stood"`
	Target    duration `json:"target"`
}

// duration is a time.Duration that is a string such as "30ms" in JSON.
type duration time.Duration

func (d *duration) UnmarshalJSON(b []byte) error {
	v, err := time.ParseDuration(strings.Trim(string(b), `"`))
	*d = duration(v)
	return err
}

// Read returns the requests to engines from the logs of all entries, in the order of their
// arrival. It decodes the text from the first brace of each line on, and skips lines that
// aren't JSON.
func Read(logs ...io.Reader) ([]*Request, error) {
	var lines []logLine
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			i := bytes.IndexByte(s.Bytes(), '{')
			var l logLine
			if i < 0 || json.Unmarshal(s.Bytes()[i:], &l) != nil || l.InputTokens == nil {
				continue
			}
			if l.Event == "request_done" || l.Event == "request_refused" && l.Reason == "full" {
				lines = append(lines, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, err
		}
	}
	return mergeRetries(lines), nil
}

// arrivedAt returns when the request arrived.
func (l *logLine) arrivedAt() time.Time { return l.Time.Add(-time.Duration(l.Took)) }

// mergeRetries returns the requests that lines belong to. A line with the fingerprint of a
// refused request that arrived at most maxRetryGap earlier is a retry of that request.
func mergeRetries(lines []logLine) []*Request {
	slices.SortFunc(lines, func(a, b logLine) int { return a.arrivedAt().Compare(b.arrivedAt()) })
	var requests []*Request
	refusedRequests := make(map[string]*Request)
	var totalSlotTime time.Duration
	totalTokens := 0.0
	for _, l := range lines {
		at := l.arrivedAt().Sub(lines[0].arrivedAt())
		r := refusedRequests[l.Fingerprint]
		if r == nil || at-r.lastArrivedAt > maxRetryGap {
			r = &Request{
				Tier: l.Tier, ArrivedAt: at, Target: time.Duration(l.Target), OutputTokens: l.OutputTokens,
				costTokens: float64(l.OutputTokens) + float64(*l.InputTokens)/promptTokensPerOutputToken + startCostTokens,
			}
			requests = append(requests, r)
		}
		r.lastArrivedAt = at
		refusedRequests[l.Fingerprint] = r
		if l.Event != "request_done" {
			continue
		}
		delete(refusedRequests, l.Fingerprint)
		r.IsServed, r.StartedAt = true, at+time.Duration(l.QueueTime)
		r.SlotTime = max(time.Duration(l.Took-l.QueueTime), time.Millisecond)
		totalSlotTime += r.SlotTime
		totalTokens += r.costTokens
	}
	for _, r := range requests {
		if !r.IsServed && totalTokens > 0 {
			r.SlotTime = time.Duration(r.costTokens / totalTokens * float64(totalSlotTime))
		}
	}
	return requests
}

// Plan sets IsPlanned of each request that the ideal scheduler serves.
func Plan(requests []*Request) {
	freeSlots := slotsPerBin(requests)
	sortedRequests := slices.Clone(requests)
	slices.SortFunc(sortedRequests, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.SlotTime, b.SlotTime))
	})
	for _, r := range sortedRequests {
		for start := r.ArrivedAt; start <= r.ArrivedAt+r.Target && !r.IsPlanned; start += binTime {
			r.IsPlanned = reserveSlot(freeSlots, start, r.SlotTime)
		}
	}
}

// slotsPerBin returns how many slots the endpoints had in each bin.
func slotsPerBin(requests []*Request) []int {
	end := time.Duration(0)
	for _, r := range requests {
		end = max(end, r.ArrivedAt+r.Target, r.StartedAt+r.SlotTime)
	}
	usedSlots := make([]int, end/binTime+1)
	for _, r := range requests {
		if r.IsServed {
			for i := r.StartedAt / binTime; i <= (r.StartedAt+r.SlotTime)/binTime; i++ {
				usedSlots[i]++
			}
		}
	}
	available := make([]int, len(usedSlots))
	for i := range usedSlots {
		available[i] = slices.Max(usedSlots[max(i-int(slotWindow/binTime), 0):min(i+int(slotWindow/binTime)+1, len(usedSlots))])
	}
	return available
}

// reserveSlot reserves a slot for slotTime, starting at the time from, if one is free in each
// bin, and reports whether it did. A reservation that outlasts the day ends with the last bin.
func reserveSlot(freeSlots []int, from, slotTime time.Duration) bool {
	first, last := int(from/binTime), min(int((from+slotTime)/binTime), len(freeSlots)-1)
	for i := first; i <= last; i++ {
		if freeSlots[i] == 0 {
			return false
		}
	}
	for i := first; i <= last; i++ {
		freeSlots[i]--
	}
	return true
}

// Row holds the counts for one fifth of a tier's requests. The requests are split into
// fifths by their output tokens.
type Row struct {
	Tier string
	// Fifth is 0 for the requests with the fewest output tokens and 4 for those with the most.
	Fifth int
	// Requests counts all requests, Served those that were served and Planned those that the
	// plan serves.
	Requests, Served, Planned int
}

// Summarize returns a row for each tier and fifth, sorted by both.
func Summarize(requests []*Request) []Row {
	tiers := make(map[string][]*Request)
	for _, r := range requests {
		tiers[r.Tier] = append(tiers[r.Tier], r)
	}
	var out []Row
	for tier, rs := range tiers {
		slices.SortFunc(rs, func(a, b *Request) int { return cmp.Compare(a.OutputTokens, b.OutputTokens) })
		rows := make([]Row, 5)
		for i, r := range rs {
			f := &rows[5*i/len(rs)]
			f.Requests++
			if r.IsServed {
				f.Served++
			}
			if r.IsPlanned {
				f.Planned++
			}
		}
		for i := range rows {
			rows[i].Tier, rows[i].Fifth = tier, i
		}
		out = append(out, rows...)
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Fifth, b.Fifth)) })
	return out
}
