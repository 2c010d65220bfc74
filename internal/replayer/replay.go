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

// FastSpeed is the speed-up of a fast replay. It applies to the trace, the stand-ins and the rate limits of
// organisations. The system's own intervals, such as heartbeats and the admission wait, are not scaled.
const FastSpeed = 4

const (
	readyTimeout = time.Minute
	// eventTimeout limits the wait until an event takes effect.
	eventTimeout = 30 * time.Second
	// pollInterval is the interval of waitUntil, and so the resolution of the times measured for events.
	pollInterval = 20 * time.Millisecond
)

// Config configures Replay.
type Config struct {
	Trace    Trace
	Outcomes Outcomes
	// Speed divides all offsets of the trace; 0 means 1.
	Speed float64
	Log   zerolog.Logger
	// Progress is called after each request; it may be nil.
	Progress func()
}

func scaledOffset(l Line, speed float64) time.Duration {
	return time.Duration(float64(l.Offset()) / speed)
}

// Replay starts the fleet described in the trace, replays the trace and compares the measurements with the outcomes.
func Replay(ctx context.Context, c Config) (Report, error) {
	if c.Speed == 0 {
		c.Speed = 1
	}
	if err := c.Outcomes.check(); err != nil {
		return Report{}, err
	}
	dir, err := os.MkdirTemp("", "geraniumladder-replay-")
	if err != nil {
		return Report{}, errors.Wrap(err, "create a temporary directory; check its permissions and free space")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	p := &player{config: c, configFolder: newConfigFolder(c.Trace, c.Speed), dir: dir, stalls: map[string]float64{}, client: &http.Client{Timeout: 2 * time.Second}}
	if p.demo, err = launcher.NewDemo(p.demoConfig()); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	demoDone := make(chan error, 1)
	go func() { demoDone <- p.demo.Run(ctx, io.Discard) }()
	report, err := p.play(ctx)
	cancel()
	return report, errors.CombineErrors(err, errors.Wrap(<-demoDone, "stop the fleet"))
}

// player runs one replay.
type player struct {
	config       Config
	configFolder configFolder
	dir          string
	demo         *launcher.Demo
	client       *http.Client
	// stalls holds the last count read from each sidecar, by address.
	stalls                                      map[string]float64
	secondsUntilKeyRefused, secondsUntilInForce float64
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
		keys[o.Name] = p.configFolder.keys[defaultKeyID(o.Name)]
	}
	return launcher.DemoConfig{
		Listen: "127.0.0.1:0", Folder: p.dir, Log: p.config.Log,
		Fleet: launcher.FleetConfig{
			Entries: f.Entries, Models: f.Models, Ledgers: f.Ledgers, Spares: spares, Slots: f.Slots, Batch: f.Batch,
			StepTime: ms(f.StepMs), LoadRate: f.LoadRate * speed, LoadTime: ms(f.LoadMs), BookingTime: ms(f.BookingMs), Domains: domains,
			Files: p.configFolder.files, Keys: keys, Routes: p.configFolder.routes,
		},
	}
}

func (p *player) play(ctx context.Context) (Report, error) {
	if err := waitUntil(ctx, readyTimeout, p.demo.Ready); err != nil {
		return Report{}, errors.Wrap(err, "the fleet did not become ready in time; run with --log-level info for the cause")
	}
	p.secondsUntilKeyRefused, p.secondsUntilInForce = math.NaN(), math.NaN()
	eventsDone := make(chan error, 1)
	started := time.Now()
	go func() { eventsDone <- p.injectEvents(ctx, started) }()
	announcement := p.demo.Announcement()
	var results []driver.Result
	summary, err := driver.Run(ctx, driver.Config{
		Entries: announcement.Entries, Verify: true, Ledger: announcement.StandIns.Ledger, BookingRetries: 3,
		Report: func(r driver.Result) {
			results = append(results, r)
			if p.config.Progress != nil {
				p.config.Progress()
			}
		},
	}, p.driverRequests())
	if err = errors.CombineErrors(err, <-eventsDone); err != nil {
		return Report{}, err
	}
	p.readStalls(ctx)
	m := Measured{Summary: summary, SecondsWithdrawn: p.secondsUntilKeyRefused, SecondsForce: p.secondsUntilInForce, StallsLeastLoaded: simulateLeastLoadedStalls(p.config.Trace)}
	totalStalls, completions := 0.0, 0
	for _, n := range p.stalls {
		totalStalls += n
	}
	for _, l := range p.config.Trace.Lines {
		if l.Kind == KindCompletion {
			completions++
		}
	}
	m.Stalls = totalStalls * 1000 / float64(max(1, completions))
	for _, e := range p.demo.Engines() {
		m.UnloadedInUse += e.Stats().UnloadedInUse
	}
	loadStats := p.demo.Platform().Weights.Stats()
	m.Loads, m.LoadsRefused = loadStats.Started, loadStats.Refused
	m.countWrongfulRefusals(p.config.Trace, p.config.Speed, results)
	m.measureFairness(p.config.Trace, p.config.Speed, results)
	return Report{Verdicts: p.config.Outcomes.Verdicts(m), Measured: m, Summary: summary, Slowest: describeSlowest(results)}, nil
}

// driverRequests converts the requests of the trace to driver requests.
func (p *player) driverRequests() iter.Seq[driver.Request] {
	return func(yield func(driver.Request) bool) {
		for n, l := range p.config.Trace.Lines {
			if !l.IsRequest() {
				continue
			}
			id := l.KeyID
			if id == "" {
				id = defaultKeyID(l.Organisation)
			}
			r := driver.Request{
				Offset: scaledOffset(l, p.config.Speed), Kind: driver.Kind(l.Kind), Organisation: l.Organisation, Route: l.Route, Key: p.configFolder.keys[id],
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

// injectEvents injects the platform events at their offsets and waits until key withdrawals take effect.
func (p *player) injectEvents(ctx context.Context, started time.Time) error {
	withdrawals, withdrawalErrs := 0, make(chan error)
	var err error
	for _, l := range p.config.Trace.Lines {
		if l.IsRequest() {
			continue
		}
		select {
		case <-time.After(time.Until(started.Add(scaledOffset(l, p.config.Speed)))):
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			break
		}
		p.config.Log.Info().Str("Kind", string(l.Kind)).Str("Vm", l.VM).Msg("replay: event")
		if l.Kind == KindKeyWithdrawn {
			withdrawals++
			go func() { withdrawalErrs <- p.withdrawKey(ctx, l) }()
			continue
		}
		err = p.injectEvent(ctx, l)
	}
	for range withdrawals {
		err = errors.CombineErrors(err, <-withdrawalErrs)
	}
	return err
}

func (p *player) injectEvent(ctx context.Context, l Line) error {
	switch l.Kind {
	case KindVMArrives:
		return p.demo.StartSpare(l.VM)
	case KindVMLeaves:
		p.readStalls(ctx)
		return p.demo.DrainEndpoint(l.VM)
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
		// The other kinds only mark phases for the analysis.
	}
	return nil
}

// withdrawKey removes a key from the configuration folder and measures the time until every entry has applied the new
// revision and the time until every entry refuses the key.
func (p *player) withdrawKey(ctx context.Context, l Line) error {
	var oldRevision int64
	for _, e := range p.demo.Entries() {
		oldRevision = max(oldRevision, e.Router().Status().Revision)
	}
	var remaining []string
	digestLine := strings.TrimSuffix(keyYAML(l.Organisation, l.KeyID, p.configFolder.keys[l.KeyID]), "\n")
	for line := range strings.Lines(p.configFolder.files[keyFileName(l.Organisation)]) {
		if strings.TrimSuffix(line, "\n") != digestLine {
			remaining = append(remaining, line)
		}
	}
	writtenAt := time.Now()
	if err := applier.WriteFile(filepath.Join(p.dir, keyFileName(l.Organisation)), []byte(strings.Join(remaining, ""))); err != nil {
		return err
	}
	err := waitUntil(ctx, eventTimeout, func() bool {
		inForce, refused := true, true
		for _, e := range p.demo.Entries() {
			inForce = inForce && e.Router().Status().Revision > oldRevision
			refused = refused && p.refusesKey(ctx, e.URL(), p.configFolder.keys[l.KeyID])
		}
		if inForce && math.IsNaN(p.secondsUntilInForce) {
			p.secondsUntilInForce = time.Since(writtenAt).Seconds()
		}
		if refused && math.IsNaN(p.secondsUntilKeyRefused) {
			p.secondsUntilKeyRefused = time.Since(writtenAt).Seconds()
		}
		return inForce && refused
	})
	if ctx.Err() != nil {
		return err
	}
	if err != nil {
		p.config.Log.Error().Msg("replay: key withdrawal did not take effect on every entry within " + eventTimeout.String())
	}
	return nil
}

func (p *player) refusesKey(ctx context.Context, entry, key string) bool {
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
	// Reading the body to the end lets the client reuse the connection, like a connected caller.
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusUnauthorized
}

// stallsMetricPrefix is the name prefix of the sidecars' counters of requests that waited for an adapter load.
const stallsMetricPrefix = "geraniumladder_load_stalls"

// readStalls updates the stall counts of all running sidecars. A sidecar that has left keeps its last count.
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
			if strings.HasPrefix(name, stallsMetricPrefix) {
				for _, metric := range family.GetMetric() {
					total += metric.GetCounter().GetValue()
				}
			}
		}
		p.stalls[s.Address()] = total
	}
}

// waitUntil polls until the condition holds, the timeout expires or ctx ends.
func waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !condition() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
