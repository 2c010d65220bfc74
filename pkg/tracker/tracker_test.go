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

func beat(incarnation string, sequence int64, state tracker.State) heartbeat {
	return heartbeat{VM: "vm1", Incarnation: incarnation, Address: "127.0.0.1:1", State: state, Sequence: sequence, Hash: "h1"}
}

func full(h heartbeat) heartbeat {
	h.Descriptor = &sidecar
	return h
}

func stateOf(t tracker.Table[string], now time.Duration) tracker.State {
	m, _ := t.Member("vm1", now)
	return m.State
}

// TestTwoTierDescriptors guards against use of a member without its descriptor, and against asking for one that is held.
func TestTwoTierDescriptors(t *testing.T) {
	table := tracker.New[string](tracker.Config{})
	asked, reply, err := table.WithHeartbeat(beat("1", 1, tracker.Live), 0)
	assert.NilError(t, err)
	assert.Assert(t, reply.WantDescriptor && reply.NewIncarnation)
	assert.Equal(t, stateOf(asked, 0), tracker.Starting)

	table, reply, err = table.WithHeartbeat(full(beat("1", 1, tracker.Live)), 0)
	assert.NilError(t, err)
	assert.Assert(t, !reply.WantDescriptor && reply.NewDescriptor)
	assert.Equal(t, stateOf(table, 0), tracker.Live, "an arrival must be usable at its first push")
	table, reply, _ = table.WithHeartbeat(beat("1", 2, tracker.Live), time.Second)
	assert.Assert(t, !reply.WantDescriptor)
	changed := beat("1", 3, tracker.Live)
	changed.Hash = "h2"
	table, reply, _ = table.WithHeartbeat(changed, 2*time.Second)
	assert.Assert(t, reply.WantDescriptor)
	assert.Equal(t, stateOf(table, 2*time.Second), tracker.Live)
	table, reply, _ = table.WithHeartbeat(beat("2", 1, tracker.Live), 2*time.Second)
	assert.Assert(t, reply.WantDescriptor, "a descriptor of an earlier incarnation must not be kept")
	assert.Equal(t, stateOf(table, 2*time.Second), tracker.Starting)
}

// TestIncompatible guards against use of a member of another protocol version and an error without both ranges.
func TestIncompatible(t *testing.T) {
	table := tracker.New[string](tracker.Config{ProtocolMin: 3, ProtocolMax: 4})
	next, _, err := table.WithHeartbeat(full(beat("1", 1, tracker.Live)), 0)
	var incompatible *tracker.IncompatibleError
	assert.Assert(t, errors.As(err, &incompatible))
	assert.ErrorContains(t, err, "versions 1 to 2 and this process 3 to 4")
	assert.Equal(t, len(next.Members(0)), 0)
}

// TestList guards against a VM that leaves by the list getting work, a lagging list stopping a restarted process, and a
// delisted VM that is never gone.
func TestList(t *testing.T) {
	listed := func(leaving bool) []tracker.Listed {
		return []tracker.Listed{{VM: "vm1", Address: "127.0.0.1:9", FailureDomain: "d2", Role: tracker.Sidecar, Leaving: leaving}}
	}
	table := tracker.New[string](tracker.Config{}).WithList(listed(false), 0)
	m := table.Members(0)[0]
	assert.Equal(t, m.State, tracker.Starting)
	assert.Equal(t, m.Address, "127.0.0.1:9")
	table, _, _ = table.WithHeartbeat(full(beat("1", 1, tracker.Live)), 0)
	assert.Equal(t, stateOf(table, 0), tracker.Live)
	table = table.WithList(listed(true), 0)
	assert.Equal(t, stateOf(table, 0), tracker.Leaving)
	table, _, _ = table.WithHeartbeat(full(beat("2", 1, tracker.Live)), time.Second)
	table = table.WithList(listed(true), time.Second)
	assert.Equal(t, stateOf(table, time.Second), tracker.Live)
	table = table.WithList(nil, time.Second)
	assert.Equal(t, stateOf(table, time.Second), tracker.Live, "a member that is heard of is not gone")
	assert.Equal(t, stateOf(table, 20*time.Second), tracker.Gone)
	assert.Equal(t, len(table.Pruned(20*time.Second).Members(0)), 1)
	assert.Equal(t, len(table.Pruned(time.Hour).Members(0)), 0)
	late, _, _ := tracker.New[string](tracker.Config{}).WithList(listed(true), 0).WithHeartbeat(full(beat("1", 1, tracker.Live)), 0)
	assert.Equal(t, stateOf(late, 0), tracker.Leaving)
}

// TestMessageOrder guards against reordered, late and duplicate messages: a leaver that becomes live again in the same
// incarnation, a return to an older incarnation, an older state in place of a newer one, and silence that is not noticed
// because old messages still arrive.
func TestMessageOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := tracker.Config{HeartbeatEvery: time.Second, SuspectAfter: 3 * time.Second, ForgetAfter: 30 * time.Second}
		var sent []heartbeat
		for incarnation := range rapid.IntRange(1, 3).Draw(t, "incarnations") {
			for sequence := range rapid.Int64Range(1, 6).Draw(t, "messages") {
				// A sender that is wrong about its state after it left is included.
				state := rapid.SampledFrom([]tracker.State{tracker.Starting, tracker.Live, tracker.Live, tracker.Leaving}).Draw(t, "state")
				sent = append(sent, full(beat(fmt.Sprint(incarnation), sequence+1, state)))
			}
		}
		table := tracker.New[string](config)
		var now, heard time.Duration
		left := map[string]bool{}
		newest := heartbeat{}
		for range rapid.IntRange(1, 40).Draw(t, "deliveries") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond
			if newest.VM != "" && now-heard >= config.SuspectAfter {
				assert.Assert(t, stateOf(table, now) != tracker.Live, "silent for %s", now-heard)
			}
			h := rapid.SampledFrom(sent).Draw(t, "message")
			var err error
			table, _, err = table.WithHeartbeat(h, now)
			assert.NilError(t, err)
			if newest.VM == "" || slices.Compare([]string{h.Incarnation}, []string{newest.Incarnation}) > 0 ||
				h.Incarnation == newest.Incarnation && h.Sequence > newest.Sequence {
				newest, heard = h, now
				left[h.Incarnation] = left[h.Incarnation] || h.State == tracker.Leaving
			}
			m, _ := table.Member("vm1", now)
			assert.Equal(t, m.Incarnation, newest.Incarnation)
			assert.Assert(t, m.State != tracker.Live || !left[m.Incarnation], "a leaver is live again")
			if now == heard && !left[m.Incarnation] {
				assert.Equal(t, m.State, newest.State)
			}
		}
	})
}
