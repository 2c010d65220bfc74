package launcher

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
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
	Fleet      FleetConfig
	// LeaseTTL is the time to live of an endpoint's lease; that of the settings when 0.
	LeaseTTL time.Duration
	// WrapEngine and WrapLedger, if set, replace the handler of the stand-in with the given index.
	WrapEngine, WrapLedger func(index int, handler http.Handler) http.Handler
}

// FleetConfig is the size of the demo's fleet. A zero field has the demo's default.
type FleetConfig struct {
	Entries, Models, Ledgers int
	// Spares are further model endpoints that join with Arrive.
	Spares int
	// Slots and Batch are the adapters and requests that an engine holds at once.
	Slots, Batch int
	// StepTime is the time in which an engine generates one token for each running request.
	StepTime time.Duration
	// LoadRate is the number of adapter loads a second that the weight store allows, LoadTime the time of one.
	LoadRate float64
	LoadTime time.Duration
	Domains  []string
	// BookingTime is how long a booking takes at a ledger.
	BookingTime time.Duration
	// Files are written to an empty folder instead of the sample; Keys and Routes are then announced.
	Files  map[string]string
	Keys   map[string]string
	Routes DemoRoutes
}

func (c FleetConfig) withDefaults() FleetConfig {
	c.Entries, c.Models, c.Ledgers = cmp.Or(c.Entries, demoEntries), cmp.Or(c.Models, demoModels), cmp.Or(c.Ledgers, demoLedgers)
	c.Slots, c.Batch, c.StepTime = cmp.Or(c.Slots, demoSlots), cmp.Or(c.Batch, demoBatch), cmp.Or(c.StepTime, demoStep)
	c.LoadRate = cmp.Or(c.LoadRate, demoLoadRate)
	if len(c.Domains) == 0 {
		c.Domains = demoDomains
	}
	return c
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
	platform     *emulator.Platform
	engines      []*emulator.Engine
	ledgers      []*emulator.Ledger

	// mu guards the processes, which Restart replaces.
	mu       sync.Mutex
	sidecars []*demoProcess[*Sidecar]
	entries  []*demoProcess[*Entry]
}

// demoProcess is one process of the demo and how it is stopped. One that has not been started has no stop.
type demoProcess[T runner] struct {
	process T
	stop    context.CancelFunc
	// ended is closed when Run has returned; err is what it returned.
	ended chan struct{}
	err   error
}

// start runs a process until it is stopped.
func start[T runner](process T) *demoProcess[T] {
	ctx, cancel := context.WithCancel(context.Background())
	p := &demoProcess[T]{process: process, stop: cancel, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		p.err = process.Run(ctx)
	}()
	return p
}

// end performs the planned stop and waits for it.
func (p *demoProcess[T]) end() error {
	p.stop()
	<-p.ended
	return p.err
}

type demoServer struct {
	server   *http.Server
	listener net.Listener
}

// Announcement is what the demo prints when it is ready.
func (d *Demo) Announcement() DemoAnnouncement { return d.announcement }

// Entries are the demo's entries.
func (d *Demo) Entries() []*Entry { return processes(&d.mu, &d.entries) }

// Sidecars are the demo's sidecars, those of the model engines first.
func (d *Demo) Sidecars() []*Sidecar { return processes(&d.mu, &d.sidecars) }

func processes[T runner](mu *sync.Mutex, all *[]*demoProcess[T]) []T {
	mu.Lock()
	defer mu.Unlock()
	out := make([]T, 0, len(*all))
	for _, p := range *all {
		out = append(out, p.process)
	}
	return out
}

// Ledgers are the stand-ins of the plain service, in the order of their sidecars.
func (d *Demo) Ledgers() []*emulator.Ledger { return d.ledgers }

// StopEntry performs the planned stop of an entry and waits for its end, as it does for one that was killed.
func (d *Demo) StopEntry(index int) error { return at(&d.mu, &d.entries, index).end() }

// StopSidecar performs the planned stop of a sidecar and waits for its end, as it does for one that was killed.
func (d *Demo) StopSidecar(index int) error { return at(&d.mu, &d.sidecars, index).end() }

func at[T runner](mu *sync.Mutex, all *[]*demoProcess[T], index int) *demoProcess[T] {
	mu.Lock()
	defer mu.Unlock()
	return (*all)[index]
}

// RestartEntry starts a new incarnation of an entry that has ended, at the same addresses.
func (d *Demo) RestartEntry(index int) error {
	old := at(&d.mu, &d.entries, index)
	<-old.ended
	settings := old.process.settings
	settings.Listen, settings.PeerListen = old.process.callers.Addr().String(), old.process.peers.Addr().String()
	entry, err := NewEntry(settings, old.process.log)
	if err != nil {
		return err
	}
	replace(&d.mu, &d.entries, index, start(entry))
	return nil
}

// RestartSidecar starts a new incarnation of a sidecar that has ended, at the same address.
func (d *Demo) RestartSidecar(index int) error {
	old := at(&d.mu, &d.sidecars, index)
	<-old.ended
	settings := old.process.settings
	settings.PeerListen = old.process.peers.Addr().String()
	sidecar, err := NewSidecar(settings, old.process.log)
	if err != nil {
		return err
	}
	replace(&d.mu, &d.sidecars, index, start(sidecar))
	return nil
}

func replace[T runner](mu *sync.Mutex, all *[]*demoProcess[T], index int, p *demoProcess[T]) {
	mu.Lock()
	defer mu.Unlock()
	(*all)[index] = p
}

// Engines are the stand-ins of the model engines, in the order of their sidecars.
func (d *Demo) Engines() []*emulator.Engine { return d.engines }

// Platform is the stand-in of the platform.
func (d *Demo) Platform() *emulator.Platform { return d.platform }

// Ready reports whether every entry has the configuration and knows every endpoint.
func (d *Demo) Ready() bool { return d.ready() }

// NewDemo opens all listeners and assembles the processes.
func NewDemo(c DemoConfig) (*Demo, error) {
	c.Fleet = c.Fleet.withDefaults()
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
	d.platform = emulator.NewPlatform(emulator.PlatformConfig{Weights: emulator.WeightsConfig{
		Rate: d.config.Fleet.LoadRate, LoadTime: d.config.Fleet.LoadTime,
	}})
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
	if fleet := d.config.Fleet; len(fleet.Files) > 0 {
		d.announcement.Keys, d.announcement.Routes = fleet.Keys, fleet.Routes
		return writeFiles(d.config.Folder, fleet.Files)
	}
	d.announcement.Keys, err = writeSample(d.config.Folder)
	d.announcement.Routes = sampleRoutes()
	return err
}

func (d *Demo) common(name string, number int) configurer.Common {
	return configurer.Common{
		VM: fmt.Sprintf("%s-%d", name, number+1), FailureDomain: d.config.Fleet.Domains[number%len(d.config.Fleet.Domains)],
		Platform: d.announcement.Platform, Secret: secret("demo"), PeerListen: "127.0.0.1:0", LogLevel: "info",
	}
}

func (d *Demo) openEndpoints() error {
	fleet := d.config.Fleet
	for i := range fleet.Models + fleet.Spares {
		engine := emulator.NewEngine(emulator.EngineConfig{
			BaseModel: demoBaseModel, Slots: fleet.Slots, MaxRunning: fleet.Batch, StepTime: fleet.StepTime,
			WeightsURL: d.announcement.Platform, ChecksFence: i%2 == 0,
		})
		d.engines = append(d.engines, engine)
		url, err := d.serve(wrapped(d.config.WrapEngine, i, engine.Handler()))
		if err != nil {
			return err
		}
		d.announcement.StandIns.Endpoints = append(d.announcement.StandIns.Endpoints, url)
		s := configurer.Defaults[configurer.Sidecar]()
		s.Common = d.common("model", i)
		s.Endpoint.URL, s.Endpoint.BaseModel, s.Endpoint.ChecksFence = url, demoBaseModel, i%2 == 0
		s.Endpoint.Slots, s.Endpoint.MaxRunning = fleet.Slots, fleet.Batch
		s.Endpoint.TokensPerSecond = float64(fleet.Batch) * float64(time.Second) / float64(fleet.StepTime)
		if err := d.addSidecar(s, i >= fleet.Models); err != nil {
			return err
		}
	}
	book := emulator.NewLedgerBook()
	for i := range fleet.Ledgers {
		ledger := emulator.NewLedger(emulator.LedgerConfig{Book: book, WorkTime: fleet.BookingTime})
		d.ledgers = append(d.ledgers, ledger)
		url, err := d.serve(wrapped(d.config.WrapLedger, i, ledger.Handler()))
		if err != nil {
			return err
		}
		if i == 0 {
			d.announcement.StandIns.Ledger = url
		}
		s := configurer.Defaults[configurer.Sidecar]()
		s.Common = d.common("ledger", i)
		s.Endpoint.URL, s.Endpoint.Kind, s.Endpoint.Service = url, "service", demoService
		if err := d.addSidecar(s, false); err != nil {
			return err
		}
	}
	return nil
}

func wrapped(wrap func(int, http.Handler) http.Handler, index int, handler http.Handler) http.Handler {
	if wrap == nil {
		return handler
	}
	return wrap(index, handler)
}

func (d *Demo) addSidecar(s configurer.Sidecar, spare bool) error {
	if d.config.LeaseTTL > 0 {
		s.LeaseTTL = d.config.LeaseTTL
	}
	sidecar, err := NewSidecar(s, d.config.Log.With().Str("Vm", s.VM).Logger())
	if err != nil {
		return err
	}
	d.sidecars = append(d.sidecars, &demoProcess[*Sidecar]{process: sidecar})
	if !spare {
		d.register(sidecar, storer.StateLive)
	}
	return nil
}

func (d *Demo) register(s *Sidecar, state string) {
	d.platform.VMList.Register(emulator.RegisteredVM{
		VM: s.settings.VM, Address: s.Address(), FailureDomain: s.settings.FailureDomain,
		Role: string(wire.DescriptorRoleSidecar), State: state,
	})
}

// Arrive lets a spare endpoint join. It may be called while the demo runs.
func (d *Demo) Arrive(vm string) error {
	index, err := d.find(vm)
	if err != nil {
		return err
	}
	p := at(&d.mu, &d.sidecars, index)
	if p.stop != nil {
		return errors.Newf("the sidecar of %s runs already; name a spare endpoint", vm)
	}
	d.register(p.process, storer.StateLive)
	replace(&d.mu, &d.sidecars, index, start(p.process))
	return nil
}

// Leave begins the planned stop of an endpoint's sidecar, whose VM is off the list when it has ended. It may be called
// while the demo runs.
func (d *Demo) Leave(vm string) error {
	index, err := d.find(vm)
	if err != nil {
		return err
	}
	p := at(&d.mu, &d.sidecars, index)
	if p.stop == nil {
		return errors.Newf("the sidecar of %s does not run; name a live endpoint", vm)
	}
	d.register(p.process, storer.StateLeaving)
	p.stop()
	go func() {
		<-p.ended
		d.platform.VMList.Remove(vm)
	}()
	return nil
}

func (d *Demo) find(vm string) (index int, err error) {
	for i, s := range d.Sidecars() {
		if s.settings.VM == vm {
			return i, nil
		}
	}
	return 0, errors.Newf("the demo has no sidecar on a VM named %q; name one of its endpoints", vm)
}

// Engine returns the engine beside a VM's sidecar.
func (d *Demo) Engine(vm string) (*emulator.Engine, error) {
	index, err := d.find(vm)
	if err != nil || index >= len(d.engines) {
		return nil, errors.Newf("the demo has no model engine on a VM named %q; name one of its endpoints", vm)
	}
	return d.engines[index], nil
}

func (d *Demo) openEntries() error {
	for i := range d.config.Fleet.Entries {
		s := configurer.Defaults[configurer.Entry]()
		s.Common = d.common("entry", i)
		s.Listen = "127.0.0.1:0"
		s.DrainDelay, s.LoadRate = d.config.DrainDelay, d.config.Fleet.LoadRate
		if i == 0 {
			s.Listen = d.config.Listen
		}
		entry, err := NewEntry(s, d.config.Log.With().Str("Vm", s.VM).Logger())
		if err != nil {
			return err
		}
		entry.recorder = entry.newRecorder(demoBurnEvery)
		d.entries = append(d.entries, &demoProcess[*Entry]{process: entry})
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

	firstSpare := d.config.Fleet.Models
	startAll(&d.mu, d.sidecars[:firstSpare])
	startAll(&d.mu, d.sidecars[firstSpare+d.config.Fleet.Spares:])
	startAll(&d.mu, d.entries)
	watchEnd := make(chan error, 1)
	go func() { watchEnd <- d.watch(ctx) }()

	err := d.announce(ctx, out)
	if err == nil {
		<-ctx.Done()
	}
	d.config.Log.Info().Msg("demo: stopping")
	err = errors.Join(err, stopAll(&d.mu, &d.entries))
	err = errors.Join(err, stopAll(&d.mu, &d.sidecars))
	for _, e := range d.engines {
		e.Close()
	}
	d.closeSpares()
	stopStandIns()
	return errors.Join(err, <-standInsEnd, <-watchEnd)
}

// closeSpares closes the listeners of the sidecars that were never started.
func (d *Demo) closeSpares() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.sidecars {
		if p.stop == nil {
			_ = p.process.peers.Close()
		}
	}
}

type runner interface {
	Run(ctx context.Context) error
}

func startAll[T runner](mu *sync.Mutex, all []*demoProcess[T]) {
	mu.Lock()
	defer mu.Unlock()
	for i, p := range all {
		all[i] = start(p.process)
	}
}

// stopAll asks all processes to stop before it waits for the first.
func stopAll[T runner](mu *sync.Mutex, all *[]*demoProcess[T]) error {
	mu.Lock()
	var running []*demoProcess[T]
	for _, p := range *all {
		if p.stop != nil {
			running = append(running, p)
		}
	}
	mu.Unlock()
	for _, p := range running {
		p.stop()
	}
	var err error
	for _, p := range running {
		err = errors.Join(err, p.end())
	}
	return err
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
	for _, e := range d.Entries() {
		status := e.Router().Status()
		live := 0
		for _, endpoint := range status.Endpoints {
			if endpoint.State == string(wire.HeartbeatStateLive) {
				live++
			}
		}
		shares := len(status.Limits) > 0 && status.Limits[0].Rate > 0
		if status.Revision == 0 || live < d.config.Fleet.Models+d.config.Fleet.Ledgers || !shares {
			return false
		}
	}
	return true
}
