package engin

import "time"

// seq is one request in the engine. Run alone changes it, but for rec, which
// Engine.mu guards, and sink, which guards itself.
type seq struct {
	rec  *Record
	sink *sink
	// prompt is the prompt's tokens and want the tokens to produce.
	prompt, want int
	hashes       []uint64
	// held counts the leading hashes that are cached and held; private counts
	// the blocks that belong to this sequence alone.
	held, private int
	// target is how many tokens must be in memory before decoding; pos is how
	// many are.
	target, pos int
	out         int
	cached      int
	// computed counts the prefill done and not yet thrown away; wasted what was
	// thrown away or done twice.
	computed, wasted int
	// redo is set after a preemption.
	redo bool
	// chunk is the prefill of the present step.
	chunk    int
	truncate bool
	digest   string
	chat     bool
}

func (s *seq) decoding() bool { return s.pos >= s.target }

// prefillChunk is how many prompt tokens a step takes in at most. It bounds how
// long a prompt holds up the sequences that decode.
const prefillChunk = 512

// batch is the running and the waiting sequences. It knows no clock.
type batch struct {
	cfg     Config
	mem     *memory
	running []*seq
	// waiting is in order of arrival; a preempted sequence goes to its front.
	waiting []*seq
	// seen holds the prompt blocks that were computed here before: computing
	// one again is waste.
	seen      map[uint64]struct{}
	preempted int64
	computed  int64
}

// maxSeen bounds seen; at 16 tokens a block it is 16 million prompt tokens.
const maxSeen = 1 << 20

func newBatch(cfg Config, mem *memory) batch {
	return batch{cfg: cfg, mem: mem, seen: make(map[uint64]struct{})}
}

// blocks returns the blocks that n tokens need.
func (b *batch) blocks(n int) int { return (n + b.cfg.BlockTokens - 1) / b.cfg.BlockTokens }

// admit moves waiting sequences into the batch, strictly in order.
func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.cfg.Slots {
		s := b.waiting[0]
		if !b.enter(s) {
			return
		}
		b.waiting = b.waiting[1:]
		b.running = append(b.running, s)
	}
}

func (b *batch) enter(s *seq) bool {
	target := s.prompt + s.out
	hit := b.mem.match(s.hashes)
	// Holding first keeps take from evicting the very blocks that were found.
	b.mem.hold(s.hashes[:hit])
	need := b.blocks(target+1) - hit
	if !b.mem.take(need) {
		b.mem.drop(s.hashes[:hit])
		return false
	}
	s.held, s.private = hit, need
	// The last token is always computed: its result is the next token.
	s.target, s.pos = target, min(hit*b.cfg.BlockTokens, target-1)
	if !s.redo {
		s.cached = s.pos
	}
	return true
}

// plan chooses the work of the next step and returns how long it takes at
// speed 1.
func (b *batch) plan() time.Duration {
	budget, decoding, prefill := prefillChunk, 0, 0
	for _, s := range b.running {
		s.chunk = 0
		if s.decoding() {
			decoding++
			continue
		}
		s.chunk = min(budget, s.target-s.pos)
		budget -= s.chunk
		prefill += s.chunk
	}
	var d float64
	if decoding > 0 {
		d = (1 + b.cfg.BatchSlope*float64(decoding-1)) / b.cfg.DecodeTPS
	}
	d += float64(prefill) / b.cfg.PrefillTPS
	return time.Duration(d * float64(time.Second))
}

// step carries out what plan chose. It returns the sequences that finished.
func (b *batch) step() (finished []*seq) {
	for _, s := range append([]*seq(nil), b.running...) {
		switch {
		case s.chunk > 0:
			b.prefill(s)
		case s.decoding() && b.active(s):
			b.decode(s)
		}
		if s.out >= s.want && b.active(s) {
			b.leave(s)
			finished = append(finished, s)
		}
	}
	return finished
}

// active reports whether s was not preempted by an earlier sequence of the
// same step.
func (b *batch) active(s *seq) bool {
	for _, r := range b.running {
		if r == s {
			return true
		}
	}
	return false
}

func (b *batch) prefill(s *seq) {
	if !b.active(s) {
		return
	}
	s.pos += s.chunk
	s.computed += s.chunk
	b.computed += int64(s.chunk)
	if s.redo && s.pos > len(s.hashes)*b.cfg.BlockTokens {
		s.wasted += min(s.chunk, s.pos-len(s.hashes)*b.cfg.BlockTokens)
	}
	for s.held < len(s.hashes) && (s.held+1)*b.cfg.BlockTokens <= s.pos {
		b.store(s)
	}
	if s.decoding() {
		s.out++
	}
}

// store commits the next full block of the prompt to the prefix cache.
func (b *batch) store(s *seq) {
	h := s.hashes[s.held]
	if _, again := b.seen[h]; again {
		s.wasted += b.cfg.BlockTokens
	} else if len(b.seen) < maxSeen {
		b.seen[h] = struct{}{}
	}
	b.mem.commit(h)
	s.held++
	s.private--
}

func (b *batch) decode(s *seq) {
	s.pos++
	s.target = s.pos
	if b.blocks(s.pos+1) > s.held+s.private && !b.grow(s) {
		return
	}
	s.out++
}

// grow finds one more block for s and preempts the newest sequences for it,
// s itself last. It returns false if s was preempted.
func (b *batch) grow(s *seq) bool {
	for !b.mem.take(1) {
		last := b.running[len(b.running)-1]
		b.preempt(last)
		if last == s {
			return false
		}
	}
	s.private++
	return true
}

// preempt throws the memory of s away. What it computed is computed again
// later.
func (b *batch) preempt(s *seq) {
	b.leave(s)
	s.redo, s.computed, s.pos, s.chunk = true, 0, 0, 0
	b.waiting = append([]*seq{s}, b.waiting...)
	b.preempted++
}

// leave takes s out of the batch and frees its memory.
func (b *batch) leave(s *seq) {
	for i, r := range b.running {
		if r == s {
			b.running = append(b.running[:i], b.running[i+1:]...)
			b.mem.drop(s.hashes[:s.held])
			b.mem.give(s.private)
			s.held, s.private = 0, 0
			return
		}
	}
}

// remove cancels s wherever it is. Its prefill is thrown away.
func (b *batch) remove(s *seq) {
	for i, w := range b.waiting {
		if w == s {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
		}
	}
	if b.active(s) {
		// Already counted as waste here, so that a second run of the same
		// prompt does not count it once more.
		for _, h := range s.hashes[s.cached/b.cfg.BlockTokens : s.held] {
			delete(b.seen, h)
		}
	}
	b.leave(s)
	s.wasted += max(0, s.computed-s.wasted)
}
