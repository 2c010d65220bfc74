package orderer_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/internal/orderer"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/multicaster"
)

// fate is what happens to an order on its way: it is carried out after the delay, or never if that is negative. Its answer
// may be lost.
type fate struct {
	delay        time.Duration
	isAnswerLost bool
}

// lateEngine is a fakeEngine whose orders meet their fates and that can start again.
type lateEngine struct {
	*fakeEngine
	ignoresFencing bool
	fates          []fate
	born           int64
}

func (e *lateEngine) Report(ctx context.Context) (orderer.Report, error) {
	r, err := e.fakeEngine.Report(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	r.Born = e.born
	return r, err
}

func (e *lateEngine) carryOut(o orderer.Order) orderer.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ignoresFencing {
		o.Fence = e.fence
	}
	result, born := e.apply(o), e.born
	time.AfterFunc(250*time.Millisecond, func() {
		e.update(func() {
			if e.born == born {
				e.finishLoads()
			}
		})
	})
	return result
}

func (e *lateEngine) Order(_ context.Context, o orderer.Order) (orderer.Result, error) {
	var f fate
	e.update(func() {
		if len(e.fates) > 0 {
			f, e.fates = e.fates[0], e.fates[1:]
		}
	})
	if f.delay != 0 {
		if f.delay > 0 {
			time.AfterFunc(f.delay, func() { e.carryOut(o) })
		}
		return 0, errors.New("engine did not answer")
	}
	result := e.carryOut(o)
	if f.isAnswerLost {
		return 0, errors.New("the answer was lost")
	}
	return result, nil
}

func (e *lateEngine) restart() {
	e.update(func() {
		fresh := newFakeEngine()
		e.models, e.resident, e.loading, e.pendingUnloads = fresh.models, fresh.resident, fresh.loading, fresh.pendingUnloads
		e.sequence, e.fence = 0, 0
		e.born++
	})
}

// startSidecar starts a sidecar's orderer and returns a function that ends it.
func (e *lateEngine) startSidecar(fence func(context.Context) (int64, error)) (*orderer.Orderer, func()) {
	o := orderer.New(orderer.Config{
		VM: "vm", Address: "10.0.0.1:1", Engine: e, Capacity: func() *orderer.Capacity { return &capacity },
		ReserveLoad: func(context.Context) (bool, error) { return true, nil }, NewFencingToken: fence, IgnoresFencing: e.ignoresFencing,
		ObserveLoad: func(string, time.Duration) {}, SendState: func(wire.EngineState, multicaster.Recipients) {},
		IsEvacuated: func() bool { return false }, Now: time.Now, Log: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- o.Run(ctx) }()
	return o, func() {
		cancel()
		if err := <-end; !errors.Is(err, context.Canceled) {
			panic(err)
		}
	}
}

// TestOrdersOfAnEarlierRunDoNotOverfill guards against an order that is held up across a restart of its engine or sidecar
// and overfills the engine: any order of sends, losses, late arrivals and restarts, with engines that check fencing tokens
// and with engines that ignore them.
func TestOrdersOfAnEarlierRunDoNotOverfill(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const step, steps = 100 * time.Millisecond, 400
		e := &lateEngine{fakeEngine: newFakeEngine(), ignoresFencing: rapid.Bool().Draw(rt, "ignores"), born: 1}
		e.fates = rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fate {
			switch rapid.IntRange(0, 9).Draw(rt, "kind") {
			case 0, 1, 2:
				return fate{delay: time.Duration(rapid.IntRange(100, 12_000).Draw(rt, "delay")) * time.Millisecond}
			case 3:
				return fate{delay: -1}
			case 4:
				return fate{isAnswerLost: true}
			}
			return fate{}
		}), 60, 60).Draw(rt, "fates")
		restarts := rapid.SliceOfN(rapid.IntRange(0, steps), 0, 6).Draw(rt, "restarts of the engine")
		sidecarRestarts := rapid.SliceOfN(rapid.IntRange(0, steps), 0, 3).Draw(rt, "restarts of the sidecar")
		wanted := rapid.SliceOfN(rapid.IntRange(1, 7), steps/5, steps/5).Draw(rt, "wanted")
		orders, crashReason := 0, ""
		synctest.Test(t, func(*testing.T) {
			grants := int64(0)
			fence := func(context.Context) (int64, error) {
				grants++
				return grants * orderer.FencingTokenRange, nil
			}
			o, end := e.startSidecar(fence)
			for n := range steps {
				if slices.Contains(restarts, n) {
					e.restart()
				}
				if slices.Contains(sidecarRestarts, n) {
					end()
					o, end = e.startSidecar(fence)
				}
				// One adapter is asked for over some steps.
				o.SetDemand(demand(int64(n), 0, wanted[n/5]), "entry:1")
				time.Sleep(step)
			}
			end()
			time.Sleep(time.Minute)
			e.update(func() { orders, crashReason = e.orders, e.crashReason })
		})
		assert.Equal(rt, crashReason, "")
		assert.Assert(rt, orders > 0 || e.ignoresFencing)
	})
}
