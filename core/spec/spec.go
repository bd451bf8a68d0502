// Package spec defines the objects that operators write: classes of work,
// customers, and what is served. An operator states targets; weights and
// instances have no place here.
package spec

import "time"

// Object kinds as the platform stores them.
const (
	KindClass    = "class"
	KindCustomer = "customer"
	KindModel    = "model"
	KindService  = "service"
	// KindHomes is written by entries: which agent keeps which idempotency keys.
	KindHomes = "homes"
	// KindAssign is written by entries: which endpoint serves which version.
	KindAssign = "assign"
	// KindStatus is written by entries, a short report each.
	KindStatus = "status"
)

// Tiers is the number of tiers; tier 0 is the highest.
const Tiers = 4

// Class is a class of work with its target.
type Class struct {
	Name string `json:"name" yaml:"name"`
	// Tier is 0 (refused last) to 3 (refused first).
	Tier   uint8  `json:"tier" yaml:"tier"`
	Target Target `json:"target" yaml:"target"`
	// Deadline is when an answer is of no more use; zero means DefaultDeadline.
	Deadline Duration `json:"deadline,omitempty" yaml:"deadline,omitempty"`
	// Applied says who wrote the object; it is not for operators to write.
	Applied *Applied `json:"applied,omitempty" yaml:"-"`
}

// DefaultDeadline is the deadline of a class that states none.
const DefaultDeadline = 5 * time.Minute

// Target is what the callers of a class must see, counted from the moment that
// the request was accepted. Zero means that nothing is promised.
type Target struct {
	FirstToken    Duration `json:"first_token,omitempty" yaml:"first_token,omitempty"`
	BetweenTokens Duration `json:"between_tokens,omitempty" yaml:"between_tokens,omitempty"`
	Complete      Duration `json:"complete,omitempty" yaml:"complete,omitempty"`
}

// Customer is an organisation or department that sends requests.
type Customer struct {
	Name string `json:"name" yaml:"name"`
	Keys []Key  `json:"keys" yaml:"keys"`
	// Classes lists the classes that the customer may use; none means all.
	Classes []string `json:"classes,omitempty" yaml:"classes,omitempty"`
	Limits  Limits   `json:"limits,omitempty" yaml:"limits,omitempty"`
	// Applied says who wrote the object; it is not for operators to write.
	Applied *Applied `json:"applied,omitempty" yaml:"-"`
}

// Key is one API key of a customer, stored as its hash.
type Key struct {
	// SHA256 is the key's SHA-256 in hexadecimal digits.
	SHA256 string `json:"sha256" yaml:"sha256"`
	// Class is the class of requests that name none.
	Class string `json:"class" yaml:"class"`
}

// Limits bound a customer; zero means no bound.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" yaml:"requests_per_second,omitempty"`
	Concurrent        int     `json:"concurrent,omitempty" yaml:"concurrent,omitempty"`
}

// Model is a model that callers name in their requests. Its pool is every
// endpoint whose labels match.
type Model struct {
	Name      string            `json:"name" yaml:"name"`
	Endpoints map[string]string `json:"endpoints" yaml:"endpoints"`
	// Version is the version that the endpoints are to serve; empty leaves
	// them as they are.
	Version  string   `json:"version,omitempty" yaml:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	// Applied says who wrote the object; it is not for operators to write.
	Applied *Applied `json:"applied,omitempty" yaml:"-"`
}

// Service is a plain service under /services/NAME/.
type Service struct {
	Name      string            `json:"name" yaml:"name"`
	Endpoints map[string]string `json:"endpoints" yaml:"endpoints"`
	// Idempotent lists the methods that may be repeated; none means GET, HEAD
	// and OPTIONS.
	Idempotent []string `json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	// Applied says who wrote the object; it is not for operators to write.
	Applied *Applied `json:"applied,omitempty" yaml:"-"`
}

// Applied is who wrote an object last, so that an operator who lost a race
// learns against whom.
type Applied struct {
	By string `json:"by"`
	// At is the writer's own clock.
	At time.Time `json:"at"`
	// ID is fresh for each write. A writer whose reply was lost knows by it
	// whether the write took effect.
	ID string `json:"id"`
}

// Matches reports whether labels holds every pair of selector.
func Matches(selector, labels map[string]string) bool {
	for k, v := range selector {
		if labels[k] != v {
			return false
		}
	}
	return true
}
