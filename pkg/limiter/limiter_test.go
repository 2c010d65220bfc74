package limiter_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/limiter"
)

const epsilon = 1e-6

// admission is an admission as counted by an outside observer. tokens is reduced when a refund is settled.
type admission struct {
	at     time.Duration
	tokens float64
}

// worstWindow returns the largest excess of admitted tokens over rate·t in any window of length t. It must not exceed
// burst.
func worstWindow(admissions []*admission, rate float64) float64 {
	sorted := slices.Clone(admissions)
	slices.SortStableFunc(sorted, func(a, b *admission) int { return int(min(1, max(-1, a.at-b.at))) })
	var worst, running float64
	var last time.Duration
	for _, a := range sorted {
		running = max(0, running-rate*(a.at-last).Seconds()) + a.tokens
		last, worst = a.at, max(worst, running)
	}
	return worst
}

func tokens(t *rapid.T, upper float64, label string) float64 {
	return rapid.Float64Range(0, upper).Draw(t, label)
}

func millis(t *rapid.T, upper int, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, upper).Draw(t, label)) * time.Millisecond
}

// Guards against refunds, loans or expiries that let a bucket exceed burst + rate·t in some window, and against refunds
// smaller than the bucket had room for: each credit is compared with a model that tracks the minimum gap per
// reservation.
func TestBucketWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := limiter.Config{Rate: rapid.Float64Range(1, 200).Draw(t, "rate"), Burst: rapid.Float64Range(1, 100).Draw(t, "burst")}
		b := limiter.New(c).WithShare(1, 1, 0)
		var now time.Duration
		type openReservation struct {
			id       string
			tokens   float64
			gap      float64
			observed *admission
			isGrant  bool
		}
		var reservations []*openReservation
		var observed []*admission
		gap := func() float64 { return b.Cap() - b.Level() - b.Lent() }
		updateGaps := func() {
			for _, o := range reservations {
				o.gap = min(o.gap, gap())
			}
		}
		advance := func(to time.Duration) {
			for _, g := range b.Grants() {
				if g.End <= to {
					b = b.Advance(g.End - 1)
					updateGaps()
				}
			}
			b, now = b.Advance(to), to
			updateGaps()
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			advance(now + millis(t, 800, "dt"))
			id := fmt.Sprint(i)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				n := tokens(t, c.Burst, "tokens")
				var d limiter.Decision
				if b, d = b.Reserve(id, n, now); d.Admitted {
					a := &admission{now, n}
					observed = append(observed, a)
					reservations = append(reservations, &openReservation{id, n, gap(), a, false})
				}
			case 2:
				if len(reservations) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(reservations)-1).Draw(t, "which")
				o := reservations[k]
				used := tokens(t, o.tokens, "used")
				level := b.Level()
				if o.isGrant {
					b = b.Repay(o.id, used, now)
				} else {
					b = b.Settle(o.id, used, now)
				}
				credit := min(o.tokens-used, o.gap)
				assert.Assert(t, math.Abs(b.Level()-level-credit) < epsilon, "credited %f, not %f", b.Level()-level, credit)
				o.observed.tokens = used
				reservations = slices.Delete(reservations, k, k+1)
				// The credit raises the level at every moment since the admission, and so lowers the other minima.
				for j, other := range reservations {
					if j >= k {
						other.gap -= credit
					} else {
						other.gap = min(other.gap, o.gap-credit)
					}
				}
			case 3:
				var lent float64
				b, lent = b.Lend(id, tokens(t, c.Burst, "lent"), now, now+millis(t, 1000, "life"))
				if lent == 0 || rapid.Bool().Draw(t, "expires") {
					observed = append(observed, &admission{now, lent})
					continue
				}
				spent := tokens(t, lent, "spent")
				end := slices.IndexFunc(b.Grants(), func(g limiter.Grant) bool { return g.ID == id })
				at := now + millis(t, int((b.Grants()[end].End-now)/time.Millisecond), "held")
				advance(at)
				a := &admission{at, spent}
				observed = append(observed, a)
				if i := slices.IndexFunc(b.Grants(), func(g limiter.Grant) bool { return g.ID == id }); i >= 0 {
					b = b.Repay(id, spent, now)
					reservations = append(reservations, &openReservation{id, spent, gap(), a, true})
				}
				updateGaps()
			}
			assert.Assert(t, b.Level() >= 0 && b.Level()+b.Lent() <= b.Cap()+epsilon, "%s", b)
			assert.Assert(t, worstWindow(observed, c.Rate) <= c.Burst+epsilon, "admitted %f tokens above rate·t in a window", worstWindow(observed, c.Rate))
		}
	})
}

// Guards against refusals that report a wrong Wait or Missing, so that the client retries too early or never, and
// against acceptance of NaN, infinite or negative token counts.
func TestReserveRefusals(t *testing.T) {
	b := limiter.New(limiter.Config{Rate: 10, Burst: 100}).WithShare(1, 2, 0).Advance(time.Minute)
	_, d := b.Reserve("a", 101, time.Minute)
	assert.DeepEqual(t, d, limiter.Decision{OverBurst: true, Missing: 51, Wait: limiter.Never})
	_, d = b.Reserve("b", 60, time.Minute)
	assert.DeepEqual(t, d, limiter.Decision{Missing: 10, Wait: limiter.Never})
	b, d = b.Reserve("c", 50, time.Minute)
	assert.Assert(t, d.Admitted)
	again, d := b.Reserve("c", 50, time.Minute)
	assert.Assert(t, d.Admitted && again.Level() == b.Level())
	_, d = b.Reserve("d", 10, time.Minute)
	assert.DeepEqual(t, d, limiter.Decision{Missing: 10, Wait: 2 * time.Second})
	for _, bad := range []float64{math.NaN(), math.Inf(1), -1} {
		_, d = b.Reserve("e", bad, time.Minute)
		assert.Assert(t, d.OverBurst, "%f", bad)
	}
}

// Guards against duplicate or late messages being applied twice: a repeated loan request, report or loan reply must not
// change any level again.
func TestDuplicateMessages(t *testing.T) {
	b := limiter.New(limiter.Config{Rate: 1, Burst: 100}).WithShare(1, 1, 0).Advance(time.Hour)
	b, first := b.Lend("g", 30, time.Hour, time.Hour+time.Second)
	b, second := b.Lend("g", 50, time.Hour, time.Hour+2*time.Second)
	assert.Equal(t, first, second)
	assert.Equal(t, b.Lent(), 30.0)
	b = b.Repay("g", 10, time.Hour)
	assert.Equal(t, b.Level(), 90.0)
	assert.Equal(t, b.Repay("g", 10, time.Hour).Level(), 90.0)
	_, late := b.Lend("g", 50, time.Hour, time.Hour+time.Second)
	assert.Equal(t, late, 0.0)
	// A second report with a smaller amount is a refund, applied once.
	b = b.Repay("g", 4, time.Hour)
	assert.Equal(t, b.Level(), 96.0)
	b = b.Repay("g", 0, time.Hour)
	assert.Equal(t, b.Level(), 96.0)
	b, _ = b.Lend("h", 30, time.Hour, time.Hour+time.Second)
	b = b.Repay("h", 0, time.Hour+time.Second)
	assert.Equal(t, b.Level(), 67.0)

	var p limiter.BorrowedGrants
	p = p.WithLoanRequested("g", "x", 0, time.Second)
	p, ok := p.WithGranted("g", 5, time.Millisecond)
	assert.Assert(t, ok)
	p, ok = p.WithGranted("g", 5, time.Millisecond)
	assert.Assert(t, !ok && p.Available(0) == 5)
	p, _, _ = p.Close("g")
	_, ok = p.WithGranted("g", 5, time.Millisecond)
	assert.Assert(t, !ok)
	p = p.WithLoanRequested("late", "x", 0, time.Second)
	_, ok = p.WithGranted("late", 5, time.Second)
	assert.Assert(t, !ok)
}

func BenchmarkReserveSettle(b *testing.B) {
	for _, open := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			bucket := limiter.New(limiter.Config{Rate: 1e6, Burst: 1e12}).WithShare(1, 1, 0).Advance(24 * 365 * time.Hour)
			now := 24 * 365 * time.Hour
			for i := range open {
				bucket, _ = bucket.Reserve(fmt.Sprint(i), 700, now)
			}
			ids := make([]string, b.N)
			for i := range ids {
				ids[i] = fmt.Sprint(open + i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += time.Microsecond
				bucket, _ = bucket.Reserve(ids[i], 700, now)
				bucket = bucket.Settle(ids[i], 300, now)
			}
		})
	}
}
