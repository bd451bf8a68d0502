package engin

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// An answer of n tokens is n+2 events: the tokens, the usage, and the end mark.
const extraEvents = 2

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if r.URL.Query().Get("from") != "" && (err != nil || from < 0) {
		http.Error(w, "from is no number of an event", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	s := e.byID[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	// Only the first connection of a truncated answer breaks.
	s.stream(w, r, from, false)
}

// stream writes events from number at on until the answer is whole, or breaks
// off half way.
func (s *seq) stream(w http.ResponseWriter, r *http.Request, at int, truncate bool) {
	ch := s.sink.join()
	defer s.sink.leave(ch)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	var buf []byte
	for {
		select {
		case <-r.Context().Done():
			return
		case <-ch:
		}
		p := s.sink.look()
		if p.cancelled {
			panic(http.ErrAbortHandler)
		}
		buf, at = s.events(buf[:0], at, p)
		if len(buf) > 0 {
			if _, err := w.Write(buf); err != nil {
				return
			}
			if flush.Flush() != nil {
				return
			}
		}
		if truncate && at > s.want/2 {
			panic(http.ErrAbortHandler)
		}
		if at >= s.want+extraEvents {
			return
		}
	}
}

// events appends the events from number at on that are out, and returns the
// number of the next.
func (s *seq) events(buf []byte, at int, p progress) ([]byte, int) {
	for at < p.n && at < s.want {
		buf = s.tokenEvent(buf, at)
		at++
	}
	if !p.done {
		return buf, at
	}
	if at == s.want {
		buf = s.usageEvent(buf, p.usage)
		at++
	}
	if at == s.want+1 {
		buf = append(buf, "data: [DONE]\n\n"...)
		at++
	}
	return buf, at
}

// tokenEvent writes the JSON by hand: it is done for every token, and nothing
// in it needs escaping but the ID.
func (s *seq) tokenEvent(buf []byte, i int) []byte {
	buf = append(buf, `data: {"id":`...)
	buf = strconv.AppendQuote(buf, s.rec.ID)
	if s.chat {
		buf = append(buf, `,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"`...)
		buf = append(buf, s.token(i)...)
		return append(buf, "\"}}]}\n\n"...)
	}
	buf = append(buf, `,"object":"text_completion","choices":[{"index":0,"text":"`...)
	buf = append(buf, s.token(i)...)
	return append(buf, "\"}]}\n\n"...)
}

func (s *seq) usageEvent(buf []byte, u usage) []byte {
	a := answer{ID: s.rec.ID, Object: "text_completion", Choices: []choice{{Finish: finishStop}}, Usage: &u}
	if s.chat {
		a.Object, a.Choices[0].Delta = "chat.completion.chunk", &Message{}
	}
	body, err := json.Marshal(a)
	if err != nil {
		return buf
	}
	buf = append(append(buf, "data: "...), body...)
	return append(buf, "\n\n"...)
}
