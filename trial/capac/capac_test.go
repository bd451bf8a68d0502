package capac

import (
	"math"
	"os"
	"testing"
)

func TestSlopes(t *testing.T) {
	var points []Point
	for _, n := range []int{10, 50, 200} {
		points = append(points, Point{Measure: ByAgents, Size: n, Load: Idle, Role: RoleEntry, RSSMB: 20 + 0.05*float64(n)})
	}
	for _, s := range Slopes(points) {
		if s.Figure == "rss_mb" && (math.Abs(s.Base-20) > 0.01 || math.Abs(s.Per-0.05) > 1e-6 || s.Points != 3) {
			t.Errorf("got %+v, want base 20 and 0.05 an agent", s)
		}
	}
}

func TestSpent(t *testing.T) {
	u, err := spent(os.Getpid())
	if err != nil || u.rss == 0 {
		t.Errorf("%+v, %v", u, err)
	}
}

func TestParseSockets(t *testing.T) {
	const out = `0 0 127.0.0.1:70 127.0.0.1:81 bbr wscale:10,10 bytes_sent:100 bytes_acked:100 bytes_received:40 segs_out:3 segs_in:2 data_segs_out:1 send 7bps
0 0 127.0.0.1:70 127.0.0.1:82 bbr bytes_sent:1 segs_out:1
0 0 127.0.0.1:82
`
	got := parseSockets(out)
	if want := (socket{links: 2, wire: 141 + 6*segmentHeader}); len(got) != 1 || got["127.0.0.1:70"] != want {
		t.Errorf("got %+v, want %+v alone", got, want)
	}
}

func TestSizes(t *testing.T) {
	var reach Reach
	err := Sizes(func(v any) error {
		switch v := v.(type) {
		case Bytes:
			if v.Bytes == 0 {
				t.Errorf("%s is empty", v.Of)
			}
		case Reach:
			reach = v
		}
		return nil
	})
	if err != nil || reach.Least == 0 || reach.PerAgent < 4 {
		t.Errorf("%+v, %v", reach, err)
	}
}
