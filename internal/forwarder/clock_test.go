package forwarder_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
)

// steppedClock is the clock of a process whose wall clock is set. Its monotonic reading runs on by itself.
type steppedClock struct {
	start         time.Time
	elapsed, step atomic.Int64
}

// now returns a time with the monotonic reading of the elapsed time, and a wall clock that is ahead by the step. A
// time.Time that has a monotonic reading holds its wall clock's seconds in bits 30 to 62 of its first word.
func (c *steppedClock) now() time.Time {
	t := c.start.Add(time.Duration(c.elapsed.Load()))
	word := (*uint64)(unsafe.Pointer(&t))
	*word += uint64(time.Duration(c.step.Load())/time.Second) << 30
	return t
}

// TestWallClockStepsDecideNothing guards against requests that are given up, not given up, refused or accepted because the
// wall clock of the entry was set. A time.Time keeps a monotonic reading until it is stored as a Unix time.
func TestWallClockStepsDecideNothing(t *testing.T) {
	const heartbeat = 20 * time.Millisecond
	clock := &steppedClock{start: time.Now()}
	clock.step.Store(int64(5 * time.Second))
	assert.Equal(t, clock.now().Sub(clock.start), time.Duration(0))
	assert.Equal(t, clock.now().Round(0).Sub(clock.start.Round(0)), 5*time.Second)
	clock.step.Store(0)

	unblock := make(chan struct{})
	t.Cleanup(func() { close(unblock) })
	silent := newEndpoint(t, "silent", func(net.Conn, *http.Request, int) bool {
		<-unblock
		return false
	})
	other := newEndpoint(t, "other", ok)
	f := newFixtureWith(t, translator{}, clock.now, silent)
	report := func(e *endpoint) {
		f.SetState(wire.EngineState{Address: e.listener.Addr().String(), NextWithinMilliseconds: heartbeat.Milliseconds()})
	}
	pass := func(d time.Duration, heard ...*endpoint) {
		for range d / heartbeat {
			clock.elapsed.Add(int64(heartbeat))
			for _, e := range heard {
				report(e)
			}
			f.CheckLiveness()
		}
	}
	report(silent)
	pass(time.Second)
	replies := make(chan reply, 1)
	go func() { replies <- f.sendCtx(t.Context(), "/again/", "") }()
	poll.WaitOn(t, func(poll.LogT) poll.Result { return hasRequestCount(silent, 1) })
	f.SetEndpoints([]registrar.Endpoint{silent.registered("s"), other.registered("s")})

	clock.step.Store(int64(5 * time.Second))
	pass(500*time.Millisecond, other)
	assert.Equal(t, other.count(), 0)
	clock.step.Store(-int64(5 * time.Second))
	pass(200*time.Millisecond, other)
	assert.Equal(t, (<-replies).status, 200)
	assert.Equal(t, other.count(), 1)

	clock.step.Store(0)
	f.SetEndpoints([]registrar.Endpoint{other.registered("s")})
	f.Stop(clock.now().Add(2 * time.Second))
	clock.step.Store(int64(5 * time.Second))
	assert.Equal(t, f.send(t, "/once/", "", "Patience", "1000").status, 200)
	clock.step.Store(-int64(5 * time.Second))
	assert.Equal(t, f.send(t, "/once/", "", "Patience", "3000").status, 503)
}
