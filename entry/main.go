// Command entry accepts callers' requests and carries each to its one final
// answer.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"lycheepond/core/conf"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// release is set by the linker.
var release = "dev"

func main() { os.Exit(start()) }

func start() int {
	var path string
	p := flaggy.NewParser("entry")
	p.Description = "accepts callers' requests and carries each to its one final answer"
	p.AdditionalHelpAppend = "Exit codes: 0 stopped as planned or settings good, 1 failed, 2 settings wrong."
	p.Version = release
	p.ShowHelpOnUnexpected = true
	p.String(&path, "c", "config", "settings file (YAML)")
	check := flaggy.NewSubcommand("check")
	check.Description = "check the settings without starting"
	check.String(&path, "c", "config", "settings file (YAML)")
	version := flaggy.NewSubcommand("version")
	version.Description = "print the version"
	p.AttachSubcommand(check, 1)
	p.AttachSubcommand(version, 1)
	if err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return exitSettings
	}
	if version.Used {
		fmt.Println("entry", release)
		return 0
	}
	return load(path, check.Used)
}

func load(path string, checkOnly bool) int {
	if path == "" {
		fmt.Fprintln(os.Stderr, "entry: no settings file: give --config FILE")
		return exitSettings
	}
	var cfg conf.Entry
	if err := conf.Load(path, &cfg); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if checkOnly {
		fmt.Println("settings good")
		return 0
	}
	// The first signal begins a planned stop, a second one ends the process.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	if err := newNode(&cfg, path).run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return exitFailed
	}
	return 0
}
