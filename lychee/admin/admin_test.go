package admin

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against commands that count as done, and states that are shown, by an answer that HTTP/1
// doesn't allow.
func TestMalformedAnswerIsNoAnswer(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 x\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 101 x\r\n\r\n", "HTTP/1.1 600 x\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/3.7 200 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\nConnection: close\r\n\r\n{}",
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
				fmt.Fprint(c, text)
				c.Close()
			}
		}))
		c := New("", nil)
		if err := c.Drain(t.Context(), server.URL); err == nil {
			t.Errorf("%q: Drain succeeded", text)
		}
		if _, err := c.EntryStatus(t.Context(), server.URL); err == nil {
			t.Errorf("%q: EntryStatus succeeded", text)
		}
		server.Close()
	}
}
