package main

// maxParts is larger than the number of parts that a node starts.
const maxParts = 16

// parts tracks the parts of a node, each of which runs in a goroutine. It must be
// used by one goroutine only.
type parts struct {
	// ended receives the result of each part that ends. Its buffer ensures that no
	// sender blocks.
	ended chan error
	// running counts the parts whose results have not been read from ended.
	running int
}

func newParts() *parts { return &parts{ended: make(chan error, maxParts)} }

// start runs a part, which must return when its context ends.
func (p *parts) start(run func() error) {
	p.running++
	go func() { p.ended <- run() }()
}

// wait returns when all parts have ended. Their context must end before it is
// called.
func (p *parts) wait() {
	for ; p.running > 0; p.running-- {
		<-p.ended
	}
}
