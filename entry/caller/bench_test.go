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

// cpu returns the processor time that the process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRelay streams tokens from a stub agent through links, request
// owners and net/http to callers that read as fast as they can. Its figure
// counts the processor time of the stub and the callers too, so the entry
// alone does more.
func BenchmarkRelay(b *testing.B) { relay(b, 32, 0) }

// BenchmarkRelayPaced streams at the pace of engines, a token of each of 1000
// streams every 30 ms, so that hardly two tokens of a stream can share a write.
func BenchmarkRelayPaced(b *testing.B) { relay(b, 1000, 30*time.Millisecond) }

func relay(b *testing.B, streams int, pace time.Duration) {
	each := uint32(b.N/streams + 1)
	a := newStub(b, "a", func(_ *stub, l *wire.Link, m wire.Message) {
		switch m := m.(type) {
		case *wire.Offer:
			l.Send(&wire.Claim{ID: m.ID, Load: idle})
		case *wire.Grant:
			go stream(l, m, each, pace)
		}
	})
	a.load.InFlightBound = uint16(streams)
	f := newFront(b, frontOptions{}, a)
	b.ReportAllocs()
	b.ResetTimer()
	before := cpu()
	var wg sync.WaitGroup
	for range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			res := f.post(b, "/v1/completions", completion(true))
			n, _ := io.Copy(io.Discard, res.Body)
			res.Body.Close()
			if want := int64(each) * int64(len(token)); n != want || res.Trailer.Get(headerOutcome) != "complete" {
				b.Errorf("%d of %d bytes, outcome %q", n, want, res.Trailer.Get(headerOutcome))
			}
		}()
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(each)*float64(streams)/(cpu()-before).Seconds(), "tokens/cpu-s")
}

func stream(l *wire.Link, m *wire.Grant, n uint32, pace time.Duration) {
	ctx := context.Background()
	l.SendWait(ctx, &wire.Head{ID: m.ID, Status: 200})
	end := &wire.End{ID: m.ID, Chunks: n, Complete: true, Load: idle}
	for i := range n {
		time.Sleep(pace)
		l.SendWait(ctx, &wire.Chunk{ID: m.ID, Seq: i, Data: token})
		end.Bytes += uint64(len(token))
		end.CRC = crc32.Update(end.CRC, crc32.MakeTable(crc32.Castagnoli), token)
	}
	l.SendWait(ctx, end)
}
