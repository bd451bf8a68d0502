package main

import (
	"fmt"
	"net/http"
	"testing"

	"lycheepond/core/conf"
	"lycheepond/core/ident"
	"lycheepond/core/wire"
)

// BenchmarkStream relays tokens from an engine through an agent to the entry's end
// of a link, all in this process. One operation is one token.
func BenchmarkStream(b *testing.B) {
	a := startAgent(b, conf.EndpointEngine, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/completions" {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range b.N {
			fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"token %d\"}]}\n\n", i)
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
	link, got, err := dial(b, a, fleetKey)
	if err != nil {
		b.Fatal(err)
	}
	id := ident.Make(5, 1)
	send(b, link, &wire.Offer{ID: id, Pool: "roster", DeadlineMS: 300000})
	await[*wire.Claim](b, got)
	b.ReportAllocs()
	b.ResetTimer()
	send(b, link, &wire.Grant{ID: id, Method: http.MethodPost, Path: "/v1/completions", Stream: true})
	if e := await[*wire.End](b, got); !e.Complete || e.Chunks != uint32(b.N)+1 {
		b.Fatalf("end %+v", e)
	}
}
