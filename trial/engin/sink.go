package engin

import (
	"sync"
	"time"
)

// sink joins the scheduler, which counts tokens, to the callers who read them.
// The text of a token follows from its number, so nothing but a count is kept
// and a stream can be resumed at any place.
type sink struct {
	mu sync.Mutex
	// n is how many tokens are out; it never falls, not even by preemption.
	n int
	// done is set once, when no further token follows; cancelled tells why.
	done, cancelled bool
	usage           usage
	readers         map[chan struct{}]struct{}
	// left is when the last reader went away.
	left time.Time
}

type usage struct {
	PromptTokens     int     `json:"prompt_tokens"`
	CompletionTokens int     `json:"completion_tokens"`
	TotalTokens      int     `json:"total_tokens"`
	Details          details `json:"prompt_tokens_details"`
}

type details struct {
	CachedTokens int `json:"cached_tokens"`
}

// progress is what a reader sees of a sink.
type progress struct {
	n               int
	done, cancelled bool
	usage           usage
}

func newSink() *sink { return &sink{readers: make(map[chan struct{}]struct{}), left: time.Now()} }

func (s *sink) emit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > s.n {
		s.n = n
		s.notify()
	}
}

func (s *sink) finish(cancelled bool, u usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done, s.cancelled, s.usage = true, cancelled, u
	s.notify()
}

func (s *sink) notify() {
	for ch := range s.readers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

func (s *sink) join() chan struct{} {
	ch := make(chan struct{}, 1)
	ch <- struct{}{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers[ch] = struct{}{}
	return ch
}

func (s *sink) leave(ch chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.readers, ch)
	s.left = time.Now()
}

func (s *sink) look() progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return progress{n: s.n, done: s.done, cancelled: s.cancelled, usage: s.usage}
}

// orphaned reports whether nobody has read for longer than grace.
func (s *sink) orphaned(grace time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.readers) == 0 && !s.done && time.Since(s.left) > grace
}

// stale reports whether a finished sink has gone unread for longer than grace.
func (s *sink) stale(grace time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.readers) == 0 && s.done && time.Since(s.left) > grace
}
