// Package route holds one version of the operator's configuration for plain HTTP services
// (routes, pools, customers, limits) and looks up what applies to a request. It uses no
// network, clock or random source.
package route

import "time"

// Route defines how the requests below one path of one host are served.
type Route struct {
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Host     string
	// Prefix is a path that begins and ends with a slash.
	Prefix string
	// Repeatable is set if requests may be executed more than once.
	Repeatable bool
	// Stream is set if answers are event streams.
	Stream bool
	// Resumable is set if a stream may be resumed at another endpoint after its last event.
	Resumable bool
	// Public is set if requests need no key.
	Public bool
	// Timeout is the longest time that a request may keep its caller waiting.
	Timeout time.Duration
	// Target is the time within which the answer, or its first event, is wanted.
	Target time.Duration
	// MaxPause is the longest pause between two events of an answer that counts as in time.
	MaxPause time.Duration
	// Tier is the rank of the route, zero for the highest.
	Tier int
	// Attempts is the largest number of endpoints on which one request may be executed.
	Attempts int
	// Shares is never empty, and the weights are positive.
	Shares []Share
	// MaxSilence is the longest time for which callers wait for the answer to begin. Zero
	// means that only the deadline counts.
	MaxSilence time.Duration
}

// Share is the share of a route's requests that one pool serves.
type Share struct {
	_msgpack struct{} `msgpack:",as_array"`
	Pool     string
	Weight   int
}

// Pool is a set of endpoints that serve the same requests.
type Pool struct {
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	// MaxConns is the number of connections that one endpoint accepts from all callers
	// together. Zero means no limit.
	MaxConns int
	// Engine is set for pools of model engines.
	Engine bool
	// Slots is the number of requests that an engine serves at once, or zero if unknown.
	Slots int
	// KVTokens is the memory of one engine in tokens, or zero if unknown.
	KVTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// Customer is a holder of keys.
type Customer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Keys     []string
	// Tier is the customer's rank. If HasTier is set, it takes precedence over the route's.
	Tier    int
	HasTier bool
	// Rate and Burst limit the customer's use. They are in tokens per second and tokens if
	// ByTokens is set, else in requests per second and requests. Zero means no limit.
	Rate, Burst float64
	ByTokens    bool
	// DefaultTokens is the number of tokens charged for a request without token counts.
	DefaultTokens float64
	// Weight is the customer's share of scarce room relative to others. Zero means one.
	Weight float64
}

// Limits bounds what a caller may send.
type Limits struct {
	_msgpack struct{} `msgpack:",as_array"`
	// HeaderBytes and BodyBytes limit the size of one request.
	HeaderBytes, BodyBytes int
	// HeaderTime is how long a caller may take to send the headers. IdleTime is how long a
	// connection may stay open without a request.
	HeaderTime, IdleTime time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Revision is the latest revision of the platform, numbered as in package eras, at
	// which it held nothing newer than this configuration.
	Revision  int64
	Routes    []Route
	Pools     []Pool
	Customers []Customer
	Limits    Limits
	// Version is the operator's version, which only increases; zero if it is not known.
	// IsAhead is set if the platform held an older version at Revision. Both are encoded by
	// Encode only.
	Version int64 `msgpack:"-"`
	IsAhead bool  `msgpack:"-"`
}

// Endpoint is one item of the instance list.
type Endpoint struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	// Incarnation differs between successive starts of an endpoint with the same ID.
	Incarnation int64
	Pool        string
	Addr        string
	Zone        string
	// Slots is the number of requests that the endpoint serves at once.
	Slots int
	// Leaving is set if the endpoint finishes its running requests and accepts no new ones.
	Leaving bool
	// Version is the version of the endpoint's software. ColdFor is the remaining time for
	// which the endpoint is slow after its start.
	Version string
	ColdFor time.Duration
}

// Roster is one version of the instance list.
type Roster struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Revision orders the versions. It is numbered as in package eras.
	Revision  int64
	Endpoints []Endpoint
}
