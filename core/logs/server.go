package logs

import (
	"log"
	"net/http"
	"runtime/debug"

	"go.uber.org/zap"
)

// maxText bounds what one line takes in of a server's text or a stack, in bytes:
// the head tells the place.
const maxText = 4 << 10

// Server returns the logger for what a standard HTTP server has to tell, such as a
// failed accept. By itself it would write lines that are no JSON.
func Server(l *zap.Logger) *log.Logger { return log.New(serverLines{l}, "", 0) }

type serverLines struct{ log *zap.Logger }

// Write takes one line.
func (s serverLines) Write(p []byte) (int, error) {
	Warn(s.log, EventServerTold, zap.ByteString("text", p[:min(len(p), maxText)]))
	return len(p), nil
}

// Guard returns h with its panics written to the log; the standard server would
// only cut the connection. Each is counted with count, and answer answers the
// request if nothing of an answer was written; nil answers with status 500.
func Guard(l *zap.Logger, count func(), answer http.HandlerFunc, h http.Handler) http.Handler {
	if answer == nil {
		answer = func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "a fault of this program: its log has the event handler_panicked; report it", http.StatusInternalServerError)
		}
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o := &opened{ResponseWriter: w}
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v == http.ErrAbortHandler {
				panic(v)
			}
			count()
			Panicked(l, v, zap.String("path", r.URL.Path))
			if o.begun {
				// The caller must not take what it has for the whole.
				panic(http.ErrAbortHandler)
			}
			answer(w, r)
		}()
		h.ServeHTTP(o, r)
	})
}

// Panicked writes that the handler of a request panicked with v. It is to be called
// where v was recovered: the line has the stack.
func Panicked(l *zap.Logger, v any, request zap.Field) {
	stack := debug.Stack()
	Error(l, EventHandlerPanicked, request, zap.Any("panic", v), zap.ByteString("stack", stack[:min(len(stack), maxText)]))
}

// opened tells whether an answer has begun.
type opened struct {
	http.ResponseWriter
	begun bool
}

// Unwrap is for http.ResponseController.
func (o *opened) Unwrap() http.ResponseWriter { return o.ResponseWriter }

// Bare returns the standard server's own writer, which http.MaxBytesReader tells that
// the rest of a body is not read.
func Bare(w http.ResponseWriter) http.ResponseWriter {
	if o, ok := w.(*opened); ok {
		return o.ResponseWriter
	}
	return w
}

// WriteHeader notes the beginning.
func (o *opened) WriteHeader(status int) {
	o.begun = o.begun || status >= http.StatusOK
	o.ResponseWriter.WriteHeader(status)
}

// Write notes the beginning.
func (o *opened) Write(p []byte) (int, error) {
	o.begun = true
	return o.ResponseWriter.Write(p)
}
