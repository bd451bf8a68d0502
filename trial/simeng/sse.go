package simeng

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// extraEvents is the number of events that follow the token events of a stream:
// the usage and the end mark [DONE]. A stream of n tokens has n+2 events.
const extraEvents = 2

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if r.URL.Query().Get("from") != "" && (err != nil || from < 0) {
		http.Error(w, "from is no number of an event", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	s := e.requests[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	// A resumed stream is not truncated again.
	s.streamAnswer(w, r, from, false)
}

// streamAnswer writes the events of the answer, from number next to the last, as
// they become available. If truncate is set, it closes the connection halfway, inside an event
// if the stream is unframed.
func (s *sequence) streamAnswer(w http.ResponseWriter, r *http.Request, next int, truncate bool) {
	ch := s.progress.addReader()
	defer s.progress.removeReader(ch)
	w.Header().Set("Content-Type", "text/event-stream")
	if s.unframed {
		// The server then neither uses chunks nor keeps the connection.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	controller := http.NewResponseController(w)
	var buf []byte
	for {
		select {
		case <-r.Context().Done():
			return
		case <-ch:
		}
		state := s.progress.state()
		if state.cancelled {
			panic(http.ErrAbortHandler)
		}
		buf, next = s.appendEvents(buf[:0], next, state)
		if len(buf) > 0 {
			if _, err := w.Write(buf); err != nil {
				return
			}
			if controller.Flush() != nil {
				return
			}
		}
		if truncate && next > s.answerTokens/2 {
			if s.unframed {
				event := s.appendTokenEvent(buf[:0], next)
				w.Write(event[:len(event)/2])
				return
			}
			panic(http.ErrAbortHandler)
		}
		if next >= s.answerTokens+extraEvents {
			return
		}
	}
}

// appendEvents appends to buf the available events from number next on. It
// returns buf and the number of the first event that it did not append.
func (s *sequence) appendEvents(buf []byte, next int, state progressState) ([]byte, int) {
	for next < state.tokens && next < s.answerTokens {
		buf = s.appendTokenEvent(buf, next)
		next++
	}
	if !state.done {
		return buf, next
	}
	if next == s.answerTokens {
		buf = s.appendUsageEvent(buf, state.usage)
		next++
	}
	if next == s.answerTokens+1 {
		buf = append(buf, "data: [DONE]\n\n"...)
		next++
	}
	return buf, next
}

// appendTokenEvent appends the event of token i to buf. For speed it does not
// use encoding/json; only the request ID needs escaping.
func (s *sequence) appendTokenEvent(buf []byte, i int) []byte {
	buf = append(buf, `data: {"id":`...)
	buf = strconv.AppendQuote(buf, s.rec.ID)
	if s.isChat {
		buf = append(buf, `,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"`...)
		buf = append(buf, s.tokenText(i)...)
		return append(buf, "\"}}]}\n\n"...)
	}
	buf = append(buf, `,"object":"text_completion","choices":[{"index":0,"text":"`...)
	buf = append(buf, s.tokenText(i)...)
	return append(buf, "\"}]}\n\n"...)
}

// appendUsageEvent appends the event that contains the usage to buf.
func (s *sequence) appendUsageEvent(buf []byte, u usage) []byte {
	answer := completionAnswer{ID: s.rec.ID, Object: "text_completion", Choices: []choice{{Finish: finishStop}}, Usage: &u}
	if s.isChat {
		answer.Object, answer.Choices[0].Delta = "chat.completion.chunk", &Message{}
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return buf
	}
	buf = append(append(buf, "data: "...), body...)
	return append(buf, "\n\n"...)
}
