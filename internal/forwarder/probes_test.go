package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"geraniumladder/internal/forwarder"
	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/detector"
)

// TestSilentSidecarIsNoSilentEndpoint guards against a request that goes on at a second endpoint while the first one works
// on it, because the process that reports for it was killed; and against one that waits for an endpoint that is gone, frozen
// or cut off.
func TestSilentSidecarIsNoSilentEndpoint(t *testing.T) {
	const heartbeat, work = 20 * time.Millisecond, 1800 * time.Millisecond
	alive := func(context.Context) (int64, error) { return 7, nil }
	refused := func(context.Context) (int64, error) { return 0, errors.New("connection refused") }
	unanswered := func(ctx context.Context) (int64, error) {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	started := time.Now()
	for name, c := range map[string]struct {
		probe  func(context.Context) (int64, error)
		goesOn bool
	}{
		"sidecar killed":          {alive, false},
		"endpoint gone":           {refused, true},
		"machine frozen or cut":   {unanswered, true},
		"endpoint in another run": {func(context.Context) (int64, error) { return 8, nil }, true},
		"killed, then frozen": {func(ctx context.Context) (int64, error) {
			if time.Since(started) < time.Second {
				return alive(ctx)
			}
			return unanswered(ctx)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := newEndpoint(t, "first", func(c net.Conn, r *http.Request, n int) bool {
				time.Sleep(work)
				return ok(c, r, n)
			})
			other := newEndpoint(t, "other", ok)
			var probes atomic.Int64
			f := newFixtureWithConfig(t, func(config *forwarder.Config) {
				config.Probe = func(ctx context.Context, address string) (int64, error) {
					assert.Check(t, address == first.listener.Addr().String(), "a sound endpoint is probed")
					probes.Add(1)
					return c.probe(ctx)
				}
			}, first)
			both := []registrar.Endpoint{first.registered("s"), other.registered("s")}
			both[0].Born = 7
			f.SetEndpoints(both[:1])
			report := func(e *endpoint) {
				f.SetState(wire.EngineState{Address: e.listener.Addr().String(), NextWithinMilliseconds: heartbeat.Milliseconds()})
			}
			report(first)
			replies := make(chan reply, 1)
			go func() { replies <- f.sendCtx(t.Context(), "/again/", "", "Patience", "4900") }()
			poll.WaitOn(t, func(poll.LogT) poll.Result { return hasRequestCount(first, 1) })
			f.SetEndpoints(both)
			sentAt := time.Now()
			for len(replies) == 0 && time.Since(sentAt) < 4*time.Second {
				report(other)
				f.CheckLiveness()
				time.Sleep(heartbeat / 2)
			}
			assert.Equal(t, (<-replies).status, 200)
			assert.Equal(t, other.count() == 1, c.goesOn)
			assert.Assert(t, probes.Load() > 0 && probes.Load() < 8, "%d probes", probes.Load())
			t.Logf("answered %v after the request had reached the endpoint", time.Since(sentAt).Round(10*time.Millisecond))
		})
	}
}

// TestProbes guards against a probe that is started beside another, and against one that counts for long.
func TestProbes(t *testing.T) {
	var p detector.Probes
	now := time.Now()
	assert.Assert(t, p.IsDue(now) && !p.IsUnreachable(now))
	p = p.WithStart(now)
	assert.Assert(t, !p.IsDue(now.Add(time.Hour)) && !p.IsUnreachable(now))
	p = p.WithResult(false)
	assert.Assert(t, !p.IsDue(now) && p.IsUnreachable(now.Add(time.Second)) && !p.IsUnreachable(now.Add(2*time.Second)))
	p = p.WithStart(now.Add(time.Second))
	assert.Assert(t, p.IsUnreachable(now.Add(time.Second)), "the last result counts until the next")
	assert.Assert(t, !p.WithResult(true).IsUnreachable(now.Add(time.Second)))
}
