package call

import (
	"context"
	"errors"
	"net"
	"net/url"
	"syscall"
	"time"
)

// connectionCheckTimeout bounds a connection check. The endpoint runs on the same
// instance.
const connectionCheckTimeout = 500 * time.Millisecond

// NewConnectionCheck returns a function that reports whether the endpoint at base
// accepts connections. The function returns false only if the connection was
// refused. NewConnectionCheck returns nil if base is not a URL.
func NewConnectionCheck(base string) func(ctx context.Context) bool {
	u, err := url.Parse(base)
	if err != nil {
		return nil
	}
	addr := u.Host
	if u.Port() == "" {
		addr = net.JoinHostPort(u.Hostname(), "80")
	}
	return func(ctx context.Context) bool {
		conn, err := (&net.Dialer{Timeout: connectionCheckTimeout}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return !errors.Is(err, syscall.ECONNREFUSED)
		}
		conn.Close()
		return true
	}
}
