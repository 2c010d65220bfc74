package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
