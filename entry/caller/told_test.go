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

// lines counts an event in a log.
func lines(seen *observer.ObservedLogs, e logs.Event) int {
	return seen.FilterMessage(string(e)).Len()
}

// A fault of the program ends a request's handler. Its caller hears that the
// outcome is unknown, and the operator where the fault is. Left to the standard
// server the caller saw its connection cut ("no answer: unexpected EOF") and the
// log had "0 lines about the panic".
func TestPanicIsAnsweredAndTold(t *testing.T) {
	core, seen := observer.New(zap.InfoLevel)
	serve := func(context.Context, *sched.Sink) sched.Result { panic("a fault") }
	onClock(t, core, completion(false), serve, func(c net.Conn) {
		res, body := answerAndHead(t, c)
		if res == nil || res.StatusCode != http.StatusBadGateway || res.Header.Get(headerOutcome) != once.Unknown.String() {
			t.Errorf("answer %+v %q", res, body)
		}
	})
	if n := lines(seen, logs.EventHandlerPanicked); n != 1 {
		t.Errorf("%d lines about the panic", n)
	}
}

// The same in the middle of an answer: the caller must not take it for whole.
func TestPanicInAnAnswerCutsIt(t *testing.T) {
	core, seen := observer.New(zap.InfoLevel)
	serve := func(_ context.Context, s *sched.Sink) sched.Result {
		s.Head(http.StatusOK, okHead())
		s.Data([]byte("data: one\n\n"))
		s.Flush()
		panic("a fault")
	}
	onClock(t, core, completion(true), serve, func(c net.Conn) {
		got, err := io.ReadAll(c)
		if strings.HasSuffix(string(got), "0\r\n\r\n") {
			t.Errorf("the answer looks whole: %q, %v", got, err)
		}
	})
	if n := lines(seen, logs.EventHandlerPanicked); n != 1 {
		t.Errorf("%d lines about the panic", n)
	}
}

// A caller stops reading and its answer is given up. The log tells that apart
// from a caller that hung up: without a line of its own there were "0 lines about
// the answer", and the request's last line said caller_gone.
func TestUnreadAnswerIsTold(t *testing.T) {
	core, seen := observer.New(zap.InfoLevel)
	serve := func(ctx context.Context, s *sched.Sink) sched.Result {
		s.Head(http.StatusOK, okHead())
		for ctx.Err() == nil {
			s.Data([]byte("data: one\n\n"))
			s.Flush()
		}
		return sched.Result{Outcome: once.Unknown}
	}
	onClock(t, core, completion(true), serve, func(net.Conn) { time.Sleep(2 * callerPatience) })
	if n := lines(seen, logs.EventAnswerNotRead); n != 1 {
		t.Errorf("%d lines about the answer", n)
	}
}

// A caller hangs up in the middle of its answer. That is no answer given up.
func TestHangUpIsNoUnreadAnswer(t *testing.T) {
	core, seen := observer.New(zap.InfoLevel)
	serve := func(ctx context.Context, s *sched.Sink) sched.Result {
		s.Head(http.StatusOK, okHead())
		s.Data([]byte("data: one\n\n"))
		s.Flush()
		<-ctx.Done()
		s.Data([]byte("data: two\n\n"))
		s.Flush()
		return sched.Result{Outcome: once.Unknown}
	}
	onClock(t, core, completion(true), serve, func(c net.Conn) {
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Error(err)
		}
		c.Close()
		synctest.Wait()
	})
	if n := lines(seen, logs.EventAnswerNotRead); n != 0 {
		t.Errorf("%d lines about the answer", n)
	}
}
