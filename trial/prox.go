package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"lycheepond/trial/proxy"
	"lycheepond/trial/serve"
)

func proxyCommand() command {
	sub := newSubcommand("proxy", "TCP proxy that injects faults")
	admin, wholeFrames := anyPort, false
	var routes []string
	sub.StringSlice(&routes, "r", "route", "LISTEN=UPSTREAM, may be repeated")
	sub.String(&admin, "a", "admin", "address of the HTTP API that sets faults")
	sub.Bool(&wholeFrames, "f", "frames", "pass on whole lycheepond frames, so that faults can affect single frames")
	return command{sub: sub, run: func(ctx context.Context) error {
		return runProxies(ctx, admin, routes, wholeFrames)
	}}
}

// runProxies runs a proxy for each route and serves the API that sets their faults.
func runProxies(ctx context.Context, admin string, routes []string, wholeFrames bool) error {
	var proxies []*proxy.Proxy
	for _, r := range routes {
		listen, upstream, ok := strings.Cut(r, "=")
		if !ok {
			return fmt.Errorf("route %q: write LISTEN=UPSTREAM", r)
		}
		p, err := proxy.New(proxy.Config{Listen: listen, Upstream: upstream, WholeFrames: wholeFrames})
		if err != nil {
			return err
		}
		proxies = append(proxies, p)
	}
	ended := make(chan error, len(proxies))
	for _, p := range proxies {
		go func() { ended <- p.Run(ctx) }()
	}
	if err := serve.Run(ctx, "proxy", admin, proxy.Admin(proxies), os.Stdout); err != nil {
		return err
	}
	for range proxies {
		if err := <-ended; err != nil {
			return err
		}
	}
	return nil
}
