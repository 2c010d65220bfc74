package limiter

import (
	"maps"
	"slices"
	"time"
)

// EpochConfig configures an Epoch.
type EpochConfig struct {
	// Self names this incarnation of this entry, as VM/INCARNATION. A new incarnation is another member.
	Self string
	// GrantLife is the longest life of a grant that any member lends.
	GrantLife time.Duration
}

// Epoch is the share protocol as one entry sees it. It is an immutable value.
//
// Each epoch lists its members, and a member's share in it is 1/n. A member takes a smaller share at once and a
// larger one only when every other member that may hold a share has acknowledged the epoch or is proven dead.
// A member that is alive is never dropped from the list, so every holder of a share counts in every list known to
// another holder: with h holders each share is at most 1/h, and the shares sum to at most 1.
//
// A grant of a dropped member may outlive its lender, whose cap no longer holds it. Growth therefore also waits,
// from when this entry learned of the drop, until every such grant has expired on its borrower's clock.
type Epoch struct {
	config EpochConfig
	number int64
	// members of the epoch, sorted.
	members []string
	// holders are the members, other than this one, that may hold a share of an older epoch.
	holders []string
	// growAt is the earliest time of growth.
	growAt time.Duration
	acks   map[string]int64
	dead   map[string]bool
	// num/den is the share held, at most 1/len(members).
	num, den int
	taken    int64
}

// NewEpoch returns the state of an entry that knows of no epoch and has no share.
func NewEpoch(c EpochConfig) Epoch { return Epoch{config: c, den: 1} }

// Number returns the highest epoch known, 0 if none.
func (e Epoch) Number() int64 { return e.number }

// Members returns the members of the highest epoch known.
func (e Epoch) Members() []string { return slices.Clone(e.members) }

// IsMember says whether name is a member of the highest epoch known.
func (e Epoch) IsMember(name string) bool {
	_, ok := slices.BinarySearch(e.members, name)
	return ok
}

// Share returns the share held as num/den.
func (e Epoch) Share() (num, den int) { return e.num, e.den }

// Ack returns the highest epoch whose smaller share this entry has taken, to be told to the other members.
func (e Epoch) Ack() int64 { return e.taken }

// WithEpoch adopts an epoch if it is newer than the one known. A smaller share is in force in the returned value.
func (e Epoch) WithEpoch(number int64, members []string, now time.Duration) Epoch {
	if number <= e.number {
		return e
	}
	old := e.members
	// Nothing came before epoch 1, and e.members are all that came before e.number+1.
	successor := number == e.number+1
	e.number = number
	e.members = slices.Sorted(slices.Values(members))
	e.holders = nil
	for _, m := range e.members {
		_, before := slices.BinarySearch(old, m)
		if m != e.config.Self && (before || !successor) {
			e.holders = append(e.holders, m)
		}
	}
	dropped := !successor
	for _, m := range old {
		dropped = dropped || !e.IsMember(m)
	}
	if dropped {
		e.growAt = now + Stretch(e.config.GrantLife)
	}
	n := len(e.members)
	switch {
	case !e.IsMember(e.config.Self):
		e.num, e.den = 0, 1
	case e.num*n > e.den:
		e.num, e.den = 1, n
	}
	return e
}

// WithTaken records that every bucket of this entry fits the share held (Bucket.Over is 0).
func (e Epoch) WithTaken() Epoch {
	e.taken = e.number
	return e
}

// WithAck records that member has acknowledged an epoch.
func (e Epoch) WithAck(member string, number int64) Epoch {
	if number <= e.acks[member] {
		return e
	}
	e.acks = maps.Clone(e.acks)
	if e.acks == nil {
		e.acks = map[string]int64{}
	}
	e.acks[member] = number
	return e
}

// WithDead records the proof that member has ended and will never admit again.
func (e Epoch) WithDead(member string) Epoch {
	if e.dead[member] || member == e.config.Self {
		return e
	}
	e.dead = maps.Clone(e.dead)
	if e.dead == nil {
		e.dead = map[string]bool{}
	}
	e.dead[member] = true
	return e
}

// IsDead says whether member is proven dead.
func (e Epoch) IsDead(member string) bool { return e.dead[member] }

// Waiting returns the members whose acknowledgement this entry needs before its share can grow.
func (e Epoch) Waiting() []string {
	var waiting []string
	for _, m := range e.holders {
		if e.acks[m] < e.number && !e.dead[m] {
			waiting = append(waiting, m)
		}
	}
	return waiting
}

// Advance takes the larger share when it is due.
func (e Epoch) Advance(now time.Duration) Epoch {
	n := len(e.members)
	if !e.IsMember(e.config.Self) || e.num*n >= e.den || now < e.growAt || len(e.Waiting()) > 0 {
		return e
	}
	e.num, e.den = 1, n
	return e
}

// WithoutOthers forgets acknowledgements and proofs about entries that are no longer members.
func (e Epoch) WithoutOthers() Epoch {
	e.acks, e.dead = maps.Clone(e.acks), maps.Clone(e.dead)
	maps.DeleteFunc(e.acks, func(m string, _ int64) bool { return !e.IsMember(m) })
	maps.DeleteFunc(e.dead, func(m string, _ bool) bool { return !e.IsMember(m) })
	return e
}
