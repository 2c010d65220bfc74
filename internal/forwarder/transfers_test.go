package forwarder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"geraniumladder/internal/forwarder"
	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
)

// engineState is the report of an engine that holds the base model and the given adapters.
func engineState(e *endpoint, resident, loading []string, transfers ...wire.AdapterTransfer) wire.EngineState {
	s := wire.EngineState{Address: e.listener.Addr().String(), Transfers: transfers, Adapters: &wire.EngineAdapters{
		Resident: []wire.AdapterName{{Model: "base", Version: 1}},
	}}
	for _, name := range resident {
		s.Adapters.Resident = append(s.Adapters.Resident, wire.AdapterName{Model: "base", Adapter: name, Version: 1})
	}
	for _, name := range loading {
		s.Adapters.Loading = append(s.Adapters.Loading, wire.AdapterName{Model: "base", Adapter: name, Version: 1})
	}
	return s
}

func transferOf(name string, milliseconds int64) wire.AdapterTransfer {
	return wire.AdapterTransfer{Model: "base", Adapter: name, Milliseconds: milliseconds}
}

// newBusyStore returns a fixture that has learned that the weight store carries four transfers, of which the second
// engine has 16 in flight.
func newBusyStore(t *testing.T, idle, busy *endpoint) (f *fixture, loading []string) {
	t.Helper()
	return newBusyStoreAt(t, longRunningClock(), idle, busy)
}

func newBusyStoreAt(t *testing.T, now func() time.Time, idle, busy *endpoint) (f *fixture, loading []string) {
	t.Helper()
	f = newFixtureWith(t, translator{}, now, idle, busy)
	f.SetConfiguration(registrar.NewConfiguration(registrar.ConfigurationParts{
		Version: 2,
		Routes: []registrar.Route{{
			Name: "model", Host: "h", Prefix: "/model/", Kind: registrar.Once, Timeout: 20 * time.Second, Attempts: 1, Open: true,
			Targets: []registrar.Target{{Service: "s", Weight: 1}},
		}},
		Services: []registrar.Service{{Name: "s", Engine: &registrar.Engine{Batch: 4, AdapterSlots: 32}}},
	}))
	f.SetEndpoints([]registrar.Endpoint{idle.registered("s"), busy.registered("s")})
	f.SetState(engineState(idle, nil, nil))
	for i := range 32 {
		name := fmt.Sprint("first", i)
		f.SetState(engineState(busy, nil, []string{name}))
		f.SetState(engineState(busy, nil, nil, transferOf(name, 100)))
	}
	var transfers []wire.AdapterTransfer
	for i := range 16 {
		loading = append(loading, fmt.Sprint("more", i))
		transfers = append(transfers, transferOf(loading[i], 400))
	}
	f.SetState(engineState(busy, nil, loading))
	f.SetState(engineState(busy, nil, loading, transfers...))
	assert.Equal(t, fmt.Sprintf("%.3f", f.Transfers().Limit), "4.000")
	assert.Equal(t, f.Transfers().InFlight, 16)
	return f, loading
}

func isWaiting(f *fixture, n int) func(poll.LogT) poll.Result {
	return func(poll.LogT) poll.Result {
		if got := f.Transfers().Waiting; got != n {
			return poll.Continue("%d loads wait", got)
		}
		return poll.Success()
	}
}

func wantedAdapters(demands []forwarder.EngineDemand) (names []string) {
	for _, d := range demands {
		for _, w := range d.Message.Wanted {
			names = append(names, w.Adapter)
		}
	}
	return names
}

// TestLoadWaitsForTheBudget guards against loads that are ordered while the weight store is busy, and against loads that
// are never ordered after that.
func TestLoadWaitsForTheBudget(t *testing.T) {
	idle, busy := newEndpoint(t, "idle", ok), newEndpoint(t, "busy", ok)
	f, _ := newBusyStore(t, idle, busy)
	end := make(chan reply)
	go func() { end <- f.sendCtx(t.Context(), "/model/", "", "Uses", "base/a1") }()
	poll.WaitOn(t, isWaiting(f, 1), poll.WithTimeout(20*time.Second))
	for range 30 {
		assert.Equal(t, len(wantedAdapters(f.Demands(""))), 0)
		time.Sleep(10 * time.Millisecond)
	}
	f.SetState(engineState(busy, nil, nil))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if names := wantedAdapters(f.Demands("")); len(names) != 1 || names[0] != "a1" {
			return poll.Continue("wanted: %v", names)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	assert.Equal(t, f.Transfers().InFlight, 1, "the load that no engine has reported yet")
	for _, e := range []*endpoint{idle, busy} {
		f.SetState(engineState(e, []string{"a1"}, nil))
	}
	got := <-end
	assert.Equal(t, got.status, 200)
	assert.Equal(t, f.Transfers().InFlight, 0)
}

// TestWaitingRequestUsesAnotherCopy guards against a request that waits for its own load although another entry's has
// made the adapter resident in the meantime.
func TestWaitingRequestUsesAnotherCopy(t *testing.T) {
	idle, busy := newEndpoint(t, "idle", ok), newEndpoint(t, "busy", ok)
	f, loading := newBusyStore(t, idle, busy)
	end := make(chan reply)
	go func() { end <- f.sendCtx(t.Context(), "/model/", "", "Uses", "base/a1") }()
	poll.WaitOn(t, isWaiting(f, 1), poll.WithTimeout(20*time.Second))
	f.SetState(engineState(busy, []string{"a1"}, loading))
	got := <-end
	assert.Equal(t, got.status, 200)
	assert.Equal(t, busy.count(), 1)
	assert.Equal(t, f.Transfers().Waiting, 0)
	assert.Equal(t, f.Transfers().InFlight, 16)
	// A request that no load can serve before its deadline is refused at once.
	got = f.sendCtx(t.Context(), "/model/", "", "Uses", "base/a2", "Patience", "90")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// TestRequestThatJoinsALoadLeavesTheQueue guards against a request that waits for a load of another entry and keeps its
// place in the queue meanwhile, so that a start is granted which nothing uses.
func TestRequestThatJoinsALoadLeavesTheQueue(t *testing.T) {
	idle, busy := newEndpoint(t, "idle", ok), newEndpoint(t, "busy", ok)
	f, loading := newBusyStore(t, idle, busy)
	end := make(chan reply)
	go func() { end <- f.sendCtx(t.Context(), "/model/", "", "Uses", "base/a1") }()
	poll.WaitOn(t, isWaiting(f, 1), poll.WithTimeout(20*time.Second))
	f.SetState(engineState(idle, nil, []string{"a1"}))
	poll.WaitOn(t, isWaiting(f, 0), poll.WithTimeout(10*time.Second))
	f.SetState(engineState(busy, nil, loading[:2]))
	assert.Equal(t, f.Transfers().InFlight, 3)
	f.SetState(engineState(idle, []string{"a1"}, nil))
	got := <-end
	assert.Equal(t, got.status, 200)
}

// TestWaitingRequestsSelectSeldomInLargeFleets guards against requests that wait for the weight store and compare all
// engines every 100 ms each, which takes the processor time of the others.
func TestWaitingRequestsSelectSeldomInLargeFleets(t *testing.T) {
	const waiting, engines = 16, 1024
	idle, busy := newEndpoint(t, "idle", ok), newEndpoint(t, "busy", ok)
	var readings atomic.Int64
	clock := longRunningClock()
	f, _ := newBusyStoreAt(t, func() time.Time { readings.Add(1); return clock() }, idle, busy)
	list := []registrar.Endpoint{idle.registered("s"), busy.registered("s")}
	for i := range engines {
		list = append(list, registrar.Endpoint{ID: fmt.Sprint("other", i), Service: "s", Address: fmt.Sprintf("127.0.0.1:%d", i+1)})
	}
	f.SetEndpoints(list)
	for _, e := range list[2:] {
		f.SetState(wire.EngineState{Address: e.Address, Adapters: &wire.EngineAdapters{Resident: []wire.AdapterName{{Model: "base", Version: 1}}}})
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i := range waiting {
		go f.sendCtx(ctx, "/model/", "", "Uses", fmt.Sprint("base/a", i))
	}
	poll.WaitOn(t, isWaiting(f, waiting), poll.WithTimeout(20*time.Second))
	// The first requests to wait know of few others and select again once.
	time.Sleep(400 * time.Millisecond)
	before := readings.Load()
	time.Sleep(time.Second)
	choices := (readings.Load() - before) / engines
	assert.Assert(t, choices < 3*waiting, "%d choices", choices)
}

// TestWarmLoadDoesNotWait guards against loads from an engine's own memory that wait for the weight store, also after the
// engine has restarted, and against relying on copies that a restart has lost.
func TestWarmLoadDoesNotWait(t *testing.T) {
	idle, busy := newEndpoint(t, "idle", ok), newEndpoint(t, "busy", ok)
	f, _ := newBusyStore(t, idle, busy)
	restarted := idle.registered("s")
	restarted.Born = 7
	for _, restart := range []bool{false, true} {
		f.SetState(engineState(idle, []string{"w1", "w2"}, nil))
		f.SetState(engineState(idle, nil, nil))
		if restart {
			f.SetEndpoints([]registrar.Endpoint{restarted, busy.registered("s")})
			f.SetState(engineState(idle, nil, nil))
		}
		end := make(chan reply)
		go func() { end <- f.sendCtx(t.Context(), "/model/", "", "Uses", "base/w1") }()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if names := wantedAdapters(f.Demands("")); len(names) != 1 {
				return poll.Continue("wanted: %v", names)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second))
		f.SetState(engineState(idle, []string{"w1"}, nil, transferOf("w1", 100)))
		got := <-end
		assert.Equal(t, got.status, 200)
	}
	f.SetState(engineState(idle, nil, nil))
	go f.sendCtx(t.Context(), "/model/", "", "Uses", "base/w2")
	poll.WaitOn(t, isWaiting(f, 1), poll.WithTimeout(20*time.Second))
}

// TestLoadThatDoesNotBeginIsGivenUp guards against a load that keeps a place of the budget while it waits for a slot, and
// against a request that waits for it although another engine has the adapter.
func TestLoadThatDoesNotBeginIsGivenUp(t *testing.T) {
	idle, busy := newEndpoint(t, "idle", ok), newEndpoint(t, "busy", ok)
	f, _ := newBusyStore(t, idle, busy)
	f.SetState(engineState(busy, nil, nil))
	end := make(chan reply)
	go func() { end <- f.sendCtx(t.Context(), "/model/", "", "Uses", "base/a1", "Patience", "1000") }()
	chosen := ""
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, d := range f.Demands("") {
			if len(d.Message.Wanted) > 0 {
				chosen = d.Address
				return poll.Success()
			}
		}
		return poll.Continue("not wanted yet")
	}, poll.WithTimeout(20*time.Second))
	other := idle
	if chosen == idle.listener.Addr().String() {
		other = busy
	}
	f.SetState(engineState(other, []string{"a1"}, nil))
	got := <-end
	assert.Equal(t, got.status, 200)
	assert.Equal(t, other.count(), 1)
	assert.Equal(t, f.Transfers().InFlight, 0)
}

// TestIdleDemandIsSentLessOften guards against demands on unused engines at each interval, and against sidecars that go on
// counting requests that have ended, or that learn late of the entry after a restart.
func TestIdleDemandIsSentLessOften(t *testing.T) {
	// Steps of the clock are much longer than the test takes.
	const step, idleInterval = 6 * time.Minute, 10 * time.Minute
	var passed, dueDuring atomic.Int64
	var f *fixture
	e := newEndpoint(t, "e", func(c net.Conn, r *http.Request, n int) bool {
		dueDuring.Add(int64(len(f.SteadyDemands(idleInterval))))
		return ok(c, r, n)
	})
	f = newFixtureWith(t, translator{}, func() time.Time { return time.Now().Add(time.Duration(passed.Load())) }, e)
	f.useEngines()
	f.SetEndpoints([]registrar.Endpoint{e.registered("s")})
	due := func(pass time.Duration) int {
		passed.Add(int64(pass))
		f.CheckLiveness()
		s := engineState(e, []string{"a1"}, nil)
		s.NextWithinMilliseconds = 1000
		f.SetState(s)
		f.CheckLiveness()
		return len(f.SteadyDemands(idleInterval))
	}
	assert.DeepEqual(t, []int{due(0), due(step), due(step)}, []int{1, 0, 1})
	assert.Equal(t, f.send(t, "/model/", "", "Uses", "base/a1").status, 200)
	assert.Equal(t, dueDuring.Load(), int64(1))
	assert.DeepEqual(t, []int{due(step), due(step)}, []int{1, 0})
	for range 100 {
		passed.Add(int64(80 * time.Millisecond))
		f.CheckLiveness()
	}
	assert.Equal(t, len(f.SteadyDemands(idleInterval)), 1)
}
