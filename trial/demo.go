package main

import (
	"context"
	"errors"
	"fmt"
	"os"
)

// examplesDir is the directory of the example objects, relative to the root of the
// repository.
const examplesDir = "examples"

func demoCommand() command {
	sub := newSubcommand("demo", "run both example deployments on loopback until Ctrl-C")
	examples := examplesDir
	sub.String(&examples, "e", "examples", "directory of the example objects")
	return command{sub: sub, run: func(ctx context.Context) error { return demo(ctx, examples) }}
}

// demo starts both example deployments, prints how to call them and waits until ctx
// ends.
func demo(ctx context.Context, examples string) (err error) {
	set, err := newProcessSet("demo")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, set.Close(maxStopTime)) }()
	sites, err := startSites(ctx, set, examples)
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	fmt.Fprintf(os.Stdout, "Both deployments are up; settings and logs are in %s.\n", set.Dir())
	for _, s := range sites {
		fmt.Printf("\n%s: entries %v, platform http://%s\n  try: %s\n", s.plan.Name, s.entryAddrs(), s.fleet.Platform().Addr(), s.curlCommand())
	}
	fmt.Println("\nCtrl-C stops everything.")
	<-ctx.Done()
	return nil
}
