// Package serve runs the HTTP server of a stand-in and tells whoever started
// the process where it listens.
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

// Ready is the line that a program prints on standard output once it listens.
type Ready struct {
	Ready  string `json:"ready"`
	Listen string `json:"listen"`
}

// closeWait is how long running calls may take after the end of the context.
const closeWait = 500 * time.Millisecond

// Run listens on addr, writes the Ready line to out and serves h until ctx
// ends.
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
	return shut(srv, ended)
}

func shut(srv *http.Server, ended <-chan error) error {
	wait, stop := context.WithTimeout(context.Background(), closeWait)
	defer stop()
	if err := srv.Shutdown(wait); err != nil {
		srv.Close()
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// JSON answers with v.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the caller is gone.
	_ = json.NewEncoder(w).Encode(v)
}

// Read decodes the body of r into v and answers 400 if it can't.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, 8<<20)).Decode(v); err != nil {
		http.Error(w, "body is not the expected JSON: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Sleep waits for d and returns false if ctx ends first.
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

// Take returns a handler that gives set what the body of a request holds, and
// answers with it.
func Take[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		if Read(w, r, &v) {
			set(v)
			JSON(w, http.StatusOK, v)
		}
	}
}
