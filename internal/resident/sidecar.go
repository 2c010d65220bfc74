package resident

import (
	"context"
	"runtime/debug"
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

// sidecarWait holds a sidecar's reads of the operators' table open. It needs only the slots of its engine, which seldom
// change, so it makes few calls.
const sidecarWait = 20 * time.Second

// SidecarConfig configures a Sidecar. Addresses are HOST:PORT.
type SidecarConfig struct {
	VM            string
	Service       string
	EngineAddress string
	PeerAddress   string
	// MetricsAddress and MetricsPath are where the metrics are served.
	MetricsAddress, MetricsPath string
	Platform                    Platform
	Engine                      orderer.Engine
	// Fence returns a fencing number above all that the VM has had.
	Fence       func(ctx context.Context) (int64, error)
	MemoryBytes int64
	Reload      func() error
	Log         zerolog.Logger
}

// Sidecar is the process beside a model engine.
type Sidecar struct {
	config   SidecarConfig
	log      zerolog.Logger
	orderer  *orderer.Orderer
	gossiper *gossiper.Gossiper
	meter    *meter.Meter
	// slots is the number of adapters that the engine holds at once; 0 while it isn't known.
	slots     atomic.Int64
	operators *registrar.Follower
}

// NewSidecar opens the socket for datagrams and assembles the sidecar.
func NewSidecar(c SidecarConfig) (*Sidecar, error) {
	debug.SetMemoryLimit(int64(float64(c.MemoryBytes) * memoryShare))
	instruments, err := meter.New(meter.Config{Role: "sidecar", VM: c.VM})
	if err != nil {
		return nil, err
	}
	g, err := gossiper.Listen(gossiper.Config{Address: c.PeerAddress, Log: c.Log})
	if err != nil {
		return nil, err
	}
	s := &Sidecar{config: c, log: c.Log, gossiper: g, meter: instruments}
	s.operators = registrar.NewFollower(registrar.FollowerConfig{
		Table: c.Platform.OperatorsTable(), Source: c.Platform, Wait: sidecarWait,
		OnChange: s.setOperators, Now: time.Now, Log: c.Log,
	})
	s.orderer = orderer.New(orderer.Config{
		VM: c.VM, Address: c.EngineAddress, Engine: c.Engine, Slots: func() int { return int(s.slots.Load()) },
		Fence: c.Fence, Tell: s.tell, Now: time.Now, Log: c.Log,
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
	if old := s.slots.Swap(int64(service.Engine.AdapterSlots)); old != int64(service.Engine.AdapterSlots) {
		s.log.Info().Int64("Revision", configuration.Version()).Int("Slots", service.Engine.AdapterSlots).Msg("sidecar: slots set")
	}
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
	addLoop(&group, hangups(s.config.Reload, s.log))
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
