package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"geraniumladder/internal/applier"
	"geraniumladder/internal/configurer"
	"geraniumladder/internal/emulator"
	"geraniumladder/internal/storer"
	"geraniumladder/internal/wire"
)

// Sizes of the demo.
const (
	demoEntries = 3
	demoModels  = 4
	demoLedgers = 2
	demoSlots   = 4
	demoBatch   = 8
	// demoStep is the time in which a demo engine generates one token for each running request.
	demoStep = 5 * time.Millisecond
	// demoLoadRate is Vunidawa's weight store: about three loads a second.
	demoLoadRate   = 3
	demoBaseModel  = "base"
	demoService    = "ledger"
	demoReadyLimit = 30 * time.Second
	// demoBurnEvery makes a demo's burn report show requests soon after they were sent.
	demoBurnEvery = 5 * time.Second
)

var demoDomains = []string{"domain-a", "domain-b", "domain-c"}

// DemoConfig configures a Demo.
type DemoConfig struct {
	// Listen is the address of the first entry for callers.
	Listen string
	// Folder is the operators' folder; a sample is written when it does not exist. A temporary one when empty.
	Folder string
	Log    zerolog.Logger
	// DrainDelay is how long the entries serve on after a planned stop was asked for.
	DrainDelay time.Duration
}

// DemoAnnouncement is the line that the demo prints when it is ready.
type DemoAnnouncement struct {
	Entries  []string
	Platform string
	Folder   string
	// Keys and Routes are by organisation.
	Keys     map[string]string
	Routes   DemoRoutes
	StandIns DemoStandIns
}

// DemoRoutes names one route of each kind for each organisation.
type DemoRoutes struct {
	Model   map[string]string
	Service map[string]string
}

// DemoStandIns are the addresses of the stand-ins.
type DemoStandIns struct {
	Endpoints []string
	// Ledger is one of the ledgers, which share their book.
	Ledger string
}

// Demo is every process of a small fleet, with its platform and endpoints, in one process.
type Demo struct {
	config       DemoConfig
	announcement DemoAnnouncement
	servers      []demoServer
	sidecars     []*Sidecar
	entries      []*Entry
	platform     *emulator.Platform
	engines      []*emulator.Engine
}

type demoServer struct {
	server   *http.Server
	listener net.Listener
}

// Announcement is what the demo prints when it is ready.
func (d *Demo) Announcement() DemoAnnouncement { return d.announcement }

// Entries are the demo's entries.
func (d *Demo) Entries() []*Entry { return d.entries }

// Sidecars are the demo's sidecars, those of the model engines first.
func (d *Demo) Sidecars() []*Sidecar { return d.sidecars }

// Engines are the stand-ins of the model engines, in the order of their sidecars.
func (d *Demo) Engines() []*emulator.Engine { return d.engines }

// Platform is the stand-in of the platform.
func (d *Demo) Platform() *emulator.Platform { return d.platform }

// Ready reports whether every entry has the configuration and knows every endpoint.
func (d *Demo) Ready() bool { return d.ready() }

// NewDemo opens all listeners and assembles the processes.
func NewDemo(c DemoConfig) (*Demo, error) {
	d := &Demo{config: c}
	for _, step := range []func() error{d.openPlatform, d.openFolder, d.openEndpoints, d.openEntries} {
		if err := step(); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

func (d *Demo) close() {
	for _, s := range d.servers {
		_ = s.listener.Close()
	}
}

// serve opens a listener for a stand-in and returns its URL.
func (d *Demo) serve(handler http.Handler) (string, error) {
	l, err := listen("127.0.0.1:0", "the loopback address")
	if err != nil {
		return "", err
	}
	d.servers = append(d.servers, demoServer{server: &http.Server{Handler: handler, ReadHeaderTimeout: shutdownTimeout}, listener: l})
	return "http://" + l.Addr().String(), nil
}

func (d *Demo) openPlatform() (err error) {
	d.platform = emulator.NewPlatform(emulator.PlatformConfig{Weights: emulator.WeightsConfig{Rate: demoLoadRate}})
	d.announcement.Platform, err = d.serve(d.platform.Handler())
	return err
}

func (d *Demo) openFolder() (err error) {
	if d.config.Folder == "" {
		if d.config.Folder, err = os.MkdirTemp("", "geraniumladder-demo-"); err != nil {
			return errors.Wrap(err, "create a folder; name one with --folder")
		}
	}
	d.announcement.Folder = d.config.Folder
	d.announcement.Keys, err = writeSample(d.config.Folder)
	d.announcement.Routes = sampleRoutes()
	return err
}

func (d *Demo) common(name string, number int) configurer.Common {
	return configurer.Common{
		VM: fmt.Sprintf("%s-%d", name, number+1), FailureDomain: demoDomains[number%len(demoDomains)],
		Platform: d.announcement.Platform, Secret: secret("demo"), PeerListen: "127.0.0.1:0", LogLevel: "info",
	}
}

func (d *Demo) openEndpoints() error {
	for i := range demoModels {
		engine := emulator.NewEngine(emulator.EngineConfig{
			BaseModel: demoBaseModel, Slots: demoSlots, MaxRunning: demoBatch, StepTime: demoStep,
			WeightsURL: d.announcement.Platform, ChecksFence: i%2 == 0,
		})
		d.engines = append(d.engines, engine)
		url, err := d.serve(engine.Handler())
		if err != nil {
			return err
		}
		d.announcement.StandIns.Endpoints = append(d.announcement.StandIns.Endpoints, url)
		s := configurer.Defaults[configurer.Sidecar]()
		s.Common = d.common("model", i)
		s.Endpoint.URL, s.Endpoint.BaseModel, s.Endpoint.ChecksFence = url, demoBaseModel, i%2 == 0
		s.Endpoint.Slots, s.Endpoint.MaxRunning = demoSlots, demoBatch
		s.Endpoint.TokensPerSecond = float64(demoBatch) * float64(time.Second) / float64(demoStep)
		if err := d.addSidecar(s); err != nil {
			return err
		}
	}
	book := emulator.NewLedgerBook()
	for i := range demoLedgers {
		url, err := d.serve(emulator.NewLedger(emulator.LedgerConfig{Book: book}).Handler())
		if err != nil {
			return err
		}
		if i == 0 {
			d.announcement.StandIns.Ledger = url
		}
		s := configurer.Defaults[configurer.Sidecar]()
		s.Common = d.common("ledger", i)
		s.Endpoint.URL, s.Endpoint.Kind, s.Endpoint.Service = url, "service", demoService
		if err := d.addSidecar(s); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) addSidecar(s configurer.Sidecar) error {
	sidecar, err := NewSidecar(s, d.config.Log.With().Str("Vm", s.VM).Logger())
	if err != nil {
		return err
	}
	d.sidecars = append(d.sidecars, sidecar)
	d.platform.VMList.Register(emulator.RegisteredVM{
		VM: s.VM, Address: sidecar.Address(), FailureDomain: s.FailureDomain, Role: string(wire.DescriptorRoleSidecar), State: "live",
	})
	return nil
}

func (d *Demo) openEntries() error {
	for i := range demoEntries {
		s := configurer.Defaults[configurer.Entry]()
		s.Common = d.common("entry", i)
		s.Listen = "127.0.0.1:0"
		s.DrainDelay = d.config.DrainDelay
		if i == 0 {
			s.Listen = d.config.Listen
		}
		entry, err := NewEntry(s, d.config.Log.With().Str("Vm", s.VM).Logger())
		if err != nil {
			return err
		}
		entry.recorder = entry.newRecorder(demoBurnEvery)
		d.entries = append(d.entries, entry)
		d.announcement.Entries = append(d.announcement.Entries, entry.URL())
		d.platform.VMList.Register(emulator.RegisteredVM{
			VM: s.VM, Address: entry.Address(), FailureDomain: s.FailureDomain, Role: string(wire.DescriptorRoleEntry), State: "live",
		})
	}
	return nil
}

// Run runs the demo until ctx ends, and then stops entries, sidecars and stand-ins in this order, so that no request is
// cut off. The announcement is written to out when every route can be used on every entry.
func (d *Demo) Run(ctx context.Context, out io.Writer) error {
	var standIns run.Group
	for _, s := range d.servers {
		addServer(&standIns, s.server, s.listener)
	}
	stop, stopStandIns := context.WithCancel(context.Background())
	standIns.Add(func() error { <-stop.Done(); return nil }, func(error) { stopStandIns() })
	standInsEnd := make(chan error, 1)
	go func() { standInsEnd <- standIns.Run() }()

	sidecarsCtx, stopSidecars := context.WithCancel(context.Background())
	defer stopSidecars()
	sidecarEnds := runAll(sidecarsCtx, d.sidecars)
	entriesCtx, stopEntries := context.WithCancel(context.Background())
	defer stopEntries()
	entryEnds := runAll(entriesCtx, d.entries)
	watchEnd := make(chan error, 1)
	go func() { watchEnd <- d.watch(ctx) }()

	err := d.announce(ctx, out)
	if err == nil {
		<-ctx.Done()
	}
	d.config.Log.Info().Msg("demo: stopping")
	stopEntries()
	err = errors.Join(err, collect(entryEnds, len(d.entries)))
	stopSidecars()
	err = errors.Join(err, collect(sidecarEnds, len(d.sidecars)))
	for _, e := range d.engines {
		e.Close()
	}
	stopStandIns()
	return errors.Join(err, <-standInsEnd, <-watchEnd)
}

type runner interface {
	Run(ctx context.Context) error
}

func runAll[T runner](ctx context.Context, all []T) <-chan error {
	ends := make(chan error, len(all))
	for _, r := range all {
		go func() { ends <- r.Run(ctx) }()
	}
	return ends
}

func collect(ends <-chan error, n int) error {
	var all error
	for range n {
		all = errors.Join(all, <-ends)
	}
	return all
}

// watch applies the folder at the start and after each edit.
func (d *Demo) watch(ctx context.Context) error {
	client := storer.NewClient(storer.ClientConfig{URL: d.announcement.Platform})
	defer client.Close()
	return applier.Watch(ctx, applier.WatchConfig{
		Config: applier.Config{Table: client, Objects: client},
		Report: func(result applier.Result, err error) {
			if err != nil {
				d.config.Log.Error().Msg("demo: edit refused: " + err.Error())
				return
			}
			d.config.Log.Info().Int64("Revision", result.Revision).Msg("demo: edit accepted")
		},
	}, d.config.Folder)
}

// announce waits until each entry has the configuration and all endpoints, and writes the announcement.
func (d *Demo) announce(ctx context.Context, out io.Writer) error {
	deadline := time.Now().Add(demoReadyLimit)
	for !d.ready() {
		if time.Now().After(deadline) {
			return errors.New("the demo did not become ready; read the log above for refused edits")
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return nil
		}
	}
	text, err := json.Marshal(d.announcement)
	if err != nil {
		return errors.Wrap(err, "encode the announcement")
	}
	_, err = fmt.Fprintln(out, string(text))
	return errors.Wrap(err, "write the announcement")
}

func (d *Demo) ready() bool {
	for _, e := range d.entries {
		status := e.Router().Status()
		live := 0
		for _, endpoint := range status.Endpoints {
			if endpoint.State == string(wire.HeartbeatStateLive) {
				live++
			}
		}
		shares := len(status.Limits) > 0 && status.Limits[0].Rate > 0
		if status.Revision == 0 || live < len(d.sidecars) || !shares {
			return false
		}
	}
	return true
}
