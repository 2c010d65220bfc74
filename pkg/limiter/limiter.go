// Package limiter holds every organisation to a fleet-wide rate and burst without a central counter.
//
// State: the package itself owns none. A Bucket is this entry's share of one organisation's limit with the
// grants lent from it and the reservations open on it, an Epoch is the share protocol as one entry sees it, and a
// Purse holds the grants that one entry has borrowed. Only the entry that holds the values writes them. When the
// platform's store is unavailable nothing changes for the holders of shares: a share has no expiry and needs
// neither the store nor a peer. Only changes of the epoch wait for the store.
//
// All times are time.Duration on the owner's monotonic clock, since any fixed start. Clocks of different entries
// need not agree; their rates must be within ClockDrift of true time.
//
// # Exactness
//
// Let the potential of an organisation be the sum, over all entries, of level + lent and unreported tokens.
// Each bucket keeps level + lent ≤ cap, and the Epoch keeps the sum of caps ≤ burst, so the potential never
// exceeds the burst. An admission lowers the potential by its tokens, whether they come from a level or from a
// grant, because the lender holds a grant until it is reported or until no borrower can spend it any more. Only
// refill raises it, at no more than the rate in total. The tokens admitted in a window of length t are therefore
// at most burst + rate·t, where t is measured by the entries' clocks: burst + rate·(1+ClockDrift)·t in true time.
//
// A refund of f tokens is credited only as min(f, g), g being the smallest gap between cap and level + lent since
// the admission. Adding that amount to the level at every moment since the admission gives a path that never
// exceeds the cap and refills no faster, so the admissions net of refunds, counted at their admission time, are
// again a valid history of the bucket and meet the same bound. The same holds for tokens spent from a grant: until
// the report the lender holds them, and from the report on they are a reservation of the lender's bucket.
package limiter

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// ClockDrift is the largest relative error of a clock's rate that the bounds allow for.
const ClockDrift = 0.001

// Stretch returns the time after which a clock of any permitted rate has measured more than d on a clock of any
// other permitted rate: d·(1+ClockDrift)/(1-ClockDrift), rounded up. A lender holds a grant for Stretch(life).
func Stretch(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d)*(1+ClockDrift)/(1-ClockDrift))) + 1
}

// Config is the limit of one organisation over the whole fleet.
type Config struct {
	// Rate is in tokens a second.
	Rate float64
	// Burst is the largest number of tokens admitted at once.
	Burst float64
}

// Grant is a loan as its lender sees it.
type Grant struct {
	ID     string
	Tokens float64
	// End is when the lender stops holding the tokens, on the lender's clock.
	End time.Duration
}

// reservation is an admission, or a reported grant, whose use is not yet known.
type reservation struct {
	sequence uint64
	tokens   float64
}

// debt is the place of a reservation in the order of admission.
type debt struct {
	id string
	// until is when the reservation is dropped, so that one that is never settled takes no memory for ever.
	until time.Duration
}

// A reservation is dropped after the longest life of a request; one of a reported grant sooner, since its borrower
// may be gone.
const (
	reservationLife = 10 * time.Minute
	reportedLife    = 2 * time.Minute
)

// reportedKey keeps the IDs of reported grants apart from those of reservations.
func reportedKey(grant string) string { return "\x00" + grant }

// Bucket is one entry's share of the token bucket of one organisation. It is an immutable value: each operation
// returns the new value. Operations share structure with the old value and copy O(log n) of n open reservations.
// The zero value has no share and admits nothing.
type Bucket struct {
	config Config
	// cap and rate are the share of the configured burst and rate.
	cap, rate float64
	num, den  int
	// level + lent ≤ cap except after the share has shrunk below lent; then level is 0 until they fit (see Over).
	level float64
	// lent is the sum of grants, ordered by their end.
	lent   float64
	grants []Grant
	now    time.Duration

	// debts has one node for each open reservation in the order of admission. The sum of the weights up to a node
	// is the smallest gap cap - level - lent since that admission. tail is what the present gap has grown by since
	// the newest of them. A fall of the gap takes from the newest debts first, which keeps every sum a minimum.
	debts tree[uint64, debt]
	tail  float64
	open  tree[string, reservation]
	next  uint64
}

// New returns a bucket without a share; WithShare gives it one.
func New(c Config) Bucket { return Bucket{config: c, den: 1} }

// Decision is the answer to Reserve.
type Decision struct {
	Admitted bool
	// OverBurst says that the tokens exceed the organisation's whole burst: waiting does not help.
	OverBurst bool
	// Missing is how far the level falls short of the tokens.
	Missing float64
	// Wait is the time until refill alone would cover them, Never if it cannot.
	Wait time.Duration
}

// Never is the Wait of a request that refill alone will not cover.
const Never = time.Duration(math.MaxInt64)

// Config returns the fleet-wide limit.
func (b Bucket) Config() Config { return b.config }

// Level returns the tokens that can be reserved or lent now.
func (b Bucket) Level() float64 { return b.level }

// Cap returns this entry's share of the burst.
func (b Bucket) Cap() float64 { return b.cap }

// Rate returns this entry's share of the rate, in tokens a second.
func (b Bucket) Rate() float64 { return b.rate }

// Lent returns the tokens lent and not yet reported or expired.
func (b Bucket) Lent() float64 { return b.lent }

// Over returns by how much level + lent exceeds the cap. It is above 0 only while grants lent before the share
// shrank are open; the new share counts as taken only when it is 0.
func (b Bucket) Over() float64 { return max(0, b.level+b.lent-b.cap) }

// WithConfig changes the fleet-wide limit and keeps the share.
func (b Bucket) WithConfig(c Config, now time.Duration) Bucket {
	b = b.Advance(now)
	if b.config == c {
		return b
	}
	b.config = c
	return b.reshaped()
}

// WithShare sets the share to num/den of the fleet-wide limit. A level above the new cap falls to the cap; what a
// larger cap adds starts empty. Reservations open under the old share no longer bring refunds.
func (b Bucket) WithShare(num, den int, now time.Duration) Bucket {
	b = b.Advance(now)
	if num*b.den == b.num*den {
		return b
	}
	b.num, b.den = num, den
	return b.reshaped()
}

func (b Bucket) reshaped() Bucket {
	share := float64(b.num) / float64(b.den)
	b.cap, b.rate = b.config.Burst*share, b.config.Rate*share
	b.level = max(0, min(b.level, b.cap-b.lent))
	b.debts, b.open = tree[uint64, debt]{}, tree[string, reservation]{}
	b.tail = max(0, b.cap-b.level-b.lent)
	return b
}

// Advance refills the bucket up to now and drops the grants that have expired; a time before the last is ignored.
// An expired grant counts as spent in full.
func (b Bucket) Advance(now time.Duration) Bucket {
	// The refill before each expiry is bounded by what was still held then.
	for len(b.grants) > 0 && b.grants[0].End <= now {
		b = b.refill(b.grants[0].End)
		b = b.without(0, b.grants[0].Tokens)
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
	b = b.trimmed()
	for {
		sequence, oldest, ok := b.debts.first()
		if !ok || oldest.until > now {
			return b
		}
		b.open = b.open.remove(oldest.id)
		b = b.closed(sequence)
	}
}

// trimmed lowers the recorded minima to the present gap, newest first.
func (b Bucket) trimmed() Bucket {
	excess := b.tail + b.debts.sum() - max(0, b.cap-b.level-b.lent)
	if excess <= 0 {
		return b
	}
	fromTail := min(excess, b.tail)
	b.tail -= fromTail
	if excess > fromTail {
		b.debts, _ = b.debts.drain(math.MaxUint64, excess-fromTail)
	}
	return b
}

// without removes a grant, spent of which has been used; the rest returns to the level.
func (b Bucket) without(i int, spent float64) Bucket {
	g := b.grants[i]
	grants := make([]Grant, 0, len(b.grants)-1)
	b.grants = append(append(grants, b.grants[:i]...), b.grants[i+1:]...)
	b.lent = 0
	for _, other := range b.grants {
		b.lent += other.Tokens
	}
	back := max(0, min(g.Tokens-spent, b.cap-b.lent-b.level))
	b.level += back
	b.tail += g.Tokens - back
	return b.trimmed()
}

// Reserve takes tokens from the level under id, or says why not. Reserving again under an open id changes
// nothing and is admitted.
func (b Bucket) Reserve(id string, tokens float64, now time.Duration) (Bucket, Decision) {
	b = b.Advance(now)
	if _, ok := b.open.get(id); ok {
		return b, Decision{Admitted: true}
	}
	// The negated comparison also rejects a count that is not a number.
	if !(tokens >= 0 && tokens <= b.config.Burst) {
		return b, Decision{OverBurst: true, Missing: tokens - b.level, Wait: Never}
	}
	if tokens > b.level {
		return b, Decision{Missing: tokens - b.level, Wait: b.WaitFor(tokens)}
	}
	b.level -= tokens
	b.tail += tokens
	return b.opened(id, tokens, reservationLife), Decision{Admitted: true}
}

// opened records a reservation; the present gap is the first of its minima.
func (b Bucket) opened(id string, tokens float64, life time.Duration) Bucket {
	b.next++
	b.debts = b.debts.set(b.next, debt{id, b.now + life}, b.tail)
	b.tail = 0
	b.open = b.open.set(id, reservation{sequence: b.next, tokens: tokens}, 0)
	return b
}

// WaitFor returns the time until refill raises the level to tokens, Never if it cannot.
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

// Settle closes the reservation under id, of which used tokens were needed, and credits the rest as far as the
// bucket has had room for it ever since the admission. An unknown id changes nothing.
func (b Bucket) Settle(id string, used float64, now time.Duration) Bucket {
	b = b.Advance(now)
	r, ok := b.open.get(id)
	if !ok {
		return b
	}
	b.open = b.open.remove(id)
	if unused := r.tokens - max(0, used); unused > 0 {
		var credited float64
		b.debts, credited = b.debts.drain(r.sequence, unused)
		b.level += credited
	}
	return b.closed(r.sequence).trimmed()
}

// closed forgets a debt. What is left of it lies between the neighbours' admissions and counts for the later one.
func (b Bucket) closed(sequence uint64) Bucket {
	left := b.debts.weight(sequence)
	b.debts = b.debts.remove(sequence)
	if after, value, ok := b.debts.after(sequence); ok {
		b.debts = b.debts.set(after, value, b.debts.weight(after)+left)
	} else {
		b.tail += left
	}
	return b
}

// Open returns the number of reservations that can still bring a refund.
func (b Bucket) Open() int { return b.open.len() }

// Lend takes up to tokens from the level as a grant that is held until end, and returns the amount.
// The same id lends once: while the grant is open its amount is returned again.
func (b Bucket) Lend(id string, tokens float64, now, end time.Duration) (Bucket, float64) {
	b = b.Advance(now)
	for _, g := range b.grants {
		if g.ID == id {
			return b, g.Tokens
		}
	}
	if _, reported := b.open.get(reportedKey(id)); reported {
		return b, 0
	}
	amount := min(tokens, b.level)
	// The negated comparison also rejects a count that is not a number.
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

// Repay closes the grant under id, spent of which the borrower has used and no more of which it will use. A second
// report with a smaller number is a refund of what the admissions did not need, credited as in Settle.
// An unknown or expired id changes nothing.
func (b Bucket) Repay(id string, spent float64, now time.Duration) Bucket {
	b = b.Advance(now)
	for i, g := range b.grants {
		if g.ID == id {
			// A count that is not a number is taken as all.
			if !(spent >= 0) {
				spent = g.Tokens
			}
			b = b.without(i, min(spent, g.Tokens))
			if spent > 0 {
				b = b.opened(reportedKey(id), min(spent, g.Tokens), reportedLife)
			}
			return b
		}
	}
	if r, ok := b.open.get(reportedKey(id)); ok && spent < r.tokens {
		return b.Settle(reportedKey(id), spent, now)
	}
	return b
}

// Deposit adds tokens spent from a borrowed grant to the level, as far as the cap has room, and returns the amount.
// The sum of all levels and loans stays the same: what the lender holds no longer counts from then on.
func (b Bucket) Deposit(tokens float64, now time.Duration) (Bucket, float64) {
	b = b.Advance(now)
	amount := max(0, min(tokens, b.cap-b.lent-b.level))
	b.level += amount
	return b.trimmed(), amount
}

// Grants returns the open grants, earliest end first.
func (b Bucket) Grants() []Grant { return slices.Clone(b.grants) }

// String describes the bucket for logs and failed tests.
func (b Bucket) String() string {
	return fmt.Sprintf("level %.3f lent %.3f cap %.3f rate %.3f at %s", b.level, b.lent, b.cap, b.rate, b.now)
}
