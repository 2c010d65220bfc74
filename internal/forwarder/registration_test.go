package forwarder_test

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/registrar"
)

// TestRegistrationsChangeWhileRequestsRun guards against requests that read a registration while it is being overwritten. It
// needs the race detector.
func TestRegistrationsChangeWhileRequestsRun(t *testing.T) {
	a, b := newEndpoint(t, "a", resumeStream), newEndpoint(t, "b", resumeStream)
	f := newFixture(t, a, b)
	ctx, cancel := context.WithCancel(t.Context())
	var changes sync.WaitGroup
	changes.Go(func() {
		for n := 1; ctx.Err() == nil; n++ {
			list := []registrar.Endpoint{a.registered("s"), b.registered("s")}
			for i := range list {
				list[i].Slots, list[i].Born = n%7+1, 7
			}
			f.SetEndpoints(list)
		}
	})
	for range 50 {
		for _, path := range []string{"/resume/", "/stream/", "/again/"} {
			got := f.send(t, path, "")
			assert.Equal(t, got.status, 200, "%v", got)
		}
	}
	cancel()
	changes.Wait()
}
