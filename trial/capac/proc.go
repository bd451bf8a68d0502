// Package capac measures how the resource usage of entries and agents grows with the
// size of a fleet: processor time, memory and traffic between processes. It reads
// them from /proc and from the status and metrics of the processes, and fits a slope
// to each.
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

// ticksPerSecond is the number of clock ticks per second in which /proc on Linux
// counts processor time.
const ticksPerSecond = 100

// usage is the resource usage of one process since its start.
type usage struct {
	cpuTime time.Duration
	// rssBytes is the resident memory at present.
	rssBytes int64
	// controlBytes and dataBytes are the bytes on its links in both directions.
	controlBytes, dataBytes uint64
	// sockets is what the kernel counts on the links of an agent.
	sockets socketStats
}

var errProcStat = errors.New("capac: /proc/PID/stat is not as expected: run on Linux")

// Indices of the fields of /proc/PID/stat, counted from 0 after the program's name.
const (
	fieldUser   = 11
	fieldSystem = 12
	fieldRSS    = 21
)

// readProcUsage reads the processor time and the memory of a process from /proc.
func readProcUsage(pid int) (u usage, err error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// The program's name is in parentheses and may contain any characters.
	nameEnd := bytes.LastIndexByte(b, ')')
	if nameEnd < 0 {
		return u, errProcStat
	}
	f := strings.Fields(string(b[nameEnd+1:]))
	if len(f) <= fieldRSS {
		return u, errProcStat
	}
	user, err1 := strconv.ParseInt(f[fieldUser], 10, 64)
	system, err2 := strconv.ParseInt(f[fieldSystem], 10, 64)
	pages, err3 := strconv.ParseInt(f[fieldRSS], 10, 64)
	if err := errors.Join(err1, err2, err3); err != nil {
		return u, err
	}
	u.cpuTime = time.Duration(user+system) * time.Second / ticksPerSecond
	u.rssBytes = pages * int64(os.Getpagesize())
	return u, nil
}

// entryStatus holds the fields of an entry's status that are used here.
type entryStatus struct {
	Traffic struct{ ControlIn, ControlOut, DataIn, DataOut uint64 } `json:"link_bytes"`
	// ConfigVersion is the configuration version in force.
	ConfigVersion int64 `json:"config_version"`
	Pools         []struct {
		Agents []struct {
			Linked bool `json:"linked"`
		} `json:"agents"`
	} `json:"pools"`
}

// agentMetrics holds the part of an agent's metrics that is used here.
type agentMetrics struct {
	Gauges map[string]uint64 `json:"gauges"`
}

// readEntryUsage reads the usage of an entry from /proc and from its status.
func readEntryUsage(ctx context.Context, e *fleet.Entry) (usage, error) {
	u, err := readProcUsage(e.Proc.PID())
	if err != nil {
		return u, err
	}
	s, err := readEntryStatus(ctx, e)
	t := s.Traffic
	u.controlBytes, u.dataBytes = t.ControlIn+t.ControlOut, t.DataIn+t.DataOut
	return u, err
}

// readEntryStatus fetches the status of an entry.
func readEntryStatus(ctx context.Context, e *fleet.Entry) (s entryStatus, err error) {
	err = fleet.CallJSON(ctx, http.MethodGet, "http://"+e.AdminAddr+"/status", fleet.AdminToken, nil, &s)
	return s, err
}

// readAgentUsage reads the usage of an agent from /proc and from its metrics.
func readAgentUsage(ctx context.Context, a *fleet.Unit) (usage, error) {
	u, err := readProcUsage(a.Agent.PID())
	if err != nil {
		return u, err
	}
	var g agentMetrics
	err = fleet.CallJSON(ctx, http.MethodGet, "http://"+a.AdminAddr+"/metrics?format=json", fleet.AdminToken, nil, &g)
	u.controlBytes = g.Gauges["agent_control_in_bytes"] + g.Gauges["agent_control_out_bytes"]
	u.dataBytes = g.Gauges["agent_data_in_bytes"] + g.Gauges["agent_data_out_bytes"]
	return u, err
}
