package simeng

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lycheepond/trial/serve"
)

// CompletionRequest is the body of a completions or chat completions request.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream,omitempty"`
	// StopAt is the number of tokens after which the answer ends, as if the model
	// had finished it before MaxTokens. Zero means no such limit.
	StopAt int `json:"stop_at,omitempty"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// PromptText returns the text of the prompt, whose digest is part of the answer. The
// contents of chat messages are joined by line feeds.
func (a CompletionRequest) PromptText() string {
	if len(a.Messages) == 0 {
		return a.Prompt
	}
	parts := make([]string, len(a.Messages))
	for i, m := range a.Messages {
		parts[i] = m.Content
	}
	return strings.Join(parts, "\n")
}

// AnswerTokens returns the number of tokens of the answer.
func (a CompletionRequest) AnswerTokens() int {
	n := a.MaxTokens
	if n <= 0 {
		n = defaultAnswerTokens
	}
	if a.StopAt > 0 {
		n = min(n, a.StopAt)
	}
	return n
}

// defaultAnswerTokens is the length of the answer if MaxTokens is not positive.
const defaultAnswerTokens = 16

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	e.handleRequest(w, r, KindCompletion)
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) { e.handleRequest(w, r, KindChat) }

// handleRequest handles a request of the given kind: it submits the request and
// writes the answer.
func (e *Engine) handleRequest(w http.ResponseWriter, r *http.Request, kind string) {
	var req CompletionRequest
	if !serve.ReadJSON(w, r, &req) || !e.waitUnfrozen(r) {
		return
	}
	e.mu.Lock()
	f, model := e.fault, e.serving.model
	if f.TruncateNext > 0 {
		e.fault.TruncateNext--
	}
	e.mu.Unlock()
	if req.Model != model {
		http.Error(w, "model "+req.Model+" is not loaded", http.StatusNotFound)
		return
	}
	s := e.newSequence(req, kind, r)
	s.truncate, s.unframed = f.TruncateNext > 0, f.Unframed
	if e.batch.blocksFor(s.promptTokens+s.answerTokens+1) > e.cfg.KVBlocks {
		http.Error(w, "prompt and answer are longer than the KV memory", http.StatusBadRequest)
		return
	}
	if !serve.Sleep(r.Context(), f.Delay.Std()) {
		return
	}
	e.submit(s)
	if req.Stream {
		s.streamAnswer(w, r, 0, s.truncate)
		return
	}
	e.writeWhenDone(w, r, s)
}

func (e *Engine) newSequence(req CompletionRequest, kind string, r *http.Request) *sequence {
	text := req.PromptText()
	s := &sequence{
		progress: newAnswerProgress(), promptTokens: countTokens(text), answerTokens: req.AnswerTokens(), blockHashes: hashBlocks(text, e.cfg.BlockTokens),
		digest: Digest(text), isChat: kind == KindChat,
	}
	s.rec = &Record{
		ID: r.Header.Get("X-Request-Id"), Kind: kind, Key: r.Header.Get("Idempotency-Key"),
		PromptDigest: s.digest, StartedMS: time.Since(e.start).Milliseconds(), PromptTokens: s.promptTokens,
	}
	if s.rec.ID == "" {
		s.rec.ID = "anonymous-" + strconv.FormatInt(time.Since(e.start).Nanoseconds(), 36)
	}
	return s
}

// completionAnswer is the answer without streaming, or an event of a stream.
type completionAnswer struct {
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

// writeWhenDone waits until s has ended and writes its answer in one piece.
func (e *Engine) writeWhenDone(w http.ResponseWriter, r *http.Request, s *sequence) {
	ch := s.progress.addReader()
	defer s.progress.removeReader(ch)
	for {
		select {
		case <-r.Context().Done():
			return
		case <-ch:
		}
		state := s.progress.state()
		if !state.done {
			continue
		}
		if state.cancelled {
			panic(http.ErrAbortHandler)
		}
		e.writeAnswer(w, s, state)
		return
	}
}

// writeAnswer writes the complete answer of s, or half of it if the answer has to
// be truncated.
func (e *Engine) writeAnswer(w http.ResponseWriter, s *sequence, state progressState) {
	c := choice{Finish: finishStop}
	text := string(s.appendText(nil, s.answerTokens))
	answer := completionAnswer{ID: s.rec.ID, Object: "text_completion", Model: e.cfg.Model, Usage: &state.usage}
	if s.isChat {
		answer.Object, c.Message = "chat.completion", &Message{Role: "assistant", Content: text}
	} else {
		c.Text = text
	}
	answer.Choices = []choice{c}
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if s.truncate {
		// A write error means that the caller has closed the connection.
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	if !e.waitUnfrozen(r) {
		return
	}
	if !e.Cancel(r.PathValue("id")) {
		http.Error(w, "no such request is running", http.StatusNotFound)
		return
	}
	serve.WriteJSON(w, http.StatusOK, struct{}{})
}
