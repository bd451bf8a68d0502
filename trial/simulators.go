package main

import (
	"context"
	"os"
	"time"

	"lycheepond/trial/plain"
	"lycheepond/trial/serve"
	"lycheepond/trial/simapi"
	"lycheepond/trial/simeng"
)

// anyPort lets the system choose a free port on loopback.
const anyPort = "127.0.0.1:0"

func platformCommand() command {
	sub := newSubcommand("platform", "object API, instance list and weight store")
	listen, cfg := anyPort, simapi.Config{WeightReadTime: simapi.DefaultWeightReadTime, MaxWeightReads: simapi.DefaultMaxWeightReads, MaxEvents: simapi.DefaultMaxEvents}
	sub.String(&listen, "l", "listen", "address to listen on")
	sub.String(&cfg.Token, "t", "token", "token that callers must present")
	sub.Duration(&cfg.WeightReadTime, "w", "weight-time", "time to read one set of weights")
	sub.Int(&cfg.MaxWeightReads, "r", "weight-rate", "number of sets of weights that can be read at the same time")
	sub.Int(&cfg.MaxEvents, "k", "retain", "number of past events that a watch can start from")
	return command{sub: sub, run: func(ctx context.Context) error {
		return serve.Run(ctx, "platform", listen, simapi.New(cfg).Handler(), os.Stdout)
	}}
}

func serviceCommand() command {
	sub := newSubcommand("service", "plain service")
	listen, cfg := anyPort, plain.Config{Name: "service", Slots: plain.DefaultSlots, CallTime: 2 * time.Millisecond}
	sub.String(&listen, "l", "listen", "address to listen on")
	sub.String(&cfg.Name, "n", "name", "name in the answers")
	sub.Duration(&cfg.CallTime, "w", "work", "duration of a call")
	sub.Int(&cfg.Slots, "s", "slots", "number of calls that run at the same time")
	return command{sub: sub, run: func(ctx context.Context) error {
		return serve.Run(ctx, cfg.Name, listen, plain.New(cfg).Handler(), os.Stdout)
	}}
}

func engineCommand() command {
	sub := newSubcommand("engine", "model engine")
	listen, cfg := anyPort, simeng.DefaultConfig()
	sub.String(&listen, "l", "listen", "address to listen on")
	sub.String(&cfg.Name, "n", "name", "name of the engine")
	sub.String(&cfg.Model, "m", "model", "model served at the start")
	sub.String(&cfg.Version, "v", "model-version", "version served at the start")
	sub.String(&cfg.Platform, "p", "platform", "address of the weight store, empty for none")
	sub.Int(&cfg.Slots, "s", "slots", "number of sequences that run at the same time")
	sub.Float64(&cfg.PrefillTPS, "", "prefill-tps", "prompt tokens per second")
	sub.Float64(&cfg.DecodeTPS, "", "decode-tps", "output tokens per second of a sequence that runs alone")
	sub.Float64(&cfg.BatchSlope, "", "batch-slope", "relative growth of a step's time with each further sequence")
	sub.Int(&cfg.KVBlocks, "", "kv-blocks", "blocks of KV memory")
	sub.Int(&cfg.BlockTokens, "", "block-tokens", "tokens in a block")
	sub.Duration(&cfg.LoadLag, "", "load-lag", "age of the load report")
	sub.Duration(&cfg.EventLag, "", "event-lag", "age of cache events")
	sub.Float64(&cfg.EventLoss, "", "event-loss", "share of cache events lost")
	sub.Bool(&cfg.ChecksFence, "", "checks-fence", "refuse orders with an old fencing number")
	sub.Float64(&cfg.Speed, "", "speed", "factor on all speeds")
	return command{sub: sub, run: func(ctx context.Context) error {
		e := simeng.New(cfg)
		ended := make(chan error, 1)
		go func() { ended <- e.Run(ctx) }()
		if err := serve.Run(ctx, cfg.Name, listen, e.Handler(), os.Stdout); err != nil {
			return err
		}
		return <-ended
	}}
}
