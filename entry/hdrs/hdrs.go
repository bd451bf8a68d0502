// Package hdrs distinguishes the headers that concern a single connection from those that are
// forwarded between caller and endpoint.
package hdrs

import (
	"net/http"
	"strings"
)

// hopByHop holds the hop-by-hop headers of HTTP, by canonical name. Content-Length is among
// them because the sender of each message sets its own.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true,
	"Te": true, "Trailer": true, "Upgrade": true, "Content-Length": true,
}

// IsHopByHop reports whether a header, given by its canonical name, concerns a single
// connection only.
func IsHopByHop(name string) bool { return hopByHop[name] }

// EndToEnd returns the headers of a request that are forwarded: all except Expect, the
// hop-by-hop headers and those that the Connection header names.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !hopByHop[name] {
			out[name] = values
		}
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	out.Del("Expect")
	return out
}

// Size returns the total length in bytes of the names and values of headers.
func Size(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}
