package resident

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"geraniumladder/internal/gossiper"
	"geraniumladder/internal/looper"
	"geraniumladder/internal/meter"
	"geraniumladder/internal/orderer"
	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/multicaster"
)

// sidecarPollInterval is the interval between two reads of the operators' table. It is long because a sidecar needs only
// the capacity of its engine, which seldom changes, and learns of evacuations from the entries.
const sidecarPollInterval = 10 * time.Second

// loadsTable has a row for each service, with the times of the latest loads of models from the weight store.
const loadsTable = "loads"

// SidecarPlatform is the interface of the platform to a sidecar.
type SidecarPlatform interface {
	Platform
	// Update replaces a row by the result of change, unless that is nil or the row is modified concurrently. era is that of the
	// store, and now the time of its clock. It reports whether the row was written.
	Update(ctx context.Context, table, key string, change func(old []byte, era int64, now time.Duration) []byte) (bool, error)
}

// SidecarConfig configures a Sidecar. Addresses are HOST:PORT.
type SidecarConfig struct {
	VM, Domain                  string
	Service                     string
	EngineAddress               string
	PeerAddress                 string
	MetricsAddress, MetricsPath string
	Platform                    SidecarPlatform
	Engine                      orderer.Engine
	// NewFencingToken and IgnoresFencing are those of orderer.Config.
	NewFencingToken func(ctx context.Context) (int64, error)
	IgnoresFencing  bool
	Tuning          Tuning
	Reload          Reload
	Log             zerolog.Logger
}

// Sidecar is the process that runs next to a model engine and controls it.
type Sidecar struct {
	config   SidecarConfig
	log      zerolog.Logger
	orderer  *orderer.Orderer
	gossiper *gossiper.Gossiper
	meter    *meter.Meter
	// capacity is nil until the configuration is known.
	capacity atomic.Pointer[orderer.Capacity]
	// engine is nil until the configuration is known.
	engine    atomic.Pointer[registrar.Engine]
	operators *registrar.Follower
	// evacuation is the latest statement on evacuated failure domains; nil before the first.
	evacuation atomic.Pointer[evacuation]
	tuning     atomic.Pointer[Tuning]
}

// NewSidecar opens the datagram socket and assembles the sidecar.
func NewSidecar(c SidecarConfig) (*Sidecar, error) {
	limitMemory(c.Tuning)
	instruments, err := meter.New(meter.Config{Role: "sidecar", VM: c.VM})
	if err != nil {
		return nil, err
	}
	g, err := gossiper.Listen(gossiper.Config{Address: c.PeerAddress, Log: c.Log})
	if err != nil {
		return nil, err
	}
	s := &Sidecar{config: c, log: c.Log, gossiper: g, meter: instruments}
	s.tuning.Store(&c.Tuning)
	if err := instruments.EvacuatedDomains(func() int { return s.evacuation.Load().count() }); err != nil {
		return nil, err
	}
	s.operators = registrar.NewFollower(registrar.FollowerConfig{
		Table: c.Platform.OperatorsTable(), Source: c.Platform, Pause: sidecarPollInterval, Retention: rewriting(c.Tuning),
		OnChange: s.setOperators, Now: time.Now, Log: c.Log,
	})
	s.orderer = orderer.New(orderer.Config{
		VM: c.VM, Domain: c.Domain, Address: c.EngineAddress, Engine: c.Engine, Capacity: s.capacity.Load,
		IsEvacuated: func() bool { return s.evacuation.Load().isEvacuated(c.Domain) },
		ReserveLoad: s.acquireLoadPermit, NewFencingToken: c.NewFencingToken, IgnoresFencing: c.IgnoresFencing, ObserveLoad: instruments.Load, SendState: s.sendState,
		Now: time.Now, Seed: rand.Uint64(), Log: c.Log,
	})
	if err := instruments.Gauge("geraniumladder.pace.limit", "{request}", "Requests that may be in progress at the paced engine; -1 while it isn't paced.", func() float64 {
		limit, isPaced := s.orderer.PaceLimit()
		if !isPaced {
			return -1
		}
		return limit
	}); err != nil {
		return nil, err
	}
	gossiper.Handle(g, kindEntryDemand, func(d wire.EntryDemand) (string, gossiper.Stamp) {
		return d.VM, gossiper.Stamp{Boot: d.Boot, Sequence: d.Sequence}
	}, func(d wire.EntryDemand, from string) {
		// The evacuation is applied first, because a demand may lead to orders at once.
		s.handleEvacuation(d.Evacuation)
		s.orderer.SetDemand(d, from)
	})
	return s, nil
}

func (s *Sidecar) setOperators(t registrar.Table) {
	operators := s.config.Platform.DecodeOperators(t, s.log)
	s.setEvacuation(&evacuation{at: t.Position(), domains: operators.Evacuated})
	configuration := operators.Configuration
	if configuration == nil {
		return
	}
	service := configuration.Service(s.config.Service)
	if service == nil || service.Engine == nil {
		return
	}
	capacity := &orderer.Capacity{
		AdapterSlots: service.Engine.AdapterSlots, MemoryMB: service.Engine.MemoryMB, Batch: service.Engine.Batch,
		ColdStart: service.ColdStart, ColdPerSecond: service.ColdPerSecond,
	}
	for _, m := range service.Engine.Models {
		capacity.Models = append(capacity.Models, orderer.Model{Name: m.Name, WeightsMB: m.WeightsMB, AdapterMB: m.AdapterMB})
	}
	s.engine.Store(service.Engine)
	if old := s.capacity.Swap(capacity); old == nil {
		s.log.Info().Int64("Revision", configuration.Version()).Int("Slots", capacity.AdapterSlots).
			Float64("MemoryMB", capacity.MemoryMB).Msg("sidecar: capacity set")
	}
}

// acquireLoadPermit takes one of the loads from the weight store that the fleet may start within a window.
func (s *Sidecar) acquireLoadPermit(ctx context.Context) (bool, error) {
	engine, window := s.engine.Load(), s.tuning.Load().LoadWindow
	if engine == nil {
		return false, nil
	}
	maxLoads := max(1, int(engine.LoadsPerSecond*window.Seconds()))
	isAllowed := false
	isWritten, err := s.config.Platform.Update(ctx, loadsTable, s.config.Service, func(old []byte, era int64, now time.Duration) []byte {
		var next []byte
		next, isAllowed = orderer.ReserveLoad(old, era, now, window, maxLoads)
		return next
	})
	return isWritten && isAllowed, err
}

// applyTuning applies changed settings.
func (s *Sidecar) applyTuning(t Tuning) {
	limitMemory(t)
	s.tuning.Store(&t)
	s.operators.SetRetention(rewriting(t))
}

func (s *Sidecar) sendState(state wire.EngineState, to multicaster.Recipients) {
	stamp := s.gossiper.NextStamp()
	state.Boot, state.Sequence = stamp.Boot, stamp.Sequence
	s.gossiper.SendVia(kindEngineState, state, to.Direct, to.Relays, s.meter.States)
}

// Run serves until ctx is cancelled. It stops without draining, because requests at the engine continue without the
// sidecar.
func (s *Sidecar) Run(ctx context.Context) error {
	var group run.Group
	if err := addServer(&group, newServer(metricsHandler(s.config.MetricsPath, s.meter)), s.config.MetricsAddress); err != nil {
		return err
	}
	addLoop(&group, func(ctx context.Context) error {
		return looper.Run(ctx, s.gossiper.Run, s.operators.Run, s.orderer.Run)
	})
	addLoop(&group, reloadLoop(s.config.Reload, s.applyTuning, s.log))
	stopped := make(chan struct{})
	group.Add(func() error {
		select {
		case <-ctx.Done():
		case <-stopped:
		}
		return nil
	}, func(error) { close(stopped) })
	s.log.Info().Str("Engine", s.config.EngineAddress).Str("Peers", s.config.PeerAddress).Msg("sidecar: started")
	err := group.Run()
	s.log.Info().AnErr("Error", err).Msg("sidecar: stopped")
	return err
}
