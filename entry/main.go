// Command entry accepts callers' requests, dispatches each to an agent, and sends
// its caller exactly one final answer.
package main

import (
	"context"
	"os"

	"lycheepond/core/boot"
	"lycheepond/core/conf"
)

// release is the version of the program, set by the linker.
var release = "dev"

func main() {
	p := boot.Program[conf.Entry]{
		Name: "entry", Description: "accepts callers' requests and carries each to its one final answer", Release: release,
		Run: func(ctx context.Context, cfg *conf.Entry, path string) error { return newNode(cfg, path).run(ctx) },
	}
	os.Exit(p.Main())
}
