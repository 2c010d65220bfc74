package replayer

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"

	"geraniumladder/internal/launcher"
)

// Default durations of generated traces.
const (
	defaultDuration = 60 * time.Second
	fastDuration    = 20 * time.Second
)

// Commands returns the trace and replay commands.
func Commands() []*cli.Command {
	out := &cli.StringFlag{Name: "out", Usage: "`FILE` for the trace; standard output by default"}
	return []*cli.Command{
		{
			Name: "trace", Usage: "make or record a trace of requests and platform events",
			UsageText: "geraniumladder trace make --user accra --seed 7 --out accra.jsonl",
			Commands: []*cli.Command{
				{
					Name: "make", Usage: "make a trace of a user's day from a seed",
					UsageText: "geraniumladder trace make --user vunidawa --seed 1 --duration 60s --out vunidawa.jsonl",
					Flags: []cli.Flag{
						&cli.StringFlag{Name: "user", Usage: "vunidawa or accra", Required: true},
						&cli.Uint64Flag{Name: "seed", Usage: "seed of all choices", Value: 1},
						&cli.DurationFlag{Name: "duration", Usage: "length of the day that the trace stands for", Value: defaultDuration},
						&cli.BoolFlag{Name: "fast", Usage: "make a day of " + fastDuration.String()},
						out,
					},
					Action: func(_ context.Context, c *cli.Command) error {
						duration := c.Duration("duration")
						if c.Bool("fast") {
							duration = fastDuration
						}
						t, err := Make(MakeConfig{User: c.String("user"), Seed: c.Uint64("seed"), Duration: duration})
						if err != nil {
							return err
						}
						return t.save(c)
					},
				},
				{
					Name: "record", Usage: "make a trace from the JSON log of entries at LogLevel debug",
					UsageText: "geraniumladder demo --log-level debug 2> demo.log\ngeraniumladder trace record --log demo.log --out day.jsonl",
					Flags: []cli.Flag{
						&cli.StringFlag{Name: "log", Usage: "`FILE` with the log; - is standard input", Required: true},
						&cli.StringFlag{Name: "user", Usage: "whose fleet the trace is replayed on", Value: "vunidawa"},
						&cli.FloatFlag{Name: "rate", Usage: "`TOKENS` a second of each organisation, which the log does not hold", Value: 20000},
						&cli.FloatFlag{Name: "burst", Usage: "`TOKENS` of each organisation's burst", Value: 60000},
						out,
					},
					Action: runRecord,
				},
			},
		},
		{
			Name: "replay", Usage: "replay a trace on a fleet in this process and check the stated outcomes",
			UsageText: "geraniumladder replay traces/vunidawa.jsonl --expect traces/vunidawa.yaml --fast",
			ArgsUsage: "TRACE",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "expect", Usage: "YAML `FILE` with the outcomes; none are checked by default"},
				&cli.BoolFlag{Name: "fast", Usage: "run the trace and the stand-ins at four times their speed"},
				&cli.StringFlag{Name: "log-level", Usage: "least `LEVEL` of the fleet that is logged", Value: "error"},
			},
			Action: runReplay,
		},
	}
}

func (t Trace) save(c *cli.Command) (err error) {
	if c.String("out") == "" {
		return t.Write(c.Root().Writer)
	}
	file, err := os.Create(c.String("out"))
	if err != nil {
		return errors.Wrap(err, "create the trace file; set a writable path with --out")
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	return t.Write(file)
}

func runRecord(_ context.Context, c *cli.Command) error {
	var in io.Reader = os.Stdin
	if name := c.String("log"); name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open the log file; set its path with --log")
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	profile, ok := profiles[c.String("user")]
	if !ok {
		return errors.Newf("unknown user %q; use vunidawa or accra", c.String("user"))
	}
	profile.fleet.Organisations, profile.fleet.Adapters = nil, 0
	t, err := Record(in, profile.fleet, Organisation{Rate: c.Float("rate"), Burst: c.Float("burst"), Weight: 1})
	if err != nil {
		return err
	}
	return t.save(c)
}

func runReplay(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("expected one trace file: geraniumladder replay TRACE --expect OUTCOMES.yaml")
	}
	t, err := Read(c.Args().First())
	if err != nil {
		return err
	}
	var outcomes Outcomes
	if c.String("expect") != "" {
		if outcomes, err = ReadOutcomes(c.String("expect")); err != nil {
			return err
		}
	}
	config := Config{Trace: t, Outcomes: outcomes, Log: launcher.NewLog(os.Stderr, c.String("log-level"))}
	if c.Bool("fast") {
		config.Speed = FastSpeed
	}
	info, err := os.Stderr.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	bar := progressbar.NewOptions(len(t.Lines), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetVisibility(terminal),
		progressbar.OptionSetDescription("replay"), progressbar.OptionThrottle(100*time.Millisecond), progressbar.OptionClearOnFinish())
	config.Progress = func() { _ = bar.Add(1) }
	report, err := Replay(ctx, config)
	_ = bar.Exit()
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		encoder := json.NewEncoder(c.Root().Writer)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(report)
	} else {
		err = report.WriteText(c.Root().Writer)
	}
	return errors.CombineErrors(err, report.Failure())
}
