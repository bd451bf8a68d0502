// Package serve runs the HTTP servers of the simulated endpoints and platform and
// contains helpers for their handlers.
package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Ready is the line, in JSON, that a program prints on standard output once it
// listens.
type Ready struct {
	// Ready is the name of the program.
	Ready string `json:"ready"`
	// Listen is the address as host:port.
	Listen string `json:"listen"`
}

// shutdownTimeout is the time that running calls have after the context of Run
// has ended. Then their connections are closed.
const shutdownTimeout = 500 * time.Millisecond

// Run listens on addr, writes the Ready line to out and serves h until ctx ends.
// It returns nil after a shutdown by ctx.
func Run(ctx context.Context, name, addr string, h http.Handler, out io.Writer) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("serve: cannot listen on %s: %w: choose a free port, or 0 for any", addr, err)
	}
	line, err := json.Marshal(Ready{Ready: name, Listen: ln.Addr().String()})
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(ln) }()
	fmt.Fprintf(out, "%s\n", line)
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	return shutdown(srv, ended)
}

// shutdown stops the server and returns its error, if any, from ended.
func shutdown(srv *http.Server, ended <-chan error) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		srv.Close()
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// WriteJSON answers with the status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes the body of r into v. If the body is invalid, it answers 400
// and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, 8<<20)).Decode(v); err != nil {
		http.Error(w, "body is not the expected JSON: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Sleep waits for d. It returns false if ctx ends before.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// SetHandler returns a handler that decodes the body of a request, passes the
// value to set and answers with it.
func SetHandler[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		if ReadJSON(w, r, &v) {
			set(v)
			WriteJSON(w, http.StatusOK, v)
		}
	}
}
