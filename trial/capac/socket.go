package capac

import (
	"context"
	"os/exec"
	"strconv"
	"strings"
)

// segmentHeaderBytes is the size of an IPv4 header and of a TCP header with the
// timestamps option.
const segmentHeaderBytes = 20 + 32

// socketStats counts the connections that were accepted at one address and their traffic.
type socketStats struct {
	connections int
	// wireBytes counts both directions, with the headers of all segments, including
	// pure acknowledgments.
	wireBytes uint64
}

// Columns of a line that ss prints.
const (
	columnLocal = 2
	columnInfo  = 4
)

// readSocketStats runs the ss program and returns the statistics of the established
// connections by their local address. It returns nil if ss fails or is missing.
func readSocketStats(ctx context.Context) map[string]socketStats {
	out, err := exec.CommandContext(ctx, "ss", "-tinHO", "state", "established").Output()
	if err != nil {
		return nil
	}
	return parseSocketStats(string(out))
}

// parseSocketStats sums up the output of ss by local address.
func parseSocketStats(out string) map[string]socketStats {
	all := make(map[string]socketStats)
	for line := range strings.Lines(out) {
		f := strings.Fields(line)
		if len(f) <= columnInfo {
			continue
		}
		s := all[f[columnLocal]]
		s.connections++
		for _, info := range f[columnInfo:] {
			s.wireBytes += columnWireBytes(info)
		}
		all[f[columnLocal]] = s
	}
	return all
}

// columnWireBytes returns how many bytes on the wire one column of ss represents. It
// returns 0 for a column that counts neither bytes nor segments.
func columnWireBytes(info string) uint64 {
	name, value, _ := strings.Cut(info, ":")
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0
	}
	switch name {
	case "bytes_sent", "bytes_received":
		return n
	case "segs_out", "segs_in":
		return n * segmentHeaderBytes
	}
	return 0
}
