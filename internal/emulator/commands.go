package emulator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/urfave/cli/v3"
)

const (
	readHeaderTimeout = 10 * time.Second
	// shutdownTimeout limits how long shutdown waits for requests in progress.
	shutdownTimeout = 5 * time.Second
)

// Commands returns the command "standin", which has a subcommand for each emulator.
func Commands() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "emulate the platform and the endpoints, each with a page /faults",
		Commands: []*cli.Command{
			newCommand("platform", "table at /, objects under /objects, list of VMs at /vms, weights under /weights",
				append(append(tableFlags(), vmFlags()...), weightFlags()...),
				func(c *cli.Command) (http.Handler, func()) {
					return NewPlatform(PlatformConfig{
						Table: tableConfig(c), Objects: ObjectsConfig{Seed: c.Uint64("seed")}, VMList: vmConfig(c), Weights: weightConfig(c),
					}).Handler(), nil
				}),
			newCommand("table", "table service: DynamoDB JSON protocol", tableFlags(),
				func(c *cli.Command) (http.Handler, func()) { return NewTable(tableConfig(c)).Handler(), nil }),
			newCommand("objects", "object store: S3 path style under /objects", nil,
				func(c *cli.Command) (http.Handler, func()) {
					return NewObjects(ObjectsConfig{Seed: c.Uint64("seed")}).Handler(), nil
				}),
			newCommand("weights", "weight store: GET /weights/PATH", weightFlags(),
				func(c *cli.Command) (http.Handler, func()) { return NewWeights(weightConfig(c)).Handler(), nil }),
			newCommand("vms", "list of VMs at /vms", vmFlags(),
				func(c *cli.Command) (http.Handler, func()) { return NewVMList(vmConfig(c)).Handler(), nil }),
			newCommand("engine", "model engine: API of vLLM's OpenAI-compatible server", engineFlags(),
				func(c *cli.Command) (http.Handler, func()) {
					engine := NewEngine(engineConfig(c))
					return engine.Handler(), engine.Close
				}),
			newCommand("ledger", "plain service whose bookings may not be repeated",
				[]cli.Flag{&cli.DurationFlag{Name: "work-time", Usage: "how long a booking takes"}},
				func(c *cli.Command) (http.Handler, func()) {
					return NewLedger(LedgerConfig{WorkTime: c.Duration("work-time"), Seed: c.Uint64("seed")}).Handler(), nil
				}),
		},
	}
}

// newCommand returns a subcommand that serves the handler returned by handler until SIGINT or SIGTERM. The function
// that handler returns, unless nil, is called after the server has stopped.
func newCommand(name, usage string, flags []cli.Flag, handler func(*cli.Command) (http.Handler, func())) *cli.Command {
	flags = append([]cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`HOST:PORT` to listen on; port 0 takes a free one"},
		&cli.Uint64Flag{Name: "seed", Usage: "seed of the faults with a rate"},
	}, flags...)
	return &cli.Command{Name: name, Usage: usage, Flags: flags, Action: func(ctx context.Context, c *cli.Command) error {
		served, stop := handler(c)
		if stop != nil {
			defer stop()
		}
		return serve(ctx, c, served)
	}}
}

func serve(ctx context.Context, c *cli.Command, handler http.Handler) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", c.String("listen"))
	if err != nil {
		return errors.Wrap(err, "listen; give a free HOST:PORT with --listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	ready := struct{ Listen string }{"http://" + listener.Addr().String()}
	if err := json.NewEncoder(c.Root().Writer).Encode(ready); err != nil {
		return err
	}
	var group run.Group
	group.Add(func() error { return server.Serve(listener) }, func(error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		// After the timeout, connections with requests in progress are closed.
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	})
	group.Add(run.SignalHandler(ctx, syscall.SIGTERM, os.Interrupt))
	err = group.Run()
	if errors.Is(err, run.ErrSignal) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func tableFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "table", Usage: "name of the table (default geraniumladder)"},
		&cli.FloatFlag{Name: "write-rate", Usage: "rows written in a second at most; 0 is unlimited"},
		&cli.FloatFlag{Name: "read-rate", Usage: "reads in a second at most; 0 is unlimited"},
	}
}

func tableConfig(c *cli.Command) TableConfig {
	return TableConfig{
		Name: c.String("table"), WriteRate: c.Float("write-rate"), ReadRate: c.Float("read-rate"), Seed: c.Uint64("seed"),
	}
}

func vmFlags() []cli.Flag {
	return []cli.Flag{&cli.DurationFlag{Name: "lag", Usage: "how far the visible list is behind the registrations"}}
}

func vmConfig(c *cli.Command) VMListConfig {
	return VMListConfig{Lag: c.Duration("lag"), Seed: c.Uint64("seed")}
}

func weightFlags() []cli.Flag {
	return []cli.Flag{
		&cli.FloatFlag{Name: "load-rate", Usage: "loads that start in a second at most; 0 is unlimited"},
		&cli.DurationFlag{Name: "load-time", Value: DefaultLoadTime, Usage: "how long a load takes while the store is not crowded"},
		&cli.IntFlag{Name: "in-flight", Value: DefaultLoadsInFlight, Usage: "loads at once that are served at full speed"},
		&cli.IntFlag{Name: "size", Value: defaultWeightBytes, Usage: "bytes of each adapter"},
	}
}

func weightConfig(c *cli.Command) WeightsConfig {
	return WeightsConfig{
		Rate: c.Float("load-rate"), LoadTime: c.Duration("load-time"), InFlight: c.Int("in-flight"), Size: c.Int("size"), Seed: c.Uint64("seed"),
	}
}

func engineFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "base-model", Value: DefaultBaseModel, Usage: "model that is always resident"},
		&cli.StringSliceFlag{Name: "resident", Usage: "adapter loaded at the start (repeatable)"},
		&cli.IntFlag{Name: "slots", Value: DefaultSlots, Usage: "slots for adapters"},
		&cli.IntFlag{Name: "max-running", Value: DefaultMaxRunning, Usage: "requests in a batch at most"},
		&cli.DurationFlag{Name: "step-time", Value: DefaultStepTime, Usage: "time for a token of each running request"},
		&cli.FloatFlag{Name: "adapter-cost", Value: DefaultAdapterCost, Usage: "share of the step time that each further adapter in the batch adds"},
		&cli.DurationFlag{Name: "prefill-token-time", Value: DefaultPrefillTokenTime, Usage: "time for a prompt token that is not cached"},
		&cli.IntFlag{Name: "prefill-chunk", Value: DefaultPrefillChunk, Usage: "prompt tokens that one step works on at most"},
		&cli.IntFlag{Name: "cache-tokens", Value: DefaultCacheTokens, Usage: "prompt tokens whose prefixes are cached"},
		&cli.StringFlag{Name: "weights", Usage: "`URL` of the platform, whose /weights/PATH a load fetches"},
		&cli.DurationFlag{Name: "load-time", Usage: "how long a load takes without --weights"},
		&cli.BoolFlag{Name: "checks-fence", Usage: "refuse orders with a stale fencing number"},
		&cli.DurationFlag{Name: "detached", Value: DefaultDetachTimeout, Usage: "how long a request goes on without a connection"},
		&cli.DurationFlag{Name: "cold-start", Usage: "how long the engine is cold after a start or crash"},
		&cli.FloatFlag{Name: "cold-per-second", Usage: "requests a second that a cold engine takes; it crashes well above that"},
		&cli.FloatFlag{Name: "cold-factor", Value: DefaultColdFactor, Usage: "by how much the steps of a cold engine take longer"},
		&cli.DurationFlag{Name: "keep", Value: DefaultStreamRetention, Usage: "how long an ended stream can be resumed"},
	}
}

func engineConfig(c *cli.Command) EngineConfig {
	return EngineConfig{
		BaseModel: c.String("base-model"), Resident: c.StringSlice("resident"), Slots: c.Int("slots"),
		MaxRunning: c.Int("max-running"), StepTime: c.Duration("step-time"), AdapterCost: c.Float("adapter-cost"),
		PrefillTokenTime: c.Duration("prefill-token-time"), PrefillChunk: c.Int("prefill-chunk"),
		CacheTokens: c.Int("cache-tokens"), WeightsURL: c.String("weights"), LoadTime: c.Duration("load-time"),
		ChecksFence: c.Bool("checks-fence"), DetachTimeout: c.Duration("detached"), StreamRetention: c.Duration("keep"), Seed: c.Uint64("seed"),
		ColdStart: c.Duration("cold-start"), ColdPerSecond: c.Float("cold-per-second"), ColdFactor: c.Float("cold-factor"),
	}
}
