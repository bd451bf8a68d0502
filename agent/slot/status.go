package slot

// Status is what operators see of the owner.
type Status struct{}
