package engin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lycheepond/trial/serve"
)

// Ask is the body of a request for model work.
type Ask struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream,omitempty"`
	// StopAt ends the answer early, as a model does that has said all; zero
	// goes on to MaxTokens.
	StopAt int `json:"stop_at,omitempty"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Text returns the text of the prompt, of which the answer holds the digest:
// the contents of a chat are joined by line feeds.
func (a Ask) Text() string {
	if len(a.Messages) == 0 {
		return a.Prompt
	}
	parts := make([]string, len(a.Messages))
	for i, m := range a.Messages {
		parts[i] = m.Content
	}
	return strings.Join(parts, "\n")
}

// Want returns how many tokens the answer has.
func (a Ask) Want() int {
	n := a.MaxTokens
	if n <= 0 {
		n = defaultMax
	}
	if a.StopAt > 0 {
		n = min(n, a.StopAt)
	}
	return n
}

const defaultMax = 16

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) { e.take(w, r, KindCompletion) }

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) { e.take(w, r, KindChat) }

func (e *Engine) take(w http.ResponseWriter, r *http.Request, kind string) {
	var a Ask
	if !serve.ReadJSON(w, r, &a) || !e.thawed(r) {
		return
	}
	e.mu.Lock()
	f, model := e.fault, e.served.model
	if f.TruncateNext > 0 {
		e.fault.TruncateNext--
	}
	e.mu.Unlock()
	if a.Model != model {
		http.Error(w, "model "+a.Model+" is not loaded", http.StatusNotFound)
		return
	}
	s := e.newSeq(a, kind, r)
	s.truncate = f.TruncateNext > 0
	if e.batch.blocks(s.prompt+s.want+1) > e.cfg.KVBlocks {
		http.Error(w, "prompt and answer are longer than the KV memory", http.StatusBadRequest)
		return
	}
	if !serve.Sleep(r.Context(), f.Delay.Std()) {
		return
	}
	e.submit(s)
	if a.Stream {
		s.stream(w, r, 0, s.truncate)
		return
	}
	e.whole(w, r, s)
}

func (e *Engine) newSeq(a Ask, kind string, r *http.Request) *seq {
	text := a.Text()
	s := &seq{
		sink: newSink(), prompt: tokens(text), want: a.Want(), hashes: chain(text, e.cfg.BlockTokens),
		digest: Digest(text), chat: kind == KindChat,
	}
	s.rec = &Record{
		ID: r.Header.Get("X-Request-Id"), Kind: kind, Key: r.Header.Get("Idempotency-Key"),
		PromptDigest: s.digest, StartedMS: time.Since(e.start).Milliseconds(), PromptTokens: s.prompt,
	}
	if s.rec.ID == "" {
		s.rec.ID = "anonymous-" + strconv.FormatInt(time.Since(e.start).Nanoseconds(), 36)
	}
	return s
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Text    string   `json:"text,omitempty"`
	Delta   *Message `json:"delta,omitempty"`
	Message *Message `json:"message,omitempty"`
	Finish  string   `json:"finish_reason,omitempty"`
}

const finishStop = "stop"

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, s *seq) {
	ch := s.sink.join()
	defer s.sink.leave(ch)
	for {
		select {
		case <-r.Context().Done():
			return
		case <-ch:
		}
		p := s.sink.look()
		if !p.done {
			continue
		}
		if p.cancelled {
			panic(http.ErrAbortHandler)
		}
		e.writeWhole(w, s, p)
		return
	}
}

func (e *Engine) writeWhole(w http.ResponseWriter, s *seq, p progress) {
	c := choice{Finish: finishStop}
	text := string(s.text(nil, s.want))
	a := answer{ID: s.rec.ID, Object: "text_completion", Model: e.cfg.Model, Usage: &p.usage}
	if s.chat {
		a.Object, c.Message = "chat.completion", &Message{Role: "assistant", Content: text}
	} else {
		c.Text = text
	}
	a.Choices = []choice{c}
	body, err := json.Marshal(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if s.truncate {
		// A write error means that the caller is gone.
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	if !e.thawed(r) {
		return
	}
	if !e.Cancel(r.PathValue("id")) {
		http.Error(w, "no such request is running", http.StatusNotFound)
		return
	}
	serve.WriteJSON(w, http.StatusOK, struct{}{})
}
