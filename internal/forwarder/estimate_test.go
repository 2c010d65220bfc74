package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
)

// TestSpeedFromOthersDirectsRequests guards against requests to an engine that other entries have found to be slow.
func TestSpeedFromOthersDirectsRequests(t *testing.T) {
	slow, fast := newEndpoint(t, "slow", resumeStream), newEndpoint(t, "fast", resumeStream)
	f := newFixture(t, slow, fast)
	f.setEngines(slow, fast)
	f.SetState(wire.EngineState{Address: slow.listener.Addr().String(), TotalTokens: 1e6, Speed: 0.4})
	f.SetState(wire.EngineState{Address: fast.listener.Addr().String(), TotalTokens: 1e6})
	for range 10 {
		assert.Equal(t, f.send(t, "/", "").status, 200)
	}
	assert.Equal(t, slow.count(), 0)
}

// setEngines makes the endpoints engines of a service with one route of streams.
func (f *fixture) setEngines(endpoints ...*endpoint) {
	f.SetConfiguration(registrar.NewConfiguration(registrar.ConfigurationParts{
		Version: 2,
		Routes: []registrar.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: registrar.Stream, Timeout: 10 * time.Second, Attempts: 1, Open: true,
			Targets: []registrar.Target{{Service: "s", Weight: 1}},
		}},
		Services: []registrar.Service{{Name: "s", Engine: &registrar.Engine{Batch: 64}}},
	}))
	list := make([]registrar.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		list = append(list, e.registered("s"))
	}
	f.SetEndpoints(list)
}

// TestPausesAreObserved guards against an entry that learns nothing from the events of its streams, and against one that
// takes its own delay for that of the engine.
func TestPausesAreObserved(t *testing.T) {
	for _, isBehind := range []bool{false, true} {
		e := newEndpoint(t, "e", func(c net.Conn, r *http.Request, _ int) bool {
			streamHead(c, r)
			for id := range 40 {
				time.Sleep(2 * time.Millisecond)
				writeEvent(c, id)
			}
			_, err := fmt.Fprint(c, "0\r\n\r\n")
			return err == nil
		})
		f := newFixture(t, e)
		f.setEngines(e)
		if isBehind {
			f.RecordDelay(time.Second)
		}
		assert.Equal(t, f.send(t, "/", "").status, 200)
		assert.Equal(t, f.Demands("")[0].Message.Speed > 0, !isBehind)
	}
}

// TestSuspensionOfTheEntryIsNotObserved guards against engines that seem slow after the entry itself was suspended for
// seconds during their streams, whether the streams or the measurement of the delay run first after that.
func TestSuspensionOfTheEntryIsNotObserved(t *testing.T) {
	for _, isMeasuredFirst := range []bool{false, true} {
		var f *fixture
		var suspended atomic.Int64
		e := newEndpoint(t, "e", func(c net.Conn, r *http.Request, _ int) bool {
			streamHead(c, r)
			writeEvent(c, 0)
			time.Sleep(20 * time.Millisecond)
			f.RecordDelay(0)
			suspended.Add(int64(5 * time.Second))
			if isMeasuredFirst {
				f.RecordDelay(5 * time.Second)
				f.RecordDelay(0)
			}
			for id := range 4 {
				writeEvent(c, id+1)
			}
			_, err := fmt.Fprint(c, "0\r\n\r\n")
			return err == nil
		})
		now := longRunningClock()
		f = newFixtureWith(t, translator{}, func() time.Time { return now().Add(time.Duration(suspended.Load())) }, e)
		f.setEngines(e)
		for range 3 {
			assert.Equal(t, f.send(t, "/", "").status, 200)
		}
		assert.Equal(t, f.Demands("")[0].Message.Speed, 0.0)
	}
}
