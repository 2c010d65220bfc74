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
		f.SetConfiguration(registrar.NewConfiguration(registrar.ConfigurationParts{
			Version: 3, Services: []registrar.Service{{Name: "s", Engine: &registrar.Engine{Batch: 64}}},
			Routes: []registrar.Route{{
				Name: "r", Host: "h", Prefix: "/", Kind: registrar.Stream, Timeout: 10 * time.Second, Attempts: 1, Open: true,
				Objective: c.objective, Targets: []registrar.Target{{Service: "s", Weight: 1}},
			}},
		}))
		rejected := 0
		for range requests {
			f.SetState(wire.EngineState{
				Address: e.listener.Addr().String(), TotalTokens: 1e6, UnreadTokens: c.unread, Adapters: engineState(e, nil, nil).Adapters,
			})
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
