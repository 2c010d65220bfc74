// Package limiter enforces a fleet-wide rate and burst for each organisation without a central counter.
//
// A Bucket is one entry's share of one organisation's limit, with the grants lent from it and the open reservations.
// An Epoch is one entry's view of the protocol that assigns the shares. BorrowedGrants is the set of grants that an
// entry has borrowed. The package itself keeps no state: all of these are values, written only by the entry that holds
// them. When the platform's store is unavailable, entries keep their shares, which do not expire and need neither the
// store nor a peer. Only changes of the epoch have to wait for the store.
//
// All times are time.Duration values on the owner's monotonic clock, since an arbitrary fixed start. The clocks of
// different entries need not agree, but their rates must be within ClockDrift of true time.
//
// # Exactness
//
// Let the potential of an organisation be the sum, over all entries, of level + lent and unreported tokens.
// Each Bucket keeps level + lent ≤ cap, and the Epoch keeps the sum of caps ≤ burst, so the potential never exceeds
// the burst. An admission lowers the potential by its tokens, whether they come from a level or from a grant, because
// the lender holds a grant until it is reported or can no longer be spent by the borrower. Only refill raises the
// potential, at no more than the rate in total. The tokens admitted in a window of length t are therefore at most
// burst + rate·t, with t measured by the entries' clocks, or burst + rate·(1+ClockDrift)·t in true time.
//
// A refund of f tokens is credited only as min(f, g), where g is the smallest gap between cap and level + lent since
// the admission. Adding that amount to the level at every moment since the admission gives a path that never exceeds
// the cap and refills no faster. The admissions net of refunds, counted at their admission time, are therefore also a
// valid history of the bucket and meet the same bound. The same holds for tokens spent from a grant: the lender holds
// them until the report, and from then on they are a reservation of the lender's bucket.
package limiter

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// ClockDrift is the largest relative error of a clock's rate for which the bounds hold.
const ClockDrift = 0.001

// PadForClockDrift returns a duration that, on a clock of any permitted rate, lasts longer than d on a clock of any
// other permitted rate: d·(1+ClockDrift)/(1-ClockDrift), rounded up. A lender holds a grant for PadForClockDrift(life).
func PadForClockDrift(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d)*(1+ClockDrift)/(1-ClockDrift))) + 1
}

// Config is an organisation's fleet-wide limit.
type Config struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is the maximum number of tokens admitted at once.
	Burst float64
}

// Grant is a loan of tokens as its lender sees it.
type Grant struct {
	ID     string
	Tokens float64
	// End is when the grant expires on the lender's clock, after which the lender no longer holds the tokens.
	End time.Duration
}

// reservation is an admission, or a reported grant, whose actual use is not yet known.
type reservation struct {
	sequence uint64
	tokens   float64
}

// gapEntry is a reservation's entry in Bucket.minGaps.
type gapEntry struct {
	id string
	// expiresAt is when the reservation is dropped, so that one that is never settled does not leak.
	expiresAt time.Duration
}

// reservationTTL is the longest lifetime of a request. The reservation of a reported grant is dropped sooner, because
// its borrower may be gone.
const (
	reservationTTL   = 10 * time.Minute
	reportedGrantTTL = 2 * time.Minute
)

// reportedGrantKey returns the key of a reported grant in Bucket.reservations. The prefix keeps grant IDs separate from
// reservation IDs.
func reportedGrantKey(grant string) string { return "\x00" + grant }

// Bucket is one entry's share of an organisation's token bucket. It is an immutable value: each operation returns a new
// value that shares structure with the old one and copies O(log n) of n open reservations. The zero value has no share
// and admits nothing.
type Bucket struct {
	config Config
	// cap and rate are this entry's share of the configured burst and rate.
	cap, rate float64
	num, den  int
	// level + lent ≤ cap, except after the share has shrunk below lent: then level stays 0 until lent fits (see
	// Overcommitted).
	level float64
	// lent is the sum of the tokens of grants.
	lent   float64
	grants []Grant // sorted by End
	now    time.Duration

	// minGaps has one node per open reservation, in order of admission. The sum of the weights up to and including a
	// node is the smallest gap cap - level - lent since that admission. tailGap is the growth of the current gap since
	// the newest one. When the gap shrinks, weight is removed from the newest nodes first, which keeps every sum a
	// minimum.
	minGaps      tree[uint64, gapEntry]
	tailGap      float64
	reservations tree[string, reservation]
	lastSequence uint64
}

// New returns a bucket without a share; WithShare gives it one.
func New(c Config) Bucket { return Bucket{config: c, den: 1} }

// Decision is the result of Reserve.
type Decision struct {
	Admitted bool
	// OverBurst is set if the tokens exceed the organisation's burst, so that waiting does not help.
	OverBurst bool
	// Missing is the number of tokens by which the level falls short.
	Missing float64
	// Wait is how long refill alone takes to provide them, or Never.
	Wait time.Duration
}

// Never is the Wait of a request that refill alone cannot satisfy.
const Never = time.Duration(math.MaxInt64)

// Config returns the fleet-wide limit.
func (b Bucket) Config() Config { return b.config }

// Level returns the tokens available to be reserved or lent.
func (b Bucket) Level() float64 { return b.level }

// Cap returns this entry's share of the burst.
func (b Bucket) Cap() float64 { return b.cap }

// Rate returns this entry's share of the rate, in tokens per second.
func (b Bucket) Rate() float64 { return b.rate }

// Lent returns the tokens that are lent and neither reported nor expired.
func (b Bucket) Lent() float64 { return b.lent }

// Overcommitted returns the amount by which level + lent exceeds the cap. It is positive only while grants lent before
// the share shrank are open. A smaller share counts as applied only once Overcommitted is 0.
func (b Bucket) Overcommitted() float64 { return max(0, b.level+b.lent-b.cap) }

// WithConfig replaces the fleet-wide limit and keeps the share.
func (b Bucket) WithConfig(c Config, now time.Duration) Bucket {
	b = b.Advance(now)
	if b.config == c {
		return b
	}
	b.config = c
	return b.resize()
}

// WithShare sets the share to num/den of the fleet-wide limit. The level is reduced to fit a smaller cap, and a larger
// cap adds no tokens. Reservations made under the old share can no longer be refunded.
func (b Bucket) WithShare(num, den int, now time.Duration) Bucket {
	b = b.Advance(now)
	if num*b.den == b.num*den {
		return b
	}
	b.num, b.den = num, den
	return b.resize()
}

// resize recomputes cap and rate from the share and drops all open reservations.
func (b Bucket) resize() Bucket {
	share := float64(b.num) / float64(b.den)
	b.cap, b.rate = b.config.Burst*share, b.config.Rate*share
	b.level = max(0, min(b.level, b.cap-b.lent))
	b.minGaps, b.reservations = tree[uint64, gapEntry]{}, tree[string, reservation]{}
	b.tailGap = max(0, b.cap-b.level-b.lent)
	return b
}

// Advance refills the bucket up to now and drops expired grants, which count as spent in full. A time earlier than the
// latest one seen has no effect.
func (b Bucket) Advance(now time.Duration) Bucket {
	// Refill up to each expiry separately, because until then the grant still takes up room below the cap.
	for len(b.grants) > 0 && b.grants[0].End <= now {
		b = b.refill(b.grants[0].End)
		b = b.removeGrant(0, b.grants[0].Tokens)
	}
	return b.refill(now)
}

func (b Bucket) refill(now time.Duration) Bucket {
	if now <= b.now {
		return b
	}
	gap := b.cap - b.level - b.lent
	if gap > 0 {
		b.level += min(gap, b.rate*(now-b.now).Seconds())
	}
	b.now = now
	b = b.clampGaps()
	for {
		sequence, oldest, ok := b.minGaps.first()
		if !ok || oldest.expiresAt > now {
			return b
		}
		b.reservations = b.reservations.remove(oldest.id)
		b = b.removeGap(sequence)
	}
}

// clampGaps lowers the recorded minima to the current gap, newest first.
func (b Bucket) clampGaps() Bucket {
	excess := b.tailGap + b.minGaps.sum() - max(0, b.cap-b.level-b.lent)
	if excess <= 0 {
		return b
	}
	fromTail := min(excess, b.tailGap)
	b.tailGap -= fromTail
	if excess > fromTail {
		b.minGaps, _ = b.minGaps.drain(math.MaxUint64, excess-fromTail)
	}
	return b
}

// removeGrant removes a grant of which spent tokens were used and returns the rest to the level.
func (b Bucket) removeGrant(i int, spent float64) Bucket {
	g := b.grants[i]
	grants := make([]Grant, 0, len(b.grants)-1)
	b.grants = append(append(grants, b.grants[:i]...), b.grants[i+1:]...)
	b.lent = 0
	for _, other := range b.grants {
		b.lent += other.Tokens
	}
	refund := max(0, min(g.Tokens-spent, b.cap-b.lent-b.level))
	b.level += refund
	b.tailGap += g.Tokens - refund
	return b.clampGaps()
}

// Reserve takes tokens from the level under id, or reports why it cannot. Reserving under an id that is already open
// changes nothing and is admitted.
func (b Bucket) Reserve(id string, tokens float64, now time.Duration) (Bucket, Decision) {
	b = b.Advance(now)
	if _, ok := b.reservations.get(id); ok {
		return b, Decision{Admitted: true}
	}
	// The negated comparison also rejects NaN.
	if !(tokens >= 0 && tokens <= b.config.Burst) {
		return b, Decision{OverBurst: true, Missing: tokens - b.level, Wait: Never}
	}
	if tokens > b.level {
		return b, Decision{Missing: tokens - b.level, Wait: b.WaitFor(tokens)}
	}
	b.level -= tokens
	b.tailGap += tokens
	return b.addReservation(id, tokens, reservationTTL), Decision{Admitted: true}
}

// addReservation records a reservation. Its minimum gap starts as the current gap.
func (b Bucket) addReservation(id string, tokens float64, ttl time.Duration) Bucket {
	b.lastSequence++
	b.minGaps = b.minGaps.set(b.lastSequence, gapEntry{id, b.now + ttl}, b.tailGap)
	b.tailGap = 0
	b.reservations = b.reservations.set(id, reservation{sequence: b.lastSequence, tokens: tokens}, 0)
	return b
}

// WaitFor returns how long refill takes to raise the level to tokens, or Never if it cannot.
func (b Bucket) WaitFor(tokens float64) time.Duration {
	missing := tokens - b.level
	switch {
	case missing <= 0:
		return 0
	case b.rate <= 0 || tokens > b.cap-b.lent:
		return Never
	}
	seconds := missing / b.rate
	if seconds >= Never.Seconds() {
		return Never
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// Settle closes the reservation under id, of which used tokens were needed. The rest is credited as far as the bucket
// has had room for it at all times since the admission. An unknown id changes nothing.
func (b Bucket) Settle(id string, used float64, now time.Duration) Bucket {
	b = b.Advance(now)
	r, ok := b.reservations.get(id)
	if !ok {
		return b
	}
	b.reservations = b.reservations.remove(id)
	if unused := r.tokens - max(0, used); unused > 0 {
		var credited float64
		b.minGaps, credited = b.minGaps.drain(r.sequence, unused)
		b.level += credited
	}
	return b.removeGap(r.sequence).clampGaps()
}

// removeGap removes a reservation from minGaps. Its remaining weight moves to the next newer reservation, or to
// tailGap, so that the sums of the newer reservations do not change.
func (b Bucket) removeGap(sequence uint64) Bucket {
	left := b.minGaps.weight(sequence)
	b.minGaps = b.minGaps.remove(sequence)
	if after, value, ok := b.minGaps.after(sequence); ok {
		b.minGaps = b.minGaps.set(after, value, b.minGaps.weight(after)+left)
	} else {
		b.tailGap += left
	}
	return b
}

// Open returns the number of open reservations, that is, those that can still be refunded.
func (b Bucket) Open() int { return b.reservations.len() }

// Lend takes up to tokens from the level as a grant that the bucket holds until end, and returns the amount. It is
// idempotent by id: it returns the same amount again while the grant is open, and 0 while the reservation that Repay
// makes for a reported grant is open.
func (b Bucket) Lend(id string, tokens float64, now, end time.Duration) (Bucket, float64) {
	b = b.Advance(now)
	for _, g := range b.grants {
		if g.ID == id {
			return b, g.Tokens
		}
	}
	if _, reported := b.reservations.get(reportedGrantKey(id)); reported {
		return b, 0
	}
	amount := min(tokens, b.level)
	// The negated comparison also rejects NaN.
	if !(amount > 0) || end <= b.now {
		return b, 0
	}
	b.level -= amount
	b.lent += amount
	at, _ := slices.BinarySearchFunc(b.grants, end, func(g Grant, end time.Duration) int {
		return int(min(1, max(-1, g.End-end)))
	})
	grants := make([]Grant, 0, len(b.grants)+1)
	grants = append(append(grants, b.grants[:at]...), Grant{ID: id, Tokens: amount, End: end})
	b.grants = append(grants, b.grants[at:]...)
	return b, amount
}

// Repay closes the grant under id, of which the borrower has spent the given amount and will spend no more. A second
// report with a smaller amount refunds tokens that the admissions did not need, credited as in Settle. An unknown or
// expired id changes nothing.
func (b Bucket) Repay(id string, spent float64, now time.Duration) Bucket {
	b = b.Advance(now)
	for i, g := range b.grants {
		if g.ID == id {
			// Treat NaN and negative amounts as spent in full.
			if !(spent >= 0) {
				spent = g.Tokens
			}
			b = b.removeGrant(i, min(spent, g.Tokens))
			if spent > 0 {
				b = b.addReservation(reportedGrantKey(id), min(spent, g.Tokens), reportedGrantTTL)
			}
			return b
		}
	}
	if r, ok := b.reservations.get(reportedGrantKey(id)); ok && spent < r.tokens {
		return b.Settle(reportedGrantKey(id), spent, now)
	}
	return b
}

// Deposit adds tokens spent from a borrowed grant to the level, as far as the cap has room, and returns the amount. The
// sum of all levels and loans does not change: what the lender still holds for these tokens no longer counts.
func (b Bucket) Deposit(tokens float64, now time.Duration) (Bucket, float64) {
	b = b.Advance(now)
	amount := max(0, min(tokens, b.cap-b.lent-b.level))
	b.level += amount
	return b.clampGaps(), amount
}

// Grants returns the open grants, earliest End first.
func (b Bucket) Grants() []Grant { return slices.Clone(b.grants) }

// String formats the bucket for logs and test failures.
func (b Bucket) String() string {
	return fmt.Sprintf("level %.3f lent %.3f cap %.3f rate %.3f at %s", b.level, b.lent, b.cap, b.rate, b.now)
}
