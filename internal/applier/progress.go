package applier

import (
	"fmt"
	"time"

	"geraniumladder/internal/wire"
)

// Progress is what an entry knows about revisions. It is an immutable value and decides, without I/O, what to fetch
// next and whether the revision in force is fresh enough to accept requests.
//
// The revision in force and the highest known revision never go down.
type Progress struct {
	// inForce is the number of the revision in force; 0 is the empty one.
	inForce int64
	// known is the highest revision heard of; at least inForce.
	known int64
	// knownAt: every revision committed before this time is at most known.
	knownAt time.Time
	// freshAt: every revision committed before this time is at most inForce. It is zero until that is first proven.
	freshAt time.Time
	// storeAway is set while the own last read of the head failed.
	storeAway bool
}

// Others is what an entry knows about the other entries.
type Others struct {
	// Listed are on the platform's list, Reachable answer.
	Listed    int
	Reachable int
	// StoreAway is set when a reachable one reports that the store is unavailable to it too.
	StoreAway bool
}

// Stale is the refusal of an entry that cannot prove its revision to be the newest. Nothing was run.
type Stale struct {
	Revision int64
	Known    int64
	// Age is the time since the revision in force was last proven to be the newest; negative when it never was.
	Age    time.Duration
	Reason string
}

// Error implements error. The message names the remedy.
func (e *Stale) Error() string {
	proof := "no proof yet"
	if e.Age >= 0 {
		proof = fmt.Sprintf("last proof %s ago", e.Age.Round(time.Millisecond))
	}
	return fmt.Sprintf("not run: %s (revision %d in force, %d known, %s); send the request to another entry, or again in a second",
		e.Reason, e.Revision, e.Known, proof)
}

// InForce returns the number of the revision in force.
func (p Progress) InForce() int64 { return p.inForce }

// Known returns the highest revision heard of.
func (p Progress) Known() int64 { return p.known }

// StoreAway says whether the own last read of the head failed.
func (p Progress) StoreAway() bool { return p.storeAway }

// WithProof records that a read of the head that began at the given time returned revision.
// A read that returned less than is known was overtaken by a commit, or lagged; it proves nothing about known.
func (p Progress) WithProof(revision int64, began time.Time) Progress {
	if revision < p.known {
		return p
	}
	p.known = revision
	if began.After(p.knownAt) {
		p.knownAt = began
	}
	return p.settle()
}

// WithKnown records that revision exists, without proof that it is the newest.
func (p Progress) WithKnown(revision int64) Progress {
	p.known = max(p.known, revision)
	return p
}

// WithStoreAway records whether the own last read of the head failed.
func (p Progress) WithStoreAway(away bool) Progress {
	p.storeAway = away
	return p
}

// WithInForce puts a higher revision in force and ignores any other.
func (p Progress) WithInForce(revision int64) Progress {
	if revision <= p.inForce {
		return p
	}
	p.inForce = revision
	p.known = max(p.known, revision)
	return p.settle()
}

// settle extends freshness when everything known is in force.
func (p Progress) settle() Progress {
	if p.inForce >= p.known && p.knownAt.After(p.freshAt) {
		p.freshAt = p.knownAt
	}
	return p
}

// Step is what to fetch next.
type Step struct {
	// Snapshot is the number of the snapshot to load; 0 to fetch deltas or nothing.
	Snapshot int64
	// From is the first delta to fetch; 0 for none.
	From int64
}

// Next returns what to fetch, given the newest snapshot in the store (0 for none).
func (p Progress) Next(newestSnapshot int64) Step {
	switch {
	case p.known <= p.inForce:
		return Step{}
	case p.known-p.inForce > snapshotEvery && newestSnapshot > p.inForce:
		return Step{Snapshot: newestSnapshot}
	default:
		return Step{From: p.inForce + 1}
	}
}

// MayServe returns *Stale unless a new request may be accepted:
//   - the revision in force was proven the newest less than freshFor ago, or
//   - the store is unavailable to this entry and to a reachable peer, or there is no other entry,
//     and nothing newer is known. Nothing can be accepted while the store is unavailable to all.
func (p Progress) MayServe(now time.Time, freshFor time.Duration, others func() Others) error {
	age := time.Duration(-1)
	if !p.freshAt.IsZero() {
		if age = now.Sub(p.freshAt); age < freshFor {
			return nil
		}
	}
	stale := &Stale{Revision: p.inForce, Known: p.known, Age: age}
	switch {
	case age < 0 && p.inForce == 0:
		stale.Reason = "the configuration has not been read yet"
		return stale
	case p.inForce < p.known:
		stale.Reason = "a newer configuration is known but could not be fetched yet"
		return stale
	case !p.storeAway:
		stale.Reason = "the configuration has not been checked recently"
		return stale
	}
	o := others()
	switch {
	case o.Listed == 0 && o.Reachable == 0:
		return nil
	case o.Reachable == 0:
		stale.Reason = "neither the store nor another entry can be reached"
	case !o.StoreAway:
		stale.Reason = "the store cannot be reached, and no other entry has proven the configuration recently"
	default:
		return nil
	}
	return stale
}

// Freshness returns what to tell other processes.
// The revision sent is the highest known one: a proof for a lower one also holds for it.
func (p Progress) Freshness(now time.Time) wire.Freshness {
	f := wire.Freshness{Revision: p.known, AgeMs: -1, StoreAway: p.storeAway}
	if !p.knownAt.IsZero() {
		age := max(now.Sub(p.knownAt), 0)
		// Rounded up, so that a proof never gets younger on its way.
		f.AgeMs = int64((age + time.Millisecond - 1) / time.Millisecond)
	}
	return f
}
