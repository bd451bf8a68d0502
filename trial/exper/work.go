// Package exper runs the experiments of make measure: workloads with fixed
// seeds against lycheepond and against baselines, judged by what callers
// receive.
package exper

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lycheepond/core/spec"
	"lycheepond/trial/engin"
	"lycheepond/trial/load"
)

const model = "roster"

// shape is the work of one class.
type shape struct {
	class spec.Class
	// share is the class's part of all requests.
	share          float64
	prompt, output int
	stream         bool
}

// customer is a customer and its part of all requests.
type customer struct {
	name  string
	share float64
}

func ms(n int) spec.Duration { return spec.Duration(time.Duration(n) * time.Millisecond) }

// mixed is the usual work, after the brief: swaps, explanations, tags, slates.
var mixed = []shape{
	{spec.Class{Name: "swap", Tier: 0, Target: spec.Target{FirstToken: ms(1000), BetweenTokens: ms(49), Complete: ms(3000)}, Deadline: ms(6000)}, 0.20, 120, 16, true},
	{spec.Class{Name: "explain", Tier: 1, Target: spec.Target{FirstToken: ms(1500), BetweenTokens: ms(49)}, Deadline: ms(6000)}, 0.30, 300, 48, true},
	{spec.Class{Name: "tag", Tier: 2, Target: spec.Target{Complete: ms(4000)}, Deadline: ms(6000)}, 0.35, 150, 12, false},
	{spec.Class{Name: "slate", Tier: 3, Target: spec.Target{Complete: ms(7000)}, Deadline: ms(8000)}, 0.15, 800, 160, true},
}

// longShort is short work of three tiers and, 1 in 20, a job 100 times as long.
var longShort = []shape{
	{resized(mixed[0].class), 0.25, 40, 3, true},
	{resized(mixed[1].class), 0.35, 40, 3, true},
	{resized(mixed[2].class), 0.35, 40, 3, false},
	{spec.Class{Name: "slate", Tier: 3, Target: spec.Target{Complete: ms(8000)}, Deadline: ms(9000)}, 0.05, 4000, 300, true},
}

// resized drops the target between tokens, which says little of three tokens.
func resized(c spec.Class) spec.Class {
	c.Target.BetweenTokens = 0
	return c
}

// everyone is the usual customers, a few of them large.
var everyone = []customer{
	{"federation", 0.40}, {"bay-state", 0.25}, {"granite", 0.15}, {"ocean-state", 0.12}, {"nutmeg", 0.08},
}

// phase is a stretch of time with a rate of requests for each class and
// customer.
type phase struct {
	from, to time.Duration
	// rate is requests a second.
	rate func(s shape, c customer) float64
}

// prefixes describes the beginnings that prompts share.
type prefixes struct {
	// count is how many there are for each customer and tokens how long.
	count, tokens int
}

// plain is the short instruction with which each customer's prompts begin.
var plain = prefixes{count: 1, tokens: 48}

// hot is long instructions: all of them take 1500 blocks, half as much again as
// one engine has and a third of the fleet's.
var hot = prefixes{count: 5, tokens: 960}

func bearer(name string) string { return "measure-" + name }

// objects returns the classes, customers and the model of a workload.
func objects(shapes []shape) []spec.Item {
	var items []spec.Item
	for _, s := range shapes {
		items = append(items, spec.Item{Kind: spec.KindClass, Name: s.class.Name, Object: s.class})
	}
	for _, c := range everyone {
		sum := sha256.Sum256([]byte(bearer(c.name)))
		o := spec.Customer{Name: c.name, Keys: []spec.Key{{SHA256: hex.EncodeToString(sum[:]), Class: shapes[0].class.Name}}}
		items = append(items, spec.Item{Kind: spec.KindCustomer, Name: c.name, Object: o})
	}
	m := spec.Model{Name: model, Endpoints: map[string]string{"model": model}, Version: "v1"}
	return append(items, spec.Item{Kind: spec.KindModel, Name: m.Name, Object: m})
}

// generate returns the jobs of a workload in order of time: Poisson arrivals of
// each class and customer on their own, from one seed.
func generate(seed uint64, shapes []shape, phases []phase, p prefixes) []load.Job {
	var jobs []load.Job
	for i, s := range shapes {
		for k, c := range everyone {
			rnd := rand.New(rand.NewPCG(seed, uint64(i*len(everyone)+k)))
			for _, ph := range phases {
				jobs = append(jobs, arrivals(rnd, s, c, ph, p, len(jobs))...)
			}
		}
	}
	slices.SortStableFunc(jobs, func(a, b load.Job) int { return int(a.SendAt - b.SendAt) })
	return jobs
}

func arrivals(rnd *rand.Rand, s shape, c customer, ph phase, p prefixes, first int) []load.Job {
	rate := ph.rate(s, c)
	var jobs []load.Job
	// An empty phase draws no number, so that a customer whose rate does not
	// change sends the same with and without the surplus of another.
	for at := ph.from; rate > 0 && ph.from < ph.to; {
		at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= ph.to {
			break
		}
		jobs = append(jobs, load.Job{
			SendAt: at, Class: s.class, Customer: c.name, Bearer: bearer(c.name),
			Ask: engin.Ask{
				Model: model, Prompt: prompt(rnd, s, c, p, first+len(jobs)),
				MaxTokens: s.output, Stream: s.stream,
			},
		})
	}
	return jobs
}

// bytesPerToken is what the stand-in engine takes for a token.
const bytesPerToken = 4

// prompt is a shared beginning, a number that makes it the job's own, and
// filler that no other job has.
func prompt(rnd *rand.Rand, s shape, c customer, p prefixes, n int) string {
	own := fmt.Sprintf("%s %s %d ", c.name, s.class.Name, n)
	var b strings.Builder
	b.WriteString(fill(fmt.Sprintf("%s instruction %d ", c.name, rnd.IntN(p.count)), p.tokens*bytesPerToken))
	b.WriteString(fill(own, max(len(own), s.prompt*bytesPerToken)))
	return b.String()
}

func fill(word string, size int) string {
	return strings.Repeat(word, size/len(word)+1)[:size]
}
