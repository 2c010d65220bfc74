package pacer

import "time"

// Holder is an entry's part of the pacing of one endpoint: it holds the grants of the current round. It is an immutable
// value.
//
// The grants of a round expire a Validity after the entry began the round, before it asked for them. So a grant can't be
// used later than the sidecar expects, however long the messages were on the way and the entry was paused.
type Holder struct {
	round   int64
	begunAt time.Duration
	// granted and used are those of the current round; used is at most granted.
	granted, used int
	taken         int
}

// NewHolder returns a Holder whose first round follows the number. The number should be random, because the grants of an
// earlier process on the VM must not match a round.
func NewHolder(previousRound int64) Holder { return Holder{round: previousRound} }

// WithRound begins a round and gives up what is left of the last one, unless that is younger than RoundInterval.
func (h Holder) WithRound(now time.Duration) Holder {
	if h.begunAt != 0 && now-h.begunAt < RoundInterval {
		return h
	}
	return Holder{round: h.round + 1, begunAt: now, taken: h.taken}
}

// WithGrants records how many grants the sidecar has given in all in a round.
func (h Holder) WithGrants(round int64, count int) Holder {
	if round == h.round {
		h.granted = max(h.granted, count)
	}
	return h
}

// Available returns the number of requests that may be sent now.
func (h Holder) Available(now time.Duration) int {
	if now-h.begunAt >= Validity {
		return 0
	}
	return h.granted - h.used
}

// WithTaken uses a grant. Available must be positive.
func (h Holder) WithTaken() Holder {
	h.used++
	h.taken++
	return h
}

// Round returns the number of the current round.
func (h Holder) Round() int64 { return h.round }

// Taken returns the number of grants used since the process started.
func (h Holder) Taken() int { return h.taken }
