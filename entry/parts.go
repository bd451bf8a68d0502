package main

// maxParts is more than the goroutines that a node starts.
const maxParts = 16

// parts is the goroutines of a node. One goroutine owns it.
type parts struct {
	// ended gets the reason of each that ends; it never blocks a sender.
	ended chan error
	// running is how many have started and not been read from ended.
	running int
}

func newParts() *parts { return &parts{ended: make(chan error, maxParts)} }

// start runs a part until its context ends.
func (p *parts) start(run func() error) {
	p.running++
	go func() { p.ended <- run() }()
}

// wait returns when all parts have ended; their context must have.
func (p *parts) wait() {
	for ; p.running > 0; p.running-- {
		<-p.ended
	}
}
