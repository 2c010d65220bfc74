package resident

import (
	"context"
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
)

// sidecarPause is the time between two reads of the operators' table. A sidecar needs only the capacity of its engine,
// which seldom changes, so it makes few calls.
const sidecarPause = 10 * time.Second

// loadsTable has a row for each service with the times of the latest loads of models from the weight store.
const loadsTable = "loads"

// SidecarPlatform is what a sidecar needs of the platform.
type SidecarPlatform interface {
	Platform
	// Update replaces a row by what change makes of it, unless somebody else changes it meanwhile. now is the store's
	// clock. It says whether it wrote.
	Update(ctx context.Context, table, key string, change func(old []byte, now time.Duration) ([]byte, bool)) (bool, error)
}

// SidecarConfig configures a Sidecar. Addresses are HOST:PORT.
type SidecarConfig struct {
	VM            string
	Service       string
	EngineAddress string
	PeerAddress   string
	// MetricsAddress and MetricsPath are where the metrics are served.
	MetricsAddress, MetricsPath string
	Platform                    SidecarPlatform
	Engine                      orderer.Engine
	// Fence returns a fencing number above all that the VM has had.
	Fence  func(ctx context.Context) (int64, error)
	Tuning Tuning
	Reload Reload
	Log    zerolog.Logger
}

// Sidecar is the process beside a model engine.
type Sidecar struct {
	config   SidecarConfig
	log      zerolog.Logger
	orderer  *orderer.Orderer
	gossiper *gossiper.Gossiper
	meter    *meter.Meter
	// capacity is nil while it isn't known.
	capacity atomic.Pointer[orderer.Capacity]
	// engine is nil while it isn't known.
	engine    atomic.Pointer[registrar.Engine]
	operators *registrar.Follower
	tuning    atomic.Pointer[Tuning]
}

// NewSidecar opens the socket for datagrams and assembles the sidecar.
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
	s.operators = registrar.NewFollower(registrar.FollowerConfig{
		Table: c.Platform.OperatorsTable(), Source: c.Platform, Pause: sidecarPause,
		OnChange: s.setOperators, Now: time.Now, Log: c.Log,
	})
	s.orderer = orderer.New(orderer.Config{
		VM: c.VM, Address: c.EngineAddress, Engine: c.Engine, Capacity: s.capacity.Load,
		MayLoad: s.mayLoad, Fence: c.Fence, Observe: instruments.Load, Tell: s.tell, Now: time.Now, Log: c.Log,
	})
	gossiper.Handle(g, kindEntryDemand, func(d wire.EntryDemand) (string, gossiper.Stamp) {
		return d.VM, gossiper.Stamp{Boot: d.Boot, Sequence: d.Sequence}
	}, s.orderer.SetDemand)
	return s, nil
}

func (s *Sidecar) setOperators(t registrar.Table) {
	configuration, _ := s.config.Platform.DecodeOperators(t, s.log)
	if configuration == nil {
		return
	}
	service := configuration.Service(s.config.Service)
	if service == nil || service.Engine == nil {
		return
	}
	capacity := &orderer.Capacity{AdapterSlots: service.Engine.AdapterSlots, MemoryMB: service.Engine.MemoryMB}
	for _, m := range service.Engine.Models {
		capacity.Models = append(capacity.Models, orderer.Model{Name: m.Name, WeightsMB: m.WeightsMB, AdapterMB: m.AdapterMB})
	}
	s.engine.Store(service.Engine)
	if old := s.capacity.Swap(capacity); old == nil {
		s.log.Info().Int64("Revision", configuration.Version()).Int("Slots", capacity.AdapterSlots).
			Float64("MemoryMB", capacity.MemoryMB).Msg("sidecar: capacity set")
	}
}

// mayLoad takes one of the loads that the weight store allows the fleet in a window.
func (s *Sidecar) mayLoad(ctx context.Context) (bool, error) {
	engine, window := s.engine.Load(), s.tuning.Load().LoadWindow
	if engine == nil {
		return false, nil
	}
	most := max(1, int(engine.LoadsPerSecond*window.Seconds()))
	return s.config.Platform.Update(ctx, loadsTable, s.config.Service, func(old []byte, now time.Duration) ([]byte, bool) {
		return orderer.TakeLoad(old, now, window, most)
	})
}

// tune takes changed settings over.
func (s *Sidecar) tune(t Tuning) {
	limitMemory(t)
	s.tuning.Store(&t)
}

func (s *Sidecar) tell(state wire.EngineState, to []string) {
	stamp := s.gossiper.Next()
	state.Boot, state.Sequence = stamp.Boot, stamp.Sequence
	s.gossiper.Send(kindEngineState, state, to...)
}

// Run serves until ctx ends. What the engine runs goes on without the sidecar, so a planned stop needs no time.
func (s *Sidecar) Run(ctx context.Context) error {
	var group run.Group
	if err := addServer(&group, pageServer(metricsPages(s.config.MetricsPath, s.meter)), s.config.MetricsAddress); err != nil {
		return err
	}
	addLoop(&group, func(ctx context.Context) error {
		return looper.Run(ctx, s.gossiper.Run, s.operators.Run, s.orderer.Run)
	})
	addLoop(&group, reloads(s.config.Reload, s.tune, s.log))
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
