package forwarder_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"geraniumladder/internal/forwarder"
	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
)

// pacedFleet is a Forwarder with one engine, in a time that the test advances.
type pacedFleet struct {
	*fixture
	clock  atomic.Int64
	engine *endpoint
	listed registrar.Endpoint
}

func newPacedFleet(t *testing.T, engine *registrar.Engine) *pacedFleet {
	t.Helper()
	p := &pacedFleet{engine: newEndpoint(t, "engine", ok)}
	start := time.Now()
	p.fixture = newFixtureWithConfig(t, func(c *forwarder.Config) {
		c.Now = func() time.Time { return start.Add(time.Duration(p.clock.Load())) }
	}, newEndpoint(t, "other", ok))
	target := []registrar.Target{{Service: "paced", Weight: 1}}
	p.SetConfiguration(registrar.NewConfiguration(registrar.ConfigurationParts{
		Version: 2,
		Routes: []registrar.Route{
			{Name: "long", Host: "h", Prefix: "/long/", Kind: registrar.Once, Timeout: time.Minute, Attempts: 1, Open: true, Targets: target},
		},
		Services: []registrar.Service{{Name: "paced", Engine: engine, ColdPerSecond: 6.5, ColdStart: 3 * time.Second}},
	}))
	p.listed = p.engine.registered("paced")
	p.clock.Store(int64(time.Minute))
	return p
}

// try sends a request whose caller leaves if it isn't answered soon, and returns the status, 0 if the caller left.
func (p *pacedFleet) try(t *testing.T) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	return p.sendCtx(ctx, "/long/", "").status
}

// pace returns what the entry says of the pacing of the engine.
func (p *pacedFleet) pace() *wire.EntryPace {
	for _, d := range p.Demands(p.listed.Address) {
		return d.Message.Pace
	}
	return nil
}

// hear applies a message of the sidecar that gives grants in the current round.
func (p *pacedFleet) hear(isPaced bool, grants int) {
	message := &wire.EnginePace{IsPaced: isPaced}
	if own := p.pace(); own != nil && grants > 0 {
		message.Grants = []wire.PaceGrant{{VM: "stranger", Count: 100, Round: own.Round}, {VM: "entry", Count: grants, Round: own.Round}}
	}
	p.SetState(wire.EngineState{Address: p.listed.Address, Pace: message})
}

// TestColdEndpointNeedsGrants guards against requests to a paced endpoint without a grant, two requests with one grant,
// and requests that are refused although a grant comes soon.
func TestColdEndpointNeedsGrants(t *testing.T) {
	p := newPacedFleet(t, &registrar.Engine{Batch: 4})
	p.listed.ColdRemaining = time.Hour
	p.SetEndpoints([]registrar.Endpoint{p.listed})
	p.hear(true, 0)
	replies := make(chan reply)
	for range 5 {
		go func() { replies <- p.sendCtx(t.Context(), "/long/", "") }()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if pace := p.pace(); pace.Waiting != 5 || pace.Wants != 5 {
			return poll.Continue("%+v", pace)
		}
		return poll.Success()
	})
	assert.Equal(t, p.engine.count(), 0)
	for _, granted := range []int{2, 5} {
		p.hear(true, granted)
		for p.engine.count() < granted {
			assert.Equal(t, (<-replies).status, 200)
		}
		// A repeated message gives nothing.
		p.hear(true, granted)
		assert.Equal(t, p.try(t), 0)
		assert.Equal(t, p.engine.count(), granted)
	}
	pace := p.pace()
	assert.Equal(t, pace.Taken, 5)
	assert.Equal(t, pace.Timely, 5)
	assert.Assert(t, pace.ColdMilliseconds > 0)
}

// TestColdEndpointWithoutSidecarGetsAShare guards against an endpoint that nobody uses while its sidecar is away or when
// it has none, and against one that then gets more than its rate.
func TestColdEndpointWithoutSidecarGetsAShare(t *testing.T) {
	for name, c := range map[string]struct {
		engine      *registrar.Engine
		atOnce      bool
		least, most int
	}{
		"silent sidecar": {&registrar.Engine{Batch: 4}, false, 5, 11},
		"no sidecar":     {nil, true, 15, 31},
	} {
		p := newPacedFleet(t, c.engine)
		p.listed.ColdRemaining = time.Hour
		p.SetEndpoints([]registrar.Endpoint{p.listed})
		play := func(span time.Duration) int {
			before := p.engine.count()
			for end := p.clock.Load() + int64(span); p.clock.Load() < end; p.clock.Add(int64(250 * time.Millisecond)) {
				p.try(t)
			}
			return p.engine.count() - before
		}
		assert.Equal(t, play(2*time.Second) > 0, c.atOnce, name)
		p.clock.Add(int64(time.Second))
		n := play(5 * time.Second)
		assert.Assert(t, n >= c.least && n <= c.most, "%s: %d requests in 5 s", name, n)
	}
}

// TestEndpointThatStartsDuringTrafficIsPaced guards against requests to a new engine before its sidecar has begun to pace
// it, and against a fleet whose start is paced.
func TestEndpointThatStartsDuringTrafficIsPaced(t *testing.T) {
	p := newPacedFleet(t, &registrar.Engine{Batch: 4})
	p.SetEndpoints([]registrar.Endpoint{p.listed})
	assert.Assert(t, p.pace().IsNew)
	assert.Equal(t, p.try(t), 0)
	p.hear(true, 1)
	assert.Equal(t, p.try(t), 200)
	assert.Equal(t, p.try(t), 0)
	p.hear(false, 0)
	assert.Equal(t, p.try(t), 200)
	assert.Assert(t, p.pace() == nil, "an endpoint that is no longer paced is reported as new")

	p = newPacedFleet(t, &registrar.Engine{Batch: 4})
	p.clock.Store(int64(time.Second))
	p.SetEndpoints([]registrar.Endpoint{p.listed})
	assert.Assert(t, p.pace() == nil, "an endpoint of a fleet that starts is paced")
	assert.Equal(t, p.try(t), 200)
}

// TestRestartedFleetIsNotPaced guards against rejections after a restart of all engines, when no other engine could take the
// load. A cold engine still takes a bounded rate only.
func TestRestartedFleetIsNotPaced(t *testing.T) {
	p := newPacedFleet(t, &registrar.Engine{Batch: 4})
	p.SetEndpoints([]registrar.Endpoint{p.listed})
	p.hear(true, 0)
	assert.Equal(t, p.try(t), 0)
	p.CheckLiveness()
	assert.Equal(t, p.try(t), 200)
	p.listed.ColdRemaining = time.Hour
	p.SetEndpoints([]registrar.Endpoint{p.listed})
	assert.Equal(t, p.try(t), 0)
}
