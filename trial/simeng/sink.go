package simeng

import (
	"sync"
	"time"
)

// answerProgress passes the progress of an answer from the scheduler to the
// readers of the answer. It holds only the number of tokens, because the text
// of a token depends only on its number. So a stream can be resumed at any
// token. Its methods may be called from any goroutine.
type answerProgress struct {
	mu sync.Mutex
	// tokens is the number of tokens produced. It never decreases, not even
	// after a preemption.
	tokens int
	// done is set when the answer has ended. cancelled reports whether it was
	// cancelled, and usage holds its token counts.
	done, cancelled bool
	usage           usage
	// readers holds a channel for each reader, which gets a value after every
	// change.
	readers map[chan struct{}]struct{}
	// lastReaderLeftAt is the time at which a reader last left, or the time of
	// creation.
	lastReaderLeftAt time.Time
}

// usage holds the token counts of an answer.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// progressState is a copy of the state of an answerProgress.
type progressState struct {
	tokens          int
	done, cancelled bool
	usage           usage
}

func newAnswerProgress() *answerProgress {
	return &answerProgress{readers: make(map[chan struct{}]struct{}), lastReaderLeftAt: time.Now()}
}

// setTokens sets the number of tokens produced, unless it is less than before.
func (p *answerProgress) setTokens(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n > p.tokens {
		p.tokens = n
		p.notifyReaders()
	}
}

// finish marks the answer as ended.
func (p *answerProgress) finish(cancelled bool, u usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done, p.cancelled, p.usage = true, cancelled, u
	p.notifyReaders()
}

// notifyReaders informs every reader of a change. The caller holds mu.
func (p *answerProgress) notifyReaders() {
	for ch := range p.readers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// addReader adds a reader and returns its channel, which contains a value
// already, so that the reader checks the state at once.
func (p *answerProgress) addReader() chan struct{} {
	ch := make(chan struct{}, 1)
	ch <- struct{}{}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readers[ch] = struct{}{}
	return ch
}

// removeReader removes a reader.
func (p *answerProgress) removeReader(ch chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.readers, ch)
	p.lastReaderLeftAt = time.Now()
}

// state returns a copy of the current state.
func (p *answerProgress) state() progressState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return progressState{tokens: p.tokens, done: p.done, cancelled: p.cancelled, usage: p.usage}
}

// isAbandoned reports whether the answer has not ended and has had no reader for
// longer than grace.
func (p *answerProgress) isAbandoned(grace time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.readers) == 0 && !p.done && time.Since(p.lastReaderLeftAt) > grace
}

// isExpired reports whether the answer has ended and has had no reader for
// longer than grace.
func (p *answerProgress) isExpired(grace time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.readers) == 0 && p.done && time.Since(p.lastReaderLeftAt) > grace
}
