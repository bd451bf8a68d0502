package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

type chunk struct {
	Choices []struct {
		Text    string   `json:"text"`
		Delta   *content `json:"delta"`
		Message *content `json:"message"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

type content struct {
	Content string `json:"content"`
}

// text returns the text of a chunk or of a whole answer.
func (c chunk) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	ch := c.Choices[0]
	switch {
	case ch.Delta != nil:
		return ch.Delta.Content
	case ch.Message != nil:
		return ch.Message.Content
	}
	return ch.Text
}

// whole reads a whole answer and reports whether it is the request's own.
func (r *Result) whole(body []byte) bool {
	var c chunk
	if json.Unmarshal(body, &c) != nil {
		return false
	}
	r.take(c)
	r.Tokens = r.Usage.CompletionTokens
	return c.text() == r.Job.want()
}

func (r *Result) take(c chunk) {
	if c.Usage != nil {
		r.Usage = *c.Usage
	}
}

var (
	dataMark  = []byte("data: ")
	doneMark  = []byte("[DONE]")
	errorMark = []byte("event: error")
)

const (
	lineSize = 4 << 10
	maxLine  = 1 << 20
)

// stream reads server-sent events to the end.
func (c *Caller) stream(ctx context.Context, r *Result, resp *http.Response, start time.Time) {
	var text strings.Builder
	var last time.Duration
	done, broke := false, false
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, lineSize), maxLine)
	for sc.Scan() {
		line := sc.Bytes()
		broke = broke || bytes.HasPrefix(line, errorMark)
		data, ok := bytes.CutPrefix(line, dataMark)
		if !ok || broke {
			if broke {
				r.Detail = string(data)
			}
			continue
		}
		if bytes.Equal(data, doneMark) {
			done = true
			continue
		}
		var ch chunk
		if json.Unmarshal(data, &ch) != nil {
			continue
		}
		r.take(ch)
		if t := ch.text(); t != "" {
			text.WriteString(t)
			last = time.Since(start)
			if r.Tokens == 0 {
				r.First = last
			}
			r.Tokens++
		}
	}
	if r.Tokens > 1 {
		r.Between = (last - r.First) / time.Duration(r.Tokens-1)
	}
	r.settle(ctx, sc.Err(), done && !broke, text.String(), c.said(resp.Trailer.Get(headerOutcome)))
}

// settle sets the outcome of a stream.
func (r *Result) settle(ctx context.Context, err error, done bool, text, said string) {
	if err != nil || !done {
		r.Outcome = lost(ctx)
		if err != nil {
			r.Detail = err.Error()
		}
		// A stream that says complete and was cut is damaged, not broken.
		if err == nil && said == saidComplete {
			r.Outcome = Wrong
		}
		return
	}
	r.conclude(said, text == r.Job.want())
}
