package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// entry is one process of the system, started as the deploy file says.
type entry struct {
	rig                   *rig
	name, zone, ip        string
	front, ready, control string
	settings              string
	mu                    sync.Mutex
	cmd                   *exec.Cmd
	exited                chan struct{}
}

// Values of the site sheet of whistlepath-ne, as its settings files have them.
var siteSettings = map[string]string{
	"limits.memory_mb": "284", "limits.cpu_share": "0.304", "limits.cores": "1", "limits.link_mbps": "1000.0",
	"bounds.config_ms": "2000", "bounds.grace_s": "8", "bounds.retry_ratio": "0.2", "bounds.retry_slack": "58",
	"bounds.quota_over": "0.1", "bounds.quota_slack": "140000", "bounds.expose_share": "", "bounds.expose_slack": "",
}

// memoryMB is limits.memory_mb of the settings.
const memoryMB = 284

// deployLine returns the value of a key of the role in the deploy file.
func deployLine(key string) (string, error) {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(b)
	if m == nil {
		return "", fmt.Errorf("deploy/system.toml has no %s", key)
	}
	return string(m[1]), nil
}

// newEntries writes the settings of n entries, one in each zone in turn, that know each other as seeds.
func newEntries(g *rig, store string, n int) ([]*entry, error) {
	template, err := deployLine("template")
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	var all []*entry
	var seeds []string
	for i := range n {
		zone := fmt.Sprintf("hall-%c", 'a'+i%3)
		// An address of its own for each entry, as each is a machine.
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, 10+i)
		e := &entry{rig: g, name: fmt.Sprintf("edge-%s-%d", zone, i/3+1), zone: zone, ip: ip}
		for _, addr := range []*string{&e.front, &e.ready, &e.control} {
			ln, err := net.Listen("tcp", ip+":0")
			if err != nil {
				return nil, err
			}
			defer ln.Close()
			*addr = ln.Addr().String()
		}
		seeds = append(seeds, `"`+e.control+`"`)
		all = append(all, e)
	}
	for _, e := range all {
		values := map[string]string{
			"node": e.name, "zone": e.zone, "ip": e.ip, "listen.front": e.front, "listen.ready": e.ready, "listen.control": e.control,
			"seeds|json": "[" + strings.Join(seeds, ",") + "]", "provider.addr": strings.TrimPrefix(store, "http://"),
		}
		filled := regexp.MustCompile(`\{\{([a-z_.|]+)\}\}`).ReplaceAllStringFunc(string(text), func(s string) string {
			key := strings.Trim(s, "{}")
			if v, ok := values[key]; ok {
				return v
			}
			return siteSettings[key]
		})
		e.settings = filepath.Join(g.dir, e.name+".yaml")
		if err := os.WriteFile(e.settings, []byte(filled), 0o600); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// start starts the process.
func (e *entry) start() error {
	line, err := deployLine("run")
	if err != nil {
		return err
	}
	words := strings.Fields(line)
	logFile, err := os.OpenFile(filepath.Join(e.rig.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"LYCHEEPOND_BOOT=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + e.rig.dir}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	exited := make(chan struct{})
	if err := e.rig.launch(e, cmd, exited); err != nil {
		return err
	}
	e.rig.recordf("start %s pid %d", e.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		logFile.Close()
		e.rig.recordf("exit %s pid %d: %v", e.name, cmd.Process.Pid, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rig.recordf("signal %s: %v", e.name, s)
	return e.cmd.Process.Signal(s)
}

// kill ends the process, if it runs, and waits for its end.
func (e *entry) kill() {
	e.mu.Lock()
	cmd, exited := e.cmd, e.exited
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Kill()
	<-exited
}

// pid returns the ID of the process.
func (e *entry) pid() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cmd.Process.Pid
}

// endGrace waits until the process has ended, and kills it at the end of its grace.
func (e *entry) endGrace(end time.Time) {
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(time.Until(end)):
		e.rig.recordf("end of the grace of %s", e.name)
		e.kill()
	}
}

// isReady asks as the platform does.
func (e *entry) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + e.ready + "/lycheepond/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the entry is ready.
func (e *entry) awaitReady() error {
	for range 500 {
		if e.isReady() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	log, _ := os.ReadFile(filepath.Join(e.rig.dir, e.name+".log"))
	return errors.New(e.name + " did not become ready: " + string(log[max(len(log)-2000, 0):]))
}

// startAll starts entries and waits until all are ready.
func startAll(entries []*entry) error {
	for _, e := range entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range entries {
		if err := e.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}
