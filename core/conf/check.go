package conf

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"lycheepond/core/logs"
	"lycheepond/core/spec"
)

// Bounds of settings.
const (
	// minKeyLength is the minimum length of a fleet key in bytes.
	minKeyLength = 16
	minHeartbeat = 50 * time.Millisecond
	maxHeartbeat = time.Minute
	maxGrace     = time.Hour
	// minRequestMemoryMiB is enough for one request with the largest body.
	minRequestMemoryMiB = 8
)

// checker collects the problems of settings.
type checker struct{ problems spec.Problems }

func (c *checker) add(field, reason, remedy string) {
	c.problems = append(c.problems, spec.Problem{Field: field, Reason: reason, Remedy: remedy})
}

// required checks that a setting has a value.
func (c *checker) required(field, value, remedy string) {
	if value == "" {
		c.add(field, "is missing", remedy)
	}
}

// listenAddress checks an address to listen on.
func (c *checker) listenAddress(field, value string) {
	if value == "" {
		c.add(field, "is missing", "write HOST:PORT, such as 127.0.0.1:8080")
		return
	}
	_, port, err := net.SplitHostPort(value)
	if n, perr := strconv.ParseUint(port, 10, 16); err != nil || perr != nil || n > 65535 {
		c.add(field, fmt.Sprintf("%q is not an address", value), "write HOST:PORT, such as 127.0.0.1:8080")
	}
}

// serverAddress checks the address of an HTTP server.
func (c *checker) serverAddress(field, value string) {
	if value == "" {
		c.add(field, "is missing", "write its address with the scheme, such as http://127.0.0.1:7000")
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.add(field, fmt.Sprintf("%q is not an address", value), "write its address with the scheme, such as http://127.0.0.1:7000")
	}
}

// between checks that a duration is at least low and at most high.
func (c *checker) between(field string, d spec.Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		c.add(field, fmt.Sprintf("%v is out of range", d.Std()), fmt.Sprintf("write %v to %v", low, high))
	}
}

// common checks the settings that all processes share.
func (c *checker) common(s *Common) {
	c.required("name", s.Name, "write the instance's name, unique in the fleet")
	c.required("zone", s.Zone, "write the instance's availability zone")
	c.fleetKeys(s)
	c.serverAddress("platform.address", s.Platform.Address)
	if _, err := logs.Level(s.Log.Level); err != nil {
		c.add("log.level", fmt.Sprintf("%q is not a level", s.Log.Level), "write debug, info, warn or error")
	}
	if t := s.TLS; t.Enabled() {
		c.required("tls.cert", t.Cert, "write the certificate's file, or leave tls out")
		c.required("tls.key", t.Key, "write the private key's file, or leave tls out")
		c.required("tls.ca", t.CA, "write the file of the fleet's certificate authority, or leave tls out")
	}
}

func (c *checker) fleetKeys(s *Common) {
	const remedy = "write at least 16 characters, the same for all processes, best as ${LYCHEE_FLEET_KEY}"
	if s.FleetKey == "" && len(s.FleetKeys) == 0 {
		c.add("fleet_key", "is missing", remedy)
		return
	}
	if s.FleetKey != "" && len(s.FleetKeys) > 0 {
		c.add("fleet_keys", "is set together with fleet_key", "keep one of them")
	}
	if s.FleetKey != "" && len(s.FleetKey) < minKeyLength {
		c.add("fleet_key", "is too short", remedy)
	}
	for i, k := range s.FleetKeys {
		if len(k) < minKeyLength {
			c.add("fleet_keys["+strconv.Itoa(i)+"]", "is too short", remedy)
		}
	}
}

// admin checks the listener for operators, which may be left out.
func (c *checker) admin(a Admin) {
	if a.Listen == "" && a.Token == "" {
		return
	}
	c.listenAddress("admin.listen", a.Listen)
	if a.Token == "" {
		c.add("admin.token", "is missing", "write the operators' token, best as ${LYCHEE_ADMIN_TOKEN}")
	}
}

func (e *Entry) check() spec.Problems {
	var c checker
	c.common(&e.Common)
	c.listenAddress("listen", e.Listen)
	c.listenAddress("link", e.LinkListen)
	c.admin(e.Admin)
	for i, p := range e.Peers {
		c.listenAddress("peers["+strconv.Itoa(i)+"]", p)
	}
	if e.RequestMemoryMiB < minRequestMemoryMiB {
		c.add("request_memory", fmt.Sprintf("%d MiB is too little for one request", e.RequestMemoryMiB), fmt.Sprintf("write %d or more", minRequestMemoryMiB))
	}
	c.between("heartbeat", e.Heartbeat, minHeartbeat, maxHeartbeat)
	c.between("idle_heartbeat", e.IdleHeartbeat, minHeartbeat, maxHeartbeat)
	c.between("grace", e.Grace, 0, maxGrace)
	return c.problems
}

func (a *Agent) check() spec.Problems {
	var c checker
	c.common(&a.Common)
	c.listenAddress("link", a.LinkListen)
	c.serverAddress("endpoint.address", a.Endpoint.Address)
	if k := a.Endpoint.Kind; k != EndpointEngine && k != EndpointService {
		c.add("endpoint.kind", fmt.Sprintf("%q is not a kind", k), "write engine or service")
	}
	c.admin(a.Admin)
	c.between("heartbeat", a.Heartbeat, minHeartbeat, maxHeartbeat)
	c.between("idle_heartbeat", a.IdleHeartbeat, minHeartbeat, maxHeartbeat)
	c.between("grace", a.Grace, 0, maxGrace)
	return c.problems
}
