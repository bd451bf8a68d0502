package proxy

import (
	"net/http"

	"lycheepond/trial/serve"
)

// Admin returns the HTTP API for the faults of proxies. POST /fault/ADDR sets a
// Fault and POST /trick/ADDR adds a FrameFault; ADDR is the address on which the
// proxy listens.
func Admin(proxies []*Proxy) http.Handler {
	m := http.NewServeMux()
	for _, p := range proxies {
		m.HandleFunc("POST /fault/"+p.Addr(), serve.SetHandler(p.SetFault))
		m.HandleFunc("POST /trick/"+p.Addr(), serve.SetHandler(p.AddFrameFault))
	}
	return m
}
