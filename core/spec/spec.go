// Package spec defines the objects that operators write: classes of work, customers,
// models and services. Operators state targets, but no weights and no instances.
package spec

import "time"

// Object kinds as the platform stores them.
const (
	KindClass    = "class"
	KindCustomer = "customer"
	KindModel    = "model"
	KindService  = "service"
	// KindHomes is written by entries: which agent keeps the records of which
	// idempotency keys.
	KindHomes = "homes"
	// KindAssign is written by entries: which version each endpoint has to serve.
	KindAssign = "assign"
	// KindStatus is written by entries: a short status report of each.
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
	// Deadline is the time after which the answer is useless to the caller; zero
	// means DefaultDeadline.
	Deadline Duration `json:"deadline,omitempty" yaml:"deadline,omitempty"`
	// Applied says who wrote the object; it is not for operators to write.
	Applied *Applied `json:"applied,omitempty" yaml:"-"`
}

// DefaultDeadline is the deadline of a class that states none.
const DefaultDeadline = 5 * time.Minute

// Target is what the callers of a class are promised. FirstToken and Complete count
// from the acceptance of the request. Zero means no promise.
type Target struct {
	FirstToken    Duration `json:"first_token,omitempty" yaml:"first_token,omitempty"`
	BetweenTokens Duration `json:"between_tokens,omitempty" yaml:"between_tokens,omitempty"`
	Complete      Duration `json:"complete,omitempty" yaml:"complete,omitempty"`
}

// Customer is an organisation or department that sends requests.
type Customer struct {
	Name string `json:"name" yaml:"name"`
	Keys []Key  `json:"keys" yaml:"keys"`
	// Classes lists the classes that the customer may use; an empty list means all.
	Classes []string `json:"classes,omitempty" yaml:"classes,omitempty"`
	Limits  Limits   `json:"limits,omitempty" yaml:"limits,omitempty"`
	// Applied says who wrote the object; it is not for operators to write.
	Applied *Applied `json:"applied,omitempty" yaml:"-"`
}

// Key is one API key of a customer, stored as its hash.
type Key struct {
	// SHA256 is the key's SHA-256 in hexadecimal digits.
	SHA256 string `json:"sha256" yaml:"sha256"`
	// Class is the class of requests that state none.
	Class string `json:"class" yaml:"class"`
}

// Limits are the limits of a customer; zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" yaml:"requests_per_second,omitempty"`
	Concurrent        int     `json:"concurrent,omitempty" yaml:"concurrent,omitempty"`
}

// Model is a model that callers name in their requests. Its pool is every
// endpoint whose labels match.
type Model struct {
	Name      string            `json:"name" yaml:"name"`
	Endpoints map[string]string `json:"endpoints" yaml:"endpoints"`
	// Version is the version that the endpoints have to serve; empty leaves them
	// unchanged.
	Version  string   `json:"version,omitempty" yaml:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	// Applied says who wrote the object; it is not for operators to write.
	Applied *Applied `json:"applied,omitempty" yaml:"-"`
}

// Service is a plain HTTP service under /services/NAME/.
type Service struct {
	Name      string            `json:"name" yaml:"name"`
	Endpoints map[string]string `json:"endpoints" yaml:"endpoints"`
	// Idempotent lists the methods that may be repeated; an empty list means GET,
	// HEAD and OPTIONS.
	Idempotent []string `json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	// Applied says who wrote the object; it is not for operators to write.
	Applied *Applied `json:"applied,omitempty" yaml:"-"`
}

// Applied states who wrote an object last, so that an operator whose conditional
// write failed learns whose write came first.
type Applied struct {
	By string `json:"by"`
	// At is the time of the write by the writer's own clock.
	At time.Time `json:"at"`
	// ID is unique for each write. A writer whose reply was lost can see from it
	// whether the write took effect.
	ID string `json:"id"`
}

// Matches reports whether labels contains every pair of selector.
func Matches(selector, labels map[string]string) bool {
	for k, v := range selector {
		if labels[k] != v {
			return false
		}
	}
	return true
}
