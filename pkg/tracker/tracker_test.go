package tracker_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/tracker"
)

type (
	heartbeat  = tracker.Heartbeat[string]
	descriptor = tracker.Descriptor[string]
)

var sidecar = descriptor{Role: tracker.Sidecar, FailureDomain: "d1", ProtocolMin: 1, ProtocolMax: 2, Detail: "engine"}

func newHeartbeat(incarnation string, sequence int64, state tracker.State) heartbeat {
	return heartbeat{VM: "vm1", Incarnation: incarnation, Address: "127.0.0.1:1", State: state, Sequence: sequence, Hash: "h1"}
}

func withDescriptor(h heartbeat) heartbeat {
	h.Descriptor = &sidecar
	return h
}

func stateOf(t tracker.Table[string], now time.Duration) tracker.State {
	m, _ := t.Member("vm1", now)
	return m.State
}

// TestDescriptorRequests guards against using a member without its descriptor, and against requesting a descriptor that
// is already stored. A heartbeat may carry only the descriptor's hash.
func TestDescriptorRequests(t *testing.T) {
	table := tracker.New[string](tracker.Config{})
	asked, reply, err := table.WithHeartbeat(newHeartbeat("1", 1, tracker.Live), 0)
	assert.NilError(t, err)
	assert.Assert(t, reply.WantDescriptor && reply.NewIncarnation)
	assert.Equal(t, stateOf(asked, 0), tracker.Starting)

	table, reply, err = table.WithHeartbeat(withDescriptor(newHeartbeat("1", 1, tracker.Live)), 0)
	assert.NilError(t, err)
	assert.Assert(t, !reply.WantDescriptor && reply.NewDescriptor)
	assert.Equal(t, stateOf(table, 0), tracker.Live, "a new member must be usable after its first heartbeat with a descriptor")
	table, reply, _ = table.WithHeartbeat(newHeartbeat("1", 2, tracker.Live), time.Second)
	assert.Assert(t, !reply.WantDescriptor)
	changed := newHeartbeat("1", 3, tracker.Live)
	changed.Hash = "h2"
	table, reply, _ = table.WithHeartbeat(changed, 2*time.Second)
	assert.Assert(t, reply.WantDescriptor)
	assert.Equal(t, stateOf(table, 2*time.Second), tracker.Live)
	table, reply, _ = table.WithHeartbeat(newHeartbeat("2", 1, tracker.Live), 2*time.Second)
	assert.Assert(t, reply.WantDescriptor, "the descriptor of an earlier incarnation must be discarded")
	assert.Equal(t, stateOf(table, 2*time.Second), tracker.Starting)
}

// TestIncompatibleProtocolVersions guards against using a member with which no protocol version is shared, and against
// an error that does not state both ranges.
func TestIncompatibleProtocolVersions(t *testing.T) {
	table := tracker.New[string](tracker.Config{ProtocolMin: 3, ProtocolMax: 4})
	next, _, err := table.WithHeartbeat(withDescriptor(newHeartbeat("1", 1, tracker.Live)), 0)
	var incompatible *tracker.IncompatibleError
	assert.Assert(t, errors.As(err, &incompatible))
	assert.ErrorContains(t, err, "versions 1 to 2 and this process 3 to 4")
	assert.Equal(t, len(next.Members(0)), 0)
}

// TestList guards against assigning work to a VM that is listed as leaving, against an outdated list that takes a
// restarted process out of service, and against a VM that was removed from the list but is never gone.
func TestList(t *testing.T) {
	listed := func(leaving bool) []tracker.ListedVM {
		return []tracker.ListedVM{{VM: "vm1", Address: "127.0.0.1:9", FailureDomain: "d2", Role: tracker.Sidecar, Leaving: leaving}}
	}
	table := tracker.New[string](tracker.Config{}).WithList(listed(false), 0)
	m := table.Members(0)[0]
	assert.Equal(t, m.State, tracker.Starting)
	assert.Equal(t, m.Address, "127.0.0.1:9")
	table, _, _ = table.WithHeartbeat(withDescriptor(newHeartbeat("1", 1, tracker.Live)), 0)
	assert.Equal(t, stateOf(table, 0), tracker.Live)
	table = table.WithList(listed(true), 0)
	assert.Equal(t, stateOf(table, 0), tracker.Leaving)
	table, _, _ = table.WithHeartbeat(withDescriptor(newHeartbeat("2", 1, tracker.Live)), time.Second)
	table = table.WithList(listed(true), time.Second)
	assert.Equal(t, stateOf(table, time.Second), tracker.Live)
	table = table.WithList(nil, time.Second)
	assert.Equal(t, stateOf(table, time.Second), tracker.Live, "a member that sends heartbeats is not gone")
	assert.Equal(t, stateOf(table, 20*time.Second), tracker.Gone)
	assert.Equal(t, len(table.WithoutForgotten(20*time.Second).Members(0)), 1)
	assert.Equal(t, len(table.WithoutForgotten(time.Hour).Members(0)), 0)
	late, _, _ := tracker.New[string](tracker.Config{}).WithList(listed(true), 0).WithHeartbeat(withDescriptor(newHeartbeat("1", 1, tracker.Live)), 0)
	assert.Equal(t, stateOf(late, 0), tracker.Leaving)
}

// TestMessageOrder delivers reordered, delayed and duplicate messages. It guards against a leaving member that becomes
// live again in the same incarnation, a return to an older incarnation, a newer state replaced by an older one, and
// a failed member that goes undetected because old messages still arrive.
func TestMessageOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := tracker.Config{HeartbeatEvery: time.Second, SuspectAfter: 3 * time.Second, ForgetAfter: 30 * time.Second}
		var sent []heartbeat
		for incarnation := range rapid.IntRange(1, 3).Draw(t, "incarnations") {
			for sequence := range rapid.Int64Range(1, 6).Draw(t, "messages") {
				// This includes a faulty sender that reports another state after it reported Leaving.
				state := rapid.SampledFrom([]tracker.State{tracker.Starting, tracker.Live, tracker.Live, tracker.Leaving}).Draw(t, "state")
				sent = append(sent, withDescriptor(newHeartbeat(fmt.Sprint(incarnation), sequence+1, state)))
			}
		}
		table := tracker.New[string](config)
		var now, newestAt time.Duration
		hasLeft := map[string]bool{}
		newest := heartbeat{}
		for range rapid.IntRange(1, 40).Draw(t, "deliveries") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond
			if newest.VM != "" && now-newestAt >= config.SuspectAfter {
				assert.Assert(t, stateOf(table, now) != tracker.Live, "live after %s without heartbeats", now-newestAt)
			}
			h := rapid.SampledFrom(sent).Draw(t, "message")
			var err error
			table, _, err = table.WithHeartbeat(h, now)
			assert.NilError(t, err)
			if newest.VM == "" || slices.Compare([]string{h.Incarnation}, []string{newest.Incarnation}) > 0 ||
				h.Incarnation == newest.Incarnation && h.Sequence > newest.Sequence {
				newest, newestAt = h, now
				hasLeft[h.Incarnation] = hasLeft[h.Incarnation] || h.State == tracker.Leaving
			}
			m, _ := table.Member("vm1", now)
			assert.Equal(t, m.Incarnation, newest.Incarnation)
			assert.Assert(t, m.State != tracker.Live || !hasLeft[m.Incarnation], "a leaving member became live again")
			if now == newestAt && !hasLeft[m.Incarnation] {
				assert.Equal(t, m.State, newest.State)
			}
		}
	})
}
