package registrar

import (
	"cmp"
	"sync"
	"time"
)

// Position is a point in the store's history.
type Position struct {
	// Era is the number of times that the store was restored from an earlier copy; 0 if it doesn't say.
	Era int64
	// Version rises with each write within an era. A restore sets it back, and the versions after that are given anew.
	Version int64
}

// Compare returns -1 if p is before q, 1 if it is after q, and 0 if they are the same.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version))
}

// Eras keeps what the answers to all calls of a process say of the store's eras. It is safe for use by several goroutines.
type Eras struct {
	mu     sync.Mutex
	latest int64
	// answeredAt is when the latest call was sent that was answered in the latest era, and earlierAt that of an earlier era.
	answeredAt, earlierAt time.Time
}

// Note records the era of an answer to a call that was sent at sentAt.
func (e *Eras) Note(era int64, sentAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era > e.latest {
		e.earlierAt, e.answeredAt = later(e.earlierAt, e.answeredAt), time.Time{}
		e.latest = era
	}
	if era == e.latest {
		e.answeredAt = later(e.answeredAt, sentAt)
	} else {
		e.earlierAt = later(e.earlierAt, sentAt)
	}
}

// Latest returns the latest era, and a time at which the store was still in an earlier one; zero if none is known.
func (e *Eras) Latest() (era int64, earlierAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latest, e.earlierAt
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
