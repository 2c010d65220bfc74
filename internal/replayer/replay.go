package replayer

import (
	"context"
	"fmt"
	"io"
	"iter"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rs/zerolog"

	"geraniumladder/internal/applier"
	"geraniumladder/internal/driver"
	"geraniumladder/internal/emulator"
	"geraniumladder/internal/launcher"
)

// FastSpeed is the speed of a fast replay: the trace and the stand-ins run this many times as fast, and organisations
// have as many times their rate. The system's own intervals, such as heartbeats and the admission wait, stay as they are.
const FastSpeed = 4

const (
	readyLimit = time.Minute
	// eventLimit ends the wait for the effect of an event.
	eventLimit = 30 * time.Second
	// eventPoll is the resolution of the times measured for events.
	eventPoll = 20 * time.Millisecond
)

// Config configures a Replay.
type Config struct {
	Trace    Trace
	Outcomes Outcomes
	// Speed divides all times of the trace; 1 when 0.
	Speed float64
	Log   zerolog.Logger
	// Progress is called for each answered request; it may be nil.
	Progress func()
}

func scaled(l Line, speed float64) time.Duration { return time.Duration(float64(l.Offset()) / speed) }

// Replay starts the fleet that the trace names, plays the trace and compares what was measured with the outcomes.
func Replay(ctx context.Context, c Config) (Report, error) {
	if c.Speed == 0 {
		c.Speed = 1
	}
	if err := c.Outcomes.check(); err != nil {
		return Report{}, err
	}
	dir, err := os.MkdirTemp("", "geraniumladder-replay-")
	if err != nil {
		return Report{}, errors.Wrap(err, "create a folder; make room in the temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	p := &player{config: c, folder: newFolder(c.Trace, c.Speed), dir: dir, stalls: map[string]float64{}, client: &http.Client{Timeout: 2 * time.Second}}
	if p.demo, err = launcher.NewDemo(p.demoConfig()); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	demoEnd := make(chan error, 1)
	go func() { demoEnd <- p.demo.Run(ctx, io.Discard) }()
	report, err := p.play(ctx)
	cancel()
	return report, errors.CombineErrors(err, errors.Wrap(<-demoEnd, "stop the fleet"))
}

// player is one replay.
type player struct {
	config Config
	folder folder
	dir    string
	demo   *launcher.Demo
	client *http.Client
	// stalls is the last count read of each sidecar.
	stalls           map[string]float64
	withdrawn, force float64
}

func (p *player) demoConfig() launcher.DemoConfig {
	f, speed := p.config.Trace.Fleet, p.config.Speed
	spares := 0
	for _, l := range p.config.Trace.Lines {
		if l.Kind == KindVMArrives {
			spares++
		}
	}
	ms := func(x float64) time.Duration { return time.Duration(x / speed * float64(time.Millisecond)) }
	domains := make([]string, max(1, f.FailureDomains))
	for i := range domains {
		domains[i] = fmt.Sprintf("domain-%d", i+1)
	}
	keys := map[string]string{}
	for _, o := range f.Organisations {
		keys[o.Name] = p.folder.keys[firstKey(o.Name)]
	}
	return launcher.DemoConfig{
		Listen: "127.0.0.1:0", Folder: p.dir, Log: p.config.Log,
		Fleet: launcher.FleetConfig{
			Entries: f.Entries, Models: f.Models, Ledgers: f.Ledgers, Spares: spares, Slots: f.Slots, Batch: f.Batch,
			StepTime: ms(f.StepMs), LoadRate: f.LoadRate * speed, LoadTime: ms(f.LoadMs), BookingTime: ms(f.BookingMs), Domains: domains,
			Files: p.folder.files, Keys: keys, Routes: p.folder.routes,
		},
	}
}

func (p *player) play(ctx context.Context) (Report, error) {
	if err := wait(ctx, readyLimit, p.demo.Ready); err != nil {
		return Report{}, errors.Wrap(err, "the fleet did not become ready; see the log with --log-level info")
	}
	p.withdrawn, p.force = math.NaN(), math.NaN()
	eventsEnd := make(chan error, 1)
	started := time.Now()
	go func() { eventsEnd <- p.events(ctx, started) }()
	announced := p.demo.Announcement()
	var results []driver.Result
	summary, err := driver.Run(ctx, driver.Config{
		Entries: announced.Entries, Verify: true, Ledger: announced.StandIns.Ledger, BookingRetries: 3,
		Report: func(r driver.Result) {
			results = append(results, r)
			if p.config.Progress != nil {
				p.config.Progress()
			}
		},
	}, p.requests())
	if err = errors.CombineErrors(err, <-eventsEnd); err != nil {
		return Report{}, err
	}
	p.readStalls(ctx)
	m := Measured{Summary: summary, SecondsWithdrawn: p.withdrawn, SecondsForce: p.force, StallsLeastLoaded: leastLoadedStalls(p.config.Trace)}
	total, completions := 0.0, 0
	for _, n := range p.stalls {
		total += n
	}
	for _, l := range p.config.Trace.Lines {
		if l.Kind == KindCompletion {
			completions++
		}
	}
	m.Stalls = total * 1000 / float64(max(1, completions))
	for _, e := range p.demo.Engines() {
		m.UnloadedInUse += e.Stats().UnloadedInUse
	}
	weights := p.demo.Platform().Weights.Stats()
	m.Loads, m.LoadsRefused = weights.Started, weights.Refused
	m.refusals(p.config.Trace, p.config.Speed, results)
	m.fairness(p.config.Trace, p.config.Speed, results)
	return Report{Verdicts: p.config.Outcomes.Verdicts(m), Measured: m, Summary: summary, Slowest: slowest(results)}, nil
}

// requests turns the trace's requests into the driver's.
func (p *player) requests() iter.Seq[driver.Request] {
	return func(yield func(driver.Request) bool) {
		for n, l := range p.config.Trace.Lines {
			if !l.IsRequest() {
				continue
			}
			id := l.KeyID
			if id == "" {
				id = firstKey(l.Organisation)
			}
			r := driver.Request{
				Offset: scaled(l, p.config.Speed), Kind: driver.Kind(l.Kind), Organisation: l.Organisation, Route: l.Route, Key: p.folder.keys[id],
			}
			switch l.Kind {
			case KindBooking:
				r.Body = fmt.Sprintf(`{"Booking":%d,"Organisation":%q}`, n, l.Organisation)
			case KindBalance:
				r.Name = fmt.Sprintf("account-%d", n)
			default:
				r.Prompt = driver.Prompt(fmt.Sprint(n), l.PrefixID, l.PrefixTokens, l.PromptTokens)
				r.MaxTokens, r.Stream, r.Adapters = l.AnswerTokens, l.Stream, []string{l.Route + "@v1"}
			}
			if !yield(r) {
				return
			}
		}
	}
}

// events injects the platform's events at their times and waits for the effect of withdrawals.
func (p *player) events(ctx context.Context, started time.Time) error {
	withdrawals, ends := 0, make(chan error)
	var first error
	for _, l := range p.config.Trace.Lines {
		if l.IsRequest() {
			continue
		}
		select {
		case <-time.After(time.Until(started.Add(scaled(l, p.config.Speed)))):
		case <-ctx.Done():
			first = ctx.Err()
		}
		if first != nil {
			break
		}
		p.config.Log.Info().Str("Kind", string(l.Kind)).Str("Vm", l.VM).Msg("replay: event")
		if l.Kind == KindKeyWithdrawn {
			withdrawals++
			go func() { ends <- p.withdraw(ctx, l) }()
			continue
		}
		first = p.inject(ctx, l)
	}
	for range withdrawals {
		first = errors.CombineErrors(first, <-ends)
	}
	return first
}

func (p *player) inject(ctx context.Context, l Line) error {
	switch l.Kind {
	case KindVMArrives:
		return p.demo.Arrive(l.VM)
	case KindVMLeaves:
		p.readStalls(ctx)
		return p.demo.Leave(l.VM)
	case KindEngineRestarts:
		engine, err := p.demo.Engine(l.VM)
		if err == nil {
			engine.Crash()
		}
		return err
	case KindStoreDown, KindStoreUp:
		faults := emulator.Faults{Down: l.Kind == KindStoreDown}
		p.demo.Platform().Table.SetFaults(faults)
		p.demo.Platform().Objects.SetFaults(faults)
	default:
		// The other kinds only mark a time for the analysis.
	}
	return nil
}

// withdraw takes a key out of the folder, and measures until every entry has the new revision and refuses the key.
func (p *player) withdraw(ctx context.Context, l Line) error {
	var before int64
	for _, e := range p.demo.Entries() {
		before = max(before, e.Router().Status().Revision)
	}
	var kept []string
	digestLine := strings.TrimSuffix(keyLine(l.Organisation, l.KeyID, p.folder.keys[l.KeyID]), "\n")
	for line := range strings.Lines(p.folder.files[keyFile(l.Organisation)]) {
		if strings.TrimSuffix(line, "\n") != digestLine {
			kept = append(kept, line)
		}
	}
	saved := time.Now()
	if err := applier.WriteFile(filepath.Join(p.dir, keyFile(l.Organisation)), []byte(strings.Join(kept, ""))); err != nil {
		return err
	}
	err := wait(ctx, eventLimit, func() bool {
		forced, refused := true, true
		for _, e := range p.demo.Entries() {
			forced = forced && e.Router().Status().Revision > before
			refused = refused && p.refuses(ctx, e.URL(), p.folder.keys[l.KeyID])
		}
		if forced && math.IsNaN(p.force) {
			p.force = time.Since(saved).Seconds()
		}
		if refused && math.IsNaN(p.withdrawn) {
			p.withdrawn = time.Since(saved).Seconds()
		}
		return forced && refused
	})
	if ctx.Err() != nil {
		return err
	}
	if err != nil {
		p.config.Log.Error().Msg("replay: the withdrawal had no effect on every entry within " + eventLimit.String())
	}
	return nil
}

func (p *player) refuses(ctx context.Context, entry, key string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/v1/models", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := p.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	// The body is read so that the connection is used again, as a connected caller would.
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusUnauthorized
}

// stallsMetric counts the requests that waited for an adapter load at a sidecar.
const stallsMetric = "geraniumladder_load_stalls"

// readStalls reads the sidecars' counters. A sidecar that has left keeps the count read last.
func (p *player) readStalls(ctx context.Context) {
	for _, s := range p.demo.Sidecars() {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address()+"/metrics", nil)
		if err != nil {
			continue
		}
		resp, err := p.client.Do(req)
		if err != nil {
			continue
		}
		parser := expfmt.NewTextParser(model.UTF8Validation)
		families, err := parser.TextToMetricFamilies(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			continue
		}
		total := 0.0
		for name, family := range families {
			if strings.HasPrefix(name, stallsMetric) {
				for _, metric := range family.GetMetric() {
					total += metric.GetCounter().GetValue()
				}
			}
		}
		p.stalls[s.Address()] = total
	}
}

// wait polls until a condition holds.
func wait(ctx context.Context, limit time.Duration, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !holds() {
		select {
		case <-time.After(eventPoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
