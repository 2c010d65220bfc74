package applier

import (
	"fmt"
	"time"

	"geraniumladder/internal/wire"
)

// Progress is an entry's knowledge about revisions. It is an immutable value that determines, without I/O, what to
// fetch next and whether the revision in force is fresh enough to accept requests.
//
// The revision in force and the highest known revision never decrease.
type Progress struct {
	// inForce is the number of the revision in force; 0 is the empty revision.
	inForce int64
	// known is the highest known revision; at least inForce.
	known int64
	// knownAt is the latest time for which it is proven that no revision above known was committed before it.
	knownAt time.Time
	// freshAt is the latest time for which it is proven that no revision above inForce was committed before it. It is
	// zero until the first proof.
	freshAt time.Time
	// storeUnavailable is set if this entry's last read of the head failed.
	storeUnavailable bool
}

// PeerStatus summarises the state of the other entries.
type PeerStatus struct {
	// Listed is the number of other entries on the platform's list, Reachable the number of those that respond.
	Listed    int
	Reachable int
	// StoreUnavailable is set if a reachable entry reports that the store is unavailable to it too.
	StoreUnavailable bool
}

// Stale rejects a request because the entry cannot prove that its revision is the newest. The request was not run.
type Stale struct {
	Revision int64
	Known    int64
	// Age is the time since the revision in force was last proven to be the newest; negative if it never was.
	Age    time.Duration
	Reason string
}

// Error implements error. The message tells the client what to do.
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

// Known returns the highest known revision.
func (p Progress) Known() int64 { return p.known }

// StoreUnavailable reports whether this entry's last read of the head failed.
func (p Progress) StoreUnavailable() bool { return p.storeUnavailable }

// WithProof records that a read of the head that started at readStart returned revision.
// A read that returned a lower revision than the known one was overtaken by a commit, or lagged behind; it proves
// nothing about the known revision and is ignored.
func (p Progress) WithProof(revision int64, readStart time.Time) Progress {
	if revision < p.known {
		return p
	}
	p.known = revision
	if readStart.After(p.knownAt) {
		p.knownAt = readStart
	}
	return p.updateFreshAt()
}

// WithKnown records that revision exists, which does not prove that it is the newest.
func (p Progress) WithKnown(revision int64) Progress {
	p.known = max(p.known, revision)
	return p
}

// WithStoreUnavailable records whether this entry's last read of the head failed.
func (p Progress) WithStoreUnavailable(unavailable bool) Progress {
	p.storeUnavailable = unavailable
	return p
}

// WithInForce records that revision is in force. A revision that is not higher than the one in force is ignored.
func (p Progress) WithInForce(revision int64) Progress {
	if revision <= p.inForce {
		return p
	}
	p.inForce = revision
	p.known = max(p.known, revision)
	return p.updateFreshAt()
}

// updateFreshAt advances freshAt to knownAt if the highest known revision is in force.
func (p Progress) updateFreshAt() Progress {
	if p.inForce >= p.known && p.knownAt.After(p.freshAt) {
		p.freshAt = p.knownAt
	}
	return p
}

// FetchStep describes the next fetch. The zero value means that there is nothing to fetch.
type FetchStep struct {
	// Snapshot is the number of the snapshot to fetch; 0 for none.
	Snapshot int64
	// From is the number of the first delta to fetch; 0 for none.
	From int64
}

// NextFetch returns the next fetch, given the number of the newest snapshot in the store (0 for none).
func (p Progress) NextFetch(newestSnapshot int64) FetchStep {
	switch {
	case p.known <= p.inForce:
		return FetchStep{}
	case p.known-p.inForce > snapshotEvery && newestSnapshot > p.inForce:
		return FetchStep{Snapshot: newestSnapshot}
	default:
		return FetchStep{From: p.inForce + 1}
	}
}

// MayServe returns nil if a new request may be accepted, and *Stale if not. A request may be accepted if
//   - the revision in force was proven to be the newest less than maxProofAge ago, or
//   - the store is unavailable to this entry, no newer revision is known, and the store is unavailable to a reachable
//     peer too or there is no other entry. No revision can be committed while the store is unavailable to all.
func (p Progress) MayServe(now time.Time, maxProofAge time.Duration, others func() PeerStatus) error {
	age := time.Duration(-1)
	if !p.freshAt.IsZero() {
		if age = now.Sub(p.freshAt); age < maxProofAge {
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
	case !p.storeUnavailable:
		stale.Reason = "the configuration has not been checked recently"
		return stale
	}
	o := others()
	switch {
	case o.Listed == 0 && o.Reachable == 0:
		return nil
	case o.Reachable == 0:
		stale.Reason = "neither the store nor another entry can be reached"
	case !o.StoreUnavailable:
		stale.Reason = "the store cannot be reached, and no other entry has proven the configuration recently"
	default:
		return nil
	}
	return stale
}

// Freshness returns the freshness to send to other processes.
// The revision sent is the highest known one: a proof obtained for a lower revision also holds for it.
func (p Progress) Freshness(now time.Time) wire.Freshness {
	f := wire.Freshness{Revision: p.known, AgeMs: -1, StoreAway: p.storeUnavailable}
	if !p.knownAt.IsZero() {
		age := max(now.Sub(p.knownAt), 0)
		// Round up, so that the receiver never assumes a proof to be younger than it is.
		f.AgeMs = int64((age + time.Millisecond - 1) / time.Millisecond)
	}
	return f
}
