package procs

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
)

// Ports are taken from below the range from which the kernel serves outgoing
// connections. A port of that range, chosen before the process starts that is
// to listen there, may by then be the near end of some connection; the process
// would end with "address already in use".
const (
	firstPort = 10000
	lastPort  = 32000
)

// ErrNoPort reports that every port of the range is taken.
var ErrNoPort = errors.New("procs: no free port from 10000 to 32000: end processes that listen there")

// lastTried is the port that was tried last, counted from firstPort. It begins
// at random, so that test programs that run side by side seldom meet.
var lastTried atomic.Uint32

func init() { lastTried.Store(rand.Uint32N(lastPort - firstPort)) }

// Port returns a loopback address whose port is free at present and that no
// other call of this process returned lately.
func Port() (string, error) {
	for range lastPort - firstPort {
		n := firstPort + int(lastTried.Add(1)%(lastPort-firstPort))
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(n))
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, ln.Close()
	}
	return "", ErrNoPort
}
