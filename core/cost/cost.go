// Package cost estimates what a request will cost before it has run.
//
// The load it answers is work whose lengths differ a hundredfold. Counted in
// requests, a customer that sends drafts takes a hundred times the share of one
// that sends lookups, a queue's wait can't be told from its length, and a bound
// in requests over-fills the KV memory. So fairness, admission and order count
// estimated time, which is learnt:
//
//   - tokens of the prompt from its bytes, by class;
//   - tokens of the answer by class and customer, as a part of the caller's
//     own limit when it gives one, since that tells a draft from a tag;
//   - time from tokens, by class: a part for the request, one for each token
//     of the prompt that is not cached and one for each token of the answer.
//
// Without a limit of the caller and without history the estimate is a plain
// guess. Wrong estimates do little harm: one answer moves what was learnt by a
// factor of two at most, a customer stays within a factor of sixteen of its
// class, the queue charges actual costs afterwards, and admission measures the
// drain in the same estimates that it admits by.
//
// Memory is bounded: the customers not seen for longest are forgotten and are
// estimated as their class from then on. 21,000 customers in one class each fit
// into the default.
package cost

import (
	"math"
	"time"

	"lycheepond/core/recent"
)

// Config says how estimates are made.
type Config struct {
	// MaxEntries bounds how many pairs of class and customer are remembered;
	// zero means DefaultMaxEntries.
	MaxEntries int
}

// DefaultMaxEntries is enough for 21,000 customers with one or two classes.
const DefaultMaxEntries = 32768

// What is assumed before anything is known: an ordinary text in an ordinary
// tokenizer, and an answer of a page at most.
const (
	startBytesPerToken = 4.0
	startOutput        = 256.0
	// startUsed is the part of a caller's limit that answers use.
	startUsed = 0.5
)

const (
	// classWeight and customerWeight are the weights of an answer in what is
	// known of its class and of its customer.
	classWeight    = 1.0 / 32
	customerWeight = 1.0 / 8
	// shrink is the number of answers after which a customer's own history
	// counts as much as its class.
	shrink = 4
	// mostStep is the most that one answer counts for, as a factor.
	mostStep = 16
	// mostApart is how far a customer may be from its class, as a factor.
	mostApart = 16
)

// Estimate is what a request is expected to cost.
type Estimate struct {
	PromptTokens, OutputTokens int
	// Work is the time that the request occupies its place in an endpoint.
	Work time.Duration
}

// Usage is what a finished request did cost.
type Usage struct {
	Prompt, Cached, Output int
	// Max is the caller's own limit of the output, zero if it gave none.
	Max int
	// Work is the time from dispatch to the last byte.
	Work time.Duration
}

// mean is a decayed mean of logarithms, so that a value ten times too large
// weighs as much as one ten times too small.
type mean struct {
	log float64
	n   uint32
}

// learn moves the mean towards v. The first values count more, so that a cold
// start ends soon; a value that is far off counts as a less far one.
func (m *mean) learn(v, start, weight float64) {
	if m.n == 0 {
		m.log = math.Log(start)
	}
	m.n++
	far := math.Log(max(v, 0.5)) - m.log
	far = min(max(far, -math.Log(mostStep)), math.Log(mostStep))
	m.log += far * max(weight, 1/float64(m.n+1))
}

func (m *mean) value(start float64) float64 {
	if m.n == 0 {
		return start
	}
	return math.Exp(m.log)
}

// outputs is what is known of the lengths of answers.
type outputs struct {
	// free is the mean of answers without a limit of the caller, and used the
	// mean part in thousandths that answers use of the limit.
	free, used mean
}

func (o *outputs) learn(u Usage, weight float64) {
	if u.Max > 0 {
		o.used.learn(1000*float64(u.Output)/float64(u.Max), 1000*startUsed, weight)
		return
	}
	o.free.learn(float64(u.Output), startOutput, weight)
}

// class is what is known of a class.
type class struct {
	bytesPerToken mean
	outputs       outputs
	time          times
	// plain is the mean time in microseconds of work without tokens.
	plain mean
}

// key is a customer within a class.
type key struct{ class, customer string }

// customer is what is known of a customer within a class.
type customer struct {
	outputs outputs
	plain   mean
}

// Model learns costs. One goroutine owns it.
type Model struct {
	// classes is bounded by the classes that operators have made.
	classes   map[string]*class
	customers *recent.Table[key, customer]
}

// New returns a model that knows nothing yet.
func New(cfg Config) *Model {
	if cfg.MaxEntries <= 0 {
		cfg.MaxEntries = DefaultMaxEntries
	}
	return &Model{classes: make(map[string]*class), customers: recent.New[key, customer](cfg.MaxEntries)}
}

func (m *Model) class(name string) *class {
	c := m.classes[name]
	if c == nil {
		c = &class{time: newTimes()}
		m.classes[name] = c
	}
	return c
}

// Estimate returns the expected cost of a request. maxTokens is the caller's
// own limit of the output, zero if it gave none; name is the customer. Work without a prompt and
// without a limit is a call of a plain service.
func (m *Model) Estimate(className, name string, promptBytes, maxTokens int) Estimate {
	c, own := m.class(className), m.customers.Get(key{className, name})
	if promptBytes == 0 && maxTokens == 0 {
		us := blend(&c.plain, &own.plain, startPlain)
		return Estimate{Work: time.Duration(us * float64(time.Microsecond))}
	}
	prompt := math.Ceil(float64(promptBytes) / (c.bytesPerToken.value(1000*startBytesPerToken) / 1000))
	var out float64
	if maxTokens > 0 {
		out = float64(maxTokens) * min(blend(&c.outputs.used, &own.outputs.used, 1000*startUsed)/1000, 1)
	} else {
		out = blend(&c.outputs.free, &own.outputs.free, startOutput)
	}
	out = max(out, 1)
	return Estimate{PromptTokens: int(prompt), OutputTokens: int(out), Work: c.time.estimate(prompt, out)}
}

// startPlain is the time of a call of a plain service in microseconds that is
// assumed before any was seen.
const startPlain = 20000.0

// blend weighs a customer's history against its class.
func blend(class, own *mean, start float64) float64 {
	base := class.value(start)
	if own.n == 0 {
		return base
	}
	w := float64(own.n) / (float64(own.n) + shrink)
	v := math.Exp(math.Log(base)*(1-w) + own.log*w)
	return min(max(v, base/mostApart), base*mostApart)
}

// Learn takes in what a finished request did cost.
func (m *Model) Learn(className, name string, promptBytes int, u Usage) {
	c, own := m.class(className), m.customers.Get(key{className, name})
	if u.Prompt == 0 && u.Output == 0 {
		us := float64(u.Work.Microseconds())
		c.plain.learn(us, startPlain, classWeight)
		own.plain.learn(us, startPlain, customerWeight)
		return
	}
	if u.Prompt > 0 && promptBytes > 0 {
		c.bytesPerToken.learn(1000*float64(promptBytes)/float64(u.Prompt), 1000*startBytesPerToken, classWeight)
	}
	c.outputs.learn(u, classWeight)
	own.outputs.learn(u, customerWeight)
	c.time.learn(float64(max(u.Prompt-u.Cached, 0)), float64(u.Output), u.Work.Seconds())
}
