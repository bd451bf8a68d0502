// Package cost estimates the cost of a request before it runs.
//
// It is designed for requests whose lengths differ by a factor of a hundred. If
// costs were counted in requests, a customer that sends drafts would get a
// hundred times the share of one that sends lookups, the wait in a queue could
// not be predicted from its length, and a bound on the number of requests would
// overfill the KV memory. Fairness, admission and order therefore use estimated
// time, which is learnt from finished requests:
//
//   - the number of prompt tokens from the prompt's bytes, by class;
//   - the number of output tokens by class and customer. If the caller sets a
//     limit, this is a fraction of the limit, because the limit distinguishes a
//     draft from a tag;
//   - the time from the numbers of tokens, by class: a constant per request, a
//     time per uncached prompt token and a time per output token.
//
// Without a limit and without history the estimate is a fixed guess. Wrong
// estimates do little harm: after the first two answers, one answer changes
// what was learnt by a factor of at most two, a customer stays within a factor
// of sixteen of its class, the queue charges actual costs afterwards, and
// admission measures the drain rate in the same estimates that it admits by.
//
// Memory is bounded. The customers that were not seen for the longest time are
// forgotten and get the estimates of their class from then on. The default has
// room for 21,000 customers with one class each.
package cost

import (
	"math"
	"time"

	"lycheepond/core/recent"
)

// Config configures a Model.
type Config struct {
	// MaxCustomers bounds the number of remembered pairs of class and customer.
	// Zero means DefaultMaxCustomers.
	MaxCustomers int
}

// DefaultMaxCustomers is the default of Config.MaxCustomers. It is enough for
// 21,000 customers with one or two classes.
const DefaultMaxCustomers = 32768

// Assumptions before anything is known: an ordinary text with an ordinary
// tokenizer, and an answer of one page at most.
const (
	initialBytesPerToken = 4.0
	initialOutputTokens  = 256.0
	// initialLimitUse is the fraction of the caller's limit that an answer
	// uses.
	initialLimitUse = 0.5
)

const (
	// classWeight and customerWeight are the weights of one answer in the means
	// of its class and of its customer.
	classWeight    = 1.0 / 32
	customerWeight = 1.0 / 8
	// equalWeightAnswers is the number of answers after which a customer's own
	// history counts as much as that of its class.
	equalWeightAnswers = 4
	// maxSampleFactor is the largest factor by which one answer may differ from
	// the mean; larger differences count as this one.
	maxSampleFactor = 16
	// maxCustomerFactor is the largest factor by which a customer's estimate
	// may differ from that of its class.
	maxCustomerFactor = 16
)

// Estimate is the expected cost of a request.
type Estimate struct {
	PromptTokens, OutputTokens int
	// Work is the time for which the request occupies a slot of an endpoint.
	Work time.Duration
}

// Usage is the actual cost of a finished request.
type Usage struct {
	PromptTokens, CachedTokens, OutputTokens int
	// MaxTokens is the caller's limit of the output, or zero if it set none.
	MaxTokens int
	// Work is the time from dispatch to the last byte.
	Work time.Duration
}

// logMean is a decayed mean of logarithms. A value ten times too large counts
// as much as one ten times too small.
type logMean struct {
	log float64
	n   uint32
}

// learn moves the mean towards v. The first values have more weight, so that
// the mean is soon independent of the initial value. The difference is limited
// by maxSampleFactor.
func (m *logMean) learn(v, initial, weight float64) {
	if m.n == 0 {
		m.log = math.Log(initial)
	}
	m.n++
	diff := math.Log(max(v, 0.5)) - m.log
	diff = min(max(diff, -math.Log(maxSampleFactor)), math.Log(maxSampleFactor))
	m.log += diff * max(weight, 1/float64(m.n+1))
}

func (m *logMean) value(initial float64) float64 {
	if m.n == 0 {
		return initial
	}
	return math.Exp(m.log)
}

// outputLengths holds what is known about the lengths of answers.
type outputLengths struct {
	// unlimited is the mean number of tokens of answers without a limit.
	// limitUse is the mean fraction of the caller's limit that answers use, in
	// thousandths.
	unlimited, limitUse logMean
}

func (o *outputLengths) learn(u Usage, weight float64) {
	if u.MaxTokens > 0 {
		o.limitUse.learn(1000*float64(u.OutputTokens)/float64(u.MaxTokens), 1000*initialLimitUse, weight)
		return
	}
	o.unlimited.learn(float64(u.OutputTokens), initialOutputTokens, weight)
}

// class holds what is known about a class.
type class struct {
	// bytesPerToken is the mean number of prompt bytes per token, in
	// thousandths.
	bytesPerToken logMean
	outputs       outputLengths
	time          timeModel
	// plainMicros is the mean time in microseconds of calls without tokens.
	plainMicros logMean
}

// key identifies a customer within a class.
type key struct{ class, customer string }

// customer holds what is known about a customer within a class.
type customer struct {
	outputs     outputLengths
	plainMicros logMean
}

// Model learns costs and estimates them. One goroutine owns it.
type Model struct {
	// classes is bounded by the number of classes that operators have defined.
	classes   map[string]*class
	customers *recent.Table[key, customer]
}

// New returns a Model without any history.
func New(cfg Config) *Model {
	if cfg.MaxCustomers <= 0 {
		cfg.MaxCustomers = DefaultMaxCustomers
	}
	return &Model{classes: make(map[string]*class), customers: recent.New[key, customer](cfg.MaxCustomers)}
}

func (m *Model) class(name string) *class {
	c := m.classes[name]
	if c == nil {
		c = &class{time: newTimeModel()}
		m.classes[name] = c
	}
	return c
}

// Estimate returns the expected cost of a request. maxTokens is the caller's
// limit of the output, or zero if it set none. A request without a prompt and
// without a limit is a call of a plain service.
func (m *Model) Estimate(className, customerName string, promptBytes, maxTokens int) Estimate {
	c, cust := m.class(className), m.customers.GetOrAdd(key{className, customerName})
	if promptBytes == 0 && maxTokens == 0 {
		micros := blend(&c.plainMicros, &cust.plainMicros, initialPlainMicros)
		return Estimate{Work: time.Duration(micros * float64(time.Microsecond))}
	}
	prompt := math.Ceil(float64(promptBytes) / (c.bytesPerToken.value(1000*initialBytesPerToken) / 1000))
	var out float64
	if maxTokens > 0 {
		out = float64(maxTokens) * min(blend(&c.outputs.limitUse, &cust.outputs.limitUse, 1000*initialLimitUse)/1000, 1)
	} else {
		out = blend(&c.outputs.unlimited, &cust.outputs.unlimited, initialOutputTokens)
	}
	out = max(out, 1)
	return Estimate{PromptTokens: int(prompt), OutputTokens: int(out), Work: c.time.estimate(prompt, out)}
}

// initialPlainMicros is the assumed time in microseconds of a call of a plain
// service before any was observed.
const initialPlainMicros = 20000.0

// blend returns the mean of a customer's own history and that of its class,
// weighted by the number of the customer's answers.
func blend(class, customer *logMean, initial float64) float64 {
	classValue := class.value(initial)
	if customer.n == 0 {
		return classValue
	}
	w := float64(customer.n) / (float64(customer.n) + equalWeightAnswers)
	v := math.Exp(math.Log(classValue)*(1-w) + customer.log*w)
	return min(max(v, classValue/maxCustomerFactor), classValue*maxCustomerFactor)
}

// Learn updates the model with the actual cost of a finished request.
func (m *Model) Learn(className, customerName string, promptBytes int, u Usage) {
	c, cust := m.class(className), m.customers.GetOrAdd(key{className, customerName})
	if u.PromptTokens == 0 && u.OutputTokens == 0 {
		micros := float64(u.Work.Microseconds())
		c.plainMicros.learn(micros, initialPlainMicros, classWeight)
		cust.plainMicros.learn(micros, initialPlainMicros, customerWeight)
		return
	}
	if u.PromptTokens > 0 && promptBytes > 0 {
		c.bytesPerToken.learn(1000*float64(promptBytes)/float64(u.PromptTokens), 1000*initialBytesPerToken, classWeight)
	}
	c.outputs.learn(u, classWeight)
	cust.outputs.learn(u, customerWeight)
	c.time.learn(float64(max(u.PromptTokens-u.CachedTokens, 0)), float64(u.OutputTokens), u.Work.Seconds())
}
