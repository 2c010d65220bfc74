// Package launcher assembles the processes: entry, sidecar, and the demo with all of them and the stand-ins.
// It owns the listeners and the order of a planned stop.
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
	"geraniumladder/internal/lender"
	"geraniumladder/internal/merger"
	"geraniumladder/internal/messenger"
	"geraniumladder/internal/meter"
	"geraniumladder/internal/reporter"
	"geraniumladder/internal/router"
	"geraniumladder/internal/storer"
	"geraniumladder/internal/wire"
)

// shutdownTimeout bounds the closing of a server after the last request has ended.
const shutdownTimeout = 5 * time.Second

// NewLog returns a log at the given level. On a terminal it is written for people, else as JSON.
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

// Entry is an entry process.
type Entry struct {
	settings configurer.Entry
	log      zerolog.Logger
	callers  net.Listener
	peers    net.Listener
	router   *router.Router
	recorder *reporter.Recorder
	common
}

// Sidecar is a sidecar process.
type Sidecar struct {
	settings   configurer.Sidecar
	log        zerolog.Logger
	peers      net.Listener
	dispatcher *dispatcher.Dispatcher
	common
}

// common is what both processes are built on.
type common struct {
	signer    authenticator.Signer
	messenger *messenger.Messenger
	platform  *storer.Client
	meter     *meter.Meter
	advertise string
	// killed is closed by Kill.
	killed chan struct{}
}

func newCommon(c configurer.Common, role string, peers net.Listener) (common, error) {
	signer, err := authenticator.New(authenticator.Config{Secret: c.Secret})
	if err != nil {
		return common{}, errors.Wrap(err, "set Secret, or GERANIUMLADDER_SECRET")
	}
	instruments, err := meter.New(meter.Config{Role: role, VM: c.VM})
	if err != nil {
		return common{}, err
	}
	advertise := c.Advertise
	if advertise == "" {
		advertise = peers.Addr().String()
	}
	return common{
		signer: signer, messenger: messenger.New(messenger.Config{Signer: signer}),
		platform: storer.NewClient(storer.ClientConfig{URL: c.Platform}), meter: instruments, advertise: advertise,
		killed: make(chan struct{}),
	}, nil
}

func listen(address, setting string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	return l, errors.Wrapf(err, "listen on %s; set %s to a free address", address, setting)
}

// NewEntry opens the listeners of an entry and assembles it.
func NewEntry(settings configurer.Entry, log zerolog.Logger) (*Entry, error) {
	callers, err := listen(settings.Listen, "Listen")
	if err != nil {
		return nil, err
	}
	peers, err := listen(settings.PeerListen, "PeerListen")
	if err != nil {
		return nil, err
	}
	base, err := newCommon(settings.Common, "entry", peers)
	if err != nil {
		return nil, err
	}
	e := &Entry{settings: settings, log: log, callers: callers, peers: peers, common: base}
	incarnation := dispatcher.NewIncarnation(time.Now())
	var loans *lender.Lender
	follower := applier.NewFollower(applier.FollowerConfig{
		Table: base.platform, Objects: base.platform, Poll: settings.HeadPoll, Log: log,
		PeerDeltas: func(ctx context.Context, from int64) ([]merger.NumberedDelta, error) {
			return router.FetchDeltas(ctx, base.messenger, loans.Entries(), from)
		},
		OtherEntries: func() (listed, reachable int, peerStoreAway bool) { return loans.Peers() },
	})
	loans, err = lender.New(lender.Config{
		Self:      wire.EntryMember{VM: settings.VM, Incarnation: incarnation, Address: base.advertise},
		Messenger: base.messenger, Table: base.platform, VMs: base.platform, Now: time.Now, Log: log,
		Freshness: follower.Freshness, Observe: follower.Observe,
		State:         func() string { return e.router.State() },
		AdmissionWait: settings.AdmissionWait, LoadRate: settings.LoadRate, LoadsInFlight: settings.LoadsInFlight,
	})
	if err != nil {
		return nil, err
	}
	e.router = router.New(router.Config{
		Settings: settings, Incarnation: incarnation, Advertise: base.advertise, Platform: base.platform,
		Messenger: base.messenger, Signer: base.signer, Follower: follower, Lender: loans, Meter: base.meter, Log: log,
		Seed: uint64(time.Now().UnixNano()),
	})
	e.recorder = e.newRecorder(reporter.DefaultEvery)
	return e, nil
}

func (e *Entry) newRecorder(every time.Duration) *reporter.Recorder {
	return reporter.NewRecorder(reporter.RecorderConfig{
		Table: e.platform, VM: e.settings.VM, Gather: e.meter.Totals, Every: every, Now: time.Now, Log: e.log,
	})
}

// stop is the planned stop. The burn rows are written once more when the last request has ended; without the store
// the events since the last write are lost, as they are with the VM.
func (e *Entry) stop(ctx context.Context) error {
	err := e.router.Drain(ctx)
	if failure := e.recorder.Record(ctx); failure != nil {
		e.log.Warn().Msg("entry: last burn rows not written: " + failure.Error())
	}
	return err
}

// URL is the entry's address for callers.
func (e *Entry) URL() string { return "http://" + e.callers.Addr().String() }

// Address is the entry's address for other processes.
func (e *Entry) Address() string { return e.advertise }

// Router is the entry's router, for tests and the demo.
func (e *Entry) Router() *router.Router { return e.router }

// Run serves until ctx ends, and then stops as planned: no request is cut off.
func (e *Entry) Run(ctx context.Context) error {
	var g run.Group
	addServer(&g, messenger.NewServer(messenger.ServerConfig{Handler: e.router.Handler(), HTTP1: true}), e.callers)
	addServer(&g, messenger.NewServer(messenger.ServerConfig{Handler: e.router.PeerHandler(), HTTP1: true}), e.peers)
	addWork(&g, e.router.Run)
	addWork(&g, e.recorder.Run)
	e.addStop(ctx, &g, e.settings.StopTimeout, e.stop)
	e.log.Info().Str("Callers", e.URL()).Str("Peers", e.advertise).Msg("entry: started")
	return e.finish(g.Run())
}

// NewSidecar opens the listener of a sidecar and assembles it.
func NewSidecar(settings configurer.Sidecar, log zerolog.Logger) (*Sidecar, error) {
	peers, err := listen(settings.PeerListen, "PeerListen")
	if err != nil {
		return nil, err
	}
	base, err := newCommon(settings.Common, "sidecar", peers)
	if err != nil {
		return nil, err
	}
	return &Sidecar{
		settings: settings, log: log, peers: peers, common: base,
		dispatcher: dispatcher.New(dispatcher.Config{
			Settings: settings, Platform: base.platform, Messenger: base.messenger, Signer: base.signer,
			Meter: base.meter, Log: log, Advertise: base.advertise,
		}),
	}, nil
}

// Address is the sidecar's address for other processes.
func (s *Sidecar) Address() string { return s.advertise }

// Dispatcher is the sidecar's dispatcher, for tests and the demo.
func (s *Sidecar) Dispatcher() *dispatcher.Dispatcher { return s.dispatcher }

// Run serves until ctx ends, and then stops as planned: no request is cut off.
func (s *Sidecar) Run(ctx context.Context) error {
	var g run.Group
	addServer(&g, messenger.NewServer(messenger.ServerConfig{Handler: s.dispatcher.Handler(), HTTP1: true}), s.peers)
	addWork(&g, s.dispatcher.Run)
	s.addStop(ctx, &g, s.settings.StopTimeout, s.dispatcher.Leave)
	s.log.Info().Str("Peers", s.advertise).Str("Endpoint", s.settings.Endpoint.URL).Msg("sidecar: started")
	return s.finish(g.Run())
}

// Kill ends the process as a failed VM does: at once, with open connections cut off. Run returns an error.
func (c *common) Kill() {
	select {
	case <-c.killed:
	default:
		close(c.killed)
	}
}

var errKilled = errors.New("the process was killed")

func (c *common) finish(err error) error {
	c.messenger.Close()
	c.platform.Close()
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// errStopped ends a group after a planned stop.
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

func addWork(g *run.Group, work func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		if err := work(ctx); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
}

// addStop waits for ctx to end and then performs the planned stop, while the rest of the group goes on.
func (c *common) addStop(ctx context.Context, g *run.Group, timeout time.Duration, stop func(context.Context) error) {
	abort, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		select {
		case <-ctx.Done():
		case <-c.killed:
			return errKilled
		case <-abort.Done():
			return nil
		}
		bounded, done := context.WithTimeout(abort, timeout)
		defer done()
		go func() {
			select {
			case <-c.killed:
				cancel()
			case <-bounded.Done():
			}
		}()
		if err := stop(bounded); err != nil {
			return err
		}
		return errStopped
	}, func(error) { cancel() })
}

// Secret returns a usable shared secret for the parts of a demo.
func secret(seed string) string { return strings.Repeat(seed, authenticator.MinSecretBytes) }
