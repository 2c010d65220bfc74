package forwarder_test

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"geraniumladder/internal/forwarder"
	"geraniumladder/internal/registrar"
)

// limitTranslator also decodes the limit that an endpoint names.
type limitTranslator struct{ translator }

func (limitTranslator) DecodeResponse(r *http.Response) forwarder.ResponseInfo {
	info := translator{}.DecodeResponse(r)
	if limit, err := strconv.ParseFloat(r.Header.Get("Limit"), 64); err == nil {
		info.RequestLimit, info.HasLimit = limit, true
	}
	return info
}

// limitedFleet is a Forwarder with an endpoint that names a limit and one that doesn't, in a time that the test advances.
type limitedFleet struct {
	*fixture
	clock atomic.Int64
	// limit is the header line of the limited endpoint's answers; it may be empty.
	limit  atomic.Value
	listed []registrar.Endpoint
	mu     sync.Mutex
	// arrivals are the times at which requests reached the limited endpoint.
	arrivals []time.Duration
}

func newLimitedFleet(t *testing.T, limit string, withFree bool) *limitedFleet {
	t.Helper()
	l := &limitedFleet{}
	l.limit.Store(limit)
	endpoints := []*endpoint{newEndpoint(t, "limited", func(c net.Conn, r *http.Request, _ int) bool {
		l.mu.Lock()
		l.arrivals = append(l.arrivals, time.Duration(l.clock.Load()))
		l.mu.Unlock()
		header, _ := l.limit.Load().(string)
		return respond(c, r, 200, header, "done")
	})}
	if withFree {
		endpoints = append(endpoints, newEndpoint(t, "free", ok))
	}
	start := time.Now()
	l.fixture = newFixtureWith(t, limitTranslator{}, func() time.Time { return start.Add(time.Duration(l.clock.Load())) }, endpoints...)
	for _, e := range endpoints {
		l.listed = append(l.listed, e.registered("s"))
	}
	// The Forwarder has run for a while.
	l.clock.Store(int64(time.Minute))
	return l
}

// play sends requests, 100 ms apart, and returns the numbers of answers with each status.
func (l *limitedFleet) play(t *testing.T, requests int) map[int]int {
	t.Helper()
	statuses := map[int]int{}
	for range requests {
		statuses[l.send(t, "/once/", "").status]++
		l.clock.Add(int64(100 * time.Millisecond))
	}
	return statuses
}

// mostWithin returns the largest number of arrivals from begin on in any window of the given length.
func (l *limitedFleet) mostWithin(begin, window time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for i, first := range l.arrivals {
		n := 0
		for _, at := range l.arrivals[i:] {
			if first >= begin && at-first < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestNamedLimitIsKept guards against an endpoint that gets more requests than the limit which it names in its answers,
// and against refusing what another endpoint can take.
func TestNamedLimitIsKept(t *testing.T) {
	const limit = 1.0
	l := newLimitedFleet(t, "Limit: 1\r\n", true)
	statuses := l.play(t, 150)
	assert.Equal(t, statuses[200], 150)
	most := l.mostWithin(time.Minute+3*time.Second, 4*time.Second)
	assert.Assert(t, float64(most) <= 1.5*4*limit+5, "%d requests in 4 s at a limit of %v a second", most, limit)
}

// TestLimitOfOnlyEndpointIsRefusedAtOnce guards against requests that wait for a limit, and against a refusal that
// doesn't say when to come back.
func TestLimitOfOnlyEndpointIsRefusedAtOnce(t *testing.T) {
	l := newLimitedFleet(t, "Limit: 0.5\r\n", false)
	assert.Equal(t, l.send(t, "/once/", "").status, 200)
	got := l.send(t, "/once/", "")
	assert.Equal(t, got.status, 503)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 2 && after < 2.5, "Retry-After: %v", after)
	l.clock.Add(int64(after * float64(time.Second)))
	assert.Equal(t, l.send(t, "/once/", "").status, 200)
}

// TestLimitEndsWithItsName guards against a limit that is kept although answers no longer name it.
func TestLimitEndsWithItsName(t *testing.T) {
	l := newLimitedFleet(t, "Limit: 1\r\n", false)
	l.play(t, 50)
	l.limit.Store("")
	l.clock.Add(int64(2 * time.Second))
	assert.Equal(t, l.play(t, 50)[200], 50)
}

// TestLimitHoldsForOtherEntries guards against entries that each keep a limit for themselves, and against an entry that
// keeps one which another entry knows to have ended.
func TestLimitHoldsForOtherEntries(t *testing.T) {
	a, b := newLimitedFleet(t, "Limit: 1\r\n", false), newLimitedFleet(t, "", false)
	a.play(t, 1)
	b.AddLimits(a.Limits())
	assert.Equal(t, b.play(t, 1)[503], 1, "the limit is unknown to the other entry")
	a.limit.Store("")
	a.clock.Add(int64(5 * time.Second))
	a.play(t, 1)
	b.clock.Add(int64(5 * time.Second))
	b.AddLimits(a.Limits())
	assert.Equal(t, b.play(t, 10)[200], 10)
}

// TestChangesOfLimitAreAnnounced guards against an answer that changes no limit, or hardly, and yet makes the entry send
// messages to all others, and against a changed limit that they learn late.
func TestChangesOfLimitAreAnnounced(t *testing.T) {
	announced := 0
	e := newEndpoint(t, "e", func(c net.Conn, r *http.Request, n int) bool {
		header := map[int]string{3: "Limit: 40\r\n", 4: "Limit: 41\r\n", 5: "Limit: 42\r\n", 6: "Limit: 30\r\n"}[n]
		return respond(c, r, 200, header, "done")
	})
	f := newFixtureWithConfig(t, func(c *forwarder.Config) {
		c.Translator = limitTranslator{}
		c.OnEvidence = func() { announced++ }
	}, e)
	for i, want := range []int{0, 0, 1, 1, 1, 2, 3, 3} {
		f.waitForLimit(t)
		assert.Equal(t, announced, want, "after answer %d", i+1)
	}
}

// waitForLimit sends a request until the limit allows it.
func (f *fixture) waitForLimit(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status := f.send(t, "/once/", "").status; status != 200 {
			return poll.Continue("status %d", status)
		}
		return poll.Success()
	})
}

// TestEndOfLimitIsNoticed guards against a limit that is kept because other endpoints are better choices, so that no
// answer shows that it has ended.
func TestEndOfLimitIsNoticed(t *testing.T) {
	l := newLimitedFleet(t, "Limit: 1\r\n", true)
	l.SetEndpoints(l.listed[:1])
	l.play(t, 1)
	l.limit.Store("")
	l.listed[0].ColdRemaining, l.listed[0].Domain = time.Hour, "far"
	l.SetEndpoints(l.listed)
	l.play(t, 50)
	limits := l.Limits()
	assert.Equal(t, len(limits), 1)
	assert.Equal(t, limits[0].PerSecond, -1.0)
}
