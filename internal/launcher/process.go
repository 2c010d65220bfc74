// Package launcher assembles the processes: entry, sidecar, and the demo, which runs a whole fleet with stand-ins for
// the platform and the endpoints in one process. It owns the listeners and the order of a graceful shutdown.
package launcher

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"geraniumladder/internal/applier"
	"geraniumladder/internal/authenticator"
	"geraniumladder/internal/configurer"
	"geraniumladder/internal/dispatcher"
	"geraniumladder/internal/isolator"
	"geraniumladder/internal/lender"
	"geraniumladder/internal/merger"
	"geraniumladder/internal/messenger"
	"geraniumladder/internal/meter"
	"geraniumladder/internal/reporter"
	"geraniumladder/internal/router"
	"geraniumladder/internal/storer"
	"geraniumladder/internal/wire"
)

// shutdownTimeout limits http.Server.Shutdown, which runs after the last request has completed.
const shutdownTimeout = 5 * time.Second

// NewLog returns a logger at the given level, or at info if the level is not valid. It writes plain text to a terminal
// and JSON otherwise.
func NewLog(out io.Writer, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	if file, ok := out.(*os.File); ok {
		if info, err := file.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
			out = zerolog.ConsoleWriter{Out: file, TimeFormat: time.TimeOnly}
		}
	}
	return zerolog.New(out).Level(parsed).With().Timestamp().Logger()
}

// Entry is an entry process, which accepts requests from callers.
type Entry struct {
	settings       configurer.Entry
	log            zerolog.Logger
	callerListener net.Listener
	peerListener   net.Listener
	router         *router.Router
	recorder       *reporter.Recorder
	processBase
}

// Sidecar is the process that runs beside an endpoint.
type Sidecar struct {
	settings     configurer.Sidecar
	log          zerolog.Logger
	peerListener net.Listener
	dispatcher   *dispatcher.Dispatcher
	processBase
}

// processBase holds what Entry and Sidecar have in common.
type processBase struct {
	signer            authenticator.Signer
	messenger         *messenger.Messenger
	platform          *storer.Client
	meter             *meter.Meter
	advertisedAddress string
	// killed is closed by Kill.
	killed chan struct{}
}

func newProcessBase(c configurer.Common, role string, peers net.Listener, log zerolog.Logger) (processBase, error) {
	signer, err := authenticator.New(authenticator.Config{Secret: c.Secret})
	if err != nil {
		return processBase{}, errors.Wrap(err, "invalid secret; set Secret or GERANIUMLADDER_SECRET")
	}
	instruments, err := meter.New(meter.Config{Role: role, VM: c.VM})
	if err != nil {
		return processBase{}, err
	}
	advertisedAddress := c.Advertise
	if advertisedAddress == "" {
		advertisedAddress = peers.Addr().String()
	}
	return processBase{
		signer: signer, messenger: messenger.New(messenger.Config{Signer: signer}),
		platform: storer.NewClient(storer.ClientConfig{URL: c.Platform, Log: log}), meter: instruments, advertisedAddress: advertisedAddress,
		killed: make(chan struct{}),
	}, nil
}

func listen(address, setting string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	return l, errors.Wrapf(err, "listen on %s; set %s to a free address", address, setting)
}

// NewEntry opens the listeners of an entry and assembles the process.
func NewEntry(settings configurer.Entry, log zerolog.Logger) (*Entry, error) {
	callerListener, err := listen(settings.Listen, "Listen")
	if err != nil {
		return nil, err
	}
	peerListener, err := listen(settings.PeerListen, "PeerListen")
	if err != nil {
		return nil, err
	}
	base, err := newProcessBase(settings.Common, "entry", peerListener, log)
	if err != nil {
		return nil, err
	}
	e := &Entry{settings: settings, log: log, callerListener: callerListener, peerListener: peerListener, processBase: base}
	incarnation := dispatcher.NewIncarnation(time.Now())
	var tokenLender *lender.Lender
	requests := isolator.New(isolator.Config{Now: time.Now, Log: log, Part: "entry"})
	follower := applier.NewFollower(applier.FollowerConfig{
		Table: base.platform, Objects: base.platform, Poll: settings.HeadPoll, Log: log,
		PeerDeltas: func(ctx context.Context, from int64) ([]merger.NumberedDelta, error) {
			return router.FetchDeltas(ctx, base.messenger, tokenLender.EntryAddresses(), from)
		},
		// peerStoreDown is true if at least one reachable peer reports that the store is unavailable to it.
		OtherEntries: func() (listed, reachable int, peerStoreDown bool) { return tokenLender.PeerCounts() },
	})
	tokenLender, err = lender.New(lender.Config{
		Self:      wire.EntryMember{VM: settings.VM, Incarnation: incarnation, Address: base.advertisedAddress},
		Messenger: base.messenger, Table: base.platform, VMs: base.platform, Now: time.Now, Log: log,
		Freshness: follower.Freshness, RecordFreshness: follower.RecordFreshness,
		Evidence: requests.Evidence, RecordEvidence: func(crashes []wire.EndpointCrash, answers []wire.RequestAnswer) { requests.Merge(crashes, answers) },
		// The router is created below, because it needs the lender.
		State:         func() string { return e.router.State() },
		AdmissionWait: settings.AdmissionWait, LoadRate: settings.LoadRate, LoadsInFlight: settings.LoadsInFlight,
	})
	if err != nil {
		return nil, err
	}
	if err := base.meter.EvacuatedDomains(func() int { return len(follower.Current().EvacuatedDomains()) }); err != nil {
		return nil, err
	}
	e.router = router.New(router.Config{
		Settings: settings, Incarnation: incarnation, AdvertiseAddress: base.advertisedAddress, Platform: base.platform,
		Messenger: base.messenger, Signer: base.signer, Follower: follower, Lender: tokenLender, Isolator: requests, Meter: base.meter, Log: log,
		Seed: uint64(time.Now().UnixNano()), //nolint:forbidigo // A seed.
	})
	e.recorder = e.newRecorder(reporter.DefaultInterval)
	return e, nil
}

func (e *Entry) newRecorder(interval time.Duration) *reporter.Recorder {
	return reporter.NewRecorder(reporter.RecorderConfig{
		Table: e.platform, VM: e.settings.VM, Gather: e.meter.Totals, Interval: interval, Now: time.Now, Log: e.log,
	})
}

// shutdown drains the entry and then writes the burn report rows a last time, so that they include the last request. If
// the store is not reachable, events since the previous write are lost, as they are when the VM fails.
func (e *Entry) shutdown(ctx context.Context) error {
	err := e.router.Drain(ctx)
	if recordErr := e.recorder.Record(ctx); recordErr != nil {
		e.log.Warn().Msg("entry: could not write the final burn report rows: " + recordErr.Error())
	}
	return err
}

// URL returns the base URL for callers.
func (e *Entry) URL() string { return "http://" + e.callerListener.Addr().String() }

// Address returns the address that other processes use.
func (e *Entry) Address() string { return e.advertisedAddress }

// Router returns the entry's router, for tests and the demo.
func (e *Entry) Router() *router.Router { return e.router }

// Run serves until ctx is cancelled and then shuts down gracefully: requests in progress are completed.
func (e *Entry) Run(ctx context.Context) error {
	var g run.Group
	addServer(&g, messenger.NewServer(messenger.ServerConfig{Handler: e.router.Handler(), HTTP1: true}), e.callerListener)
	addServer(&g, messenger.NewServer(messenger.ServerConfig{Handler: e.router.PeerHandler(), HTTP1: true}), e.peerListener)
	addTask(&g, e.router.Run)
	addTask(&g, e.recorder.Run)
	e.addShutdown(ctx, &g, e.settings.StopTimeout, e.shutdown)
	e.log.Info().Str("Callers", e.URL()).Str("Peers", e.advertisedAddress).Msg("entry: started")
	return e.finish(g.Run())
}

// NewSidecar opens the listener of a sidecar and assembles the process.
func NewSidecar(settings configurer.Sidecar, log zerolog.Logger) (*Sidecar, error) {
	peerListener, err := listen(settings.PeerListen, "PeerListen")
	if err != nil {
		return nil, err
	}
	base, err := newProcessBase(settings.Common, "sidecar", peerListener, log)
	if err != nil {
		return nil, err
	}
	return &Sidecar{
		settings: settings, log: log, peerListener: peerListener, processBase: base,
		dispatcher: dispatcher.New(dispatcher.Config{
			Settings: settings, Platform: base.platform, Messenger: base.messenger, Signer: base.signer,
			Meter: base.meter, Log: log, Advertise: base.advertisedAddress,
		}),
	}, nil
}

// Address returns the address that other processes use.
func (s *Sidecar) Address() string { return s.advertisedAddress }

// Dispatcher returns the sidecar's dispatcher, for tests and the demo.
func (s *Sidecar) Dispatcher() *dispatcher.Dispatcher { return s.dispatcher }

// Run serves until ctx is cancelled and then shuts down gracefully: requests in progress are completed.
func (s *Sidecar) Run(ctx context.Context) error {
	var g run.Group
	addServer(&g, messenger.NewServer(messenger.ServerConfig{Handler: s.dispatcher.Handler(), HTTP1: true}), s.peerListener)
	addTask(&g, s.dispatcher.Run)
	s.addShutdown(ctx, &g, s.settings.StopTimeout, s.dispatcher.Leave)
	s.log.Info().Str("Peers", s.advertisedAddress).Str("Endpoint", s.settings.Endpoint.URL).Msg("sidecar: started")
	return s.finish(g.Run())
}

// Kill ends the process immediately and closes its open connections, as a failure of the VM would. Run then returns an
// error.
func (c *processBase) Kill() {
	select {
	case <-c.killed:
	default:
		close(c.killed)
	}
}

var errKilled = errors.New("process killed")

func (c *processBase) finish(err error) error {
	c.messenger.Close()
	c.platform.Close()
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// errStopped ends the run group after a graceful shutdown.
var errStopped = errors.New("stopped")

func addServer(g *run.Group, server *http.Server, l net.Listener) {
	g.Add(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(err error) {
		if errors.Is(err, errKilled) {
			_ = server.Close()
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	})
}

func addTask(g *run.Group, task func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		if err := task(ctx); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
}

// addShutdown adds an actor that waits until ctx is cancelled and then runs the graceful shutdown. The other actors of
// the group keep running until it returns.
func (c *processBase) addShutdown(ctx context.Context, g *run.Group, timeout time.Duration, shutdown func(context.Context) error) {
	abortCtx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		select {
		case <-ctx.Done():
		case <-c.killed:
			return errKilled
		case <-abortCtx.Done():
			return nil
		}
		shutdownCtx, cancelShutdown := context.WithTimeout(abortCtx, timeout)
		defer cancelShutdown()
		go func() {
			select {
			case <-c.killed:
				cancel()
			case <-shutdownCtx.Done():
			}
		}()
		if err := shutdown(shutdownCtx); err != nil {
			return err
		}
		return errStopped
	}, func(error) { cancel() })
}

// demoSecret returns a shared secret of sufficient length for the processes of a demo.
func demoSecret(seed string) string { return strings.Repeat(seed, authenticator.MinSecretBytes) }
