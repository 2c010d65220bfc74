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
		turn := func(t *rapid.T, h *holder) {
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
		// A process takes several steps in a row, so that few actions lead from a lost renewal to a takeover.
		act := func(t *rapid.T) {
			h := rapid.SampledFrom(holders).Draw(t, "holder")
			for range rapid.IntRange(1, 6).Draw(t, "turns") {
				turn(t, h)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"act": act, "act again": act, "act more": act, "act still more": act,
			"time": func(t *rapid.T) {
				ms := rapid.SampledFrom([]int{1, 500, 500, 10_000, 10_000, 20_000, 29_950, 30_100}).Draw(t, "ms")
				now += time.Duration(ms) * time.Millisecond
			},
			"late write": func(*rapid.T) {
				if len(store.late) > 0 {
					store.late[0]()
					store.late = store.late[1:]
				}
			},
			"release": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
					h := rapid.SampledFrom(holders).Draw(t, "holder")
					h.lease = h.lease.WithRelease()
				}
			},
			"restart": func(t *rapid.T) {
				// Most runs go on without a restart for long enough to renew.
				if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
					holders[rapid.IntRange(0, 1).Draw(t, "holder")] = born()
				}
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
	// Another process watches the row for its whole time to live, from the last renewal that it has seen.
	b, _ = step(b, time.Second)
	a, action = step(a, 9*time.Second)
	assert.Equal(t, action, leaser.Action{Kind: leaser.Wait, Until: 10 * time.Second})
	a, action = step(a, 10*time.Second)
	assert.Equal(t, action.Row.Fence, int64(1), "a renewal keeps the fence")
	for now := 10 * time.Second; now < 40*time.Second; now += 500 * time.Millisecond {
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
		b, _ = step(b, 43*time.Second)
	}
	fence, held = b.Held(44 * time.Second)
	assert.Assert(t, held, "a released lease is taken at once")
	assert.Equal(t, fence, int64(3))
}

// Guards against counting on a renewal that did not take effect, and against giving up one that did.
func TestLostRenewal(t *testing.T) {
	for name, applied := range map[string]bool{"applied": true, "not applied": false} {
		store := &table{}
		l := leaser.New(leaser.Config{Name: "e", Holder: "a"})
		l, _ = l.Next(0)
		l, action := l.Seen(nil, 0, 0).Next(0)
		assert.Assert(t, store.put(action))
		l, action = l.Written(0).Next(10 * time.Second)
		if applied {
			assert.Assert(t, store.put(action))
		}
		l, action = l.Lost(12 * time.Second).Next(13 * time.Second)
		assert.Equal(t, action.Kind, leaser.Read)
		l = l.Seen(store.row, store.version, 13*time.Second)
		_, held := l.Held(29 * time.Second)
		assert.Assert(t, held, name)
		_, held = l.Held(39 * time.Second)
		assert.Equal(t, held, applied, name)
	}
}
