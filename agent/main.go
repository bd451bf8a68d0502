// Command agent runs beside one endpoint and decides which requests reach it.
package main

import (
	"context"
	"os"

	"lycheepond/core/boot"
	"lycheepond/core/conf"
)

// release is set by the linker.
var release = "dev"

func main() {
	p := boot.Program[conf.Agent]{
		Name: "agent", Description: "runs beside one endpoint and decides which requests reach it", Release: release,
		Run: run,
	}
	os.Exit(p.Main())
}

func run(ctx context.Context, cfg *conf.Agent, path string) error {
	n, err := newNode(cfg, path)
	if err != nil {
		return err
	}
	return n.run(ctx)
}
