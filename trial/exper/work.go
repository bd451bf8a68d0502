// Package exper runs the experiments of make measure. It sends workloads with
// fixed seeds to lycheepond and to the baselines and evaluates the answers that
// callers receive.
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
	"lycheepond/trial/load"
	"lycheepond/trial/simeng"
)

const model = "roster"

// shape describes the requests of one class.
type shape struct {
	class spec.Class
	// share is the fraction of all requests that are of the class.
	share float64
	// promptTokens excludes the shared prefix.
	promptTokens, outputTokens int
	stream                     bool
}

// customer is a customer and its fraction of all requests.
type customer struct {
	name  string
	share float64
}

func ms(n int) spec.Duration { return spec.Duration(time.Duration(n) * time.Millisecond) }

// mixedShapes is the usual mix: swaps, explanations, tags and slates.
var mixedShapes = []shape{
	{spec.Class{Name: "swap", Tier: 0, Target: spec.Target{FirstToken: ms(1000), BetweenTokens: ms(49), Complete: ms(3000)}, Deadline: ms(6000)}, 0.20, 120, 16, true},
	{spec.Class{Name: "explain", Tier: 1, Target: spec.Target{FirstToken: ms(1500), BetweenTokens: ms(49)}, Deadline: ms(6000)}, 0.30, 300, 48, true},
	{spec.Class{Name: "tag", Tier: 2, Target: spec.Target{Complete: ms(4000)}, Deadline: ms(6000)}, 0.35, 150, 12, false},
	{spec.Class{Name: "slate", Tier: 3, Target: spec.Target{Complete: ms(7000)}, Deadline: ms(8000)}, 0.15, 800, 160, true},
}

// longShortShapes is a mix of short requests of three tiers in which 1 request in 20
// is 100 times as long.
var longShortShapes = []shape{
	{withoutIntervalTarget(mixedShapes[0].class), 0.25, 40, 3, true},
	{withoutIntervalTarget(mixedShapes[1].class), 0.35, 40, 3, true},
	{withoutIntervalTarget(mixedShapes[2].class), 0.35, 40, 3, false},
	{spec.Class{Name: "slate", Tier: 3, Target: spec.Target{Complete: ms(8000)}, Deadline: ms(9000)}, 0.05, 4000, 300, true},
}

// withoutIntervalTarget drops the target for the time between tokens, which says
// little about answers of three tokens.
func withoutIntervalTarget(c spec.Class) spec.Class {
	c.Target.BetweenTokens = 0
	return c
}

// customers are the customers of all workloads. A few of them send most requests.
var customers = []customer{
	{"federation", 0.40}, {"bay-state", 0.25}, {"granite", 0.15}, {"ocean-state", 0.12}, {"nutmeg", 0.08},
}

// phase is a period with a constant request rate for each class and customer.
type phase struct {
	// from and to are counted from the start of the run.
	from, to time.Duration
	// rate returns the requests per second.
	rate func(s shape, c customer) float64
}

// sharedPrefixes describes the prefixes that prompts of a customer share.
type sharedPrefixes struct {
	// count is the number of prefixes of each customer and tokens their length.
	count, tokens int
}

// shortPrefixes gives all prompts of a customer the same short instruction.
var shortPrefixes = sharedPrefixes{count: 1, tokens: 48}

// longPrefixes gives the prompts of a customer one of several long instructions.
// All of them together take 1500 KV blocks: half as much again as one engine has,
// and a third of all engines' blocks.
var longPrefixes = sharedPrefixes{count: 5, tokens: 960}

// bearer returns the key of a customer.
func bearer(name string) string { return "measure-" + name }

// platformObjects returns the classes, the customers and the model of a workload.
func platformObjects(shapes []shape) []spec.Item {
	var items []spec.Item
	for _, s := range shapes {
		items = append(items, spec.Item{Kind: spec.KindClass, Name: s.class.Name, Object: s.class})
	}
	for _, c := range customers {
		sum := sha256.Sum256([]byte(bearer(c.name)))
		o := spec.Customer{Name: c.name, Keys: []spec.Key{{SHA256: hex.EncodeToString(sum[:]), Class: shapes[0].class.Name}}}
		items = append(items, spec.Item{Kind: spec.KindCustomer, Name: c.name, Object: o})
	}
	m := spec.Model{Name: model, Endpoints: map[string]string{"model": model}, Version: "v1"}
	return append(items, spec.Item{Kind: spec.KindModel, Name: m.Name, Object: m})
}

// generateJobs returns the jobs of a workload, sorted by SendAt. Each pair of class
// and customer has Poisson arrivals of its own. The same seed gives the same jobs.
func generateJobs(seed uint64, shapes []shape, phases []phase, p sharedPrefixes) []load.Job {
	var jobs []load.Job
	for i, s := range shapes {
		for k, c := range customers {
			rnd := rand.New(rand.NewPCG(seed, uint64(i*len(customers)+k)))
			for _, ph := range phases {
				jobs = append(jobs, poissonJobs(rnd, s, c, ph, p, len(jobs))...)
			}
		}
	}
	slices.SortStableFunc(jobs, func(a, b load.Job) int { return int(a.SendAt - b.SendAt) })
	return jobs
}

// poissonJobs returns the jobs of one class and customer in a phase. Their prompts
// are numbered from firstNumber on.
func poissonJobs(rnd *rand.Rand, s shape, c customer, ph phase, p sharedPrefixes, firstNumber int) []load.Job {
	rate := ph.rate(s, c)
	var jobs []load.Job
	// An empty phase must draw no random number. Otherwise a customer whose rate
	// stays the same would send other requests in a run without the extra load of
	// the hot customer.
	for at := ph.from; rate > 0 && ph.from < ph.to; {
		at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= ph.to {
			break
		}
		jobs = append(jobs, load.Job{
			SendAt: at, Class: s.class, Customer: c.name, Bearer: bearer(c.name),
			ModelRequest: simeng.CompletionRequest{
				Model: model, Prompt: newPrompt(rnd, s, c, p, firstNumber+len(jobs)),
				MaxTokens: s.outputTokens, Stream: s.stream,
			},
		})
	}
	return jobs
}

// bytesPerToken is how many bytes of a prompt the simulated engine counts as a token.
const bytesPerToken = 4

// newPrompt returns a prompt that begins with a shared prefix and continues with text
// that is unique to the job with the given number.
func newPrompt(rnd *rand.Rand, s shape, c customer, p sharedPrefixes, number int) string {
	uniqueText := fmt.Sprintf("%s %s %d ", c.name, s.class.Name, number)
	var b strings.Builder
	b.WriteString(repeatToSize(fmt.Sprintf("%s instruction %d ", c.name, rnd.IntN(p.count)), p.tokens*bytesPerToken))
	b.WriteString(repeatToSize(uniqueText, max(len(uniqueText), s.promptTokens*bytesPerToken)))
	return b.String()
}

// repeatToSize repeats word up to a length of size bytes.
func repeatToSize(word string, size int) string {
	return strings.Repeat(word, size/len(word)+1)[:size]
}
