package call

import (
	"context"
	"errors"
	"net"
	"net/url"
	"syscall"
	"time"
)

// listenTimeout bounds the check of whether an endpoint on the same instance listens.
const listenTimeout = 500 * time.Millisecond

// Listening returns a function that reports whether the endpoint at base accepts
// connections. Only a refused connection shows that it does not.
func Listening(base string) func(ctx context.Context) bool {
	u, err := url.Parse(base)
	if err != nil {
		return nil
	}
	addr := u.Host
	if u.Port() == "" {
		addr = net.JoinHostPort(u.Hostname(), "80")
	}
	return func(ctx context.Context) bool {
		conn, err := (&net.Dialer{Timeout: listenTimeout}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return !errors.Is(err, syscall.ECONNREFUSED)
		}
		conn.Close()
		return true
	}
}
