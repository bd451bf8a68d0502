// Package capac measures what the system's own processes spend as a fleet
// grows: processor time, memory and bytes between processes, from /proc and
// from what the processes report, and the slopes of these figures.
package capac

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"lycheepond/trial/fleet"
)

// ticksPerSecond is the unit of processor time in /proc on Linux.
const ticksPerSecond = 100

// usage is what one process has spent so far.
type usage struct {
	cpu time.Duration
	// rss is the memory in use now, in bytes.
	rss int64
	// control and data are the bytes on its links, both ways.
	control, data uint64
	// socket is the links of an agent as the kernel counts them.
	socket socket
}

var errStat = errors.New("capac: /proc/PID/stat is not as expected: run on Linux")

// Fields of /proc/PID/stat behind the program's name, counted from zero.
const (
	fieldUser   = 11
	fieldSystem = 12
	fieldRSS    = 21
)

// spent reads processor time and memory of a process.
func spent(pid int) (u usage, err error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// The name is in parentheses and may hold anything, spaces included.
	at := bytes.LastIndexByte(b, ')')
	if at < 0 {
		return u, errStat
	}
	f := strings.Fields(string(b[at+1:]))
	if len(f) <= fieldRSS {
		return u, errStat
	}
	user, err1 := strconv.ParseInt(f[fieldUser], 10, 64)
	system, err2 := strconv.ParseInt(f[fieldSystem], 10, 64)
	pages, err3 := strconv.ParseInt(f[fieldRSS], 10, 64)
	if err := errors.Join(err1, err2, err3); err != nil {
		return u, err
	}
	u.cpu = time.Duration(user+system) * time.Second / ticksPerSecond
	u.rss = pages * int64(os.Getpagesize())
	return u, nil
}

// linkBytes is the traffic in an entry's status.
type linkBytes struct {
	Traffic struct{ ControlIn, ControlOut, DataIn, DataOut uint64 } `json:"link_bytes"`
	// Config is the configuration version in force.
	Config int64 `json:"config_version"`
	Pools  []struct {
		Agents []struct {
			Linked bool `json:"linked"`
		} `json:"agents"`
	} `json:"pools"`
}

// gauges is the part of an agent's metrics that counts here.
type gauges struct {
	Gauges map[string]uint64 `json:"gauges"`
}

func entryUsage(ctx context.Context, e *fleet.Entry) (usage, error) {
	u, err := spent(e.Proc.PID())
	if err != nil {
		return u, err
	}
	s, err := entryStatus(ctx, e)
	t := s.Traffic
	u.control, u.data = t.ControlIn+t.ControlOut, t.DataIn+t.DataOut
	return u, err
}

func entryStatus(ctx context.Context, e *fleet.Entry) (s linkBytes, err error) {
	err = fleet.CallJSON(ctx, http.MethodGet, "http://"+e.Admin+"/status", fleet.AdminToken, nil, &s)
	return s, err
}

func agentUsage(ctx context.Context, a *fleet.Unit) (usage, error) {
	u, err := spent(a.Agent.PID())
	if err != nil {
		return u, err
	}
	var g gauges
	err = fleet.CallJSON(ctx, http.MethodGet, "http://"+a.Admin+"/metrics?format=json", fleet.AdminToken, nil, &g)
	u.control = g.Gauges["agent_control_in_bytes"] + g.Gauges["agent_control_out_bytes"]
	u.data = g.Gauges["agent_data_in_bytes"] + g.Gauges["agent_data_out_bytes"]
	return u, err
}
