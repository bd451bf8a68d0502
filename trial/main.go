// Command trial runs the simulators, the fault-injecting proxy and the experiments
// with which lycheepond is tested and measured.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// command is a subcommand: its flags and the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		os.Exit(1)
	}
}

// run parses the command line and runs the named subcommand.
func run(ctx context.Context) error {
	flaggy.SetName("trial")
	flaggy.SetDescription("simulators, fault-injecting proxy and experiments for lycheepond; tests only")
	flaggy.SetVersion("dev")
	commands := []command{platformCommand(), engineCommand(), serviceCommand(), proxyCommand(), demoCommand(), smokeCommand(), baselineCommand(), measureCommand(), capacityCommand(), pathCommand(), idealCommand()}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.sub, 1)
	}
	flaggy.Parse()
	for _, c := range commands {
		if c.sub.Used {
			return c.run(ctx)
		}
	}
	flaggy.ShowHelp("")
	return fmt.Errorf("name a subcommand")
}

func newSubcommand(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return sub
}
