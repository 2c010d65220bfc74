package forwarder_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/forwarder"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/arbiter"
)

// TestUnreachableDeadlineIsRejectedAtOnce guards against requests that wait in an engine's queue until their deadlines, and
// against rejections of those that may be served.
func TestUnreachableDeadlineIsRejectedAtOnce(t *testing.T) {
	const requests = 20
	for _, c := range []struct {
		name      string
		policy    arbiter.Policy
		unread    int64
		isAllSent bool
	}{
		{"queue of 47 s", arbiter.Limited{}, 1.5e6, false},
		{"queue of 31 s", arbiter.Limited{}, 1e6, true},
		{"baseline", arbiter.AdmitAll{}, 1.5e6, true},
	} {
		e := newEndpoint(t, "e", resumeStream)
		f := newFixtureWithConfig(t, func(config *forwarder.Config) { config.Admission = c.policy }, e)
		f.setEngines(e)
		rejected := 0
		for range requests {
			f.SetState(wire.EngineState{
				Address: e.listener.Addr().String(), TotalTokens: 1e6, UnreadTokens: c.unread, Adapters: engineState(e, nil, nil).Adapters,
			})
			got := f.send(t, "/", "", "Uses", "base")
			if got.status == 503 {
				rejected++
				assert.Assert(t, strings.Contains(got.body, "deadline-unreachable"), got.body)
				assert.Assert(t, got.header.Get("Retry-After") != "")
			}
		}
		assert.Equal(t, e.count()+rejected, requests, c.name)
		assert.Equal(t, rejected == 0, c.isAllSent, "%s: %d rejected", c.name, rejected)
	}
}
