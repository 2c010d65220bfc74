package driver

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"
)

// Load configures generated load.
type Load struct {
	// Rate is the mean number of requests per second. Count and Duration limit the run.
	Rate     float64
	Count    int
	Duration time.Duration
	Seed     uint64
	// Weights are the relative shares of the organisations.
	Weights map[string]float64
	// Zipf is the exponent of the popularity distribution of the model routes; see ZipfRank.
	Zipf float64
	// Stream is the share of completions that are streamed, Bookings the share of requests that are bookings, 0 to 1.
	Stream, Bookings float64
	MaxTokens        int
	PromptTokens     int
	// Keys, Models and Services are keyed by organisation. The first model route is the most popular one.
	Keys     map[string]string
	Models   map[string][]string
	Services map[string]string
}

// Requests generates requests with Poisson arrivals, reproducible from the seed except for the bodies of bookings.
func (l Load) Requests() iter.Seq[Request] {
	return func(yield func(Request) bool) {
		rng := rand.New(rand.NewPCG(l.Seed, l.Seed^0x9e3779b97f4a7c15))
		// Keeps booking bodies unique when several runs with the same seed use one ledger.
		runID := time.Now().UnixNano()
		at := time.Duration(0)
		for n := range l.Count {
			at += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))
			if at > l.Duration || !yield(l.request(rng, n, runID, at)) {
				return
			}
		}
	}
}

func (l Load) request(rng *rand.Rand, n int, runID int64, at time.Duration) Request {
	organisation := pickWeighted(rng, l.Weights)
	r := Request{Offset: at, Organisation: organisation, Key: l.Keys[organisation], Kind: Completion}
	if service := l.Services[organisation]; service != "" && rng.Float64() < l.Bookings {
		r.Kind, r.Route = Booking, service
		r.Body = fmt.Sprintf(`{"Booking":"load-%d-%d","Organisation":%q}`, runID, n, organisation)
		return r
	}
	r.Route = l.Models[organisation][ZipfRank(rng, l.Zipf, len(l.Models[organisation]))]
	r.Prompt, r.MaxTokens, r.Stream = Prompt(fmt.Sprintf("%d", n), "", 0, l.PromptTokens), l.MaxTokens, rng.Float64() < l.Stream
	return r
}

func pickWeighted(rng *rand.Rand, weights map[string]float64) string {
	names := slices.Sorted(maps.Keys(weights))
	total := 0.0
	for _, name := range names {
		total += weights[name]
	}
	point := rng.Float64() * total
	for _, name := range names {
		if point -= weights[name]; point < 0 {
			return name
		}
	}
	return names[len(names)-1]
}

// ZipfRank draws a rank from 0 to n-1 with a Zipf distribution. For exponents up to 1 the distribution is uniform.
func ZipfRank(rng *rand.Rand, exponent float64, n int) int {
	if n <= 1 {
		return 0
	}
	if exponent <= 1 {
		return rng.IntN(n)
	}
	return int(rand.NewZipf(rng, exponent, 1, uint64(n-1)).Uint64())
}

// Prompt returns a prompt of about the given number of tokens. The first prefixTokens tokens depend only on prefix.
// Words have three letters and a space, so that the entry, which counts four bytes as a token, and the stand-in, which
// counts words, get the same number.
func Prompt(id, prefix string, prefixTokens, tokens int) string {
	var text strings.Builder
	writeWords := func(seed string, n int) {
		hash := uint64(14695981039346656037)
		for i := range len(seed) {
			hash = (hash ^ uint64(seed[i])) * 1099511628211
		}
		rng := rand.New(rand.NewPCG(hash, hash))
		for range n {
			text.Write([]byte{byte('a' + rng.IntN(26)), byte('a' + rng.IntN(26)), byte('a' + rng.IntN(26)), ' '})
		}
	}
	prefixTokens = min(prefixTokens, tokens)
	if prefix != "" {
		writeWords(prefix, prefixTokens)
	} else {
		prefixTokens = 0
	}
	writeWords(id, max(1, tokens-prefixTokens-1))
	return strings.TrimSuffix(text.String(), " ")
}

// announcement holds the fields used here from the JSON that the demo command prints.
type announcement struct {
	Entries []string
	Keys    map[string]string
	Routes  struct {
		Model   map[string]string
		Service map[string]string
	}
	StandIns struct{ Ledger string }
}

// Commands returns the load command.
func Commands() []*cli.Command {
	return []*cli.Command{{
		Name: "load", Usage: "send open-loop load to entries and check the answers",
		UsageText: "geraniumladder demo > demo.json & geraniumladder load --demo demo.json --rate 100 --verify\n" +
			"geraniumladder load --entries http://127.0.0.1:8080 --key vunidawa=KEY --model vunidawa=vunidawa-drafts",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entries", Usage: "`URL`s of the entries"},
			&cli.StringFlag{Name: "demo", Usage: "`FILE` with the demo's announcement, which names entries, keys and routes"},
			&cli.StringSliceFlag{Name: "key", Usage: "`ORGANISATION=KEY`, instead of --demo"},
			&cli.StringSliceFlag{Name: "model", Usage: "`ORGANISATION=ROUTE`, repeatable; the first route of an organisation is the most popular"},
			&cli.StringSliceFlag{Name: "service", Usage: "`ORGANISATION=ROUTE` of the ledger"},
			&cli.StringFlag{Name: "ledger", Usage: "`URL` of a ledger stand-in, whose book is compared with the acknowledgements"},
			&cli.FloatFlag{Name: "rate", Usage: "mean `REQUESTS` a second", Value: 50},
			&cli.IntFlag{Name: "count", Usage: fmt.Sprintf("largest number of `REQUESTS`, up to %d", MaxCount), Value: 1000},
			&cli.DurationFlag{Name: "duration", Usage: "longest time of sending, up to " + MaxDuration.String(), Value: 30 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of arrivals and choices", Value: 1},
			&cli.StringSliceFlag{Name: "organisation", Usage: "`NAME=WEIGHT` of an organisation's share; equal shares by default"},
			&cli.FloatFlag{Name: "zipf", Usage: "exponent of the routes' popularity, above 1; uniform at 0", Value: 1.2},
			&cli.FloatFlag{Name: "stream", Usage: "share of completions that are streamed", Value: 0.5},
			&cli.FloatFlag{Name: "bookings", Usage: "share of requests that are bookings", Value: 0.1},
			&cli.IntFlag{Name: "max-tokens", Usage: "tokens of an answer", Value: 32},
			&cli.IntFlag{Name: "prompt-tokens", Usage: "tokens of a prompt", Value: 64},
			&cli.BoolFlag{Name: "verify", Usage: "compare each answer with that of the stand-ins"},
			&cli.IntFlag{Name: "booking-retries", Usage: "how often a booking without a definite answer is sent again under its key", Value: 3},
			&cli.BoolFlag{Name: "allow-remote", Usage: "permit targets other than loopback"},
		},
		Action: runLoad,
	}}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	config, l, err := parseFlags(c)
	if err != nil {
		return err
	}
	bar := newProgressBar(l.Count)
	config.Report = func(Result) { _ = bar.Add(1) }
	summary, err := Run(ctx, config, l.Requests())
	_ = bar.Exit()
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		encoder := json.NewEncoder(c.Root().Writer)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(summary)
	} else {
		err = summary.WriteText(c.Root().Writer)
	}
	return errors.CombineErrors(err, summary.Failure())
}

// newProgressBar returns a progress bar on standard error, hidden unless that is a terminal.
func newProgressBar(count int) *progressbar.ProgressBar {
	info, err := os.Stderr.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	return progressbar.NewOptions(count, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetVisibility(terminal), progressbar.OptionShowCount(),
		progressbar.OptionSetDescription("requests"), progressbar.OptionThrottle(100*time.Millisecond), progressbar.OptionClearOnFinish())
}

func parseFlags(c *cli.Command) (Config, Load, error) {
	l := Load{
		Rate: c.Float("rate"), Count: c.Int("count"), Duration: c.Duration("duration"), Seed: c.Uint64("seed"), Zipf: c.Float("zipf"),
		Stream: c.Float("stream"), Bookings: c.Float("bookings"), MaxTokens: c.Int("max-tokens"), PromptTokens: c.Int("prompt-tokens"),
		Keys: map[string]string{}, Models: map[string][]string{}, Services: map[string]string{}, Weights: map[string]float64{},
	}
	config := Config{
		Entries: c.StringSlice("entries"), AllowRemote: c.Bool("allow-remote"), Verify: c.Bool("verify"),
		Ledger: c.String("ledger"), BookingRetries: c.Int("booking-retries"),
	}
	if l.Rate <= 0 || l.Count < 1 || l.Count > MaxCount || l.Duration <= 0 || l.Duration > MaxDuration || l.MaxTokens < 1 || l.PromptTokens < 1 {
		return config, l, errors.Newf("rate, count, duration and tokens must be above 0, count at most %d and duration at most %s", MaxCount, MaxDuration)
	}
	if err := l.applyAnnouncement(&config, c.String("demo")); err != nil {
		return config, l, err
	}
	var errs error
	parsePairs := func(flag string, set func(name, value string)) {
		for _, text := range c.StringSlice(flag) {
			name, value, found := strings.Cut(text, "=")
			if !found || name == "" || value == "" {
				errs = errors.CombineErrors(errs, errors.Newf("--%s %q must have the form NAME=VALUE", flag, text))
				continue
			}
			set(name, value)
		}
	}
	parsePairs("key", func(name, value string) { l.Keys[name] = value })
	parsePairs("model", func(name, value string) { l.Models[name] = append(l.Models[name], value) })
	parsePairs("service", func(name, value string) { l.Services[name] = value })
	parsePairs("organisation", func(name, value string) {
		weight, err := strconv.ParseFloat(value, 64)
		if err != nil || weight <= 0 {
			errs = errors.CombineErrors(errs, errors.Newf("--organisation %s=%s needs a weight above 0", name, value))
		}
		l.Weights[name] = weight
	})
	if len(l.Weights) == 0 {
		for name := range l.Models {
			l.Weights[name] = 1
		}
	}
	for name := range l.Weights {
		if len(l.Models[name]) == 0 {
			errs = errors.CombineErrors(errs, errors.Newf("the organisation %q has no route; set --demo or --model %s=ROUTE", name, name))
		}
	}
	if len(l.Weights) == 0 {
		errs = errors.CombineErrors(errs, errors.New("no organisation configured; set --demo FILE, or --key and --model"))
	}
	return config, l, errs
}

// applyAnnouncement adds the keys and routes of the demo's announcement, and its URLs where flags did not set them.
func (l *Load) applyAnnouncement(config *Config, file string) error {
	if file == "" {
		return nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read the demo's announcement; --demo must name the file with the output of the demo command")
	}
	var a announcement
	if err := json.Unmarshal(text, &a); err != nil || len(a.Entries) == 0 {
		return errors.Newf("%s contains no demo announcement; wait until the demo has written it", file)
	}
	if len(config.Entries) == 0 {
		config.Entries = a.Entries
	}
	if config.Ledger == "" {
		config.Ledger = a.StandIns.Ledger
	}
	maps.Copy(l.Keys, a.Keys)
	maps.Copy(l.Services, a.Routes.Service)
	for name, route := range a.Routes.Model {
		l.Models[name] = append(l.Models[name], route)
	}
	return nil
}
