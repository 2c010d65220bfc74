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

const grantLife = time.Second

// entry is one incarnation of a simulated entry with a clock of its own.
type entry struct {
	name    string
	offset  time.Duration
	clock   float64
	alive   bool
	leaving bool
	account limiter.Account
	epoch   limiter.Epoch
	opens   map[string]*admission
	// pausedAt is the clock reading taken before a pause; the next operation uses it.
	pausedAt time.Duration
	paused   bool
	// checkedAt is the true time of that reading.
	checkedAt time.Duration
}

// message is delivered by calling handle with the receiver's clock reading at the receipt.
type message struct {
	to     *entry
	handle func(now time.Duration)
}

// fleet simulates entries, the epoch row and messages that may be lost, delayed, duplicated and reordered.
type fleet struct {
	t        *rapid.T
	config   limiter.Config
	now      time.Duration
	entries  []*entry
	number   int64
	members  []string
	messages []message
	seen     []*admission
	next     int
	schedule string
}

func (f *fleet) local(e *entry) time.Duration {
	return e.offset + time.Duration(float64(f.now)*e.clock)
}

// read returns the clock reading that e's next operation uses and the true time at which it was taken. A reading and
// its operation happen under one lock: while e is paused between them it handles no message.
func (f *fleet) read(e *entry) (local, trueTime time.Duration) {
	if e.paused {
		e.paused = false
		return e.pausedAt, e.checkedAt
	}
	return f.local(e), f.now
}

func (f *fleet) id() string { f.next++; return fmt.Sprint(f.next) }

func (f *fleet) start() {
	e := &entry{
		name:   "vm/" + f.id(),
		offset: millis(f.t, 100_000, "offset"),
		clock:  rapid.Float64Range(1-limiter.ClockDrift, 1+limiter.ClockDrift).Draw(f.t, "clock"),
		alive:  true,
		opens:  map[string]*admission{},
	}
	e.epoch = limiter.NewEpoch(limiter.EpochConfig{Self: e.name, GrantLife: grantLife})
	policy := limiter.Policy{GrantLife: grantLife, Memory: time.Second, NoDeposits: rapid.Bool().Draw(f.t, "no deposits")}
	e.account = limiter.NewAccount(f.config, policy).WithShare(0, 1, f.local(e))
	f.entries = append(f.entries, e)
}

// sync applies the share to the bucket and takes the epoch when the bucket fits.
func (f *fleet) sync(e *entry, now time.Duration) {
	e.epoch = e.epoch.Advance(now)
	num, den := e.epoch.Share()
	e.account = e.account.WithShare(num, den, now)
	if e.account.Bucket().Over() == 0 {
		e.epoch = e.epoch.WithTaken()
	}
}

func (f *fleet) byName(name string) *entry {
	return f.entries[slices.IndexFunc(f.entries, func(e *entry) bool { return e.name == name })]
}

// writeRow commits an epoch that e proposes from the row it has just read.
func (f *fleet) writeRow(e *entry, now time.Duration) {
	e.epoch = e.epoch.WithEpoch(f.number, f.members, now)
	f.sync(e, now)
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
	f.number++
	f.members = members
	if rapid.Bool().Draw(f.t, "writer learns at once") {
		e.epoch = e.epoch.WithEpoch(f.number, f.members, now)
		f.sync(e, now)
	}
}

func (f *fleet) admit(e *entry) {
	now, at := f.read(e)
	n := tokens(f.t, f.config.Burst, "tokens")
	if rapid.Bool().Draw(f.t, "all there is") {
		n = e.account.Bucket().Advance(now).Level() + e.account.Purse().Available(now)
	}
	id := f.id()
	var d limiter.Decision
	if e.account, d = e.account.Admit(id, n, now); d.Admitted {
		a := &admission{at, n}
		f.seen = append(f.seen, a)
		e.opens[id] = a
	}
}

func (f *fleet) settle(e *entry) {
	ids := slices.Sorted(maps.Keys(e.opens))
	if len(ids) == 0 {
		return
	}
	id := ids[rapid.IntRange(0, len(ids)-1).Draw(f.t, "reservation")]
	now, _ := f.read(e)
	a := e.opens[id]
	used := tokens(f.t, a.tokens, "used")
	var reports []limiter.Report
	e.account, reports = e.account.Settle(id, a.tokens, used, now)
	f.report(reports)
	a.tokens = used
	delete(e.opens, id)
}

func (f *fleet) borrow(e *entry) {
	lender := f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(f.t, "lender")]
	if lender == e {
		return
	}
	now, _ := f.read(e)
	id, n := "g"+f.id(), f.config.Burst*rapid.Float64Range(0.1, 1).Draw(f.t, "asked")
	e.account = e.account.WithAsked(id, lender.name, now)
	f.messages = append(f.messages, message{lender, func(now time.Duration) {
		var lent, left float64
		lender.account, lent, left = lender.account.Lend(id, n, now, grantLife)
		f.messages = append(f.messages, message{e, func(now time.Duration) {
			var reports []limiter.Report
			e.account, reports = e.account.WithAnswer(id, lent, left, now)
			f.report(reports)
		}})
	}})
}

func (f *fleet) report(reports []limiter.Report) {
	for _, r := range reports {
		lender := f.byName(r.Lender)
		f.messages = append(f.messages, message{lender, func(now time.Duration) {
			lender.account = lender.account.Repaid(r.Grant, r.Spent, now)
		}})
	}
}

func (f *fleet) tidy(e *entry) {
	now, _ := f.read(e)
	var reports []limiter.Report
	if rapid.Bool().Draw(f.t, "gives up a loan") && len(e.account.Purse().Grants()) > 0 {
		e.account, reports = e.account.WithFailed(e.account.Purse().Grants()[0].ID, now)
	} else {
		e.account, reports = e.account.Tidy(rapid.Bool().Draw(f.t, "waiting"), now)
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
			f.sync(peer, now)
		}})
	}
}

// Actions are drawn from one of these lists, by the numbers of the cases in step: a schedule about one mechanism
// finds its faults far sooner than one about all.
var schedules = map[string][]int{
	"all":    {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15},
	"loans":  {0, 1, 2, 3, 4, 4, 4, 7, 7, 8, 8, 8, 10, 13},
	"epochs": {0, 1, 2, 3, 4, 4, 8, 8, 11, 11, 12, 12, 14, 15},
}

func (f *fleet) step() {
	f.now += rapid.SampledFrom([]time.Duration{0, 0, 0, time.Millisecond, 30 * time.Millisecond,
		300 * time.Millisecond, 950 * time.Millisecond, grantLife}).Draw(f.t, "dt")
	e := f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(f.t, "entry")]
	action := rapid.SampledFrom(schedules[f.schedule]).Draw(f.t, "action")
	if action <= 3 && len(f.messages) > 0 { // Deliver, duplicate or lose any message.
		i := rapid.IntRange(0, len(f.messages)-1).Draw(f.t, "message")
		m := f.messages[i]
		if m.to.paused {
			return
		}
		fate := rapid.IntRange(0, 5).Draw(f.t, "fate")
		if fate != 0 {
			f.messages = slices.Delete(f.messages, i, i+1)
		}
		if fate != 1 && m.to.alive {
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
		f.tidy(e)
	case 11:
		f.exchange(e)
	case 12: // Reads the row, and learns of the deaths that it can prove.
		now, _ := f.read(e)
		for _, other := range f.entries {
			if !other.alive {
				e.epoch = e.epoch.WithDead(other.name)
			}
		}
		f.writeRow(e, now)
		f.sync(e, now)
	case 13:
		if !e.paused {
			e.paused, e.pausedAt, e.checkedAt = true, f.local(e), f.now
		}
	case 14: // Dies, or leaves as planned once its grants are settled; a new incarnation may start.
		now, _ := f.read(e)
		if rapid.Bool().Draw(f.t, "dies") || e.account.Bucket().Advance(now).Lent() == 0 {
			e.alive = false
		}
		if len(f.entries) < 6 {
			f.start()
		}
	case 15:
		now, _ := f.read(e)
		f.sync(e, now)
	}
}

// Guards against any schedule of pauses, losses, late and repeated messages, deaths and changes of epoch in which
// the fleet as a whole admits more than burst + rate·t, t being stretched only by the error of the clocks.
func TestFleetWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, config: limiter.Config{Rate: rapid.Float64Range(1, 500).Draw(t, "rate"), Burst: 100}}
		f.schedule = rapid.SampledFrom([]string{"all", "loans", "epochs"}).Draw(t, "schedule")
		for range rapid.IntRange(2, 3).Draw(t, "entries") {
			f.start()
		}
		if rapid.Bool().Draw(t, "settled at first") {
			f.number = 1
			for _, e := range f.entries {
				f.members = append(f.members, e.name)
			}
			for _, e := range f.entries {
				now := f.local(e)
				e.epoch = e.epoch.WithEpoch(1, f.members, now)
				f.sync(e, now)
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
		worst := worstWindow(f.seen, f.config.Rate*(1+limiter.ClockDrift))
		assert.Assert(t, worst <= f.config.Burst+epsilon, "window of %f", worst)
	})
}

// Guards against a lender on the fastest clock that stops holding a grant before a borrower on the slowest stops
// spending it.
func TestStretch(t *testing.T) {
	for _, life := range []time.Duration{1, time.Millisecond, time.Second, time.Hour} {
		borrower := float64(life) / (1 - limiter.ClockDrift)
		lender := float64(limiter.Stretch(life)) / (1 + limiter.ClockDrift)
		assert.Assert(t, borrower <= lender, "%s", life)
	}
}

// Guards against growth of a share while a grant of a dropped member may still be spent, and against the
// acknowledgement of an epoch while grants lent under the larger share are open.
func TestGrowthAfterLoss(t *testing.T) {
	e := limiter.NewEpoch(limiter.EpochConfig{Self: "a", GrantLife: grantLife}).WithEpoch(1, []string{"a", "b", "c"}, 0).Advance(0)
	e = e.WithEpoch(2, []string{"a", "b"}, time.Minute).WithAck("b", 2).Advance(time.Minute + grantLife)
	num, den := e.Share()
	assert.Assert(t, num == 1 && den == 3, "grew to %d/%d while a grant of c may be open", num, den)
	num, den = e.Advance(time.Minute + limiter.Stretch(grantLife)).Share()
	assert.Assert(t, num == 1 && den == 2, "%d/%d", num, den)

	b := limiter.New(limiter.Config{Rate: 1, Burst: 100}).WithShare(1, 1, 0)
	b, _ = b.Lend("g", 80, 100*time.Second, 101*time.Second)
	b = b.WithShare(1, 2, 100*time.Second)
	assert.Equal(t, b.Over(), 30.0)
	assert.Equal(t, b.Level(), 0.0)
	assert.Equal(t, b.Advance(101*time.Second).Over(), 0.0)
}

// Guards against peers or the store taking away what a member owns: whatever rows, acknowledgements and requests
// for loans arrive, in any order, the entry admits all that a bucket of the smallest share seen would admit.
func TestFloor(t *testing.T) {
	const most = 6
	rapid.Check(t, func(t *rapid.T) {
		c := limiter.Config{Rate: 60, Burst: 600}
		e := limiter.NewEpoch(limiter.EpochConfig{Self: "self", GrantLife: grantLife}).WithEpoch(1, []string{"self"}, 0).Advance(0)
		b := limiter.New(c).WithShare(1, 1, 0)
		floor := limiter.New(c).WithShare(1, most, 0)
		var now time.Duration
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += millis(t, 2000, "dt")
			id := fmt.Sprint(i)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				members := []string{"self"}
				for m := range rapid.IntRange(0, most-1).Draw(t, "others") {
					members = append(members, fmt.Sprint("m", m))
				}
				e = e.WithEpoch(int64(rapid.IntRange(1, 50).Draw(t, "number")), members, now)
			case 1:
				peer := fmt.Sprint("m", rapid.IntRange(0, most).Draw(t, "peer"))
				e = e.WithAck(peer, int64(rapid.IntRange(1, 60).Draw(t, "ack")))
			case 2:
				e = e.WithDead(rapid.SampledFrom([]string{"self", "m1", "m2"}).Draw(t, "dead"))
			case 3: // A loan by the entry's own choice lowers both alike.
				n := min(floor.Advance(now).Level(), tokens(t, c.Burst/most, "lent"))
				b, _ = b.Lend(id, n, now, now+grantLife)
				floor, _ = floor.Lend(id, n, now, now+grantLife)
			case 4:
				n := tokens(t, c.Burst/most, "tokens")
				var expected, got limiter.Decision
				floor, expected = floor.Reserve(id, n, now)
				if b, got = b.Reserve(id, n, now); expected.Admitted && !got.Admitted && got.Missing > epsilon {
					t.Fatalf("refused %f of the floor: %s, floor %s", n, b, floor)
				} else if got.Admitted && !expected.Admitted {
					// What the larger share admits beyond the floor is charged to the floor as far as it goes.
					floor, _ = floor.Reserve(id, floor.Level(), now)
				}
			}
			e = e.Advance(now)
			num, den := e.Share()
			b = b.WithShare(num, den, now)
			assert.Assert(t, num*most >= den, "share %d/%d", num, den)
		}
	})
}
