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

const patience = 30 * time.Second

func build(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", filepath.Join(dir, "trial"), "lycheepond/trial").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}

func newSet(t *testing.T, bin string) *Set {
	t.Helper()
	s, err := New(Config{Bin: bin, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(patience); err != nil {
			t.Error(err)
		}
	})
	return s
}

func TestProcess(t *testing.T) {
	s := newSet(t, build(t))
	ctx, stop := context.WithTimeout(context.Background(), patience)
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
	short, end := context.WithTimeout(ctx, 100*time.Millisecond)
	defer end()
	if err := WaitHTTP(short, "http://"+addr+"/admin/stats"); err == nil {
		t.Error("a paused process answered")
	}
	if err := p.Resume(); err != nil {
		t.Fatal(err)
	}
	if err := WaitHTTP(ctx, "http://"+addr+"/admin/stats"); err != nil {
		t.Error(err)
	}
	if err := p.Stop(patience); err != nil || p.Exit() != nil {
		t.Errorf("stop: %v, exit %v", err, p.Exit())
	}
	if err := p.Signal(syscall.SIGTERM); err != ErrEnded {
		t.Errorf("signal to an ended process: %v", err)
	}
}

// A program that ends at once, for instance on bad settings, prints no ready
// line. Whoever waits for it must hear so, with the place of the log, and not
// wait until the time is up.
func TestEndsBeforeReady(t *testing.T) {
	s := newSet(t, build(t))
	p, err := s.Start("bad", "trial", "platform", "--listen", "127.0.0.1:notaport")
	if err != nil {
		t.Fatal(err)
	}
	_, err = p.Ready(context.Background())
	if err == nil || !strings.Contains(err.Error(), p.Log()) {
		t.Errorf("got %v, want an error that names %s", err, p.Log())
	}
}

func TestPortsDiffer(t *testing.T) {
	seen := make(map[string]bool)
	for range 50 {
		addr, err := Port()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("%s was returned twice", addr)
		}
		seen[addr] = true
	}
}
