package limiter

import (
	"maps"
	"slices"
	"time"
)

// EpochConfig configures an Epoch.
type EpochConfig struct {
	// Self is the member name of this process, as VM/INCARNATION. Each incarnation is a separate member.
	Self string
	// GrantTTL is the longest lifetime of any grant lent by any member.
	GrantTTL time.Duration
}

// Epoch is one entry's view of the protocol that assigns shares of the limits. It is an immutable value.
//
// Each epoch has a list of n members, and each member is due a share of 1/n. A member adopts a smaller share
// immediately, and a larger one only after every other member that may still hold a share of an older epoch has
// acknowledged the epoch or is proven dead. Live members are never removed from the list, so each holder of a share is
// in every list known to any other holder: with h holders each share is at most 1/h, and the shares sum to at most 1.
//
// A grant lent by a removed member can outlive its lender, whose cap then no longer covers it. A member therefore also
// delays growth, from when it learns of the removal, until every such grant has expired on its borrower's clock.
type Epoch struct {
	config EpochConfig
	number int64
	// members of the epoch, sorted by name.
	members []string
	// holders are the other members that may still hold a share of an older epoch.
	holders []string
	// growNotBefore is the earliest time at which the share may grow.
	growNotBefore time.Duration
	acks          map[string]int64
	dead          map[string]bool
	// num/den is the current share, at most 1/len(members).
	num, den int
	// applied is the highest epoch whose share all buckets of this entry fit.
	applied int64
}

// NewEpoch returns the state of an entry that knows no epoch and has no share.
func NewEpoch(c EpochConfig) Epoch { return Epoch{config: c, den: 1} }

// Number returns the highest known epoch, or 0 if there is none.
func (e Epoch) Number() int64 { return e.number }

// Members returns the members of the highest known epoch.
func (e Epoch) Members() []string { return slices.Clone(e.members) }

// IsMember reports whether name is a member of the highest known epoch.
func (e Epoch) IsMember(name string) bool {
	_, ok := slices.BinarySearch(e.members, name)
	return ok
}

// Share returns the current share as num/den.
func (e Epoch) Share() (num, den int) { return e.num, e.den }

// Ack returns the highest epoch whose share reduction this entry has applied. It is sent to the other members as an
// acknowledgement.
func (e Epoch) Ack() int64 { return e.applied }

// WithEpoch adopts an epoch if it is newer than the highest known one. A reduction of the share takes effect at once.
func (e Epoch) WithEpoch(number int64, members []string, now time.Duration) Epoch {
	if number <= e.number {
		return e
	}
	old := e.members
	// For the direct successor of the known epoch, e.members is the complete list of earlier members (none before epoch
	// 1). After a gap, any member of the new epoch may hold a share of an epoch that this entry has not seen.
	successor := number == e.number+1
	e.number = number
	e.members = slices.Sorted(slices.Values(members))
	e.holders = nil
	for _, m := range e.members {
		_, wasMember := slices.BinarySearch(old, m)
		if m != e.config.Self && (wasMember || !successor) {
			e.holders = append(e.holders, m)
		}
	}
	dropped := !successor
	for _, m := range old {
		dropped = dropped || !e.IsMember(m)
	}
	if dropped {
		e.growNotBefore = now + PadForClockDrift(e.config.GrantTTL)
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

// WithShareApplied records that every bucket of this entry fits the current share, that is, Bucket.Overcommitted is 0.
func (e Epoch) WithShareApplied() Epoch {
	e.applied = e.number
	return e
}

// WithAck records that member has acknowledged an epoch. Lower numbers than already recorded are ignored.
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

// WithDead records proof that member has terminated and will not admit again.
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

// IsDead reports whether member is proven dead.
func (e Epoch) IsDead(member string) bool { return e.dead[member] }

// Waiting returns the members whose acknowledgement is still required before this entry's share can grow.
func (e Epoch) Waiting() []string {
	var pending []string
	for _, m := range e.holders {
		if e.acks[m] < e.number && !e.dead[m] {
			pending = append(pending, m)
		}
	}
	return pending
}

// Advance adopts the larger share once the conditions for growth are met.
func (e Epoch) Advance(now time.Duration) Epoch {
	n := len(e.members)
	if !e.IsMember(e.config.Self) || e.num*n >= e.den || now < e.growNotBefore || len(e.Waiting()) > 0 {
		return e
	}
	e.num, e.den = 1, n
	return e
}

// WithoutNonMembers drops acknowledgements and death records of entries that are no longer members.
func (e Epoch) WithoutNonMembers() Epoch {
	e.acks, e.dead = maps.Clone(e.acks), maps.Clone(e.dead)
	maps.DeleteFunc(e.acks, func(m string, _ int64) bool { return !e.IsMember(m) })
	maps.DeleteFunc(e.dead, func(m string, _ bool) bool { return !e.IsMember(m) })
	return e
}
