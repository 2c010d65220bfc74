package limiter_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/limiter"
)

const grantTTL = time.Second

// entry is one incarnation of a simulated entry, with its own clock.
type entry struct {
	name           string
	offset         time.Duration
	clockRate      float64
	alive          bool
	leaving        bool
	account        limiter.Account
	epoch          limiter.Epoch
	openAdmissions map[string]*admission
	// pausedReading is the clock reading taken before a pause. The next operation uses it.
	pausedReading time.Duration
	paused        bool
	// pausedTrueTime is the true time at which pausedReading was taken.
	pausedTrueTime time.Duration
}

// message is delivered by calling handle with the receiver's clock reading on receipt.
type message struct {
	to     *entry
	handle func(now time.Duration)
}

// fleet simulates entries, the stored epoch row, and a network that loses, delays, duplicates and reorders messages.
type fleet struct {
	t       *rapid.T
	config  limiter.Config
	now     time.Duration
	entries []*entry
	// epochNumber and members are the stored epoch row.
	epochNumber int64
	members     []string
	messages    []message
	admissions  []*admission
	lastID      int
	schedule    string
}

func (f *fleet) local(e *entry) time.Duration {
	return e.offset + time.Duration(float64(f.now)*e.clockRate)
}

// readClock returns the clock reading that e's next operation uses, and the true time at which it was taken. An entry
// reads the clock and performs the operation under one lock, so it handles no message while it is paused between the two.
func (f *fleet) readClock(e *entry) (local, trueTime time.Duration) {
	if e.paused {
		e.paused = false
		return e.pausedReading, e.pausedTrueTime
	}
	return f.local(e), f.now
}

func (f *fleet) id() string { f.lastID++; return fmt.Sprint(f.lastID) }

func (f *fleet) start() {
	e := &entry{
		name:           "vm/" + f.id(),
		offset:         millis(f.t, 100_000, "offset"),
		clockRate:      rapid.Float64Range(1-limiter.ClockDrift, 1+limiter.ClockDrift).Draw(f.t, "clock"),
		alive:          true,
		openAdmissions: map[string]*admission{},
	}
	e.epoch = limiter.NewEpoch(limiter.EpochConfig{Self: e.name, GrantTTL: grantTTL})
	policy := limiter.Policy{GrantTTL: grantTTL, DemandTimeConstant: time.Second, NoDeposits: rapid.Bool().Draw(f.t, "no deposits")}
	e.account = limiter.NewAccount(f.config, policy).WithShare(0, 1, f.local(e))
	f.entries = append(f.entries, e)
}

// applyShare sets the share of the bucket and marks the epoch as applied once no more tokens are committed
// than the new share permits.
func (f *fleet) applyShare(e *entry, now time.Duration) {
	e.epoch = e.epoch.Advance(now)
	num, den := e.epoch.Share()
	e.account = e.account.WithShare(num, den, now)
	if e.account.Bucket().Overcommitted() == 0 {
		e.epoch = e.epoch.WithShareApplied()
	}
}

func (f *fleet) byName(name string) *entry {
	return f.entries[slices.IndexFunc(f.entries, func(e *entry) bool { return e.name == name })]
}

// proposeEpoch has e read the epoch row and write a new epoch if the membership has changed.
func (f *fleet) proposeEpoch(e *entry, now time.Duration) {
	e.epoch = e.epoch.WithEpoch(f.epochNumber, f.members, now)
	f.applyShare(e, now)
	var members []string
	for _, m := range f.members {
		if f.byName(m).alive {
			members = append(members, m)
		}
	}
	if !slices.Contains(members, e.name) && !e.leaving {
		members = append(members, e.name)
	}
	if slices.Equal(members, f.members) {
		return
	}
	f.epochNumber++
	f.members = members
	if rapid.Bool().Draw(f.t, "writer learns at once") {
		e.epoch = e.epoch.WithEpoch(f.epochNumber, f.members, now)
		f.applyShare(e, now)
	}
}

func (f *fleet) admit(e *entry) {
	now, at := f.readClock(e)
	n := tokens(f.t, f.config.Burst, "tokens")
	if rapid.Bool().Draw(f.t, "all there is") {
		n = e.account.Bucket().Advance(now).Level() + e.account.BorrowedGrants().Available(now)
	}
	id := f.id()
	var d limiter.Decision
	if e.account, d = e.account.Admit(id, n, now); d.Admitted {
		a := &admission{at, n}
		f.admissions = append(f.admissions, a)
		e.openAdmissions[id] = a
	}
}

func (f *fleet) settle(e *entry) {
	ids := slices.Sorted(maps.Keys(e.openAdmissions))
	if len(ids) == 0 {
		return
	}
	id := ids[rapid.IntRange(0, len(ids)-1).Draw(f.t, "reservation")]
	now, _ := f.readClock(e)
	a := e.openAdmissions[id]
	used := tokens(f.t, a.tokens, "used")
	var reports []limiter.GrantReport
	e.account, reports = e.account.Settle(id, a.tokens, used, now)
	f.report(reports)
	a.tokens = used
	delete(e.openAdmissions, id)
}

func (f *fleet) borrow(e *entry) {
	lender := f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(f.t, "lender")]
	if lender == e {
		return
	}
	now, _ := f.readClock(e)
	id, n := "g"+f.id(), f.config.Burst*rapid.Float64Range(0.1, 1).Draw(f.t, "asked")
	e.account = e.account.WithLoanRequested(id, lender.name, now)
	f.messages = append(f.messages, message{lender, func(now time.Duration) {
		var lent, left float64
		lender.account, lent, left = lender.account.Lend(id, n, now, grantTTL)
		f.messages = append(f.messages, message{e, func(now time.Duration) {
			var reports []limiter.GrantReport
			e.account, reports = e.account.WithLoanReply(id, lent, left, now)
			f.report(reports)
		}})
	}})
}

func (f *fleet) report(reports []limiter.GrantReport) {
	for _, r := range reports {
		lender := f.byName(r.Lender)
		f.messages = append(f.messages, message{lender, func(now time.Duration) {
			lender.account = lender.account.WithRepayment(r.Grant, r.Spent, now)
		}})
	}
}

func (f *fleet) closeGrants(e *entry) {
	now, _ := f.readClock(e)
	var reports []limiter.GrantReport
	if rapid.Bool().Draw(f.t, "gives up a loan") && len(e.account.BorrowedGrants().All()) > 0 {
		e.account, reports = e.account.WithLoanFailed(e.account.BorrowedGrants().All()[0].ID, now)
	} else {
		e.account, reports = e.account.CloseUnusedGrants(rapid.Bool().Draw(f.t, "waiting"), now)
	}
	f.report(reports)
}

func (f *fleet) exchange(e *entry) {
	ack, number, members := e.epoch.Ack(), e.epoch.Number(), e.epoch.Members()
	for _, peer := range f.entries {
		if peer == e {
			continue
		}
		f.messages = append(f.messages, message{peer, func(now time.Duration) {
			peer.epoch = peer.epoch.WithEpoch(number, members, now).WithAck(e.name, ack)
			f.applyShare(peer, now)
		}})
	}
}

// schedules lists the actions to draw from: 0 to 3 deliver, duplicate or lose a message, and the others are the case
// numbers in step. Schedules that concentrate on one mechanism
// find its faults much sooner than a schedule of all actions.
var schedules = map[string][]int{
	"all":    {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15},
	"loans":  {0, 1, 2, 3, 4, 4, 4, 7, 7, 8, 8, 8, 10, 13},
	"epochs": {0, 1, 2, 3, 4, 4, 8, 8, 11, 11, 12, 12, 14, 15},
}

func (f *fleet) step() {
	f.now += rapid.SampledFrom([]time.Duration{0, 0, 0, time.Millisecond, 30 * time.Millisecond,
		300 * time.Millisecond, 950 * time.Millisecond, grantTTL}).Draw(f.t, "dt")
	e := f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(f.t, "entry")]
	action := rapid.SampledFrom(schedules[f.schedule]).Draw(f.t, "action")
	if action <= 3 && len(f.messages) > 0 { // Deliver, duplicate or lose a message.
		i := rapid.IntRange(0, len(f.messages)-1).Draw(f.t, "message")
		m := f.messages[i]
		if m.to.paused {
			return
		}
		delivery := rapid.IntRange(0, 5).Draw(f.t, "fate")
		if delivery != 0 {
			f.messages = slices.Delete(f.messages, i, i+1)
		}
		if delivery != 1 && m.to.alive {
			m.handle(f.local(m.to))
		}
		return
	}
	if !e.alive {
		return
	}
	switch action {
	case 4, 5, 6:
		f.admit(e)
	case 7:
		f.settle(e)
	case 8, 9:
		f.borrow(e)
	case 10:
		f.closeGrants(e)
	case 11:
		f.exchange(e)
	case 12: // Read the epoch row and learn which entries are dead.
		now, _ := f.readClock(e)
		for _, other := range f.entries {
			if !other.alive {
				e.epoch = e.epoch.WithDead(other.name)
			}
		}
		f.proposeEpoch(e, now)
		f.applyShare(e, now)
	case 13:
		if !e.paused {
			e.paused, e.pausedReading, e.pausedTrueTime = true, f.local(e), f.now
		}
	case 14: // Crash, or shut down gracefully once no grant is lent; a new incarnation may start.
		now, _ := f.readClock(e)
		if rapid.Bool().Draw(f.t, "dies") || e.account.Bucket().Advance(now).Lent() == 0 {
			e.alive = false
		}
		if len(f.entries) < 6 {
			f.start()
		}
	case 15:
		now, _ := f.readClock(e)
		f.applyShare(e, now)
	}
}

// Guards against the fleet admitting more than burst + rate·t in any window, apart from the clock error, under any
// schedule of pauses, lost, late and duplicate messages, crashes and epoch changes. Also checks that the shares never
// sum to more than 1.
func TestFleetWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, config: limiter.Config{Rate: rapid.Float64Range(1, 500).Draw(t, "rate"), Burst: 100}}
		f.schedule = rapid.SampledFrom([]string{"all", "loans", "epochs"}).Draw(t, "schedule")
		for range rapid.IntRange(2, 3).Draw(t, "entries") {
			f.start()
		}
		if rapid.Bool().Draw(t, "settled at first") {
			f.epochNumber = 1
			for _, e := range f.entries {
				f.members = append(f.members, e.name)
			}
			for _, e := range f.entries {
				now := f.local(e)
				e.epoch = e.epoch.WithEpoch(1, f.members, now)
				f.applyShare(e, now)
			}
			f.now += 200 * time.Second
		}
		for range rapid.IntRange(1, 250).Draw(t, "steps") {
			f.step()
			var shares float64
			for _, e := range f.entries {
				if e.alive {
					num, den := e.epoch.Share()
					shares += float64(num) / float64(den)
				}
			}
			assert.Assert(t, shares <= 1+epsilon, "shares sum to %f", shares)
		}
		worst := worstWindow(f.admissions, f.config.Rate*(1+limiter.ClockDrift))
		assert.Assert(t, worst <= f.config.Burst+epsilon, "admitted %f tokens above rate·t in a window", worst)
	})
}

// Guards against a lender with the fastest permitted clock releasing a grant while a borrower with the slowest
// permitted clock can still spend it.
func TestLenderHoldsGrantUntilBorrowerExpiry(t *testing.T) {
	for _, ttl := range []time.Duration{1, time.Millisecond, time.Second, time.Hour} {
		borrower := float64(ttl) / (1 - limiter.ClockDrift)
		lender := float64(limiter.PadForClockDrift(ttl)) / (1 + limiter.ClockDrift)
		assert.Assert(t, borrower <= lender, "%s", ttl)
	}
}

// Guards against a share growing while a grant of a removed member can still be spent, and against an epoch being
// acknowledged while grants lent under the larger share are open.
func TestShareGrowthAfterMemberDropped(t *testing.T) {
	e := limiter.NewEpoch(limiter.EpochConfig{Self: "a", GrantTTL: grantTTL}).WithEpoch(1, []string{"a", "b", "c"}, 0).Advance(0)
	e = e.WithEpoch(2, []string{"a", "b"}, time.Minute).WithAck("b", 2).Advance(time.Minute + grantTTL)
	num, den := e.Share()
	assert.Assert(t, num == 1 && den == 3, "grew to %d/%d while a grant of c may be open", num, den)
	num, den = e.Advance(time.Minute + limiter.PadForClockDrift(grantTTL)).Share()
	assert.Assert(t, num == 1 && den == 2, "%d/%d", num, den)

	b := limiter.New(limiter.Config{Rate: 1, Burst: 100}).WithShare(1, 1, 0)
	b, _ = b.Lend("g", 80, 100*time.Second, 101*time.Second)
	b = b.WithShare(1, 2, 100*time.Second)
	assert.Equal(t, b.Overcommitted(), 30.0)
	assert.Equal(t, b.Level(), 0.0)
	assert.Equal(t, b.Advance(101*time.Second).Overcommitted(), 0.0)
}

// Guards against epochs, acknowledgements, deaths or loans that, in some order, make an entry refuse requests that a
// bucket with the share 1/maxMembers would admit. No epoch in the test gives the entry a smaller share.
func TestAdmitsMinimumShare(t *testing.T) {
	const maxMembers = 6
	rapid.Check(t, func(t *rapid.T) {
		c := limiter.Config{Rate: 60, Burst: 600}
		e := limiter.NewEpoch(limiter.EpochConfig{Self: "self", GrantTTL: grantTTL}).WithEpoch(1, []string{"self"}, 0).Advance(0)
		b := limiter.New(c).WithShare(1, 1, 0)
		minimum := limiter.New(c).WithShare(1, maxMembers, 0)
		var now time.Duration
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += millis(t, 2000, "dt")
			id := fmt.Sprint(i)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				members := []string{"self"}
				for m := range rapid.IntRange(0, maxMembers-1).Draw(t, "others") {
					members = append(members, fmt.Sprint("m", m))
				}
				e = e.WithEpoch(int64(rapid.IntRange(1, 50).Draw(t, "number")), members, now)
			case 1:
				peer := fmt.Sprint("m", rapid.IntRange(0, maxMembers).Draw(t, "peer"))
				e = e.WithAck(peer, int64(rapid.IntRange(1, 60).Draw(t, "ack")))
			case 2:
				e = e.WithDead(rapid.SampledFrom([]string{"self", "m1", "m2"}).Draw(t, "dead"))
			case 3: // A loan that the entry chooses to make reduces both buckets equally.
				n := min(minimum.Advance(now).Level(), tokens(t, c.Burst/maxMembers, "lent"))
				b, _ = b.Lend(id, n, now, now+grantTTL)
				minimum, _ = minimum.Lend(id, n, now, now+grantTTL)
			case 4:
				n := tokens(t, c.Burst/maxMembers, "tokens")
				var expected, got limiter.Decision
				minimum, expected = minimum.Reserve(id, n, now)
				if b, got = b.Reserve(id, n, now); expected.Admitted && !got.Admitted && got.Missing > epsilon {
					t.Fatalf("refused %f tokens that the minimum share admits: %s, minimum share %s", n, b, minimum)
				} else if got.Admitted && !expected.Admitted {
					// Only the larger share admitted the request. Deduct it from the minimum bucket too, as far as the level allows.
					minimum, _ = minimum.Reserve(id, minimum.Level(), now)
				}
			}
			e = e.Advance(now)
			num, den := e.Share()
			b = b.WithShare(num, den, now)
			assert.Assert(t, num*maxMembers >= den, "share %d/%d", num, den)
		}
	})
}
