// Package resident assembles the processes that run on a platform which provides endpoints, configuration and a store:
// an entry that reaches endpoints directly, and the sidecar that controls a model engine. It owns the background loops of
// a process. The names that the platform uses are left to the package that implements Platform.
package resident

import (
	"context"
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
	"geraniumladder/pkg/retainer"
)

// Platform is the interface of the platform to the processes.
type Platform interface {
	registrar.Source
	// OperatorsTable returns the name of the table of the configuration and the declared adapter versions, and
	// EndpointsTable that of the endpoint registrations.
	OperatorsTable() string
	EndpointsTable() string
	// DecodeOperators logs rows that can't be decoded.
	DecodeOperators(t registrar.Table, log zerolog.Logger) registrar.Operators
	DecodeEndpoints(t registrar.Table, log zerolog.Logger) []registrar.Endpoint
	// InvalidRows returns the number of versions of rows that couldn't be decoded.
	InvalidRows() int64
}

const (
	// maxOperatorsWait is the longest time for which the store may hold a read of the operators' table open, and
	// operatorsWaitFraction the longest fraction of Tuning.ContactTime. Changes arrive at once that way. A read that the
	// store has lost hides changes for that time and readRepeatTime.
	maxOperatorsWait      = 2 * time.Second
	operatorsWaitFraction = 0.5
	// readRepeatTime is the time after which a read of a table that is not answered is repeated. It is longer than an
	// answer of a slow store.
	readRepeatTime = 400 * time.Millisecond
	// pollsPerLeaveTime is the number of reads of the endpoints' table within Tuning.LeaveTime. The table changes all the
	// time, so it is polled at an interval instead of at each change.
	pollsPerLeaveTime = 4
	// lapseIntervals is the number of intervals without a renewal after which the platform removes a registration.
	lapseIntervals = 3
	// maxRegistrationReturn is the longest time, and registrationReturnFraction the longest fraction of
	// Tuning.ContactTime, for which lapsed registrations stay in use after the last time at which the store is known to
	// have been away, and rows that a restore has taken back after that. Both are written again within about two seconds.
	maxRegistrationReturn      = 2 * time.Second
	registrationReturnFraction = 2.0 / 3
	// demandInterval is the interval at which the demand is sent to the sidecars of engines with requests of this entry,
	// and idleDemandInterval the least time after which it is sent to the others, which makes it each second time. Sidecars
	// forget an entry after 5 s without a message then, those of an earlier release after 3 s.
	demandInterval     = 600 * time.Millisecond
	idleDemandInterval = 2*demandInterval - demandInterval/4
	// changedDemandInterval is the interval at which demands that have changed are sent.
	changedDemandInterval = 40 * time.Millisecond
	pruneInterval         = time.Second
	// drainNoticeTime is how long after the start of a planned shutdown the load balancer may still route callers to this
	// entry: it probes once a second and removes an entry after two failed probes.
	drainNoticeTime = 3 * time.Second
	// lateRequestMargin is the time before the end of drainNoticeTime from which requests are refused that may last beyond
	// the stop.
	lateRequestMargin = 250 * time.Millisecond
	// answerMargin is the time reserved for the answers to the requests that are open at the end of the shutdown.
	answerMargin = 250 * time.Millisecond
	// stopMargin is the time reserved between the end of the shutdown and the kill by the platform.
	stopMargin = 250 * time.Millisecond
	// answerMemoryFraction is the fraction of the process's memory limit that answers may hold at a time.
	answerMemoryFraction = 0.125
	// memoryLimitFraction is the fraction of the process's memory limit that is set as the soft limit of the Go runtime.
	memoryLimitFraction = 0.6
	readHeaderTimeout   = 10 * time.Second
	idleTimeout         = 90 * time.Second
)

// Datagram kinds.
const (
	kindEngineState = "EngineState"
	kindEntryDemand = "EntryDemand"
	kindEntryState  = "EntryState"
	// kindTableChanges is sent within a failure domain only.
	kindTableChanges = "TableChanges"
)

// EntryConfig configures an Entry. Addresses are HOST:PORT.
type EntryConfig struct {
	VM, Domain string
	// Regions maps failure domains to their regions.
	Regions map[string]string
	// CallerAddress serves callers, ReadyAddress the load balancer, PeerAddress the other processes, and MetricsAddress
	// the metrics.
	CallerAddress, ReadyAddress, PeerAddress, MetricsAddress string
	// ReadyPath is the path of the readiness probe.
	ReadyPath   string
	MetricsPath string
	PeerPort    int
	Platform    Platform
	Translator  forwarder.Translator
	// DialPeer opens connections to other entries; a net.Dialer does if it is nil.
	DialPeer func(ctx context.Context, network, address string) (net.Conn, error)
	// Probe is that of forwarder.Config.
	Probe  func(ctx context.Context, address string) (born int64, err error)
	Tuning Tuning
	Reload Reload
	Log    zerolog.Logger
}

// Entry is the process that serves callers.
type Entry struct {
	config    EntryConfig
	log       zerolog.Logger
	forwarder *forwarder.Forwarder
	sharer    *sharer.Sharer
	gossiper  *gossiper.Gossiper
	operators *registrar.Follower
	endpoints *registrar.Follower
	copier    *copier
	meter     *meter.Meter
	leaving   atomic.Bool
	// hasEndpoints is true once the list of endpoints has been received.
	hasEndpoints atomic.Bool
	boot         string
	tuning       atomic.Pointer[Tuning]

	// evacuation is what the operators' table says of evacuated failure domains.
	evacuation atomic.Pointer[evacuation]

	// hasNewEvidence means that the other entries should be told at once what endpoints have shown of themselves.
	hasNewEvidence atomic.Bool

	// start is when the entry was assembled. domainMu guards domainNotice.
	start        time.Time
	domainMu     sync.Mutex
	domainNotice domainNotice

	// mu serialises changes of the configuration and of the endpoints, which depend on each other.
	mu           sync.Mutex
	endpointList []registrar.Endpoint
}

// NewEntry opens the datagram socket and assembles the entry.
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
	e := &Entry{config: c, log: c.Log, gossiper: g, meter: instruments, boot: g.NextStamp().Boot, start: time.Now()}
	e.tuning.Store(&c.Tuning)
	if err := instruments.EvacuatedDomains(func() int { return e.evacuation.Load().count() }); err != nil {
		return nil, err
	}
	e.sharer = sharer.New(sharer.Config{
		VM: c.VM, Domain: c.Domain, Address: c.PeerAddress, Seeds: c.Tuning.Seeds, Allowance: c.Tuning.LimitAllowance, Now: time.Now, Log: c.Log,
	})
	e.forwarder = forwarder.New(forwarder.Config{
		VM: c.VM, Domain: c.Domain, Regions: c.Regions, Translator: c.Translator, Pool: connector.New(connector.Config{}),
		Admitter: e.sharer, Observer: instruments, Demand: e.sendDemand, Probe: c.Probe, Retry: c.Tuning.Retry, EntryCount: e.sharer.EntryCount, Members: e.sharer.Members,
		AnswerMemory: answerMemory(c.Tuning), Now: time.Now, Seed: uint64(time.Now().UnixNano()), Log: c.Log, OnEvidence: func() { //nolint:forbidigo // A seed.
			e.hasNewEvidence.Store(true)
			e.sharer.RequestMessage()
		},
	})
	if err := registerTransferGauges(instruments, e.forwarder); err != nil {
		return nil, err
	}
	if err := instruments.Gauge("geraniumladder.paced.endpoints", "{endpoint}", "Endpoints that are paced after a start or recovery.", func() float64 {
		return float64(e.forwarder.PacedEndpoints())
	}); err != nil {
		return nil, err
	}
	if err := instruments.Gauge("geraniumladder.invalid.rows", "{row}", "Versions of rows in the platform's tables that can't be decoded and are ignored.", func() float64 {
		return float64(c.Platform.InvalidRows())
	}); err != nil {
		return nil, err
	}
	e.operators = registrar.NewFollower(registrar.FollowerConfig{
		Table: c.Platform.OperatorsTable(), Source: c.Platform, Wait: operatorsWait(c.Tuning), RepeatAfter: readRepeatTime,
		Retention: rewriting(c.Tuning), OnChange: e.setOperators, SlowAnswer: c.Tuning.ApplyTime / 2, Now: time.Now, Log: c.Log,
		Name: c.VM, Relay: e.relay(c.Platform.OperatorsTable()),
	})
	e.endpoints = registrar.NewFollower(registrar.FollowerConfig{
		Table: c.Platform.EndpointsTable(), Source: c.Platform,
		Pause: endpointsPollInterval(c.Tuning), RepeatAfter: readRepeatTime, Retention: retention(c.Tuning),
		OnChange: e.setEndpoints, Now: time.Now, Log: c.Log,
		Name: c.VM, Relay: e.relay(c.Platform.EndpointsTable()),
	})
	e.copier = newCopier(copierConfig{
		Followers: []*registrar.Follower{e.operators, e.endpoints}, PeersWithNewer: e.sharer.PeersWithNewer, Dial: c.DialPeer, Log: c.Log,
	})
	g.SetForward(gossiper.ForwardConfig{Recipients: e.sharer.ForwardAddresses, Observe: instruments.States})
	gossiper.Handle(g, kindEngineState, func(s wire.EngineState) (string, gossiper.Stamp) {
		return s.Address, gossiper.Stamp{Boot: s.Boot, Sequence: s.Sequence}
	}, func(s wire.EngineState, _ string) { e.forwarder.SetState(s) })
	gossiper.Handle(g, kindEntryState, func(s wire.EntryState) (string, gossiper.Stamp) {
		return s.VM, gossiper.Stamp{Boot: s.Boot, Sequence: s.Sequence}
	}, func(s wire.EntryState, _ string) {
		e.sharer.HandleMessage(s)
		for _, table := range s.Tables {
			e.noteEra(table.Era)
		}
		e.forwarder.AddCrashEvidence(forwarder.CrashEvidence{Crashes: s.Crashes, Acquittals: s.Acquittals, Answers: s.Answers})
		e.forwarder.AddLimits(s.Limits)
		e.forwarder.AddLeaving(s.Leaving, s.VM)
	})
	gossiper.Handle(g, kindTableChanges, func(m wire.TableChanges) (string, gossiper.Stamp) {
		return m.VM + "/" + m.Table, gossiper.Stamp{Boot: m.Boot, Sequence: m.Sequence}
	}, func(m wire.TableChanges, from string) { e.handleTableChanges(m, from) })
	return e, nil
}

// registerTransferGauges exports the entry's view of the adapter loads from the weight store.
func registerTransferGauges(m *meter.Meter, f *forwarder.Forwarder) error {
	return errors.Join(
		m.Gauge("geraniumladder.transfer.limit", "{load}", "Adapter loads that the weight store carries at full speed; 0 while unknown.",
			func() float64 { return f.Transfers().Limit }),
		m.Gauge("geraniumladder.transfers.in.flight", "{load}", "Adapter loads from the weight store in flight over all engines.",
			func() float64 { return float64(f.Transfers().InFlight) }),
		m.Gauge("geraniumladder.transfers.waiting", "{load}", "Adapter loads that wait at this entry for the weight store.",
			func() float64 { return float64(f.Transfers().Waiting) }),
	)
}

func endpointsPollInterval(t Tuning) time.Duration {
	return time.Duration(float64(t.LeaveTime) / pollsPerLeaveTime)
}

func answerMemory(t Tuning) int64 { return int64(answerMemoryFraction * float64(t.MemoryBytes)) }

// operatorsWait returns how long the store may hold a read of the operators' table open.
func operatorsWait(t Tuning) time.Duration {
	return atMost(maxOperatorsWait, operatorsWaitFraction, t.ContactTime)
}

// atMost returns d, or the fraction of limit if that is shorter. A limit of 0 is unknown.
func atMost(d time.Duration, fraction float64, limit time.Duration) time.Duration {
	if limit <= 0 {
		return d
	}
	return min(d, time.Duration(fraction*float64(limit)))
}

// retention returns how long registrations that lapse during an outage of the store stay in use.
func retention(t Tuning) retainer.Config {
	c := rewriting(t)
	c.RenewInterval, c.LapseIntervals = t.RenewInterval, lapseIntervals
	return c
}

// rewriting returns how long rows that don't lapse stay in use after a restore of the store has taken them back.
func rewriting(t Tuning) retainer.Config {
	return retainer.Config{ReturnTime: atMost(maxRegistrationReturn, registrationReturnFraction, t.ContactTime)}
}

// applyTuning applies changed settings.
func (e *Entry) applyTuning(t Tuning) {
	limitMemory(t)
	e.tuning.Store(&t)
	e.sharer.SetSettings(t.Seeds, t.LimitAllowance)
	e.forwarder.SetRetry(t.Retry)
	e.forwarder.SetAnswerMemory(answerMemory(t))
	e.operators.SetWait(operatorsWait(t))
	e.operators.SetRetention(rewriting(t))
	e.endpoints.SetPause(endpointsPollInterval(t))
	e.endpoints.SetRetention(retention(t))
}

// noteEra passes on the era in which the store was found to be.
func (e *Entry) noteEra(era int64) {
	e.operators.NoteEra(era)
	e.endpoints.NoteEra(era)
}

func (e *Entry) setOperators(t registrar.Table) {
	e.noteEra(t.Era)
	e.copier.observe(t)
	operators := e.config.Platform.DecodeOperators(t, e.log)
	configuration := operators.Configuration
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setEvacuation(evacuation{at: t.Position(), domains: operators.Evacuated})
	e.forwarder.SetVersions(operators.Versions)
	if current := e.forwarder.Configuration(); configuration != nil && current != nil && configuration.Version() < current.Version() {
		e.log.Warn().Int64("Revision", configuration.Version()).Int64("InForce", current.Version()).Int64("Era", t.Era).Int64("StoreVersion", t.Version).
			Msg("entry: the store's configuration is older than the one in force, which stays; write the newer one again")
	}
	if configuration != nil && e.forwarder.SetConfiguration(configuration) {
		e.sharer.SetOrganisations(configuration.Organisations())
		e.forwarder.SetEndpoints(e.endpointList)
		e.log.Info().Int64("Revision", configuration.Version()).Int64("Era", t.Era).Int64("StoreVersion", t.Version).Msg("entry: configuration in force")
	}
}

func (e *Entry) setEndpoints(t registrar.Table) {
	e.noteEra(t.Era)
	list := e.config.Platform.DecodeEndpoints(t, e.log)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.logEndpoints(list)
	e.endpointList = list
	e.forwarder.SetEndpoints(list)
	e.hasEndpoints.Store(true)
}

// logEndpoints logs each endpoint that was added, was removed, restarted, or started or stopped leaving.
func (e *Entry) logEndpoints(list []registrar.Endpoint) {
	old := make(map[string]registrar.Endpoint, len(e.endpointList))
	for _, previous := range e.endpointList {
		old[previous.ID] = previous
	}
	for _, current := range list {
		previous, known := old[current.ID]
		delete(old, current.ID)
		if !known || previous.Born != current.Born || previous.IsLeaving != current.IsLeaving {
			e.log.Info().Str("Endpoint", current.ID).Str("Service", current.Service).Str("Address", current.Address).
				Bool("IsLeaving", current.IsLeaving).Int64("Born", current.Born).Msg("entry: endpoint listed")
		}
	}
	for id, previous := range old {
		e.log.Info().Str("Endpoint", id).Str("Address", previous.Address).Msg("entry: endpoint gone")
	}
}

// sendDemand sends this entry's demand to the sidecar of the engine at the address.
func (e *Entry) sendDemand(address string) {
	e.sendDemands(e.forwarder.Demands(address), demandStatements{})
}

// demandStatements are what an entry states in the demands that it sends because of the time alone.
type demandStatements struct {
	evacuation *wire.Evacuation
	domain     *string
}

// sendSteadyDemands sends demands with this entry's statements.
func (e *Entry) sendSteadyDemands(demands []forwarder.EngineDemand) {
	statements := demandStatements{domain: e.relayDomain()}
	if v := e.evacuation.Load(); v != nil {
		statements.evacuation = v.encode()
	}
	e.sendDemands(demands, statements)
}

func (e *Entry) sendDemands(demands []forwarder.EngineDemand, statements demandStatements) {
	for _, d := range demands {
		host, _, err := net.SplitHostPort(d.Address)
		if err != nil {
			continue
		}
		stamp := e.gossiper.NextStamp()
		d.Message.Boot, d.Message.Sequence, d.Message.VM = stamp.Boot, stamp.Sequence, e.config.VM
		d.Message.Evacuation, d.Message.FailureDomain = statements.evacuation, statements.domain
		e.gossiper.Send(kindEntryDemand, d.Message, net.JoinHostPort(host, strconv.Itoa(e.config.PeerPort)))
	}
}

// exchangeState sends this entry's state to the other entries at a regular interval, and sooner when a limit is scarce.
func (e *Entry) exchangeState(ctx context.Context) error {
	timer := time.NewTimer(sharer.MessageInterval)
	defer timer.Stop()
	var last, lastEvidence time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-e.sharer.Wake():
			if pause := sharer.MinMessageInterval - time.Since(last); pause > 0 {
				time.Sleep(pause)
			}
		}
		last = time.Now()
		timer.Reset(e.sharer.MessageInterval())
		stamp := e.gossiper.NextStamp()
		message, to := e.sharer.NextMessage(stamp.Boot, stamp.Sequence, map[string]registrar.Position{
			e.config.Platform.OperatorsTable(): e.operators.Table().Position(),
			e.config.Platform.EndpointsTable(): e.endpoints.Table().Position(),
		})
		// Messages about a scarce limit are many, and evidence is long.
		if e.hasNewEvidence.Swap(false) || last.Sub(lastEvidence) >= e.sharer.MessageInterval() {
			lastEvidence = last
			evidence := e.forwarder.CrashEvidence()
			message.Crashes, message.Acquittals, message.Answers = evidence.Crashes, evidence.Acquittals, evidence.Answers
			message.Limits = e.forwarder.Limits()
			message.Leaving = e.forwarder.Leaving()
		}
		if len(to) > 0 {
			e.gossiper.Send(kindEntryState, message, to...)
		}
	}
}

// readinessHandler serves the readiness probe of the load balancer.
func (e *Entry) readinessHandler() http.Handler {
	router := echo.New()
	router.GET(e.config.ReadyPath, func(c echo.Context) error {
		if e.isReady() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	return router
}

func (e *Entry) isReady() bool {
	return !e.leaving.Load() && e.forwarder.Configuration() != nil && e.hasEndpoints.Load()
}

// Run serves until ctx is cancelled and then shuts down gracefully.
func (e *Entry) Run(ctx context.Context) error {
	callers := newServer(e.forwarder)
	callers.ConnContext = forwarder.WithCallerConn
	var group run.Group
	for _, s := range []struct {
		address string
		server  *http.Server
	}{
		{e.config.CallerAddress, callers},
		{e.config.ReadyAddress, newServer(e.readinessHandler())},
		{e.config.PeerAddress, newServer(e.copier.handler())},
		{e.config.MetricsAddress, newServer(metricsHandler(e.config.MetricsPath, e.meter))},
	} {
		if err := addServer(&group, s.server, s.address); err != nil {
			return err
		}
	}
	addLoop(&group, func(ctx context.Context) error {
		return looper.Run(ctx, e.gossiper.Run, e.gossiper.RunForward, e.operators.Run, e.endpoints.Run, e.exchangeState, e.forwarder.MeasureDelay,
			looper.Every(demandInterval, func(context.Context) { e.sendSteadyDemands(e.forwarder.SteadyDemands(idleDemandInterval)) }),
			looper.Every(changedDemandInterval, func(context.Context) { e.sendDemands(e.forwarder.ChangedDemands(), demandStatements{}) }),
			looper.Every(forwarder.LivenessInterval, func(context.Context) { e.forwarder.CheckLiveness() }),
			looper.Every(pruneInterval, func(context.Context) { e.forwarder.Prune() }),
			e.copier.run, looper.Every(pruneInterval, func(context.Context) { e.setRelayIntervals() }))
	})
	addLoop(&group, reloadLoop(e.config.Reload, e.applyTuning, e.log))
	stopped := make(chan struct{})
	group.Add(func() error {
		select {
		case <-ctx.Done():
			e.shutdown(callers)
		case <-stopped:
		}
		return nil
	}, func(error) { close(stopped) })
	e.log.Info().Str("Callers", e.config.CallerAddress).Str("Peers", e.config.PeerAddress).Str("Boot", e.boot).Msg("entry: started")
	err := group.Run()
	e.log.Info().AnErr("Error", err).Msg("entry: stopped")
	return err
}

// shutdown stops the entry gracefully. It first fails the readiness probe and asks callers to reconnect to another entry.
// Shortly before the load balancer has taken the entry out, it begins to refuse requests that may last beyond the stop.
// Then it waits for open requests, and at the end of the stop timeout it answers those that remain.
func (e *Entry) shutdown(callers *http.Server) {
	begin, timeout := time.Now(), e.tuning.Load().StopTimeout
	e.log.Info().Int64("Open", e.forwarder.OpenRequests()).Dur("Timeout", timeout).Msg("entry: stopping")
	e.leaving.Store(true)
	e.sharer.Leave()
	e.forwarder.Leave()
	notice := min(drainNoticeTime, timeout/2)
	end := begin.Add(timeout - stopMargin)
	time.Sleep(notice - lateRequestMargin)
	e.forwarder.Stop(end.Add(-answerMargin))
	time.Sleep(time.Until(begin.Add(notice)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	answering := time.AfterFunc(time.Until(end.Add(-answerMargin)), func() {
		e.log.Warn().Int64("Open", e.forwarder.OpenRequests()).Msg("entry: open requests are ended")
		e.forwarder.End()
	})
	defer answering.Stop()
	if err := callers.Shutdown(ctx); err != nil {
		e.log.Warn().Err(err).Int64("Open", e.forwarder.OpenRequests()).Msg("entry: requests cut at the end of the stop")
	}
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

func metricsHandler(path string, m *meter.Meter) http.Handler {
	router := echo.New()
	router.GET(path, echo.WrapHandler(m.Handler()))
	return router
}

func addServer(g *run.Group, server *http.Server, address string) error {
	if address == "" {
		return nil
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s; check that the port is free", address)
	}
	ended := make(chan struct{})
	g.Add(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		// A planned shutdown closes this server before the others. Returning here would end the whole group.
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
