package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"geraniumladder/internal/forwarder"
	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
)

// partsTranslator also decodes the prompt's parts.
type partsTranslator struct{ translator }

func (partsTranslator) DecodeCall(h http.Header) forwarder.Call {
	call := translator{}.DecodeCall(h)
	for id := range strings.SplitSeq(h.Get("Parts"), ",") {
		call.Parts = append(call.Parts, forwarder.PromptPart{ID: id, Tokens: 10})
	}
	return call
}

// crashingFleet is a service whose endpoints end when they begin to answer a request with the part "deadly".
type crashingFleet struct {
	*fixture
	listed []registrar.Endpoint
	// ahead is by how much the Forwarder's clock is ahead.
	ahead atomic.Int64
	mu    sync.Mutex
	// crashed holds the indexes of the endpoints that have ended and not been restarted, and crashes counts all ends.
	crashed []int
	crashes int
}

func newCrashingFleet(t *testing.T, size int) *crashingFleet {
	t.Helper()
	c := &crashingFleet{}
	endpoints := make([]*endpoint, size)
	for i := range endpoints {
		endpoints[i] = newEndpoint(t, fmt.Sprintf("e%d", i), func(conn net.Conn, r *http.Request, n int) bool {
			parts := strings.Split(r.Header.Get("Parts"), ",")
			if !slices.Contains(parts[:len(parts)-1], "deadly") {
				return resumeStream(conn, r, n)
			}
			c.mu.Lock()
			c.crashed = append(c.crashed, i)
			c.crashes++
			c.mu.Unlock()
			streamHead(conn, r)
			return false
		})
	}
	start := time.Now()
	c.fixture = newFixtureWith(t, partsTranslator{}, func() time.Time { return start.Add(time.Since(start) + time.Duration(c.ahead.Load())) }, endpoints...)
	for _, e := range endpoints {
		c.listed = append(c.listed, e.registered("s"))
	}
	return c
}

func (c *crashingFleet) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

// restart reports the ends of endpoints as their sidecars do, and lists their new incarnations.
func (c *crashingFleet) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.crashed {
		e := &c.listed[i]
		c.SetState(wire.EngineState{Address: e.Address, Born: e.Born, IsDown: true, NextWithinMilliseconds: 1000})
		e.Born++
		e.ID = fmt.Sprintf("e%d-%d", i, e.Born)
	}
	c.crashed = nil
	c.SetEndpoints(c.listed)
	c.CheckLiveness()
}

func (c *crashingFleet) advance(d time.Duration) { c.ahead.Add(int64(d)) }

// TestDeadlyPartReachesFewEndpoints guards against requests with one prompt part that end one endpoint after the other.
func TestDeadlyPartReachesFewEndpoints(t *testing.T) {
	c := newCrashingFleet(t, 6)
	afterFifth := 0
	for i := range 14 {
		c.advance(time.Second)
		before := c.crashCount()
		c.send(t, "/stream/", "", "Parts", fmt.Sprintf("shared,subject,deadly,own-%d", i))
		c.restart()
		if before >= 5 {
			afterFifth += c.crashCount() - before
		}
		got := c.send(t, "/stream/", "", "Parts", fmt.Sprintf("shared,subject,other,own-sound-%d", i))
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 200)
	}
	assert.Assert(t, afterFifth <= 3, "%d requests reached endpoints after the fifth had ended", afterFifth)
}

// TestBlockedPartIsRefusedAsNotRun guards against a request that waits although it can't be served, a refusal without the
// time of the next try, and requests with the blocked part in the place that belongs to the request itself.
func TestBlockedPartIsRefusedAsNotRun(t *testing.T) {
	c := newCrashingFleet(t, 4)
	for i := range 3 {
		c.advance(time.Second)
		assert.Equal(t, c.send(t, "/stream/", "", "Parts", fmt.Sprintf("shared,deadly,own-%d", i)).status, 502)
		c.restart()
	}
	got := c.send(t, "/stream/", "", "Parts", "shared,deadly,own")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, strings.Contains(got.body, `"IsNotRun":true`), got.body)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 50 && after < 70, "Retry-After: %v", after)
	assert.Equal(t, c.send(t, "/stream/", "", "Parts", "shared,deadly").status, 200)
	assert.Equal(t, c.crashCount(), 3)

	c.advance(2 * time.Minute)
	c.send(t, "/stream/", "", "Parts", "shared,deadly,own")
	assert.Equal(t, c.crashCount(), 4, "no probe after the end of the block")
	c.restart()
	assert.Equal(t, c.send(t, "/stream/", "", "Parts", "shared,deadly,own").status, 503)
}

// TestBrokenConnectionsBlockNothing guards against taking an endpoint that breaks off answers for one that has ended.
func TestBrokenConnectionsBlockNothing(t *testing.T) {
	c := newCrashingFleet(t, 4)
	for i := range 12 {
		c.advance(time.Second)
		c.send(t, "/stream/", "", "Parts", fmt.Sprintf("shared,deadly,own-%d", i))
	}
	assert.Equal(t, c.crashCount(), 12)
}

// TestEvidenceOfOthersBlocks guards against an entry that relies on what it has seen itself, and against requests that
// stay queued at an endpoint after their part has been blocked.
func TestEvidenceOfOthersBlocks(t *testing.T) {
	a, b := newCrashingFleet(t, 4), newCrashingFleet(t, 4)
	for i := range 3 {
		b.advance(time.Second)
		a.advance(time.Second)
		a.send(t, "/stream/", "", "Parts", fmt.Sprintf("shared,deadly,own-%d", i))
		a.restart()
	}
	b.AddCrashEvidence(a.CrashEvidence())
	assert.Equal(t, b.send(t, "/stream/", "", "Parts", "shared,deadly,own").status, 503)
	assert.Equal(t, b.send(t, "/stream/", "", "Parts", "shared,other,own").status, 200)
	assert.Equal(t, b.crashCount(), 0)

	queued := newEndpoint(t, "queued", func(net.Conn, *http.Request, int) bool {
		<-t.Context().Done()
		return false
	})
	d := newFixtureWith(t, partsTranslator{}, longRunningClock(), queued)
	waiting := make(chan reply, 1)
	go func() { waiting <- d.sendCtx(t.Context(), "/stream/", "", "Parts", "shared,deadly,own") }()
	poll.WaitOn(t, func(poll.LogT) poll.Result { return hasRequestCount(queued, 1) })
	d.AddCrashEvidence(a.CrashEvidence())
	assert.Equal(t, (<-waiting).status, 502)
}

// TestFlakyEndpointStaysUnderWatch guards against an endpoint that has broken off so many answers that nothing is noted
// when it ends.
func TestFlakyEndpointStaysUnderWatch(t *testing.T) {
	c := newCrashingFleet(t, 1)
	for i := range 70 {
		c.send(t, "/stream/", "", "Parts", fmt.Sprintf("shared,deadly,own-%d", i))
	}
	c.crashed = nil
	for range 3 {
		c.advance(time.Minute)
		c.send(t, "/stream/", "", "Parts", "shared,deadly,own")
		c.restart()
	}
	assert.Equal(t, c.send(t, "/stream/", "", "Parts", "shared,deadly,own").status, 503)
	assert.Equal(t, c.crashCount(), 73)
}
