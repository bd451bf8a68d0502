package logs

import (
	"log"
	"net/http"
	"runtime/debug"

	"go.uber.org/zap"
)

// maxTextBytes bounds the size of a server's text or a stack in one line. The
// beginning of a stack shows where the panic occurred.
const maxTextBytes = 4 << 10

// ServerLogger returns the logger for the messages of a standard HTTP server, such as
// a failed accept. The server's default logger would write lines that are not JSON.
func ServerLogger(l *zap.Logger) *log.Logger { return log.New(serverLines{l}, "", 0) }

// serverLines writes each line of a server as an event.
type serverLines struct{ log *zap.Logger }

// Write writes one line as an event.
func (s serverLines) Write(p []byte) (int, error) {
	Warn(s.log, EventServerMessage, zap.ByteString("text", p[:min(len(p), maxTextBytes)]))
	return len(p), nil
}

// RecoverPanics returns a handler that calls h and logs its panics; the standard
// server would only close the connection. It calls count for each panic. If no part
// of an answer was written, answer writes one; a nil answer writes status 500.
func RecoverPanics(l *zap.Logger, count func(), answer http.HandlerFunc, h http.Handler) http.Handler {
	if answer == nil {
		answer = func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "a fault of this program: its log has the event handler_panicked; report it", http.StatusInternalServerError)
		}
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o := &trackedWriter{ResponseWriter: w}
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v == http.ErrAbortHandler {
				panic(v)
			}
			count()
			LogPanic(l, v, zap.String("path", r.URL.Path))
			if o.answerStarted {
				// Closing the connection shows the caller that the answer is
				// incomplete.
				panic(http.ErrAbortHandler)
			}
			answer(w, r)
		}()
		h.ServeHTTP(o, r)
	})
}

// LogPanic logs that the handler of a request panicked with v. It must be called in
// the deferred function that recovered v, so that the line has the stack of the
// panic.
func LogPanic(l *zap.Logger, v any, request zap.Field) {
	stack := debug.Stack()
	Error(l, EventHandlerPanicked, request, zap.Any("panic", v), zap.ByteString("stack", stack[:min(len(stack), maxTextBytes)]))
}

// trackedWriter records whether an answer has begun.
type trackedWriter struct {
	http.ResponseWriter
	answerStarted bool
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (o *trackedWriter) Unwrap() http.ResponseWriter { return o.ResponseWriter }

// OriginalWriter returns the standard server's own writer. http.MaxBytesReader needs
// it to tell the server that the rest of a body is not read.
func OriginalWriter(w http.ResponseWriter) http.ResponseWriter {
	if o, ok := w.(*trackedWriter); ok {
		return o.ResponseWriter
	}
	return w
}

// WriteHeader records the beginning of the answer.
func (o *trackedWriter) WriteHeader(status int) {
	o.answerStarted = o.answerStarted || status >= http.StatusOK
	o.ResponseWriter.WriteHeader(status)
}

// Write records the beginning of the answer.
func (o *trackedWriter) Write(p []byte) (int, error) {
	o.answerStarted = true
	return o.ResponseWriter.Write(p)
}
