package spec

// Homes is the content of homes/POOL: which agent keeps the records of which
// idempotency keys. The object's own version is not part of it.
type Homes struct {
	// Epoch grows by one with every change of an owner.
	Epoch int64 `json:"epoch"`
	// Lease is how long a confirmation of the epoch lets an owner act.
	Lease Duration `json:"lease"`
	// Owners are the agents that Slots refers to.
	Owners []HomeOwner `json:"owners"`
	// Slots are the partitions of the key space; their number never changes
	// while the object exists.
	Slots HomeSlots `json:"slots"`
	// Left are the owners that lost slots lately, which From refers to.
	Left []HomeOwner `json:"left,omitempty"`
	// Touched is set anew by each write that only confirms the epoch, in Unix
	// milliseconds of the writer's clock. Nothing is decided by it.
	Touched int64 `json:"touched"`
}

// HomeOwner is one agent process. A restarted agent has another incarnation
// and none of the records of the one before.
type HomeOwner struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// HomeSlot is one partition of the key space.
type HomeSlot struct {
	// Owner is an index into Owners, or -1 while no agent is known.
	Owner int `json:"o"`
	// Since is the time in Unix milliseconds before which records may be
	// lost, zero if none can be.
	Since int64 `json:"s,omitempty"`
	// Took is the epoch in which the owner took the slot over.
	Took int64 `json:"t"`
	// From is one more than the index in Left of the owner before this one,
	// which may hand its records over; zero if there is none.
	From int `json:"f,omitempty"`
}

// Assign is the content of assign/MODEL: what each endpoint is to serve. The
// version of the object is the fencing number of the orders that follow it.
type Assign struct {
	// Epoch grows by one with every change of an endpoint's line.
	Epoch int64 `json:"epoch"`
	// Endpoints are named as in the instance list.
	Endpoints map[string]Assignment `json:"endpoints"`
}

// Assignment is what one endpoint is to serve.
type Assignment struct {
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}
