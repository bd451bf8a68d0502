package proxy

import (
	"net/http"

	"lycheepond/trial/serve"
)

// Admin returns the HTTP API that sets faults: POST /fault/{listen} takes a
// Fault, POST /trick/{listen} a Trick; listen is the proxy's address.
func Admin(proxies []*Proxy) http.Handler {
	m := http.NewServeMux()
	for _, p := range proxies {
		m.HandleFunc("POST /fault/"+p.Addr(), serve.Take(p.Set))
		m.HandleFunc("POST /trick/"+p.Addr(), serve.Take(p.Play))
	}
	return m
}
