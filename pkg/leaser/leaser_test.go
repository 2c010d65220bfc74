package leaser_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/leaser"
)

const ttl = 30 * time.Second

type table struct {
	row     *leaser.Row
	version int64
	late    []func()
}

func (s *table) put(a leaser.Action) bool {
	if s.version != a.Version {
		return false
	}
	row := a.Row
	s.row, s.version = &row, s.version+1
	return true
}

// holder is one process: its clock runs at rate and it acts only when it is not paused.
type holder struct {
	lease leaser.Lease
	rate  float64
	// pending is the answer that is under way, delivered by a later step.
	pending func(now time.Duration)
}

// Guards against two processes that both act as the holder, and against a fencing number that is used twice: clocks
// run at different rates, holders are paused and restarted, answers are lost or late, and writes take effect late.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &table{}
		var now time.Duration
		names := 0
		born := func() *holder {
			names++
			h := &holder{rate: 1 + rapid.Float64Range(-0.0005, 0.0005).Draw(t, "rate")}
			h.lease = leaser.New(leaser.Config{Name: "e", Holder: string(rune('a' + names)), TTL: ttl})
			return h
		}
		clock := func(h *holder) time.Duration { return time.Duration(float64(now) * h.rate) }
		holders := []*holder{born(), born()}
		fences := map[int64]*holder{}
		highest := int64(0)
		act := func(t *rapid.T) {
			h := rapid.SampledFrom(holders).Draw(t, "holder")
			if h.pending != nil {
				answer := h.pending
				h.pending = nil
				answer(clock(h))
				return
			}
			var a leaser.Action
			h.lease, a = h.lease.Next(clock(h))
			fault := rapid.SampledFrom([]string{"", "", "", "answer lost", "lost", "late"}).Draw(t, "fault")
			lost := func(now time.Duration) { h.lease = h.lease.Lost(now) }
			switch {
			case a.Kind == leaser.Read && fault != "":
				h.pending = lost
			case a.Kind == leaser.Read:
				row, version := store.row, store.version
				h.pending = func(now time.Duration) { h.lease = h.lease.Seen(row, version, now) }
			case a.Kind == leaser.Write && fault == "late":
				store.late = append(store.late, func() { store.put(a) })
				h.pending = lost
			case a.Kind == leaser.Write && fault == "lost":
				h.pending = lost
			case a.Kind == leaser.Write:
				ok := store.put(a)
				h.pending = func(now time.Duration) {
					switch {
					case fault == "answer lost":
						h.lease = h.lease.Lost(now)
					case ok:
						h.lease = h.lease.Written(now)
					default:
						h.lease = h.lease.Conflicted()
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"act": act, "act again": act, "act more": act, "act still more": act,
			"time": func(t *rapid.T) {
				ms := rapid.SampledFrom([]int{1, 500, 5000, 10_000, 29_950, 30_100}).Draw(t, "ms")
				now += time.Duration(ms) * time.Millisecond
			},
			"late write": func(*rapid.T) {
				if len(store.late) > 0 {
					store.late[0]()
					store.late = store.late[1:]
				}
			},
			"release": func(t *rapid.T) {
				h := rapid.SampledFrom(holders).Draw(t, "holder")
				h.lease = h.lease.WithRelease()
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "holder")
				holders[i] = born()
			},
			"": func(t *rapid.T) {
				count := 0
				for _, h := range holders {
					fence, held := h.lease.Held(clock(h))
					if !held {
						continue
					}
					count++
					owner, seen := fences[fence]
					assert.Assert(t, !seen || owner == h, "fence %d has two holders", fence)
					assert.Assert(t, fence >= highest, "fence %d after %d", fence, highest)
					fences[fence], highest = h, fence
				}
				assert.Assert(t, count <= 1, "two processes hold the lease")
			},
		})
	})
}

// Guards against a lease that is never acquired, lost although it was renewed, or kept after its time or its release.
func TestLifeOfALease(t *testing.T) {
	store := &table{}
	a := leaser.New(leaser.Config{Name: "e", Holder: "a"})
	b := leaser.New(leaser.Config{Name: "e", Holder: "b"})
	step := func(l leaser.Lease, now time.Duration) (leaser.Lease, leaser.Action) {
		l, action := l.Next(now)
		switch action.Kind {
		case leaser.Read:
			l = l.Seen(store.row, store.version, now)
		case leaser.Write:
			if store.put(action) {
				return l.Written(now + time.Second), action
			}
			l = l.Conflicted()
		default:
		}
		return l, action
	}
	var action leaser.Action
	a, _ = step(a, 0)
	a, action = step(a, 0)
	assert.Equal(t, action.Kind, leaser.Write)
	fence, held := a.Held(29*time.Second + 960*time.Millisecond)
	assert.Assert(t, held)
	assert.Equal(t, fence, int64(1))
	_, held = a.Held(29*time.Second + 970*time.Millisecond)
	assert.Assert(t, !held, "the time counts from the sending of the write")
	a, action = step(a, 9*time.Second)
	assert.Equal(t, action, leaser.Action{Kind: leaser.Wait, Until: 10 * time.Second})
	a, action = step(a, 10*time.Second)
	assert.Equal(t, action.Row.Fence, int64(1), "a renewal keeps the fence")
	// Another process watches the row for its whole time to live.
	b, _ = step(b, 20*time.Second)
	for now := 20 * time.Second; now < 50*time.Second; now += 500 * time.Millisecond {
		b, action = step(b, now)
		assert.Assert(t, action.Kind != leaser.Write, "%s", now)
	}
	// An expired holder that writes again acquires anew.
	a, action = step(a, 41*time.Second)
	assert.Equal(t, action.Row.Fence, int64(2))
	a = a.WithRelease()
	_, held = a.Held(42 * time.Second)
	assert.Assert(t, !held)
	a, action = step(a, 42*time.Second)
	assert.Assert(t, action.Row.Released)
	_, action = step(a, 42*time.Second)
	assert.Equal(t, action.Kind, leaser.Ended)
	for range 3 {
		b, action = step(b, 50*time.Second+500*time.Millisecond)
	}
	fence, held = b.Held(51 * time.Second)
	assert.Assert(t, held, "a released lease is taken at once")
	assert.Equal(t, fence, int64(3))
}
