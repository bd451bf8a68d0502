package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lycheepond/core/logs"
	"lycheepond/core/once"
	"lycheepond/entry/sched"
)

// countEvents returns how often an event was logged.
func countEvents(logged *observer.ObservedLogs, e logs.Event) int {
	return logged.FilterMessage(string(e)).Len()
}

// A request's handler panics. The caller must get outcome unknown, and the log must
// show where the error is. When net/http handled the panic, the connection was cut
// without an answer (unexpected EOF) and the log had 0 lines about the panic.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	serve := func(context.Context, *sched.Sink) sched.Result { panic("a fault") }
	runExchange(t, core, completion(false), serve, func(c net.Conn) {
		res, body := readResponse(t, c)
		if res == nil || res.StatusCode != http.StatusBadGateway || res.Header.Get(headerOutcome) != once.Unknown.String() {
			t.Errorf("answer %+v %q", res, body)
		}
	})
	if n := countEvents(logged, logs.EventHandlerPanicked); n != 1 {
		t.Errorf("%d lines about the panic", n)
	}
}

// A request's handler panics in the middle of an answer. The caller must not take
// the answer for complete.
func TestPanicDuringAnAnswerTruncatesIt(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	serve := func(_ context.Context, s *sched.Sink) sched.Result {
		s.Head(http.StatusOK, okHead())
		s.Data([]byte("data: one\n\n"))
		s.Flush()
		panic("a fault")
	}
	runExchange(t, core, completion(true), serve, func(c net.Conn) {
		got, err := io.ReadAll(c)
		if strings.HasSuffix(string(got), "0\r\n\r\n") {
			t.Errorf("the answer looks whole: %q, %v", got, err)
		}
	})
	if n := countEvents(logged, logs.EventHandlerPanicked); n != 1 {
		t.Errorf("%d lines about the panic", n)
	}
}

// A caller stops reading and its answer is abandoned. The log must distinguish this
// from a caller that hung up. When it did not, there were 0 lines about the answer,
// and the request's last line said caller_gone.
func TestUnreadAnswerIsLogged(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	serve := func(ctx context.Context, s *sched.Sink) sched.Result {
		s.Head(http.StatusOK, okHead())
		for ctx.Err() == nil {
			s.Data([]byte("data: one\n\n"))
			s.Flush()
		}
		return sched.Result{Outcome: once.Unknown}
	}
	runExchange(t, core, completion(true), serve, func(net.Conn) { time.Sleep(2 * callerTimeout) })
	if n := countEvents(logged, logs.EventAnswerNotRead); n != 1 {
		t.Errorf("%d lines about the answer", n)
	}
}

// A caller hangs up in the middle of its answer. That must not count as an unread
// answer.
func TestHangUpIsNotAnUnreadAnswer(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	serve := func(ctx context.Context, s *sched.Sink) sched.Result {
		s.Head(http.StatusOK, okHead())
		s.Data([]byte("data: one\n\n"))
		s.Flush()
		<-ctx.Done()
		s.Data([]byte("data: two\n\n"))
		s.Flush()
		return sched.Result{Outcome: once.Unknown}
	}
	runExchange(t, core, completion(true), serve, func(c net.Conn) {
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Error(err)
		}
		c.Close()
		synctest.Wait()
	})
	if n := countEvents(logged, logs.EventAnswerNotRead); n != 0 {
		t.Errorf("%d lines about the answer", n)
	}
}
