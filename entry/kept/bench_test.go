package kept

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/meter"
)

// BenchmarkRequest measures a request over a kept connection, on a plain listener and on that of
// a Set.
func BenchmarkRequest(b *testing.B) {
	for _, plain := range []bool{true, false} {
		b.Run(fmt.Sprint("plain=", plain), func(b *testing.B) {
			s := New(Config{IdleBound: func() time.Duration { return time.Minute }, Metrics: meter.New(), Log: zap.NewNop()})
			server := &http.Server{Handler: http.HandlerFunc(answerOK)}
			var ln net.Listener
			var err error
			if plain {
				ln, err = net.Listen("tcp", "127.0.0.1:0")
			} else {
				ln, err = s.Listen("127.0.0.1:0")
				s.Attach(server)
			}
			if err != nil {
				b.Fatal(err)
			}
			defer server.Close()
			go server.Serve(ln)
			nc, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			c := &client{Conn: nc, r: bufio.NewReader(nc)}
			b.ReportAllocs()
			for b.Loop() {
				if err := c.get("/"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
