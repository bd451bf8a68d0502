// Package heads knows which headers concern one connection only and are not
// passed on, neither from a caller to an endpoint nor back.
package heads

import (
	"net/http"
	"strings"
)

// perHop are the headers of one connection, as HTTP names them. Content-Length is
// set anew by whoever writes the message.
var perHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true,
	"Te": true, "Trailer": true, "Upgrade": true, "Content-Length": true,
}

// PerHop reports whether a header, by its canonical name, concerns one
// connection only.
func PerHop(name string) bool { return perHop[name] }

// Forward returns the headers of a request that are passed on: all but those
// that concern the caller's connection, those that it names there itself
// included.
func Forward(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !perHop[name] {
			out[name] = values
		}
	}
	for _, named := range h.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	out.Del("Expect")
	return out
}

// Size returns how many bytes the names and values of headers take.
func Size(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}
