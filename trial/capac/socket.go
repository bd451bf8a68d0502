package capac

import (
	"context"
	"os/exec"
	"strconv"
	"strings"
)

// segmentHeader is the size of an IPv4 header and a TCP header with time
// stamps, in bytes.
const segmentHeader = 20 + 32

// socket is the connections accepted at one address.
type socket struct {
	links int
	// wire is the bytes both ways with the headers of all segments, also of
	// those that only acknowledge.
	wire uint64
}

// Columns of a line of ss.
const (
	columnLocal = 2
	columnInfo  = 4
)

// sockets asks ss for the connections by local address. Without ss there are
// none.
func sockets(ctx context.Context) map[string]socket {
	out, err := exec.CommandContext(ctx, "ss", "-tinHO", "state", "established").Output()
	if err != nil {
		return nil
	}
	return parseSockets(string(out))
}

func parseSockets(out string) map[string]socket {
	all := make(map[string]socket)
	for line := range strings.Lines(out) {
		f := strings.Fields(line)
		if len(f) <= columnInfo {
			continue
		}
		s := all[f[columnLocal]]
		s.links++
		for _, info := range f[columnInfo:] {
			s.wire += wireBytes(info)
		}
		all[f[columnLocal]] = s
	}
	return all
}

// wireBytes returns what one column of ss counts on the wire.
func wireBytes(info string) uint64 {
	name, value, _ := strings.Cut(info, ":")
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0
	}
	switch name {
	case "bytes_sent", "bytes_received":
		return n
	case "segs_out", "segs_in":
		return n * segmentHeader
	}
	return 0
}
