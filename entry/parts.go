package main

// maxParts is more than the number of goroutines that a node starts.
const maxParts = 16

// parts tracks the goroutines of a node. One goroutine owns it.
type parts struct {
	// ended receives the result of each goroutine that ends. Its buffer ensures
	// that no sender blocks.
	ended chan error
	// running is how many goroutines have been started whose results have not been
	// read from ended.
	running int
}

func newParts() *parts { return &parts{ended: make(chan error, maxParts)} }

// start runs a part, which must return when its context ends.
func (p *parts) start(run func() error) {
	p.running++
	go func() { p.ended <- run() }()
}

// wait returns when all parts have ended. Their context must have ended before.
func (p *parts) wait() {
	for ; p.running > 0; p.running-- {
		<-p.ended
	}
}
