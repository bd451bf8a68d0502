package procs

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 30 * time.Second

// buildTrial builds the program trial and returns its directory.
func buildTrial(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", filepath.Join(dir, "trial"), "lycheepond/trial").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}

func newSet(t *testing.T, binDir string) *Set {
	t.Helper()
	s, err := New(Config{BinDir: binDir, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(testTimeout); err != nil {
			t.Error(err)
		}
	})
	return s
}

// Checks that a process becomes ready, answers nothing while it is paused, answers
// again after Resume, and ends without an error on Stop.
func TestProcess(t *testing.T) {
	s := newSet(t, buildTrial(t))
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	p, err := s.Start("platform", "trial", "platform")
	if err != nil {
		t.Fatal(err)
	}
	addr, err := p.Ready(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := WaitHTTP(ctx, "http://"+addr+"/admin/stats"); err != nil {
		t.Fatal(err)
	}
	if err := p.Pause(); err != nil {
		t.Fatal(err)
	}
	shortCtx, stopShort := context.WithTimeout(ctx, 100*time.Millisecond)
	defer stopShort()
	if err := WaitHTTP(shortCtx, "http://"+addr+"/admin/stats"); err == nil {
		t.Error("a paused process answered")
	}
	if err := p.Resume(); err != nil {
		t.Fatal(err)
	}
	if err := WaitHTTP(ctx, "http://"+addr+"/admin/stats"); err != nil {
		t.Error(err)
	}
	if err := p.Stop(testTimeout); err != nil || p.ExitErr() != nil {
		t.Errorf("stop: %v, exit %v", err, p.ExitErr())
	}
	if err := p.Signal(syscall.SIGTERM); err != ErrEnded {
		t.Errorf("signal to an ended process: %v", err)
	}
}

// A process that had ended in time was reported as killed if others had used up the grace.
func TestEndedProcessIsNotReportedAsKilled(t *testing.T) {
	s := newSet(t, buildTrial(t))
	p, err := s.Start("platform", "trial", "platform")
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Kill(); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		if err := p.waitOrKill(0); err != nil {
			t.Fatal(err)
		}
	}
}

// A program that ends at once, for instance because of invalid settings, prints
// no ready line. Ready must return an error that names the log file instead of
// waiting until its context ends.
func TestEndsBeforeReady(t *testing.T) {
	s := newSet(t, buildTrial(t))
	p, err := s.Start("bad", "trial", "platform", "--listen", "127.0.0.1:notaport")
	if err != nil {
		t.Fatal(err)
	}
	_, err = p.Ready(context.Background())
	if err == nil || !strings.Contains(err.Error(), p.LogPath()) {
		t.Errorf("got %v, want an error that names %s", err, p.LogPath())
	}
}

// Two processes that are given the same address can't both listen on it. FreeAddr
// must return a different address each time.
func TestPortsDiffer(t *testing.T) {
	seen := make(map[string]bool)
	for range 50 {
		addr, err := FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("%s was returned twice", addr)
		}
		seen[addr] = true
	}
}
