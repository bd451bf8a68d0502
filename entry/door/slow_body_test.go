package door

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// A request is refused by its head while its body is still arriving, for longer than a caller
// may take to read a refusal. net/http reads the rest of a small body before it writes the
// head of an answer. A write deadline that was set before has passed by then, and the caller
// would find a closed connection instead of the refusal.
func TestRefusalDuringSlowBody(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t, longGrace, answerOK)
	srv.hasSynced.Store(false)
	c, err := srv.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n01234")
	time.Sleep(minWriteTime + 500*time.Millisecond)
	io.WriteString(c, "56789")
	if got := c.readStatus(); got != http.StatusServiceUnavailable {
		t.Errorf("got %d", got)
	}
	if line := srv.log.firstLine("answer_not_taken"); line != "" {
		t.Errorf("the log blames the caller: %s", line)
	}
}

// A caller sends half of a body and nothing more. Once its time is over it must get a refusal,
// and must not keep its connection or delay a planned stop.
func TestIncompleteBodyIsRefused(t *testing.T) {
	t.Parallel()
	for _, synced := range []bool{true, false} {
		t.Run(fmt.Sprintf("synced %v", synced), func(t *testing.T) {
			t.Parallel()
			srv := newTestServer(t, longGrace, answerOK)
			srv.hasSynced.Store(synced)
			c, err := srv.dial()
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprint(c, "POST /half HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n01234")
			c.SetReadDeadline(time.Now().Add(bodyIdleTimeout + 2*minWriteTime))
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				t.Fatalf("after %v: %v", bodyIdleTimeout+2*minWriteTime, err)
			}
			want := http.StatusServiceUnavailable
			if synced {
				want = http.StatusRequestTimeout
			}
			if resp.StatusCode != want || !resp.Close {
				t.Errorf("got %d, last answer of the connection: %v", resp.StatusCode, resp.Close)
			}
		})
	}
}

// The refusal of a request with Expect: 100-continue must not request the body: the caller has
// not begun to send it and waits for this answer.
func TestRefusalDoesNotRequestBody(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t, longGrace, answerOK)
	srv.hasSynced.Store(false)
	c, err := srv.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /expect HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 10\r\n\r\n")
	if got := c.readStatus(); got != http.StatusServiceUnavailable {
		t.Errorf("got %d", got)
	}
}

// A body is too large for the rest of it to be read in order to keep the connection. The
// caller, which waits for a refusal before it sends more, must get it at once.
func TestLargeBodyIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t, longGrace, answerOK)
	srv.hasSynced.Store(false)
	c, err := srv.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	start := time.Now()
	fmt.Fprintf(c, "POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n01234", maxDiscardBytes+6)
	if got := c.readStatus(); got != http.StatusServiceUnavailable {
		t.Errorf("got %d", got)
	}
	if took := time.Since(start); took >= bodyIdleTimeout {
		t.Errorf("refused after %v", took)
	}
}
