package limiter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/limiter"
)

// tallyFleet simulates entries that report their admissions to each other periodically.
type tallyFleet struct {
	tallies  []limiter.ReplicatedBucket
	reported []float64
	// received[i][j] is the total that entry i knows entry j to have admitted.
	received [][]float64
}

func newTallyFleet(n int, c limiter.ReplicatedBucketConfig) *tallyFleet {
	f := &tallyFleet{}
	for range n {
		f.tallies = append(f.tallies, limiter.NewReplicatedBucket(c, 0).WithReachable(n, n, 0))
		f.reported = append(f.reported, 0)
		f.received = append(f.received, make([]float64, n))
	}
	return f
}

// restart replaces the tally of an entry by that of a new process, which knows nothing of earlier admissions.
func (f *tallyFleet) restart(i int, c limiter.ReplicatedBucketConfig, now time.Duration) {
	f.tallies[i] = limiter.NewReplicatedBucket(c, now).WithReachable(len(f.tallies), len(f.tallies), now)
	f.reported[i] = 0
	copy(f.received[i], f.reported)
	for j := range f.received {
		f.received[j][i] = 0
	}
}

func (f *tallyFleet) exchange(now time.Duration) {
	for i := range f.tallies {
		f.tallies[i], f.reported[i] = f.tallies[i].MarkReported()
	}
	for i := range f.tallies {
		for j := range f.tallies {
			if i != j {
				f.tallies[i] = f.tallies[i].WithPeerAdmitted(f.reported[j]-f.received[i][j], now)
				f.received[i][j] = f.reported[j]
			}
		}
	}
}

// Guards against an organisation being admitted more than rate·t + burst plus what the entries may admit between two
// exchanges, in any window, for any number of entries and any distribution of requests over them.
func TestTallyWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 21).Draw(t, "entries")
		c := limiter.ReplicatedBucketConfig{
			Rate: rapid.Float64Range(1000, 200000).Draw(t, "rate"), Allowance: 55000,
		}
		c.Burst = c.Rate * rapid.Float64Range(0.2, 2).Draw(t, "burst")
		request := rapid.Float64Range(100, 20000).Draw(t, "request")
		f := newTallyFleet(n, c)
		const step, length = 5 * time.Millisecond, 3 * time.Second
		every := time.Duration(rapid.IntRange(1, 40).Draw(t, "exchangeSteps")) * step
		perStep := rapid.IntRange(1, 4).Draw(t, "perStep")
		type admission struct {
			at     time.Duration
			tokens float64
		}
		var admitted []admission
		lead := rapid.IntRange(0, n-1).Draw(t, "lead")
		for now := time.Duration(0); now < length; now += step {
			for k := range perStep {
				i := (lead + k*int(now/step)) % n
				var ok bool
				f.tallies[i], ok, _ = f.tallies[i].Admit(request, now)
				if ok {
					admitted = append(admitted, admission{at: now, tokens: request})
				}
			}
			if now%every == 0 {
				f.exchange(now)
			}
		}
		// Between two exchanges each entry admits at most its share of the allowance and the level, or one request if
		// that is larger.
		slack := float64(n)*request + c.Allowance + 2*c.Burst
		for i := range admitted {
			sum := 0.0
			for _, a := range admitted[i:] {
				sum += a.tokens
				window := (a.at - admitted[i].at).Seconds()
				if bound := c.Rate*window + c.Burst + slack; sum > bound {
					t.Fatalf("%.0f tokens in %.3f s, bound %.0f", sum, window, bound)
				}
			}
		}
	})
}

// Guards against excess that accumulates: over a long period the fleet must admit about the configured rate.
func TestTallyLongTermRate(t *testing.T) {
	c := limiter.ReplicatedBucketConfig{Rate: 10000, Burst: 10000, Allowance: 55000}
	f := newTallyFleet(4, c)
	total := 0.0
	const step, length = 10 * time.Millisecond, 60 * time.Second
	for now := time.Duration(0); now < length; now += step {
		i := int(now/step) % 4
		var ok bool
		if f.tallies[i], ok, _ = f.tallies[i].Admit(3000, now); ok {
			total += 3000
		}
		if now%(200*time.Millisecond) == 0 {
			f.exchange(now)
		}
	}
	most := c.Rate*length.Seconds() + c.Burst + 4*3000
	assert.Assert(t, total <= most, "%v of at most %v", total, most)
	assert.Assert(t, total >= 0.9*c.Rate*length.Seconds(), "%v is less than what the limit allows", total)
}

// Guards against an organisation whose burst is many seconds of its rate, and which gets a part of it anew from each entry
// that starts.
func TestBurstIsNotGivenAnewByRestartedEntries(t *testing.T) {
	c := limiter.ReplicatedBucketConfig{Rate: 1000, Burst: 50000, Allowance: 5000}
	f := newTallyFleet(4, c)
	const step, length, request = 10 * time.Millisecond, 8 * time.Second, 100.0
	total := 0.0
	for now := time.Duration(0); now < length; now += step {
		if restarted := int(now/time.Second) - 2; now%time.Second == 0 && restarted >= 0 && restarted < 4 {
			f.restart(restarted, c, now)
		}
		for i := range f.tallies {
			for ok := true; ok; {
				if f.tallies[i], ok, _ = f.tallies[i].Admit(request, now); ok {
					total += request
				}
			}
		}
		if now%(200*time.Millisecond) == 0 {
			f.exchange(now)
		}
	}
	most := c.Rate*length.Seconds() + c.Burst + c.Allowance + 4*request
	assert.Assert(t, total <= most, "%v of at most %v", total, most)
}

// Guards against entries that are partitioned from each other each admitting the whole limit.
func TestTallyPartitioned(t *testing.T) {
	c := limiter.ReplicatedBucketConfig{Rate: 10000, Burst: 10000}
	total := 0.0
	for range 4 {
		tally := limiter.NewReplicatedBucket(c, 0).WithReachable(1, 4, 0)
		for now := time.Duration(0); now < 8*time.Second; now += 10 * time.Millisecond {
			var ok bool
			if tally, ok, _ = tally.Admit(500, now); ok {
				total += 500
			}
		}
	}
	most := c.Rate*8 + c.Burst
	assert.Assert(t, total <= most, "%v of at most %v", total, most)
}

// Guards against requests that were not executed using up the limit, and against refunds that raise the level above
// burst.
func TestTallyRefund(t *testing.T) {
	c := limiter.ReplicatedBucketConfig{Rate: 1000, Burst: 1000}
	tally := limiter.NewReplicatedBucket(c, 0)
	full := 10 * time.Second
	tally, ok, _ := tally.Admit(800, full)
	assert.Assert(t, ok)
	_, ok, after := tally.Admit(800, full)
	assert.Assert(t, !ok && after > 0)
	tally = tally.Refund(800, full)
	assert.Equal(t, tally.Level(full), 1000.0)
	assert.Equal(t, tally.Refund(5000, full).Level(full), 1000.0)
	_, reported := tally.MarkReported()
	assert.Equal(t, reported, 0.0)
}

// Guards against a limit so small that no entry's share allows a single request.
func TestTallySmallOrganisationAtManyEntries(t *testing.T) {
	tally := limiter.NewReplicatedBucket(limiter.ReplicatedBucketConfig{Rate: 29000, Burst: 29000, Allowance: 1000}, 0).WithReachable(21, 21, 0)
	_, ok, _ := tally.Admit(10000, 2*time.Second)
	assert.Assert(t, ok)
}

// Guards against an organisation within its limit whose second request at one entry counts as over the limit, because the
// entry has not reported the first one yet.
func TestTallyAwaitsReport(t *testing.T) {
	tally := limiter.NewReplicatedBucket(limiter.ReplicatedBucketConfig{Rate: 70000, Burst: 70000, Allowance: 1000}, 0).WithReachable(28, 28, 0)
	tally, ok, _ := tally.Admit(9000, 2*time.Second)
	assert.Assert(t, ok)
	_, ok, _ = tally.Admit(3000, 2*time.Second)
	assert.Assert(t, !ok && tally.AwaitsReport(3000, 2*time.Second) && !tally.AwaitsReport(69000, 2*time.Second))
	tally, _ = tally.MarkReported()
	_, ok, _ = tally.Admit(3000, 2*time.Second)
	assert.Assert(t, ok)
}
