package route

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
)

// Table looks up the parts of one Config. It is immutable.
type Table struct {
	cfg Config
	// hosts holds the routes of each host, longest prefix first.
	hosts     map[string][]*Route
	pools     map[string]*Pool
	customers map[string]*Customer
	// weights holds the weights, by name, of the customers whose weight is not one.
	weights map[string]float64
	// byName holds the customers by name.
	byName map[string]*Customer
}

// NewTable returns the table of a configuration.
func NewTable(cfg Config) *Table {
	t := &Table{
		cfg: cfg, hosts: make(map[string][]*Route),
		pools: make(map[string]*Pool), customers: make(map[string]*Customer), weights: make(map[string]float64),
		byName: make(map[string]*Customer),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range cfg.Pools {
		t.pools[cfg.Pools[i].Name] = &cfg.Pools[i]
	}
	for i := range cfg.Customers {
		for _, k := range cfg.Customers[i].Keys {
			t.customers[k] = &cfg.Customers[i]
		}
		t.byName[cfg.Customers[i].Name] = &cfg.Customers[i]
		if c := &cfg.Customers[i]; c.Weight > 0 && c.Weight != 1 {
			t.weights[c.Name] = c.Weight
		}
	}
	return t
}

// Config returns the configuration that the table was built from.
func (t *Table) Config() Config { return t.cfg }

// Revision returns the revision of the configuration.
func (t *Table) Revision() int64 { return t.cfg.Revision }

// Ahead returns the operator's version if the platform held an older one at Revision, otherwise
// zero.
func (t *Table) Ahead() int64 {
	if t.cfg.IsAhead {
		return t.cfg.Version
	}
	return 0
}

// Find returns the route with the longest prefix that matches a host and path.
func (t *Table) Find(host, path string) (*Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HasRoute reports whether there is a route with a name.
func (t *Table) HasRoute(name string) bool {
	return slices.ContainsFunc(t.cfg.Routes, func(r Route) bool { return r.Name == name })
}

// Pool returns the pool with the given name.
func (t *Table) Pool(name string) (*Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// RequiresKey reports whether the configuration has customers, so that requests to routes
// that are not public need a key.
func (t *Table) RequiresKey() bool { return len(t.cfg.Customers) > 0 }

// Weight returns the weight of a customer, which is one if its name is not known.
func (t *Table) Weight(customer string) float64 {
	if w, ok := t.weights[customer]; ok {
		return w
	}
	return 1
}

// Customer returns the holder of a key.
func (t *Table) Customer(key string) (*Customer, bool) {
	c, ok := t.customers[key]
	return c, ok
}

// CustomerNamed returns the customer with a name.
func (t *Table) CustomerNamed(name string) (*Customer, bool) {
	c, ok := t.byName[name]
	return c, ok
}

// ChoosePool returns the pool that serves the request with the given ID. All entries choose
// the same pool for the same request.
func (r *Route) ChoosePool(id string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Pool
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	n := int(h.Sum32() % uint32(max(total, 1)))
	for _, s := range r.Shares {
		if n < s.Weight {
			return s.Pool
		}
		n -= s.Weight
	}
	return r.Shares[0].Pool
}

// AtMostOnce reports whether a request of the route may be executed only once.
func (r *Route) AtMostOnce() bool { return !r.Repeatable && !(r.Stream && r.Resumable) }
