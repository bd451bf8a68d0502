package procs

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
)

// The range from which ports are chosen. It lies below the kernel's range of
// ephemeral ports: between the choice of an ephemeral port and the start of the
// process that listens on it, an outgoing connection might use it, and the
// process would end with "address already in use".
const (
	firstPort = 10000
	lastPort  = 32000
)

// ErrNoPort is returned by FreeAddr if every port of the range is in use.
var ErrNoPort = errors.New("procs: no free port from 10000 to 32000: end processes that listen there")

// lastTriedOffset is the last port that FreeAddr tried, as an offset from
// firstPort. It starts at a random value, so that test programs that run in
// parallel rarely choose the same port.
var lastTriedOffset atomic.Uint32

func init() { lastTriedOffset.Store(rand.Uint32N(lastPort - firstPort)) }

// FreeAddr returns a loopback address, as host:port, on which nothing listens now.
// It does not return an address again until it has tried the whole range.
func FreeAddr() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + int(lastTriedOffset.Add(1)%(lastPort-firstPort))
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, ln.Close()
	}
	return "", ErrNoPort
}
