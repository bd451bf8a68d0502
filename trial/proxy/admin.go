package proxy

import (
	"net/http"

	"lycheepond/trial/serve"
)

// Admin returns the HTTP API that sets faults: POST /fault/{listen} takes a
// Fault, POST /trick/{listen} a Trick; listen is the address or * for all.
func Admin(proxies []*Proxy) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /fault/{listen}", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if serve.Read(w, r, &f) {
			answer(w, each(proxies, r.PathValue("listen"), func(p *Proxy) { p.Set(f) }))
		}
	})
	m.HandleFunc("POST /trick/{listen}", func(w http.ResponseWriter, r *http.Request) {
		var t Trick
		if serve.Read(w, r, &t) {
			answer(w, each(proxies, r.PathValue("listen"), func(p *Proxy) { p.Play(t) }))
		}
	})
	return m
}

func each(proxies []*Proxy, listen string, f func(*Proxy)) int {
	n := 0
	for _, p := range proxies {
		if listen == "*" || listen == p.Addr() {
			f(p)
			n++
		}
	}
	return n
}

func answer(w http.ResponseWriter, n int) {
	if n == 0 {
		http.Error(w, "no proxy listens there", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
