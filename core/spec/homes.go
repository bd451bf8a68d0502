package spec

// Homes is the content of homes/POOL: which agent keeps the records of which
// idempotency keys. It does not include the object's own version.
type Homes struct {
	// Epoch increases by one with every change of an owner.
	Epoch int64 `json:"epoch"`
	// Lease is the time for which a confirmation of the epoch allows an owner to act.
	Lease Duration `json:"lease"`
	// Owners are the agents that the slots refer to.
	Owners []HomeOwner `json:"owners"`
	// Slots are the partitions of the key space. Their number never changes while the
	// object exists.
	Slots HomeSlots `json:"slots"`
	// PreviousOwners are the owners that lost slots recently; HomeSlot.PreviousOwner
	// refers to them.
	PreviousOwners []HomeOwner `json:"left,omitempty"`
	// ConfirmedAtMS is set by each write that only confirms the epoch, in Unix
	// milliseconds of the writer's clock. No decision depends on it.
	ConfirmedAtMS int64 `json:"touched"`
}

// HomeOwner identifies one agent process. A restarted agent has another incarnation
// and none of the records of the previous one.
type HomeOwner struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// HomeSlot is one partition of the key space.
type HomeSlot struct {
	// Owner is an index into Homes.Owners, or -1 while no agent is known.
	Owner int `json:"o"`
	// LostBefore is the time in Unix milliseconds before which records may be lost, or
	// zero if none can be lost.
	LostBefore int64 `json:"s,omitempty"`
	// OwnedSinceEpoch is the epoch in which the owner took over the slot.
	OwnedSinceEpoch int64 `json:"t"`
	// PreviousOwner is one more than the index in Homes.PreviousOwners of the previous
	// owner, which may hand over its records; it is zero if there is none.
	PreviousOwner int `json:"f,omitempty"`
}

// Assign is the content of assign/MODEL: what each endpoint has to serve. The version
// of the object is the fencing number of the orders that follow from it.
type Assign struct {
	// Epoch increases by one with every change of an endpoint's assignment.
	Epoch int64 `json:"epoch"`
	// Endpoints maps the names of endpoints in the instance list to their
	// assignments.
	Endpoints map[string]Assignment `json:"endpoints"`
}

// Assignment is what one endpoint has to serve.
type Assignment struct {
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}
