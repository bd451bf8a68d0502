// Package trace finds out from the logs of entries how a request ended and why:
// it selects the log lines of the request and the state changes that its entries
// logged shortly before, and describes the cause.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// contextWindow is the time before a request's last log line from which state
// changes are shown. It covers the longest usual duration of a request and,
// before it, the time to detect a failure.
const contextWindow = 20 * time.Second

// maxLineBytes bounds one line of a log. A longer line is an error.
const maxLineBytes = 1 << 20

// Line is one line of a log. The event determines which fields are set.
type Line struct {
	Time      time.Time `json:"time"`
	Event     string    `json:"event"`
	Process   string    `json:"process"`
	RequestID string    `json:"request_id"`
	// Text is the JSON object of the line as it was written.
	Text string `json:"-"`

	Why      string `json:"why"`
	Outcome  string `json:"outcome"`
	Endpoint string `json:"endpoint"`
	// RetryObstacle says why a late request could not be sent to another endpoint.
	RetryObstacle string `json:"lacks"`
	// Fingerprint identifies a request by its content.
	Fingerprint string `json:"fingerprint"`
	// Culprit is the fingerprint of what keeps a request in quarantine: of the whole
	// request, or of a part of its prompt.
	Culprit string `json:"culprit"`
	// FromEndpoint and ToEndpoint are the endpoints of the failed attempt and of
	// the next one.
	FromEndpoint string `json:"from"`
	ToEndpoint   string `json:"to"`
	// RetryAfter is the time after which the caller may repeat the request,
	// according to the answer.
	RetryAfter Duration `json:"retry"`
	// ReportingEntries is the number of entries, out of KnownEntries, whose load
	// reports the entry had.
	ReportingEntries int `json:"heard"`
	KnownEntries     int `json:"known"`
	// RequestsAhead counts the requests of all entries at the endpoint.
	// PromptTokens counts the prompt tokens that it had to process, including those
	// of this request.
	RequestsAhead int `json:"ahead"`
	PromptTokens  int `json:"prompt"`
	OutputTokens  int `json:"output"`
	// PredictedLatency and FirstEventLatency are the predicted and the actual
	// time to the first event. TotalTime is the time to the end of the answer.
	PredictedLatency  Duration `json:"predicted"`
	FirstEventLatency Duration `json:"first"`
	TotalTime         Duration `json:"took"`
	// PredictedWait is the part of PredictedLatency spent waiting for a slot.
	// Target is the time within which the first event is wanted.
	PredictedWait Duration `json:"wait"`
	Target        Duration `json:"target"`
	// TimeLeft is the time until the caller's deadline for the whole answer.
	TimeLeft Duration `json:"left"`
	// Share is the customer's part of the work that was placed in its tier in the
	// last seconds, ShareDue its part by weight among the customers who asked. ShareDue
	// is zero if room is not shared by customer.
	Share    float64 `json:"share"`
	ShareDue float64 `json:"share_due"`
	Weight   float64 `json:"weight"`
	// QueueTime is the time that the request spent in the entry's queue.
	QueueTime Duration `json:"stood"`
	// SilentTime is how long the endpoint had sent nothing when its attempt ended.
	// SilenceLimit is the silence after which the entry gives up an attempt, zero if
	// it would have kept waiting.
	SilentTime   Duration `json:"silent"`
	SilenceLimit Duration `json:"bound"`
}

// Duration is a duration in the format of time.ParseDuration.
type Duration time.Duration

// UnmarshalJSON reads a duration. A value that is no duration leaves d unchanged
// without an error, because other events may use the key for something else.
func (d *Duration) UnmarshalJSON(b []byte) error {
	v, err := time.ParseDuration(strings.Trim(string(b), `"`))
	if err == nil {
		*d = Duration(v)
	}
	return nil
}

// String returns the duration rounded to milliseconds.
func (d Duration) String() string { return time.Duration(d).Round(time.Millisecond).String() }

// stateEvents are the events that log a change in an entry's knowledge of the rest
// of the system, or its own start or stop.
var stateEvents = map[string]bool{
	"endpoint_away": true, "endpoint_back": true, "platform_away": true, "platform_back": true,
	"peer_silent": true, "peer_heard": true, "link_lost": true, "config_changed": true, "config_from_peers": true,
	"roster_changed": true, "starting": true, "leaving": true, "quarantined": true, "endpoint_crashed": true, "quarantine_lifted": true, "limit_changed": true, "rollout": true,
}

// Trace holds what the logs say about one request.
type Trace struct {
	// Lines are the log lines of the request in order of time.
	Lines []Line
	// StateChanges are the state changes that its entries logged within
	// contextWindow before the last line, in order of time.
	StateChanges []Line
	// Cause describes in a sentence how the request ended and why.
	Cause string
}

// ErrNotFound reports that no log line has the request's ID.
var ErrNotFound = errors.New("no log line has this request ID: give the logs of all entries, as a caller that repeats a request may reach another one; under load only one in a hundred lines of an event is kept")

// Read looks for a request in logs, and returns ErrNotFound if no line has its ID.
// It skips the part of a line before the first opening brace, and lines that hold
// no JSON object.
func Read(requestID string, logs ...io.Reader) (*Trace, error) {
	var requestLines, stateChanges []Line
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			l, ok := parseLine(s.Bytes())
			switch {
			case !ok:
			case l.RequestID == requestID:
				requestLines = append(requestLines, l)
			case stateEvents[l.Event]:
				stateChanges = append(stateChanges, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, err
		}
	}
	if len(requestLines) == 0 {
		return nil, ErrNotFound
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(requestLines, byTime)
	slices.SortStableFunc(stateChanges, byTime)
	t := &Trace{Lines: requestLines, StateChanges: selectStateChanges(requestLines, stateChanges)}
	t.Cause = describeCause(requestLines, t.StateChanges)
	return t, nil
}

// parseLine reads one line of a log. It returns false if the line is not the JSON
// object of an event.
func parseLine(b []byte) (Line, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return Line{}, false
	}
	l := Line{Text: string(b[i:])}
	err := json.Unmarshal(b[i:], &l)
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		// Another event uses a key with another type. The remaining keys were
		// read.
		err = nil
	}
	return l, err == nil && l.Event != ""
}

// selectStateChanges returns the state changes that the request's entries logged
// within contextWindow before its last line. It leaves out those of endpoints
// that the request was not sent to and those of other requests' fingerprints.
func selectStateChanges(requestLines, stateChanges []Line) []Line {
	lastTime := requestLines[len(requestLines)-1].Time
	// A process loses its state when it restarts, so changes from before its last
	// start are left out.
	startedAt := make(map[string]time.Time)
	for _, l := range stateChanges {
		if l.Event == "starting" && !l.Time.After(lastTime) {
			startedAt[l.Process] = l.Time
		}
	}
	processes, endpoints, fingerprints := make(map[string]bool), make(map[string]bool), map[string]bool{"": true}
	for _, l := range requestLines {
		processes[l.Process], fingerprints[l.Fingerprint], fingerprints[l.Culprit] = true, true, true
		for _, endpoint := range []string{l.Endpoint, l.FromEndpoint, l.ToEndpoint} {
			endpoints[endpoint] = endpoint != ""
		}
	}
	var selected []Line
	for _, l := range stateChanges {
		if !processes[l.Process] || l.Time.After(lastTime) || lastTime.Sub(l.Time) > contextWindow || l.Time.Before(startedAt[l.Process]) {
			continue
		}
		if (l.Endpoint == "" || endpoints[l.Endpoint]) && fingerprints[l.Fingerprint] {
			selected = append(selected, l)
		}
	}
	return selected
}

// describeCause describes how a request ended and why.
func describeCause(requestLines, stateChanges []Line) string {
	last := requestLines[len(requestLines)-1]
	var b strings.Builder
	fmt.Fprintf(&b, "%s ", last.Process)
	switch {
	case last.Outcome == "limited":
		fmt.Fprintf(&b, "refused it: the customer was over its limit, summed over all entries, and was told to come back after %v", last.RetryAfter)
	case last.Outcome == "refused" && last.Why == "full":
		fmt.Fprintf(&b, "refused it: the first event was predicted after %v at the best endpoint, %v of it waiting for a slot, where %v are wanted: more than its tier may wait", last.PredictedLatency, last.PredictedWait, last.Target)
		if last.QueueTime > 0 {
			fmt.Fprintf(&b, "; it stood in line for %v without finding a slot", last.QueueTime)
		}
		b.WriteString(describeShare(last))
		fmt.Fprintf(&b, "; the caller was told to come back after %v", last.RetryAfter)
	case last.Outcome == "refused" && last.Why == "late":
		fmt.Fprintf(&b, "refused it: the first event was predicted after %v at the best endpoint that had room, where %v are wanted; the caller was told to come back after %v", last.PredictedLatency, last.Target, last.RetryAfter)
	case last.Outcome == "refused" && last.Why == "too long" && last.TimeLeft > 0:
		fmt.Fprintf(&b, "refused it: the first event was predicted after %v, and the answer would not have been complete in the %v that the caller had left", last.PredictedLatency, last.TimeLeft)
	case last.Outcome == "quarantined" && last.Culprit != "" && last.Culprit != last.Fingerprint:
		fmt.Fprintf(&b, "refused it: %s (fingerprint %s), and the caller was told to come back after %v", strings.TrimPrefix(last.Why, "quarantined: "), last.Culprit, last.RetryAfter)
	case last.Outcome == "quarantined":
		fmt.Fprintf(&b, "refused it: requests with its fingerprint %s have crashed endpoints, and the caller was told to come back after %v, when one is let through as a probe", last.Fingerprint, last.RetryAfter)
	case last.Event == "request_refused":
		fmt.Fprintf(&b, "refused it: %s", last.Why)
	case last.Outcome == "late" || strings.HasPrefix(last.Why, "time is up"):
		fmt.Fprintf(&b, "ran out of time with it at %s: %s", endpointName(last.Endpoint), describeLatency(last))
	case last.Outcome == "cut":
		fmt.Fprintf(&b, "ended its caller's connection itself while %s was processing it: %s", endpointName(last.Endpoint), last.Why)
	case last.Event == "request_unknown":
		fmt.Fprintf(&b, "lost its answer at %s: %s", endpointName(last.Endpoint), last.Why)
	case last.Event == "request_done":
		fmt.Fprintf(&b, "answered it from %s after %v: %s", endpointName(last.Endpoint), last.TotalTime, describeLatency(last))
	default:
		fmt.Fprintf(&b, "last wrote %s: %s", last.Event, last.Why)
	}
	for _, l := range requestLines[:len(requestLines)-1] {
		if l.Event == "answer_late" {
			fmt.Fprintf(&b, "; before, it was late (%s) and stayed at %s, as no other attempt was possible: %s", l.Why, l.Endpoint, l.RetryObstacle)
		}
		if l.Event == "request_returned" {
			fmt.Fprintf(&b, "; before, %s failed it (%s) and %s was tried", l.FromEndpoint, l.Why, l.ToEndpoint)
			if l.SilenceLimit > 0 && l.SilentTime >= l.SilenceLimit {
				fmt.Fprintf(&b, ", given up by the entry after %v without a byte", l.SilentTime)
			}
		}
	}
	if last.ReportingEntries < last.KnownEntries {
		fmt.Fprintf(&b, "; it had reports of only %d of %d entries, so it knew only a part of the load and granted only a part of each limit", last.ReportingEntries, last.KnownEntries)
	}
	for _, l := range stateChanges {
		if l.Event == "endpoint_away" {
			fmt.Fprintf(&b, "; it had detected the failure of %s %v before", l.Endpoint, last.Time.Sub(l.Time).Round(time.Millisecond))
		}
	}
	return b.String()
}

// describeShare describes the share of a refused request's customer, in part of a
// sentence. It returns an empty string if room was not shared by customer.
func describeShare(l Line) string {
	if l.ShareDue <= 0 {
		return ""
	}
	relation := "below"
	if l.Share > l.ShareDue {
		relation = "above"
	}
	return fmt.Sprintf("; the customer had %.1f%% of the work placed in its tier, %s the %.1f%% that its weight of %g gives it among those who asked", 100*l.Share, relation, 100*l.ShareDue, l.Weight)
}

// endpointName returns the endpoint's name for a sentence.
func endpointName(endpoint string) string {
	if endpoint == "" {
		return "no endpoint"
	}
	return endpoint
}

// describeLatency describes which part of a request took how long.
func describeLatency(l Line) string {
	switch {
	case l.KnownEntries == 0:
		return "the log line does not say what took the time"
	case l.FirstEventLatency == 0 && l.PromptTokens == 0:
		return fmt.Sprintf("%v were predicted with %d requests ahead; a plain service sends nothing before its answer", l.PredictedLatency, l.RequestsAhead)
	case l.FirstEventLatency == 0:
		return fmt.Sprintf("no first event came, %v were predicted with %d requests ahead", l.PredictedLatency, l.RequestsAhead)
	case l.FirstEventLatency > 2*l.PredictedLatency:
		return fmt.Sprintf("the first event took %v where %v were predicted with %d requests ahead: the endpoint had become slow or silent", l.FirstEventLatency, l.PredictedLatency, l.RequestsAhead)
	}
	return fmt.Sprintf("the first event took %v, %v were predicted with %d requests ahead, and the rest of the time went into the answer of %d tokens", l.FirstEventLatency, l.PredictedLatency, l.RequestsAhead, l.OutputTokens)
}
