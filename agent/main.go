// Command agent stands in the slot beside one endpoint and decides what
// reaches it.
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
	p := flaggy.NewParser("agent")
	p.Description = "stands in the slot beside one endpoint and decides what reaches it"
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
		fmt.Fprintln(os.Stderr, "agent:", err)
		return exitSettings
	}
	if version.Used {
		fmt.Println("agent", release)
		return 0
	}
	return load(path, check.Used)
}

func load(path string, checkOnly bool) int {
	if path == "" {
		fmt.Fprintln(os.Stderr, "agent: no settings file: give --config FILE")
		return exitSettings
	}
	var cfg conf.Agent
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
	n, err := newNode(&cfg, path)
	if err == nil {
		err = n.run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "agent:", err)
		return exitFailed
	}
	return 0
}
