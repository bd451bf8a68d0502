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

// chunk is one event of a stream or a whole answer.
type chunk struct {
	Choices []struct {
		Text    string   `json:"text"`
		Delta   *content `json:"delta"`
		Message *content `json:"message"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// content is the text of a chat answer or of a part of it.
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

// parseWholeAnswer takes the token counts from an answer that was not streamed
// and reports whether its text is the expected one.
func (r *Result) parseWholeAnswer(body []byte) bool {
	var c chunk
	if json.Unmarshal(body, &c) != nil {
		return false
	}
	r.recordUsage(c)
	r.Tokens = r.Usage.CompletionTokens
	return c.text() == r.Job.expectedText()
}

// recordUsage keeps the token counts of a chunk that has some.
func (r *Result) recordUsage(c chunk) {
	if c.Usage != nil {
		r.Usage = *c.Usage
	}
}

var (
	dataPrefix  = []byte("data: ")
	endMarker   = []byte("[DONE]")
	errorPrefix = []byte("event: error")
)

const (
	// initialLineBytes is the size of a new line buffer, which grows up to
	// maxLineBytes.
	initialLineBytes = 4 << 10
	maxLineBytes     = 1 << 20
)

// readStream reads the server-sent events of an answer to their end and sets the
// times, token counts and outcome of r.
func (c *Caller) readStream(ctx context.Context, r *Result, resp *http.Response, start time.Time) {
	var text strings.Builder
	var lastTokenTime time.Duration
	sawEnd, hasError := false, false
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, initialLineBytes), maxLineBytes)
	for sc.Scan() {
		line := sc.Bytes()
		hasError = hasError || bytes.HasPrefix(line, errorPrefix)
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok || hasError {
			if hasError {
				r.Detail = string(data)
			}
			continue
		}
		if bytes.Equal(data, endMarker) {
			sawEnd = true
			continue
		}
		var ch chunk
		if json.Unmarshal(data, &ch) != nil {
			continue
		}
		r.recordUsage(ch)
		if t := ch.text(); t != "" {
			text.WriteString(t)
			lastTokenTime = time.Since(start)
			if r.Tokens == 0 {
				r.TimeToFirstToken = lastTokenTime
			}
			r.Tokens++
		}
	}
	if r.Tokens > 1 {
		r.TokenInterval = (lastTokenTime - r.TimeToFirstToken) / time.Duration(r.Tokens-1)
	}
	r.setStreamOutcome(ctx, sc.Err(), sawEnd && !hasError, text.String(), c.claimedOutcome(resp.Trailer.Get(headerOutcome)))
}

// setStreamOutcome sets the outcome of a stream that ended with err. isDone tells
// whether its end marker arrived without an error event.
func (r *Result) setStreamOutcome(ctx context.Context, err error, isDone bool, text, claimedOutcome string) {
	if err != nil || !isDone {
		r.Outcome = interruptedOutcome(ctx)
		if err != nil {
			r.Detail = err.Error()
		}
		// A stream that lacks its end and still claims to be complete is wrong:
		// the caller can't notice that it was cut.
		if err == nil && claimedOutcome == outcomeComplete {
			r.Outcome = Wrong
		}
		return
	}
	r.setOutcome(claimedOutcome, text == r.Job.expectedText())
}
