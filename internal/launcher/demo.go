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

// Default sizes and rates of the demo.
const (
	demoEntries    = 3
	demoModels     = 4
	demoLedgers    = 2
	demoSlots      = 4
	demoMaxRunning = 8
	// demoStepTime is the time of one engine step, which generates a token for each running request.
	demoStepTime = 5 * time.Millisecond
	// demoLoadRate is the rate of Vunidawa's weight store, about three adapter loads per second.
	demoLoadRate     = 3
	demoBaseModel    = "base"
	demoService      = "ledger"
	demoReadyTimeout = 30 * time.Second
	// demoBurnInterval is short so that the burn report of a demo includes requests soon after they are sent.
	demoBurnInterval = 5 * time.Second
)

var demoDomains = []string{"domain-a", "domain-b", "domain-c"}

// DemoConfig configures a Demo.
type DemoConfig struct {
	// Listen is the address of the first entry for callers.
	Listen string
	// Folder is the operators' folder. A sample is written if it does not exist or has no files. If Folder is "",
	// a temporary folder is created.
	Folder string
	Log    zerolog.Logger
	// DrainDelay is how long the entries keep serving after a graceful shutdown was requested.
	DrainDelay time.Duration
	Fleet      FleetConfig
	// LeaseTTL is the time to live of an endpoint's lease. If it is 0, the default of the settings applies.
	LeaseTTL time.Duration
	// WrapEngine and WrapLedger, if set, wrap the HTTP handler of the stand-in with the given index.
	WrapEngine, WrapLedger func(index int, handler http.Handler) http.Handler
	// ProxyEngine and ProxyLedger, if set, return the URL at which the sidecar reaches the stand-in with the given index and URL.
	ProxyEngine, ProxyLedger func(index int, url string) string
}

// FleetConfig sets the size and speed of the demo's fleet. Entries, Models, Ledgers, Slots, Batch, StepTime, LoadRate
// and Domains have a default, which replaces the zero value.
type FleetConfig struct {
	Entries, Models, Ledgers int
	// Spares is the number of additional model endpoints, which are started by StartSpare.
	Spares int
	// Slots and Batch are the numbers of adapters and of running requests that an engine can hold.
	Slots, Batch int
	// StepTime is the time of one engine step, which generates a token for each running request.
	StepTime time.Duration
	// LoadRate is the number of adapter loads per second that the weight store allows, LoadTime the duration of one
	// load.
	LoadRate float64
	LoadTime time.Duration
	Domains  []string
	// BookingTime is how long a ledger takes to process a booking.
	BookingTime time.Duration
	// Files, if set, are written to the folder instead of the sample. Keys and Routes are then copied to the
	// announcement.
	Files  map[string]string
	Keys   map[string]string
	Routes DemoRoutes
}

func (c FleetConfig) withDefaults() FleetConfig {
	c.Entries, c.Models, c.Ledgers = cmp.Or(c.Entries, demoEntries), cmp.Or(c.Models, demoModels), cmp.Or(c.Ledgers, demoLedgers)
	c.Slots, c.Batch, c.StepTime = cmp.Or(c.Slots, demoSlots), cmp.Or(c.Batch, demoMaxRunning), cmp.Or(c.StepTime, demoStepTime)
	c.LoadRate = cmp.Or(c.LoadRate, demoLoadRate)
	if len(c.Domains) == 0 {
		c.Domains = demoDomains
	}
	return c
}

// DemoAnnouncement is printed as one line of JSON when the demo is ready.
type DemoAnnouncement struct {
	Entries  []string
	Platform string
	Folder   string
	// Keys and Routes are indexed by organisation.
	Keys     map[string]string
	Routes   DemoRoutes
	StandIns DemoStandIns
}

// DemoRoutes holds the name of one model route and one service route of each organisation.
type DemoRoutes struct {
	Model   map[string]string
	Service map[string]string
}

// DemoStandIns holds the URLs of the stand-ins.
type DemoStandIns struct {
	Endpoints []string
	// Ledger is the URL of the first ledger. All ledgers share one book.
	Ledger string
}

// Demo runs all processes of a small fleet, the platform and the endpoints in one process.
type Demo struct {
	config       DemoConfig
	announcement DemoAnnouncement
	servers      []demoServer
	platform     *emulator.Platform
	engines      []*emulator.Engine
	ledgers      []*emulator.Ledger

	// mu protects sidecars and entries, whose elements are replaced when a process is started or restarted.
	mu       sync.Mutex
	sidecars []*demoProcess[*Sidecar]
	entries  []*demoProcess[*Entry]
}

// demoProcess is a process of the demo. cancelRun is nil if it has not been started.
type demoProcess[T runner] struct {
	process   T
	cancelRun context.CancelFunc
	// done is closed when Run has returned; err is the result of Run.
	done chan struct{}
	err  error
}

// startProcess runs the process in a goroutine until it is cancelled.
func startProcess[T runner](process T) *demoProcess[T] {
	ctx, cancel := context.WithCancel(context.Background())
	p := &demoProcess[T]{process: process, cancelRun: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = process.Run(ctx)
	}()
	return p
}

// shutdown starts a graceful shutdown and waits until it has completed.
func (p *demoProcess[T]) shutdown() error {
	p.cancelRun()
	<-p.done
	return p.err
}

type demoServer struct {
	server   *http.Server
	listener net.Listener
}

// Announcement returns what the demo prints when it is ready.
func (d *Demo) Announcement() DemoAnnouncement { return d.announcement }

// Entries returns the entries of the demo.
func (d *Demo) Entries() []*Entry { return listProcesses(&d.mu, &d.entries) }

// Sidecars returns the sidecars of the demo, those of the model engines first.
func (d *Demo) Sidecars() []*Sidecar { return listProcesses(&d.mu, &d.sidecars) }

func listProcesses[T runner](mu *sync.Mutex, all *[]*demoProcess[T]) []T {
	mu.Lock()
	defer mu.Unlock()
	out := make([]T, 0, len(*all))
	for _, p := range *all {
		out = append(out, p.process)
	}
	return out
}

// Ledgers returns the stand-ins of the plain service, in the order of their sidecars.
func (d *Demo) Ledgers() []*emulator.Ledger { return d.ledgers }

// StopEntry shuts an entry down gracefully and waits until it has ended. For a killed entry it only waits.
func (d *Demo) StopEntry(index int) error { return processAt(&d.mu, &d.entries, index).shutdown() }

// StopSidecar shuts a sidecar down gracefully and waits until it has ended. For a killed sidecar it only waits.
func (d *Demo) StopSidecar(index int) error { return processAt(&d.mu, &d.sidecars, index).shutdown() }

func processAt[T runner](mu *sync.Mutex, all *[]*demoProcess[T], index int) *demoProcess[T] {
	mu.Lock()
	defer mu.Unlock()
	return (*all)[index]
}

// RestartEntry waits until an entry has ended and starts a new incarnation of it at the same addresses.
func (d *Demo) RestartEntry(index int) error {
	old := processAt(&d.mu, &d.entries, index)
	<-old.done
	settings := old.process.settings
	settings.Listen, settings.PeerListen = old.process.callerListener.Addr().String(), old.process.peerListener.Addr().String()
	entry, err := NewEntry(settings, old.process.log)
	if err != nil {
		return err
	}
	replaceProcess(&d.mu, &d.entries, index, startProcess(entry))
	return nil
}

// RestartSidecar waits until a sidecar has ended and starts a new incarnation of it at the same address.
func (d *Demo) RestartSidecar(index int) error {
	old := processAt(&d.mu, &d.sidecars, index)
	<-old.done
	settings := old.process.settings
	settings.PeerListen = old.process.peerListener.Addr().String()
	sidecar, err := NewSidecar(settings, old.process.log)
	if err != nil {
		return err
	}
	replaceProcess(&d.mu, &d.sidecars, index, startProcess(sidecar))
	return nil
}

func replaceProcess[T runner](mu *sync.Mutex, all *[]*demoProcess[T], index int, p *demoProcess[T]) {
	mu.Lock()
	defer mu.Unlock()
	(*all)[index] = p
}

// Engines returns the stand-ins of the model engines, in the order of their sidecars.
func (d *Demo) Engines() []*emulator.Engine { return d.engines }

// Platform returns the stand-in of the platform.
func (d *Demo) Platform() *emulator.Platform { return d.platform }

// Ready reports whether every entry has a configuration, a share of the limits, and a live state for at least as many
// endpoints as the fleet has without its spares.
func (d *Demo) Ready() bool { return d.isReady() }

// NewDemo opens all listeners and assembles the processes. Run starts them.
func NewDemo(c DemoConfig) (*Demo, error) {
	c.Fleet = c.Fleet.withDefaults()
	d := &Demo{config: c}
	for _, step := range []func() error{d.openPlatform, d.prepareFolder, d.openEndpoints, d.openEntries} {
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

// serveStandIn opens a listener for the handler of a stand-in and returns its URL.
func (d *Demo) serveStandIn(handler http.Handler) (string, error) {
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
	d.announcement.Platform, err = d.serveStandIn(d.platform.Handler())
	return err
}

func (d *Demo) prepareFolder() (err error) {
	if d.config.Folder == "" {
		if d.config.Folder, err = os.MkdirTemp("", "geraniumladder-demo-"); err != nil {
			return errors.Wrap(err, "create a temporary folder; specify a folder with --folder")
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

func (d *Demo) commonSettings(name string, index int) configurer.Common {
	return configurer.Common{
		VM: fmt.Sprintf("%s-%d", name, index+1), FailureDomain: d.config.Fleet.Domains[index%len(d.config.Fleet.Domains)],
		Platform: d.announcement.Platform, Secret: demoSecret("demo"), PeerListen: "127.0.0.1:0", LogLevel: "info",
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
		url, err := d.serveStandIn(wrapHandler(d.config.WrapEngine, i, engine.Handler()))
		if err != nil {
			return err
		}
		d.announcement.StandIns.Endpoints = append(d.announcement.StandIns.Endpoints, url)
		s := configurer.Defaults[configurer.Sidecar]()
		s.Common = d.commonSettings("model", i)
		if d.config.ProxyEngine != nil {
			url = d.config.ProxyEngine(i, url)
		}
		s.Endpoint.URL, s.Endpoint.BaseModel, s.Endpoint.ChecksFence = url, demoBaseModel, i%2 == 0
		s.Endpoint.Slots, s.Endpoint.MaxRunning = fleet.Slots, fleet.Batch
		s.Endpoint.TokensPerSecond = float64(fleet.Batch) * float64(time.Second) / float64(fleet.StepTime)
		if err := d.addSidecar(s, i >= fleet.Models); err != nil {
			return err
		}
	}
	ledgerBook := emulator.NewBookingLog()
	for i := range fleet.Ledgers {
		ledger := emulator.NewLedger(emulator.LedgerConfig{Book: ledgerBook, WorkTime: fleet.BookingTime})
		d.ledgers = append(d.ledgers, ledger)
		url, err := d.serveStandIn(wrapHandler(d.config.WrapLedger, i, ledger.Handler()))
		if err != nil {
			return err
		}
		if i == 0 {
			d.announcement.StandIns.Ledger = url
		}
		s := configurer.Defaults[configurer.Sidecar]()
		s.Common = d.commonSettings("ledger", i)
		if d.config.ProxyLedger != nil {
			url = d.config.ProxyLedger(i, url)
		}
		s.Endpoint.URL, s.Endpoint.Kind, s.Endpoint.Service = url, "service", demoService
		if err := d.addSidecar(s, false); err != nil {
			return err
		}
	}
	return nil
}

func wrapHandler(wrap func(int, http.Handler) http.Handler, index int, handler http.Handler) http.Handler {
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
		d.registerVM(sidecar, storer.StateLive)
	}
	return nil
}

func (d *Demo) registerVM(s *Sidecar, state string) {
	d.platform.VMList.Register(emulator.RegisteredVM{
		VM: s.settings.VM, Address: s.Address(), FailureDomain: s.settings.FailureDomain,
		Role: string(wire.DescriptorRoleSidecar), State: state,
	})
}

// StartSpare registers a spare endpoint with the platform and starts its sidecar. It may be called while the demo runs.
func (d *Demo) StartSpare(vm string) error {
	index, err := d.sidecarIndex(vm)
	if err != nil {
		return err
	}
	p := processAt(&d.mu, &d.sidecars, index)
	if p.cancelRun != nil {
		return errors.Newf("the sidecar on VM %s is already running; specify a spare endpoint", vm)
	}
	d.registerVM(p.process, storer.StateLive)
	replaceProcess(&d.mu, &d.sidecars, index, startProcess(p.process))
	return nil
}

// DrainEndpoint starts the graceful shutdown of an endpoint's sidecar. Its VM is removed from the platform's list once
// the sidecar has ended. It may be called while the demo runs.
func (d *Demo) DrainEndpoint(vm string) error {
	index, err := d.sidecarIndex(vm)
	if err != nil {
		return err
	}
	p := processAt(&d.mu, &d.sidecars, index)
	if p.cancelRun == nil {
		return errors.Newf("the sidecar on VM %s is not running; specify a live endpoint", vm)
	}
	d.registerVM(p.process, storer.StateLeaving)
	p.cancelRun()
	go func() {
		<-p.done
		d.platform.VMList.Remove(vm)
	}()
	return nil
}

func (d *Demo) sidecarIndex(vm string) (index int, err error) {
	for i, s := range d.Sidecars() {
		if s.settings.VM == vm {
			return i, nil
		}
	}
	return 0, errors.Newf("the demo has no sidecar on VM %q; specify the VM of an endpoint", vm)
}

// Engine returns the model engine of the sidecar on the given VM.
func (d *Demo) Engine(vm string) (*emulator.Engine, error) {
	index, err := d.sidecarIndex(vm)
	if err != nil || index >= len(d.engines) {
		return nil, errors.Newf("the demo has no model engine on VM %q; specify the VM of a model endpoint", vm)
	}
	return d.engines[index], nil
}

func (d *Demo) openEntries() error {
	for i := range d.config.Fleet.Entries {
		s := configurer.Defaults[configurer.Entry]()
		s.Common = d.commonSettings("entry", i)
		s.Listen = "127.0.0.1:0"
		s.DrainDelay, s.LoadRate = d.config.DrainDelay, d.config.Fleet.LoadRate
		if i == 0 {
			s.Listen = d.config.Listen
		}
		entry, err := NewEntry(s, d.config.Log.With().Str("Vm", s.VM).Logger())
		if err != nil {
			return err
		}
		// This replaces the recorder that NewEntry made, which writes only once per reporter.DefaultInterval.
		entry.recorder = entry.newRecorder(demoBurnInterval)
		d.entries = append(d.entries, &demoProcess[*Entry]{process: entry})
		d.announcement.Entries = append(d.announcement.Entries, entry.URL())
		d.platform.VMList.Register(emulator.RegisteredVM{
			VM: s.VM, Address: entry.Address(), FailureDomain: s.FailureDomain, Role: string(wire.DescriptorRoleEntry), State: "live",
		})
	}
	return nil
}

// Run runs the demo until ctx is cancelled. It then stops the entries, the sidecars and the stand-ins in this order, so
// that no request is interrupted. The announcement is written to out as soon as every entry can serve every route.
func (d *Demo) Run(ctx context.Context, out io.Writer) error {
	var standIns run.Group
	for _, s := range d.servers {
		addServer(&standIns, s.server, s.listener)
	}
	standInsCtx, stopStandIns := context.WithCancel(context.Background())
	standIns.Add(func() error { <-standInsCtx.Done(); return nil }, func(error) { stopStandIns() })
	standInsErr := make(chan error, 1)
	go func() { standInsErr <- standIns.Run() }()

	firstSpare := d.config.Fleet.Models
	startAll(&d.mu, d.sidecars[:firstSpare])
	startAll(&d.mu, d.sidecars[firstSpare+d.config.Fleet.Spares:])
	startAll(&d.mu, d.entries)
	watchErr := make(chan error, 1)
	go func() { watchErr <- d.watchFolder(ctx) }()

	err := d.announce(ctx, out)
	if err == nil {
		<-ctx.Done()
	}
	d.config.Log.Info().Msg("demo: shutting down")
	err = errors.Join(err, stopAll(&d.mu, &d.entries))
	err = errors.Join(err, stopAll(&d.mu, &d.sidecars))
	for _, e := range d.engines {
		e.Close()
	}
	d.closeSpares()
	stopStandIns()
	return errors.Join(err, <-standInsErr, <-watchErr)
}

// closeSpares closes the listeners of sidecars that were never started.
func (d *Demo) closeSpares() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.sidecars {
		if p.cancelRun == nil {
			_ = p.process.peerListener.Close()
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
		all[i] = startProcess(p.process)
	}
}

// stopAll cancels all running processes before it waits for any of them, so that they shut down in parallel.
func stopAll[T runner](mu *sync.Mutex, all *[]*demoProcess[T]) error {
	mu.Lock()
	var running []*demoProcess[T]
	for _, p := range *all {
		if p.cancelRun != nil {
			running = append(running, p)
		}
	}
	mu.Unlock()
	for _, p := range running {
		p.cancelRun()
	}
	var err error
	for _, p := range running {
		err = errors.Join(err, p.shutdown())
	}
	return err
}

// watchFolder applies the operators' folder at the start and after each change.
func (d *Demo) watchFolder(ctx context.Context) error {
	client := storer.NewClient(storer.ClientConfig{URL: d.announcement.Platform})
	defer client.Close()
	return applier.Watch(ctx, applier.WatchConfig{
		Config: applier.Config{Table: client, Objects: client},
		Report: func(result applier.ApplyResult, err error) {
			if err != nil {
				d.config.Log.Error().Msg("demo: configuration rejected: " + err.Error())
				return
			}
			d.config.Log.Info().Int64("Revision", result.Revision).Msg("demo: configuration accepted")
		},
	}, d.config.Folder)
}

// announce waits until the demo is ready and writes the announcement.
func (d *Demo) announce(ctx context.Context, out io.Writer) error {
	deadline := time.Now().Add(demoReadyTimeout)
	for !d.isReady() {
		if time.Now().After(deadline) {
			return errors.New("the demo was not ready in time; check the log above for rejected configurations")
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

func (d *Demo) isReady() bool {
	for _, e := range d.Entries() {
		status := e.Router().Status()
		liveEndpoints := 0
		for _, endpoint := range status.Endpoints {
			if endpoint.State == string(wire.HeartbeatStateLive) {
				liveEndpoints++
			}
		}
		hasShare := len(status.Limits) > 0 && status.Limits[0].Rate > 0
		if status.Revision == 0 || liveEndpoints < d.config.Fleet.Models+d.config.Fleet.Ledgers || !hasShare {
			return false
		}
	}
	return true
}
