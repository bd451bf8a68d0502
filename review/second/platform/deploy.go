package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployFile is the project's deploy file. Programs are started in the directory that holds it.
const deployFile = "deploy/system.toml"

// field returns a string of the deploy file.
func field(data []byte, name string) (string, error) {
	m := regexp.MustCompile(`(?m)^` + name + ` = "([^"]*)"`).FindSubmatch(data)
	if m == nil {
		return "", fmt.Errorf("%s has no %q", deployFile, name)
	}
	return string(m[1]), nil
}

// role is the only role of the deploy file.
type role struct {
	command  []string
	template string
}

func readRole() (role, error) {
	data, err := os.ReadFile(deployFile)
	if err != nil {
		return role{}, err
	}
	run, err := field(data, "run")
	if err != nil {
		return role{}, err
	}
	path, err := field(data, "template")
	if err != nil {
		return role{}, err
	}
	template, err := os.ReadFile(path)
	return role{strings.Fields(run), string(template)}, err
}

// render fills the placeholders of a template from the fields of the platform's settings.
func render(template string, fields map[string]any) string {
	return regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`).ReplaceAllStringFunc(template, func(p string) string {
		name, asJSON := strings.CutSuffix(strings.Trim(p, "{}"), "|json")
		var v any = fields
		for part := range strings.SplitSeq(name, ".") {
			m, ok := v.(map[string]any)
			if !ok {
				return ""
			}
			v = m[part]
		}
		switch {
		case v == nil:
			return ""
		case asJSON:
			b, _ := json.Marshal(v)
			return string(b)
		}
		return fmt.Sprint(v)
	})
}

// node is an entry, which runs as a process of its own at an address of its own.
type node struct {
	name, zone, ip, front, ready, control string
	settings                              string
	command                               []string
	output                                *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// fleet is the entries of a deployment.
type fleet struct {
	dir   string
	nodes []*node
}

// newFleet prepares an entry for each zone of zones. It starts none.
func newFleet(store *store, zones []string, bounds, limits map[string]any) (*fleet, error) {
	r, err := readRole()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "stand")
	if err != nil {
		return nil, err
	}
	tracked.Lock()
	tracked.dirs = append(tracked.dirs, dir)
	tracked.Unlock()
	f := &fleet{dir: dir}
	// Each machine has an address of its own; the process number keeps runs side by side apart.
	subnet := 16 + os.Getpid()%200
	for i, zone := range zones {
		n := &node{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.%d.%d.10", subnet, i+1), command: r.command}
		for _, addr := range []*string{&n.front, &n.ready, &n.control} {
			if *addr, err = freeAddr(n.ip); err != nil {
				return nil, err
			}
		}
		f.nodes = append(f.nodes, n)
	}
	var seeds []string
	for _, n := range f.nodes[:min(3, len(f.nodes))] {
		seeds = append(seeds, n.control)
	}
	for _, n := range f.nodes {
		settings := render(r.template, map[string]any{
			"node": n.name, "zone": n.zone, "ip": n.ip, "seeds": seeds, "bounds": bounds, "limits": limits,
			"listen": map[string]any{"front": n.front, "ready": n.ready, "control": n.control}, "provider": map[string]any{"addr": store.addr},
		})
		n.settings = filepath.Join(dir, n.name+".yaml")
		if err := os.WriteFile(n.settings, []byte(settings), 0o600); err != nil {
			return nil, err
		}
		if n.output, err = os.Create(filepath.Join(dir, n.name+".log")); err != nil {
			return nil, err
		}
	}
	return f, nil
}

var givenPorts []string

// freeAddr returns an address of ip that nobody listens on and that it has not returned before. Its
// port is below those that the system gives to outgoing connections.
func freeAddr(ip string) (string, error) {
	for port := 18000 + os.Getpid()%2000; port < 30000; port++ {
		addr := fmt.Sprintf("%s:%d", ip, port)
		if slices.Contains(givenPorts, addr) {
			continue
		}
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			givenPorts = append(givenPorts, addr)
			return addr, nil
		}
	}
	return "", errors.New("no free port")
}

// tracked holds the processes that were started, and the temporary folders.
var tracked struct {
	sync.Mutex
	cmds []*exec.Cmd
	dirs []string
}

func track(cmd *exec.Cmd) {
	tracked.Lock()
	defer tracked.Unlock()
	tracked.cmds = append(tracked.cmds, cmd)
}

// cleanUp ends all processes that were started and still run, and removes the temporary folders.
func cleanUp() {
	tracked.Lock()
	defer tracked.Unlock()
	for _, cmd := range tracked.cmds {
		cmd.Process.Kill()
	}
	for _, dir := range tracked.dirs {
		os.RemoveAll(dir)
	}
}

// start starts the process, which gets the variables that the platform gives it.
func (n *node) start() error {
	cmd := exec.Command(n.command[0], n.command[1:]...)
	cmd.Env = []string{"LYCHEEPOND_BOOT=" + n.settings}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		cmd.Env = append(cmd.Env, name+"="+os.Getenv(name))
	}
	cmd.Stdout, cmd.Stderr = n.output, n.output
	if err := cmd.Start(); err != nil {
		return err
	}
	track(cmd)
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Kill()
	<-exited
}

// isReady asks the question of the platform's balancer.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.ready + "/lycheepond/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all entries and waits until they are ready.
func (f *fleet) startAll(timeout time.Duration) error {
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	end := time.Now().Add(timeout)
	for _, n := range f.nodes {
		for !n.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", n.name, timeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes. Their logs stay if STAND_KEEP is set.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.kill()
		n.output.Close()
	}
	if os.Getenv("STAND_KEEP") != "" {
		fmt.Println("logs:", f.dir)
		return
	}
	os.RemoveAll(f.dir)
}
