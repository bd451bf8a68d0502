package simeng

import "time"

// sequence is a request in the engine. It is owned by the goroutine of Run,
// except for rec, which is guarded by Engine.mu, and progress, which has its
// own mutex.
type sequence struct {
	rec      *Record
	progress *answerProgress
	// promptTokens is the length of the prompt, and answerTokens that of the
	// answer.
	promptTokens, answerTokens int
	// blockHashes holds the hashes of the full blocks of the prompt.
	blockHashes []uint64
	// heldBlocks is the number of leading blocks of the prompt that are in the
	// prefix cache and referenced by this sequence. privateBlocks is the number
	// of blocks that belong to this sequence only.
	heldBlocks, privateBlocks int
	// targetTokens is the number of tokens that must be in KV memory before
	// decoding starts. kvTokens is the number of tokens that are.
	targetTokens, kvTokens int
	// outputTokens is the number of tokens produced so far.
	outputTokens int
	// cachedTokens is the number of prompt tokens found in the prefix cache
	// when the sequence was first admitted.
	cachedTokens int
	// prefilledTokens is the number of tokens prefilled since the last
	// preemption. wastedTokens is the number of tokens whose prefill was
	// discarded or repeated.
	prefilledTokens, wastedTokens int
	// wasPreempted reports whether the sequence was ever preempted.
	wasPreempted bool
	// stepTokens is the number of tokens to prefill in the current step.
	stepTokens int
	// truncate makes the answer break off halfway.
	truncate bool
	// unframed makes a stream end with its connection.
	unframed bool
	digest   string
	isChat   bool
}

func (s *sequence) isDecoding() bool { return s.kvTokens >= s.targetTokens }

// maxPrefillTokens is the maximum number of tokens that a step prefills. It
// limits the time for which a long prompt delays the sequences that decode.
const maxPrefillTokens = 512

// batch holds the running and the waiting sequences. It does not use a clock: its
// caller paces the steps. It is owned by the goroutine of Run.
type batch struct {
	cfg     Config
	kv      *kvMemory
	running []*sequence
	// waiting is in order of arrival, but a preempted sequence is put in front.
	waiting []*sequence
	// computedHashes holds the hashes of the prompt blocks that were computed
	// before. Computing one of them again counts as waste.
	computedHashes map[uint64]struct{}
	// preemptions is the number of preemptions so far.
	preemptions int64
	// prefilledTokens is the number of tokens prefilled so far.
	prefilledTokens int64
}

// maxComputedHashes is the size limit of computedHashes. With 16 tokens a block,
// it covers 16 million prompt tokens.
const maxComputedHashes = 1 << 20

func newBatch(cfg Config, kv *kvMemory) batch {
	return batch{cfg: cfg, kv: kv, computedHashes: make(map[uint64]struct{})}
}

// blocksFor returns the number of blocks that n tokens need.
func (b *batch) blocksFor(n int) int { return (n + b.cfg.BlockTokens - 1) / b.cfg.BlockTokens }

// admit moves waiting sequences into the batch, strictly in order, while there
// are free slots and KV memory for the first one.
func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.cfg.Slots {
		s := b.waiting[0]
		if !b.reserveBlocks(s) {
			return
		}
		b.waiting = b.waiting[1:]
		b.running = append(b.running, s)
	}
}

// reserveBlocks reserves the blocks that s needs, and uses cached blocks for its
// prompt as far as possible. It returns false if there is not enough memory.
func (b *batch) reserveBlocks(s *sequence) bool {
	targetTokens := s.promptTokens + s.outputTokens
	cachedBlocks := b.kv.cachedPrefixLen(s.blockHashes)
	// The cached blocks are acquired first, so that kv.reserve can't evict them.
	b.kv.acquire(s.blockHashes[:cachedBlocks])
	privateBlocks := b.blocksFor(targetTokens+1) - cachedBlocks
	if !b.kv.reserve(privateBlocks) {
		b.kv.release(s.blockHashes[:cachedBlocks])
		return false
	}
	s.heldBlocks, s.privateBlocks = cachedBlocks, privateBlocks
	// The last token is computed even if it is cached, because its result is the
	// next token.
	s.targetTokens, s.kvTokens = targetTokens, min(cachedBlocks*b.cfg.BlockTokens, targetTokens-1)
	if !s.wasPreempted {
		s.cachedTokens = s.kvTokens
	}
	return true
}

// planStep chooses the work of the next step and returns its duration at
// speed 1.
func (b *batch) planStep() time.Duration {
	budget, decodingSeqs, prefillTokens := maxPrefillTokens, 0, 0
	for _, s := range b.running {
		s.stepTokens = 0
		if s.isDecoding() {
			decodingSeqs++
			continue
		}
		s.stepTokens = min(budget, s.targetTokens-s.kvTokens)
		budget -= s.stepTokens
		prefillTokens += s.stepTokens
	}
	var seconds float64
	if decodingSeqs > 0 {
		seconds = (1 + b.cfg.BatchSlope*float64(decodingSeqs-1)) / b.cfg.DecodeTPS
	}
	seconds += float64(prefillTokens) / b.cfg.PrefillTPS
	return time.Duration(seconds * float64(time.Second))
}

// runStep performs the work that planStep chose and returns the sequences that
// finished.
func (b *batch) runStep() (finished []*sequence) {
	for _, s := range append([]*sequence(nil), b.running...) {
		switch {
		case s.stepTokens > 0:
			b.prefill(s)
		case s.isDecoding() && b.isRunning(s):
			b.decode(s)
		}
		if s.outputTokens >= s.answerTokens && b.isRunning(s) {
			b.removeRunning(s)
			finished = append(finished, s)
		}
	}
	return finished
}

// isRunning reports whether s is in the batch. During a step, an earlier sequence
// may have preempted it.
func (b *batch) isRunning(s *sequence) bool {
	for _, r := range b.running {
		if r == s {
			return true
		}
	}
	return false
}

// prefill computes the tokens of s that planStep chose, unless s was preempted
// since.
func (b *batch) prefill(s *sequence) {
	if !b.isRunning(s) {
		return
	}
	s.kvTokens += s.stepTokens
	s.prefilledTokens += s.stepTokens
	b.prefilledTokens += int64(s.stepTokens)
	if s.wasPreempted && s.kvTokens > len(s.blockHashes)*b.cfg.BlockTokens {
		s.wastedTokens += min(s.stepTokens, s.kvTokens-len(s.blockHashes)*b.cfg.BlockTokens)
	}
	for s.heldBlocks < len(s.blockHashes) && (s.heldBlocks+1)*b.cfg.BlockTokens <= s.kvTokens {
		b.commitBlock(s)
	}
	if s.isDecoding() {
		s.outputTokens++
	}
}

// commitBlock moves the next full block of the prompt of s to the prefix cache.
func (b *batch) commitBlock(s *sequence) {
	h := s.blockHashes[s.heldBlocks]
	if _, isRepeated := b.computedHashes[h]; isRepeated {
		s.wastedTokens += b.cfg.BlockTokens
	} else if len(b.computedHashes) < maxComputedHashes {
		b.computedHashes[h] = struct{}{}
	}
	b.kv.commit(h)
	s.heldBlocks++
	s.privateBlocks--
}

// decode produces the next token of s, unless s is preempted for lack of memory.
func (b *batch) decode(s *sequence) {
	s.kvTokens++
	s.targetTokens = s.kvTokens
	if b.blocksFor(s.kvTokens+1) > s.heldBlocks+s.privateBlocks && !b.addBlock(s) {
		return
	}
	s.outputTokens++
}

// addBlock reserves one more block for s. If there is no memory, it preempts the
// newest sequences until there is, and s itself if it is the newest one left. It
// returns false if s was preempted.
func (b *batch) addBlock(s *sequence) bool {
	for !b.kv.reserve(1) {
		last := b.running[len(b.running)-1]
		b.preempt(last)
		if last == s {
			return false
		}
	}
	s.privateBlocks++
	return true
}

// preempt frees the memory of s and puts s in front of the waiting sequences. Its
// tokens are computed again later, except those that are still cached then.
func (b *batch) preempt(s *sequence) {
	b.removeRunning(s)
	s.wasPreempted, s.prefilledTokens, s.kvTokens, s.stepTokens = true, 0, 0, 0
	b.waiting = append([]*sequence{s}, b.waiting...)
	b.preemptions++
}

// removeRunning removes s from the batch, if it is there, and frees its memory.
func (b *batch) removeRunning(s *sequence) {
	for i, r := range b.running {
		if r == s {
			b.running = append(b.running[:i], b.running[i+1:]...)
			b.kv.release(s.blockHashes[:s.heldBlocks])
			b.kv.free(s.privateBlocks)
			s.heldBlocks, s.privateBlocks = 0, 0
			return
		}
	}
}

// cancel removes s from the batch or from the waiting sequences. The prefill of s
// counts as waste.
func (b *batch) cancel(s *sequence) {
	for i, w := range b.waiting {
		if w == s {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
		}
	}
	if b.isRunning(s) {
		// These blocks are counted as waste below, so a later sequence with the
		// same prompt must not count them again.
		for _, h := range s.blockHashes[s.cachedTokens/b.cfg.BlockTokens : s.heldBlocks] {
			delete(b.computedHashes, h)
		}
	}
	b.removeRunning(s)
	s.wastedTokens += max(0, s.prefilledTokens-s.wastedTokens)
}
