package cost

import "time"

// What a request is taken to cost in seconds before any was seen: an engine of
// middling speed.
const (
	startEach   = 0.02
	startPrompt = 0.0002
	startOut    = 0.025
)

const (
	// timeRate is the part of an error that one answer corrects.
	timeRate = 1.0 / 16
	// worstError bounds the error that one answer counts for, as a factor.
	worstError = 2
)

// times predicts time from tokens by a normalised least mean squares filter:
// each answer moves the three parts by a share of the error, each by how much
// it contributed.
type times struct {
	// each is the part of every request, prompt and out that of one token, in
	// seconds; none is ever negative.
	each, prompt, out float64
}

func newTimes() times { return times{each: startEach, prompt: startPrompt, out: startOut} }

func (t *times) seconds(prompt, out float64) float64 {
	return t.each + t.prompt*prompt + t.out*out
}

func (t *times) estimate(prompt, out float64) time.Duration {
	return time.Duration(t.seconds(prompt, out) * float64(time.Second))
}

func (t *times) learn(prompt, out, actual float64) {
	if actual <= 0 {
		return
	}
	guess := t.seconds(prompt, out)
	actual = min(max(actual, guess/worstError), guess*worstError)
	// The parts are of unlike sizes, so the filter works on factors of them.
	e, p, o := t.each, t.prompt*prompt, t.out*out
	step := timeRate * (actual - guess) / (e*e + p*p + o*o)
	t.each = grown(t.each, 1+step*e)
	t.prompt = grown(t.prompt, 1+step*p)
	t.out = grown(t.out, 1+step*o)
}

// leastPart keeps a part from becoming so small that no error could make it
// grow again.
const leastPart = 1e-6

func grown(part, factor float64) float64 {
	return max(part*min(max(factor, 1.0/worstError), worstError), leastPart)
}
