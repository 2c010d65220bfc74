package launcher

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"geraniumladder/internal/configurer"
)

// Commands returns the commands that run the processes and print their settings.
func Commands() []*cli.Command {
	settings := &cli.StringFlag{Name: "settings", Usage: "YAML `FILE` with the settings", Required: true}
	return []*cli.Command{
		{
			Name: "entry", Usage: "run an entry, which faces callers",
			UsageText: "geraniumladder entry --settings entry.yaml",
			Flags:     []cli.Flag{settings},
			Action: func(ctx context.Context, c *cli.Command) error {
				s, err := configurer.Load[configurer.Entry](c.String("settings"))
				if err != nil {
					return err
				}
				e, err := NewEntry(s, NewLog(os.Stderr, s.LogLevel).With().Str("Vm", s.VM).Logger())
				if err != nil {
					return err
				}
				return runUntilSignal(ctx, e.Run)
			},
		},
		{
			Name: "sidecar", Usage: "run the sidecar of an endpoint",
			UsageText: "geraniumladder sidecar --settings sidecar.yaml",
			Flags:     []cli.Flag{settings},
			Action: func(ctx context.Context, c *cli.Command) error {
				s, err := configurer.Load[configurer.Sidecar](c.String("settings"))
				if err != nil {
					return err
				}
				sidecar, err := NewSidecar(s, NewLog(os.Stderr, s.LogLevel).With().Str("Vm", s.VM).Logger())
				if err != nil {
					return err
				}
				return runUntilSignal(ctx, sidecar.Run)
			},
		},
		demoCommand(),
		{
			Name: "settings", Usage: "print all settings of a process with their comments",
			UsageText: "geraniumladder settings --role entry > entry.yaml",
			Flags:     []cli.Flag{&cli.StringFlag{Name: "role", Usage: "entry or sidecar", Value: "entry"}},
			Action: func(_ context.Context, c *cli.Command) error {
				describers := map[string]func() string{
					"entry": configurer.Describe[configurer.Entry], "sidecar": configurer.Describe[configurer.Sidecar],
				}
				describe, known := describers[c.String("role")]
				if !known {
					return errors.Newf("unknown role %q; use entry or sidecar", c.String("role"))
				}
				_, err := fmt.Fprint(c.Root().Writer, describe())
				return err
			},
		},
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run a small fleet with its platform and endpoints in one process on loopback",
		UsageText: "geraniumladder demo\ngeraniumladder demo --folder ./folder --listen 127.0.0.1:8080",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` of the first entry for callers", Value: "127.0.0.1:8080"},
			&cli.StringFlag{Name: "folder", Usage: "operators' `FOLDER`; a sample is written when it is absent; a temporary one by default"},
			&cli.StringFlag{Name: "log-level", Usage: "least `LEVEL` that is logged; with debug each request is, as 'trace record' needs it", Value: "info"},
			&cli.BoolFlag{Name: "quiet", Usage: "log errors only"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			level, err := zerolog.ParseLevel(c.String("log-level"))
			if err != nil {
				return errors.Wrap(err, "--log-level must be debug, info, warn or error")
			}
			if c.Bool("quiet") {
				level = zerolog.ErrorLevel
			}
			var logOutput io.Writer = os.Stderr
			d, err := NewDemo(DemoConfig{
				Listen: c.String("listen"), Folder: c.String("folder"), Log: NewLog(logOutput, level.String()), DrainDelay: 100 * time.Millisecond,
			})
			if err != nil {
				return err
			}
			return runUntilSignal(ctx, func(ctx context.Context) error { return d.Run(ctx, os.Stdout) })
		},
	}
}

// runUntilSignal cancels the context of run on SIGTERM or SIGINT, which starts a graceful shutdown.
func runUntilSignal(ctx context.Context, run func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	return run(ctx)
}
