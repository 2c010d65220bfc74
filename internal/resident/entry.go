// Package resident assembles the processes that run on a platform which provides endpoints, configuration and a store:
// an entry that reaches endpoints directly, and the sidecar that gives a model engine orders. It owns the loops of one
// process. What the platform calls things is left to the package that implements Platform.
package resident

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"geraniumladder/internal/connector"
	"geraniumladder/internal/forwarder"
	"geraniumladder/internal/gossiper"
	"geraniumladder/internal/looper"
	"geraniumladder/internal/meter"
	"geraniumladder/internal/registrar"
	"geraniumladder/internal/sharer"
	"geraniumladder/internal/wire"
)

// Platform is what the processes need of the platform.
type Platform interface {
	registrar.Source
	// OperatorsTable holds the configuration and the declared versions, EndpointsTable what endpoints register.
	OperatorsTable() string
	EndpointsTable() string
	// DecodeOperators returns nil for a configuration that isn't there. Rows that can't be decoded are logged.
	DecodeOperators(t registrar.Table, log zerolog.Logger) (*registrar.Configuration, map[registrar.AdapterKey]int64)
	DecodeEndpoints(t registrar.Table, log zerolog.Logger) []registrar.Endpoint
}

const (
	// operatorsWait holds reads of the operators' table open: a change arrives at once, and a connection that has gone
	// silent is noticed soon enough.
	operatorsWait = 2 * time.Second
	// endpointsPauses is the number of reads of the endpoints' table, in which something changes all the time, while a
	// leaving endpoint may still get requests.
	endpointsPauses = 4
	// demandEvery is the time between two messages to a sidecar.
	demandEvery = 600 * time.Millisecond
	// changedEvery is the time between two looks for sidecars that should hear of new requests.
	changedEvery = 40 * time.Millisecond
	tidyEvery    = time.Second
	// copyEvery is the time between two looks for newer tables at peers, copyTimeout bounds one copy.
	copyEvery   = 250 * time.Millisecond
	copyTimeout = 800 * time.Millisecond
	// noticeTime is how long after the start of a planned stop the balancer may still send callers: it asks once a
	// second, and two answers must be missing.
	noticeTime = 3 * time.Second
	// stopMargin is left before the platform kills the process.
	stopMargin = 250 * time.Millisecond
	// memoryShare of the process's limit is what the collector aims to stay under.
	memoryShare = 0.6
	headerTime  = 10 * time.Second
	idleTime    = 90 * time.Second
)

// Kinds of datagrams.
const (
	kindEngineState = "EngineState"
	kindEntryDemand = "EntryDemand"
	kindEntryState  = "EntryState"
)

const tablePath = "/peer/tables/"

// EntryConfig configures an Entry. Addresses are HOST:PORT.
type EntryConfig struct {
	VM, Domain string
	// CallerAddress faces callers, ReadyAddress the balancer, PeerAddress the other processes.
	CallerAddress, ReadyAddress, PeerAddress, MetricsAddress string
	// ReadyPath is the page that the balancer asks.
	ReadyPath string
	// MetricsPath is the page of the metrics.
	MetricsPath string
	PeerPort    int
	Platform    Platform
	Translator  forwarder.Translator
	Tuning      Tuning
	Reload      Reload
	Log         zerolog.Logger
}

// Entry is the process that faces callers.
type Entry struct {
	config    EntryConfig
	log       zerolog.Logger
	forwarder *forwarder.Forwarder
	sharer    *sharer.Sharer
	gossiper  *gossiper.Gossiper
	operators *registrar.Follower
	endpoints *registrar.Follower
	meter     *meter.Meter
	leaving   atomic.Bool
	// hasEndpoints is set once requests can go to the listed endpoints.
	hasEndpoints atomic.Bool
	boot         string
	tuning       atomic.Pointer[Tuning]

	// mu orders changes of the configuration and of the endpoints, which depend on each other.
	mu     sync.Mutex
	listed []registrar.Endpoint
}

// NewEntry opens the socket for datagrams and assembles the entry.
func NewEntry(c EntryConfig) (*Entry, error) {
	limitMemory(c.Tuning)
	instruments, err := meter.New(meter.Config{Role: "entry", VM: c.VM})
	if err != nil {
		return nil, err
	}
	g, err := gossiper.Listen(gossiper.Config{Address: c.PeerAddress, Log: c.Log})
	if err != nil {
		return nil, err
	}
	e := &Entry{config: c, log: c.Log, gossiper: g, meter: instruments, boot: g.Next().Boot}
	e.tuning.Store(&c.Tuning)
	e.sharer = sharer.New(sharer.Config{
		VM: c.VM, Address: c.PeerAddress, Seeds: c.Tuning.Seeds, Allowance: c.Tuning.LimitAllowance, Now: time.Now, Log: c.Log,
	})
	e.forwarder = forwarder.New(forwarder.Config{
		VM: c.VM, Domain: c.Domain, Translator: c.Translator, Pool: connector.New(connector.Config{}),
		Admitter: e.sharer, Observer: instruments, Demand: e.sendDemand, Retry: c.Tuning.Retry, Entries: e.sharer.Entries,
		Now: time.Now, Seed: uint64(time.Now().UnixNano()), Log: c.Log,
	})
	e.operators = registrar.NewFollower(registrar.FollowerConfig{
		Table: c.Platform.OperatorsTable(), Source: c.Platform, Wait: operatorsWait,
		OnChange: e.setOperators, Now: time.Now, Log: c.Log,
	})
	e.endpoints = registrar.NewFollower(registrar.FollowerConfig{
		Table: c.Platform.EndpointsTable(), Source: c.Platform,
		Pause: endpointsPause(c.Tuning), KeepsLapsed: true,
		OnChange: e.setEndpoints, Now: time.Now, Log: c.Log,
	})
	gossiper.Handle(g, kindEngineState, func(s wire.EngineState) (string, gossiper.Stamp) {
		return s.Address, gossiper.Stamp{Boot: s.Boot, Sequence: s.Sequence}
	}, func(s wire.EngineState, _ string) { e.forwarder.SetState(s) })
	gossiper.Handle(g, kindEntryState, func(s wire.EntryState) (string, gossiper.Stamp) {
		return s.VM, gossiper.Stamp{Boot: s.Boot, Sequence: s.Sequence}
	}, func(s wire.EntryState, _ string) { e.sharer.Hear(s) })
	return e, nil
}

func endpointsPause(t Tuning) time.Duration {
	return time.Duration(float64(t.LeaveTime) / endpointsPauses)
}

// tune takes changed settings over.
func (e *Entry) tune(t Tuning) {
	limitMemory(t)
	e.tuning.Store(&t)
	e.sharer.Tune(t.Seeds, t.LimitAllowance)
	e.forwarder.SetRetry(t.Retry)
	e.endpoints.SetPause(endpointsPause(t))
}

func (e *Entry) setOperators(t registrar.Table) {
	configuration, versions := e.config.Platform.DecodeOperators(t, e.log)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forwarder.SetVersions(versions)
	if configuration != nil && e.forwarder.SetConfiguration(configuration) {
		e.sharer.SetOrganisations(configuration.Organisations())
		e.forwarder.SetEndpoints(e.listed)
		e.log.Info().Int64("Revision", configuration.Version()).Int64("StoreVersion", t.Version).Msg("entry: configuration in force")
	}
}

func (e *Entry) setEndpoints(t registrar.Table) {
	list := e.config.Platform.DecodeEndpoints(t, e.log)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.logEndpoints(list)
	e.listed = list
	e.forwarder.SetEndpoints(list)
	e.hasEndpoints.Store(true)
}

// logEndpoints writes a line for each endpoint that came, left or began to leave.
func (e *Entry) logEndpoints(list []registrar.Endpoint) {
	old := make(map[string]registrar.Endpoint, len(e.listed))
	for _, was := range e.listed {
		old[was.ID] = was
	}
	for _, is := range list {
		was, known := old[is.ID]
		delete(old, is.ID)
		if !known || was.Born != is.Born || was.IsLeaving != is.IsLeaving {
			e.log.Info().Str("Endpoint", is.ID).Str("Service", is.Service).Str("Address", is.Address).
				Bool("IsLeaving", is.IsLeaving).Int64("Born", is.Born).Msg("entry: endpoint listed")
		}
	}
	for id, was := range old {
		e.log.Info().Str("Endpoint", id).Str("Address", was.Address).Msg("entry: endpoint gone")
	}
}

// sendDemand tells the sidecar of the engine at the address, or all sidecars, what this entry asks.
func (e *Entry) sendDemand(address string) { e.sendDemands(e.forwarder.Demands(address)) }

func (e *Entry) sendDemands(demands []forwarder.EngineDemand) {
	for _, d := range demands {
		host, _, err := net.SplitHostPort(d.Address)
		if err != nil {
			continue
		}
		stamp := e.gossiper.Next()
		d.Message.Boot, d.Message.Sequence, d.Message.VM = stamp.Boot, stamp.Sequence, e.config.VM
		e.gossiper.Send(kindEntryDemand, d.Message, net.JoinHostPort(host, strconv.Itoa(e.config.PeerPort)))
	}
}

// exchange tells the other entries about this one, at a steady interval and sooner when a limit is scarce.
func (e *Entry) exchange(ctx context.Context) error {
	timer := time.NewTimer(sharer.TellEvery)
	defer timer.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-e.sharer.Wake():
			if pause := sharer.TellSoonest - time.Since(last); pause > 0 {
				time.Sleep(pause)
			}
		}
		last = time.Now()
		timer.Reset(e.sharer.TellEvery())
		stamp := e.gossiper.Next()
		message, to := e.sharer.Message(stamp.Boot, stamp.Sequence, map[string]int64{
			e.config.Platform.OperatorsTable(): e.operators.Table().Version,
			e.config.Platform.EndpointsTable(): e.endpoints.Table().Version,
		})
		if len(to) > 0 {
			e.gossiper.Send(kindEntryState, message, to...)
		}
	}
}

// copyTables takes newer tables from peers while the store doesn't answer this entry.
func (e *Entry) copyTables(ctx context.Context) {
	for _, f := range []*registrar.Follower{e.operators, e.endpoints} {
		table := f.Table()
		if table.Version > 0 && f.Failing() < storeSilence {
			continue
		}
		for _, address := range e.sharer.Newer(f.Name(), table.Version) {
			rows, err := fetchTable(ctx, address, f.Name())
			if err != nil {
				e.log.Warn().Err(err).Str("Peer", address).Str("Table", f.Name()).Msg("entry: table not copied")
				continue
			}
			if f.Merge(rows) {
				e.log.Info().Str("Peer", address).Str("Table", f.Name()).Int64("From", table.Version).
					Int64("To", rows.Version).Msg("entry: table copied from a peer")
			}
			break
		}
	}
}

// storeSilence is how long reads must have failed before peers are asked: longer than one that was turned away by
// chance, short against the time in which a change must be known. A process that has just started asks at once.
const storeSilence = 200 * time.Millisecond

var copyClient = &http.Client{Timeout: copyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func fetchTable(ctx context.Context, address, table string) (registrar.Rows, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+tablePath+table, nil)
	if err != nil {
		return registrar.Rows{}, errors.Wrap(err, "ask a peer for a table")
	}
	response, err := copyClient.Do(request)
	if err != nil {
		return registrar.Rows{}, errors.Wrap(err, "ask a peer for a table")
	}
	defer func() { _ = response.Body.Close() }()
	var copied wire.TableCopy
	if err := json.NewDecoder(response.Body).Decode(&copied); err != nil {
		return registrar.Rows{}, errors.Wrap(err, "decode a peer's table")
	}
	rows := registrar.Rows{Version: copied.Version}
	for _, r := range copied.Rows {
		rows.Rows = append(rows.Rows, registrar.Row{Key: r.Key, Value: r.Value, Version: r.Version})
	}
	return rows, nil
}

// peerPages serves the other entries.
func (e *Entry) peerPages() http.Handler {
	pages := echo.New()
	pages.GET(tablePath+":table", func(c echo.Context) error {
		for _, f := range []*registrar.Follower{e.operators, e.endpoints} {
			if f.Name() != c.Param("table") {
				continue
			}
			t := f.Table()
			copied := wire.TableCopy{Table: f.Name(), Version: t.Version, Rows: []wire.TableRow{}}
			for _, r := range t.Rows {
				copied.Rows = append(copied.Rows, wire.TableRow{Key: r.Key, Value: r.Value, Version: r.Version})
			}
			return c.JSON(http.StatusOK, copied)
		}
		return echo.NewHTTPError(http.StatusNotFound, "there is no such table")
	})
	return pages
}

// readyPages serves the balancer.
func (e *Entry) readyPages() http.Handler {
	pages := echo.New()
	pages.GET(e.config.ReadyPath, func(c echo.Context) error {
		if e.isReady() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	return pages
}

func (e *Entry) isReady() bool {
	return !e.leaving.Load() && e.forwarder.Configuration() != nil && e.hasEndpoints.Load()
}

// Run serves until ctx ends, and then stops as planned.
func (e *Entry) Run(ctx context.Context) error {
	callers := pageServer(e.forwarder)
	var group run.Group
	for _, s := range []struct {
		address string
		server  *http.Server
	}{
		{e.config.CallerAddress, callers},
		{e.config.ReadyAddress, pageServer(e.readyPages())},
		{e.config.PeerAddress, pageServer(e.peerPages())},
		{e.config.MetricsAddress, pageServer(metricsPages(e.config.MetricsPath, e.meter))},
	} {
		if err := addServer(&group, s.server, s.address); err != nil {
			return err
		}
	}
	addLoop(&group, func(ctx context.Context) error {
		return looper.Run(ctx, e.gossiper.Run, e.operators.Run, e.endpoints.Run, e.exchange,
			looper.Every(demandEvery, func(context.Context) { e.sendDemand("") }),
			looper.Every(changedEvery, func(context.Context) { e.sendDemands(e.forwarder.ChangedDemands()) }),
			looper.Every(forwarder.LivenessInterval, func(context.Context) { e.forwarder.CheckLiveness() }),
			looper.Every(tidyEvery, func(context.Context) { e.forwarder.Tidy() }),
			looper.Every(copyEvery, e.copyTables))
	})
	addLoop(&group, reloads(e.config.Reload, e.tune, e.log))
	stopped := make(chan struct{})
	group.Add(func() error {
		select {
		case <-ctx.Done():
			e.stop(callers)
		case <-stopped:
		}
		return nil
	}, func(error) { close(stopped) })
	e.log.Info().Str("Callers", e.config.CallerAddress).Str("Peers", e.config.PeerAddress).Str("Boot", e.boot).Msg("entry: started")
	err := group.Run()
	e.log.Info().AnErr("Error", err).Msg("entry: stopped")
	return err
}

// stop ends the work without cutting an answer: the balancer is told first, callers are asked to connect elsewhere, and
// what is open then gets the rest of the time.
func (e *Entry) stop(callers *http.Server) {
	begin, timeout := time.Now(), e.tuning.Load().StopTimeout
	e.log.Info().Int64("Open", e.forwarder.OpenRequests()).Dur("Timeout", timeout).Msg("entry: stopping")
	e.leaving.Store(true)
	e.sharer.Leave()
	e.forwarder.Leave()
	time.Sleep(min(noticeTime, timeout/2))
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(timeout-stopMargin))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		e.log.Warn().Err(err).Int64("Open", e.forwarder.OpenRequests()).Msg("entry: requests cut at the end of the stop")
	}
}

func pageServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
}

func metricsPages(path string, m *meter.Meter) http.Handler {
	pages := echo.New()
	pages.GET(path, echo.WrapHandler(m.Handler()))
	return pages
}

func addServer(g *run.Group, server *http.Server, address string) error {
	if address == "" {
		return nil
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s; make the port free", address)
	}
	ended := make(chan struct{})
	g.Add(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		// A planned stop closes this server first; the group ends after it.
		<-ended
		return nil
	}, func(error) {
		close(ended)
		_ = server.Close()
	})
	return nil
}

func addLoop(g *run.Group, loop looper.Loop) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}
