package placer_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/placer"
)

func newDescriptor(i int) placer.Descriptor {
	return placer.Descriptor{VM: fmt.Sprintf("vm%03d", i), Address: "127.0.0.1:1", FailureDomain: fmt.Sprint("d", i%3), BaseModel: "base",
		State: placer.Live, Incarnation: "1", Slots: 8, MaxRunning: 16, TokensPerSecond: 1000}
}

func newView(n int) placer.View {
	var v placer.View
	for i := range n {
		v = v.WithDescriptor(newDescriptor(i))
	}
	return v
}

func newRequest(adapter string) placer.Request {
	return placer.Request{Adapter: adapter, BaseModel: "base", PromptTokens: 100, AnswerTokens: 100}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func choose(t *testing.T, v placer.View, r placer.Request) placer.Decision {
	t.Helper()
	d, err := placer.Choose(placer.ExpectedTime{}, v, r, newRand(), time.Second)
	assert.NilError(t, err)
	return d
}

// TestResidencyTracking guards against a second load of an adapter whose load is already pending, a pending load that
// is kept in the view after it failed, a sidecar's answer that is applied to another endpoint, and a delta that is
// applied out of order.
func TestResidencyTracking(t *testing.T) {
	v := newView(12)
	r := newRequest("a@1")
	d := choose(t, v, r)
	assert.Assert(t, d.NeedsLoad)
	sent := v.WithSent(d.Endpoint, r, time.Second)
	again := choose(t, sent, r)
	assert.Equal(t, again.Endpoint, d.Endpoint)
	assert.Equal(t, again.Reason, "loading")
	assert.Assert(t, !again.NeedsLoad)
	assert.Assert(t, choose(t, sent.WithCompleted(d.Endpoint, r, false), r).NeedsLoad)
	assert.Equal(t, choose(t, sent.WithCompleted(d.Endpoint, r, true), r).Reason, "resident")
	assert.Assert(t, choose(t, sent.WithResident(d.Endpoint, "a@1", false), r).NeedsLoad)
	next, gap := v.WithResidency("vm005", "1", placer.Delta{Sequence: 4, Added: []string{"a@1"}})
	assert.Assert(t, !gap)
	assert.Equal(t, choose(t, next, r).Endpoint, "vm005")
	next, gap = next.WithResidency("vm005", "1", placer.Delta{Sequence: 6, Removed: []string{"a@1"}})
	assert.Assert(t, gap)
	assert.Assert(t, choose(t, next, r).NeedsLoad)
	next, _ = next.WithResidency("vm005", "1", placer.Delta{Sequence: 5, Added: []string{"a@1"}})
	assert.Assert(t, choose(t, next, r).NeedsLoad, "an older delta must be dropped")
}

// TestStaleReportsAreIgnored guards against load reports, descriptors, completions and states that are older than the
// known ones or come from an earlier incarnation, and against open requests that are lost when a report arrives.
func TestStaleReportsAreIgnored(t *testing.T) {
	v := newView(1).WithSent("vm000", newRequest("a@1"), 1)
	v = v.WithLoad("vm000", "1", placer.Load{Running: 4, Sequence: 2}, 2)
	e, _ := v.Endpoint("vm000")
	assert.Equal(t, e.Sent, 0)
	assert.Equal(t, e.Open, 1)
	v = v.WithLoad("vm000", "1", placer.Load{Running: 9, Sequence: 1}, 3).WithLoad("vm000", "0", placer.Load{Running: 9, Sequence: 9}, 3)
	e, _ = v.Endpoint("vm000")
	assert.Equal(t, e.Load.Running, 4)
	restarted := newDescriptor(0)
	restarted.Incarnation = "2"
	v = v.WithDescriptor(restarted).WithDescriptor(newDescriptor(0)).WithCompleted("vm000", newRequest("a@1"), true).WithState("vm000", "1", placer.Leaving)
	e, _ = v.Endpoint("vm000")
	assert.Equal(t, e.Incarnation, "2")
	assert.Equal(t, e.Open, 0)
	assert.Equal(t, e.Load.Running, 0)
	assert.Equal(t, e.State, placer.Live)
	assert.Equal(t, v.Without("vm000").Len(), 0)
}

// TestPoliciesChooseEligibleEndpoints guards against a policy that chooses an endpoint which is not live, is excluded
// or has another base model, and against an error without a message if no endpoint is eligible.
func TestPoliciesChooseEligibleEndpoints(t *testing.T) {
	policies := []placer.Policy{placer.ExpectedTime{}, placer.Random{}, placer.LeastLoaded{}, placer.RendezvousHash{}, placer.BoundedHash{}}
	rapid.Check(t, func(t *rapid.T) {
		var v placer.View
		allowed := map[string]bool{}
		r := newRequest(fmt.Sprint("a", rapid.IntRange(0, 20).Draw(t, "adapter"), "@1"))
		for i := range rapid.IntRange(0, 8).Draw(t, "endpoints") {
			d := newDescriptor(i)
			d.State = placer.State(rapid.IntRange(1, 4).Draw(t, "state"))
			d.BaseModel = rapid.SampledFrom([]string{"base", "base", "other"}).Draw(t, "base")
			v = v.WithDescriptor(d)
			if rapid.Bool().Draw(t, "resident") {
				v = v.WithResident(d.VM, r.Adapter, true)
			}
			v = v.WithLoad(d.VM, "1", placer.Load{Running: rapid.IntRange(0, 40).Draw(t, "running"), Sequence: 1}, 1)
			if rapid.IntRange(0, 4).Draw(t, "exclude") == 0 {
				r.Exclude = append(r.Exclude, d.VM)
			} else if d.State == placer.Live && d.BaseModel == "base" {
				allowed[d.VM] = true
			}
		}
		for _, p := range policies {
			d, err := p.Choose(v, r, newRand(), time.Second)
			if len(allowed) == 0 {
				var none *placer.NoEndpointError
				assert.Assert(t, errors.As(err, &none))
				assert.Assert(t, err.Error() != "")
				continue
			}
			assert.NilError(t, err)
			assert.Assert(t, allowed[d.Endpoint], "%T chose %s", p, d.Endpoint)
		}
	})
}

// TestHomesAreStable guards against moving the homes of more than about 1/n of the adapters when one of n endpoints is
// removed, and against moving any home that was not at the removed endpoint.
func TestHomesAreStable(t *testing.T) {
	const adapters, n = 3000, 12
	before, after, moved := newView(n), newView(n).Without("vm004"), 0
	for i := range adapters {
		r := newRequest(fmt.Sprint("a", i, "@1"))
		oldHome, _ := placer.RendezvousHash{}.Choose(before, r, newRand(), 0)
		newHome, _ := placer.RendezvousHash{}.Choose(after, r, newRand(), 0)
		if oldHome.Endpoint != newHome.Endpoint {
			moved++
			assert.Equal(t, oldHome.Endpoint, "vm004")
		}
	}
	assert.Assert(t, moved > adapters/n/2 && moved < adapters/n*2, "moved %d", moved)
}

// TestHomesGrowWithDemand guards against a popular adapter that is kept at a single home, and against demand that
// doesn't decay.
func TestHomesGrowWithDemand(t *testing.T) {
	v := newView(12).WithEntries(3)
	r := newRequest("a@1")
	used := map[string]bool{}
	for i := range 2000 {
		now := time.Duration(i) * 20 * time.Millisecond
		d, err := placer.ExpectedTime{}.Choose(v, r, newRand(), now)
		assert.NilError(t, err)
		used[d.Endpoint] = true
		v = v.WithSent(d.Endpoint, r, now)
	}
	assert.Assert(t, len(used) > 1)
	assert.Assert(t, v.Demand("a@1", 40*time.Second) > 5000)
	assert.Assert(t, v.Demand("a@1", time.Hour) < 1)
}

// TestDemandIsBounded guards against tracking the demand of an unbounded number of adapters, and against dropping that
// of adapters in use when the limit is reached.
func TestDemandIsBounded(t *testing.T) {
	v := newView(1)
	for i := range 140000 {
		now := time.Duration(i) * time.Millisecond
		v = v.WithSent("vm000", newRequest(fmt.Sprint("a", i, "@1")), now)
		if i%1000 == 0 {
			v = v.WithSent("vm000", newRequest("used@1"), now)
		}
	}
	now := 140 * time.Second
	assert.Assert(t, v.Demand("used@1", now) > 50)
	assert.Assert(t, v.Demand("a139999@1", now) > 0)
	assert.Equal(t, v.Demand("a0@1", now), 0.0)
}

// TestNextLoad guards against starvation of a load behind those of popular adapters, and against
// first-come-first-served order, in which the many requests of a popular adapter wait behind loads that serve a single
// request.
func TestNextLoad(t *testing.T) {
	const s = time.Second
	popular, single := placer.WaitingLoad{Requests: 5, StartTimeSum: 5 * 9 * s}, placer.WaitingLoad{Requests: 1, StartTimeSum: 6 * s}
	assert.Equal(t, placer.NextLoad([]placer.WaitingLoad{single, {}, popular}, 10*s), 2)
	assert.Equal(t, placer.NextLoad([]placer.WaitingLoad{single, {}, {Requests: 5, StartTimeSum: 5 * 19 * s}}, 20*s), 0)
	assert.Equal(t, placer.NextLoad([]placer.WaitingLoad{{}}, 10*s), -1)
}

// BenchmarkView measures Choose and WithSent for different numbers of endpoints and adapters.
func BenchmarkView(b *testing.B) {
	for _, endpoints := range []int{4, 18, 730} {
		for _, adapters := range []int{100, 3000, 53000} {
			v := placer.View{}
			for i := range endpoints {
				d := newDescriptor(i)
				d.BaseModel = fmt.Sprint("base", i%max(1, endpoints/122))
				v = v.WithDescriptor(d)
			}
			requests := make([]placer.Request, adapters)
			for i := range requests {
				requests[i] = newRequest(fmt.Sprint("adapter-", i, "@1"))
				requests[i].BaseModel = "base0"
				v = v.WithSent("", requests[i], 0)
			}
			for i := range endpoints {
				for j := range 8 {
					v = v.WithResident(fmt.Sprintf("vm%03d", i), requests[(i*8+j)%adapters].Adapter, true)
				}
			}
			rng := newRand()
			name := fmt.Sprintf("endpoints=%d/adapters=%d", endpoints, adapters)
			b.Run("choose/"+name, func(b *testing.B) {
				for i := 0; b.Loop(); i++ {
					_, _ = placer.Choose(placer.ExpectedTime{}, v, requests[i%adapters], rng, time.Second)
				}
			})
			b.Run("sent/"+name, func(b *testing.B) {
				for i := 0; b.Loop(); i++ {
					v.WithSent("vm000", requests[i%adapters], time.Second)
				}
			})
		}
	}
}
