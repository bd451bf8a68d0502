package door

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// A request is refused by its head while its body still comes, for longer than a
// caller may take to read a refusal. The standard server reads the rest of a small
// body before it writes the head of an answer, so a deadline that began before is
// over by then, and the caller gets a closed connection in place of the refusal.
func TestRefusalOfASlowBody(t *testing.T) {
	t.Parallel()
	st := newStand(t, grace, fine)
	st.informed.Store(false)
	c, err := st.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n01234")
	time.Sleep(lastTime + 500*time.Millisecond)
	io.WriteString(c, "56789")
	if got := c.answer(); got != http.StatusServiceUnavailable {
		t.Errorf("got %d", got)
	}
	if line := st.log.line("answer_not_taken"); line != "" {
		t.Errorf("the log blames the caller: %s", line)
	}
}

// A caller sends half of a body and nothing more. Once its time is over it is told
// so, and holds neither its connection nor a planned stop.
func TestHalfBodyIsRefused(t *testing.T) {
	t.Parallel()
	for _, informed := range []bool{true, false} {
		t.Run(fmt.Sprintf("informed %v", informed), func(t *testing.T) {
			t.Parallel()
			st := newStand(t, grace, fine)
			st.informed.Store(informed)
			c, err := st.dial()
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprint(c, "POST /half HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n01234")
			c.SetReadDeadline(time.Now().Add(bodyTime + 2*lastTime))
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				t.Fatalf("after %v: %v", bodyTime+2*lastTime, err)
			}
			want := http.StatusServiceUnavailable
			if informed {
				want = http.StatusRequestTimeout
			}
			if resp.StatusCode != want || !resp.Close {
				t.Errorf("got %d, last answer of the connection: %v", resp.StatusCode, resp.Close)
			}
		})
	}
}

// A refusal of a request with Expect: 100-continue asks for no body: the caller
// has not begun to send it and waits for this answer.
func TestRefusalAsksForNoBody(t *testing.T) {
	t.Parallel()
	st := newStand(t, grace, fine)
	st.informed.Store(false)
	c, err := st.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /expect HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 10\r\n\r\n")
	if got := c.answer(); got != http.StatusServiceUnavailable {
		t.Errorf("got %d", got)
	}
}

// A body is too large to be read for the sake of its connection. Its caller, who
// waits for a refusal before it sends on, is told at once.
func TestRefusalOfALargeBodyIsToldAtOnce(t *testing.T) {
	t.Parallel()
	st := newStand(t, grace, fine)
	st.informed.Store(false)
	c, err := st.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	began := time.Now()
	fmt.Fprintf(c, "POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n01234", maxRest+6)
	if got := c.answer(); got != http.StatusServiceUnavailable {
		t.Errorf("got %d", got)
	}
	if took := time.Since(began); took >= bodyTime {
		t.Errorf("told after %v", took)
	}
}
