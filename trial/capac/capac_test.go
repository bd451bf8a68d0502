package capac

import (
	"math"
	"os"
	"testing"
)

// Checks that the fit finds the base and the slope of points on a straight line.
func TestSlopes(t *testing.T) {
	var points []Point
	for _, n := range []int{10, 50, 200} {
		points = append(points, Point{Dimension: ByAgents, Size: n, Load: IdleLoad, Role: RoleEntry, RSSMB: 20 + 0.05*float64(n)})
	}
	for _, s := range Slopes(points) {
		if s.Figure == "rss_mb" && (math.Abs(s.Base-20) > 0.01 || math.Abs(s.PerUnit-0.05) > 1e-6 || s.Points != 3) {
			t.Errorf("got %+v, want base 20 and 0.05 an agent", s)
		}
	}
}

// Checks that the stat file in /proc of a running process can be parsed.
func TestReadProcUsage(t *testing.T) {
	u, err := readProcUsage(os.Getpid())
	if err != nil || u.rssBytes == 0 {
		t.Errorf("%+v, %v", u, err)
	}
}

// Checks that the connections of one local address are summed up, that the headers of
// their segments are added to their bytes, and that a line without statistics is skipped.
func TestParseSocketStats(t *testing.T) {
	const out = `0 0 127.0.0.1:70 127.0.0.1:81 bbr wscale:10,10 bytes_sent:100 bytes_acked:100 bytes_received:40 segs_out:3 segs_in:2 data_segs_out:1 send 7bps
0 0 127.0.0.1:70 127.0.0.1:82 bbr bytes_sent:1 segs_out:1
0 0 127.0.0.1:82
`
	got := parseSocketStats(out)
	if want := (socketStats{connections: 2, wireBytes: 141 + 6*segmentHeaderBytes}); len(got) != 1 || got["127.0.0.1:70"] != want {
		t.Errorf("got %+v, want %+v alone", got, want)
	}
}

// Checks that no object or message is empty and that each agent has enough links.
func TestMeasureSizes(t *testing.T) {
	var links LinkCounts
	err := MeasureSizes(func(v any) error {
		switch v := v.(type) {
		case EncodedSize:
			if v.Bytes == 0 {
				t.Errorf("%s is empty", v.Subject)
			}
		case LinkCounts:
			links = v
		}
		return nil
	})
	if err != nil || links.MinLinks == 0 || links.LinksPerAgent < 4 {
		t.Errorf("%+v, %v", links, err)
	}
}
