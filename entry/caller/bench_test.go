package caller

import (
	"context"
	"hash/crc32"
	"io"
	"sync"
	"syscall"
	"testing"
	"time"

	"lycheepond/core/wire"
)

// token is an event as an engine streams it.
var token = []byte("data: {\"id\":\"0123456789abcdef0123456789abcdef\",\"choices\":[{\"index\":0,\"text\":\"word \"}]}\n\n")

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRelay streams tokens from a stub agent through links, flights and
// net/http to callers that read as fast as they can. The result includes the
// processor time of the stub and the callers, so the entry alone is faster.
func BenchmarkRelay(b *testing.B) { benchmarkRelay(b, 32, 0) }

// BenchmarkRelayPaced streams at the pace of engines, one token every 30 ms on each
// of 1000 streams, so that two tokens of a stream hardly ever share a write.
func BenchmarkRelayPaced(b *testing.B) { benchmarkRelay(b, 1000, 30*time.Millisecond) }

func benchmarkRelay(b *testing.B, streams int, pace time.Duration) {
	tokensPerStream := uint32(b.N/streams + 1)
	a := newStub(b, "a", func(_ *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			l.Send(&wire.Claim{ID: m.ID, Load: idleLoad})
		case *wire.Grant:
			go stream(l, m, tokensPerStream, pace)
		}
	})
	a.load.InFlightBound = uint16(streams)
	f := newTestEntry(b, entryOptions{}, a)
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuTime()
	var wg sync.WaitGroup
	for range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			res := f.post(b, "/v1/completions", completion(true))
			n, _ := io.Copy(io.Discard, res.Body)
			res.Body.Close()
			if want := int64(tokensPerStream) * int64(len(token)); n != want || res.Trailer.Get(headerOutcome) != "complete" {
				b.Errorf("%d of %d bytes, outcome %q", n, want, res.Trailer.Get(headerOutcome))
			}
		}()
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(tokensPerStream)*float64(streams)/(cpuTime()-before).Seconds(), "tokens/cpu-s")
}

// stream sends an answer of n tokens, one after each pace.
func stream(l *wire.Link, m *wire.Grant, n uint32, pace time.Duration) {
	ctx := context.Background()
	l.SendWait(ctx, &wire.Head{ID: m.ID, Status: 200})
	end := &wire.End{ID: m.ID, Chunks: n, Complete: true, Load: idleLoad}
	for i := range n {
		time.Sleep(pace)
		l.SendWait(ctx, &wire.Chunk{ID: m.ID, Seq: i, Data: token})
		end.Bytes += uint64(len(token))
		end.CRC = crc32.Update(end.CRC, crc32.MakeTable(crc32.Castagnoli), token)
	}
	l.SendWait(ctx, end)
}
