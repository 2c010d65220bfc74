package forwarder_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/forwarder"
	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/arbiter"
)

// setObjective gives the route of setEngines an objective, and makes its streams resumable at another endpoint.
func (f *fixture) setObjective(objective time.Duration) {
	f.SetConfiguration(registrar.NewConfiguration(registrar.ConfigurationParts{
		Version: 3, Services: []registrar.Service{{Name: "s", Engine: &registrar.Engine{Batch: 64}}},
		Routes: []registrar.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: registrar.Stream, Timeout: 10 * time.Second, Attempts: 2, Resumable: true, Open: true,
			Objective: objective, Targets: []registrar.Target{{Service: "s", Weight: 1}},
		}},
	}))
}

// queueState is the report of an engine with prompt tokens to read.
func queueState(e *endpoint, unread int64) wire.EngineState {
	s := engineState(e, nil, nil)
	s.TotalTokens, s.UnreadTokens = 1e6, unread
	return s
}

// TestLostRequestIsNotRejectedEarly guards against a request that is failed after it may have run although another endpoint
// could still serve it.
func TestLostRequestIsNotRejectedEarly(t *testing.T) {
	lost, long := newEndpoint(t, "lost", dropResponse), newEndpoint(t, "long", resumeStream)
	f := newFixture(t, lost, long)
	f.setEngines(lost, long)
	f.setObjective(0)
	f.SetState(queueState(lost, 0))
	f.SetState(queueState(long, 1.5e6))
	assert.Equal(t, f.send(t, "/", "", "Uses", "base").status, 200)
	assert.Equal(t, lost.count(), 1)
}

// TestEarlyRejection guards against requests that wait in an engine's queue until their deadlines or their callers leave,
// against late requests that make others late, and against rejections of those that may be served.
func TestEarlyRejection(t *testing.T) {
	const requests = 20
	for _, c := range []struct {
		name      string
		policy    arbiter.Policy
		unread    int64
		objective time.Duration
		// reason is that of the rejections; empty if there are none.
		reason string
	}{
		{"queue of 47 s", arbiter.Limited{}, 1.5e6, 0, "deadline-unreachable"},
		{"queue of 31 s", arbiter.Limited{}, 1e6, 0, ""},
		{"queue of 31 s with an objective", arbiter.Limited{}, 1e6, 500 * time.Millisecond, "deadline-unreachable"},
		{"baseline", arbiter.AdmitAll{}, 1.5e6, 0, ""},
		{"queue of 1.5 s", arbiter.Fair{}, 48e3, 500 * time.Millisecond, "capacity-short"},
	} {
		e := newEndpoint(t, "e", resumeStream)
		f := newFixtureWithConfig(t, func(config *forwarder.Config) { config.Admission = c.policy }, e)
		f.setEngines(e)
		f.setObjective(c.objective)
		rejected := 0
		for range requests {
			f.SetState(queueState(e, c.unread))
			got := f.send(t, "/", "", "Uses", "base")
			if got.status == 503 {
				rejected++
				assert.Assert(t, c.reason != "" && strings.Contains(got.body, c.reason), got.body)
				assert.Assert(t, got.header.Get("Retry-After") != "")
			}
		}
		assert.Equal(t, e.count()+rejected, requests, c.name)
		assert.Equal(t, rejected == 0, c.reason == "", "%s: %d rejected", c.name, rejected)
	}
}
