package orderer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"geraniumladder/internal/orderer"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/multicaster"
	"geraniumladder/pkg/pacer"
)

// restartingEngine is an engine whose run the test sets.
type restartingEngine struct {
	*fakeEngine
	born atomic.Int64
}

func (e *restartingEngine) Report(ctx context.Context) (orderer.Report, error) {
	r, err := e.fakeEngine.Report(ctx)
	r.Born = e.born.Load()
	return r, err
}

// pacedSidecar is an Orderer with one entry that wants to send requests.
type pacedSidecar struct {
	*orderer.Orderer
	engine *restartingEngine
	out    *recorder
	round  int64
}

// last returns the pacing in the last message.
func (p *pacedSidecar) last() (pace *wire.EnginePace) {
	p.out.inspect(func() { pace = p.out.states[len(p.out.states)-1].Pace })
	return pace
}

// countGrants returns the number of grants in a message.
func countGrants(pace *wire.EnginePace) (n int) {
	if pace != nil {
		for _, g := range pace.Grants {
			n += g.Count
		}
	}
	return n
}

// want sends the entry's demand for a while and returns the grants that it got.
func (p *pacedSidecar) want(span time.Duration, isNew bool) (grants int) {
	for range span / (200 * time.Millisecond) {
		p.round++
		p.SetDemand(wire.EntryDemand{Boot: "b", VM: "entry", Pace: &wire.EntryPace{Round: p.round, Wants: 50, Taken: grants, IsNew: isNew}}, "entry:1")
		time.Sleep(200 * time.Millisecond)
		grants += countGrants(p.last())
	}
	return grants
}

func playPaced(t *testing.T, perSecond float64, coldStart time.Duration, play func(p *pacedSidecar)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &pacedSidecar{engine: &restartingEngine{fakeEngine: newFakeEngine("base")}, out: &recorder{}}
		p.engine.born.Store(1)
		c := capacity
		c.Batch, c.ColdPerSecond, c.ColdStart = 16, perSecond, coldStart
		p.Orderer = orderer.New(orderer.Config{
			VM: "vm", Address: "10.0.0.1:1", Engine: p.engine, Capacity: func() *orderer.Capacity { return &c },
			ReserveLoad: func(context.Context) (bool, error) { return true, nil }, NewFencingToken: func(context.Context) (int64, error) { return 1, nil },
			ObserveLoad: func(string, time.Duration) {}, IsEvacuated: func() bool { return false },
			SendState: func(s wire.EngineState, _ multicaster.Recipients) {
				p.out.inspect(func() { p.out.states = append(p.out.states, s) })
			},
			Now: time.Now, Log: zerolog.Nop(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- p.Run(ctx) }()
		defer func() {
			cancel()
			assert.ErrorIs(t, <-ended, context.Canceled)
		}()
		play(p)
	})
}

// TestEngineIsPacedAfterStartOrRecovery guards against an engine that restarts, comes back or is new without being paced,
// and against pacing one that was there when the sidecar started.
func TestEngineIsPacedAfterStartOrRecovery(t *testing.T) {
	for name, disturb := range map[string]func(p *pacedSidecar) (isNew bool){
		"nothing": func(*pacedSidecar) bool { return false },
		"new":     func(*pacedSidecar) bool { return true },
		"restart": func(p *pacedSidecar) bool { p.engine.born.Store(2); return false },
		"recovery": func(p *pacedSidecar) bool {
			p.engine.update(func() { p.engine.isDown = true })
			time.Sleep(time.Second)
			p.engine.update(func() { p.engine.isDown = false })
			return false
		},
	} {
		playPaced(t, 0, 10*time.Second, func(p *pacedSidecar) {
			p.want(4*time.Second, false)
			assert.Assert(t, p.last() != nil && !p.last().IsPaced, name)
			isNew := disturb(p)
			p.want(400*time.Millisecond, isNew)
			assert.Equal(t, p.last().IsPaced, name != "nothing", name)
			if name != "nothing" {
				grants := countGrants(p.last())
				assert.Assert(t, grants > 0 && grants <= pacer.DefaultInitial, "%s: %d grants at once", name, grants)
			}
			// Without responses the limit ends after a time, and a run that was paced is not paced again as new.
			p.want(pacer.DefaultMaxTime, isNew)
			p.want(time.Second, isNew)
			assert.Assert(t, !p.last().IsPaced, name)
		})
	}
}

// TestRestartedEngineIsColdAtOnce guards against a restarted engine that gets more than its cold rate until its
// registration has reached the entries.
func TestRestartedEngineIsColdAtOnce(t *testing.T) {
	playPaced(t, 2, 10*time.Second, func(p *pacedSidecar) {
		p.want(4*time.Second, false)
		p.engine.born.Store(2)
		grants := p.want(8*time.Second, false)
		assert.Assert(t, grants >= 12 && grants <= 20, "%d grants in 8 s at 2 a second", grants)
	})
}

// TestEngineWithoutSlowStartIsNotPaced guards against pacing that the configuration of the service doesn't call for.
func TestEngineWithoutSlowStartIsNotPaced(t *testing.T) {
	playPaced(t, 0, 0, func(p *pacedSidecar) {
		p.want(4*time.Second, false)
		p.engine.born.Store(2)
		p.want(time.Second, true)
		assert.Assert(t, !p.last().IsPaced)
	})
}
