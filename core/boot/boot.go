// Package boot implements the command line that the long-running programs share: a
// settings file, its check, the version, and a planned stop by signal.
package boot

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"lycheepond/core/conf"
	"lycheepond/core/sigs"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Program describes a program that runs until a signal stops it. T is the type of its
// settings.
type Program[T any] struct {
	// Name and Description appear in the help text.
	Name, Description string
	// Release is the version that the version subcommand prints.
	Release string
	// Run runs the program with checked settings until ctx ends. path is the settings
	// file.
	Run func(ctx context.Context, cfg *T, path string) error
}

// command is the parsed command line.
type command struct {
	path           string
	check, version bool
}

// Main reads the command line, runs the program and returns its exit code.
func (p Program[T]) Main() int {
	cmd, err := p.parse()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return exitSettings
	}
	if cmd.version {
		fmt.Println(p.Name, p.Release)
		return exitOK
	}
	if cmd.path == "" {
		fmt.Fprintf(os.Stderr, "%s: no settings file: give --config FILE\n", p.Name)
		return exitSettings
	}
	cfg := new(T)
	if err := conf.Load(cmd.path, cfg); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if cmd.check {
		fmt.Println("settings good")
		return exitOK
	}
	return p.run(cfg, cmd.path)
}

// parse parses the command line.
func (p Program[T]) parse() (command, error) {
	var cmd command
	f := flaggy.NewParser(p.Name)
	f.Description = p.Description
	f.AdditionalHelpAppend = "Exit codes: 0 stopped as planned or settings good, 1 failed, 2 settings wrong."
	f.Version = p.Release
	f.ShowHelpOnUnexpected = true
	f.String(&cmd.path, "c", "config", "settings file (YAML)")
	check := flaggy.NewSubcommand("check")
	check.Description = "check the settings without starting"
	check.String(&cmd.path, "c", "config", "settings file (YAML)")
	version := flaggy.NewSubcommand("version")
	version.Description = "print the version"
	f.AttachSubcommand(check, 1)
	f.AttachSubcommand(version, 1)
	err := f.Parse()
	cmd.check, cmd.version = check.Used, version.Used
	return cmd, err
}

// run runs the program until it ends or a signal stops it, and returns its exit code.
func (p Program[T]) run(cfg *T, path string) int {
	// The first signal begins a planned stop. A second one ends the process at once.
	ctx, stop := sigs.Context(context.Background())
	context.AfterFunc(ctx, stop)
	if err := p.Run(ctx, cfg, path); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return exitFailed
	}
	return exitOK
}
