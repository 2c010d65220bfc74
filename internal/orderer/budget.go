package orderer

import (
	"encoding/json"
	"slices"
	"time"
)

// loadTimes is the stored row with the start times of recent model loads from the weight store, in milliseconds on the
// store's clock.
type loadTimes struct {
	// Era is the era of the store in which the row was written.
	Era   int64 `json:",omitempty"`
	Times []int64
}

// ReserveLoad is a sliding-window rate limiter: it records a load in the row if fewer than limit loads have started
// within the window before now. It returns the new row, or nil if it stays as it is, and whether the load is allowed. A row
// that cannot be decoded counts as empty. A row of an earlier era may lack loads that have started since, which a restore of
// the store has taken back, so that the window counts as full.
func ReserveLoad(row []byte, era int64, now, window time.Duration, limit int) (next []byte, isAllowed bool) {
	var current loadTimes
	isKnown := json.Unmarshal(row, &current) == nil
	if !isKnown {
		current = loadTimes{}
	}
	updated := loadTimes{Era: era, Times: []int64{}}
	for _, at := range current.Times {
		if now-time.Duration(at)*time.Millisecond < window {
			updated.Times = append(updated.Times, at)
		}
	}
	switch {
	case isKnown && current.Era != era:
		updated.Times = slices.Repeat([]int64{now.Milliseconds()}, limit)
	case len(updated.Times) >= limit:
		return nil, false
	default:
		updated.Times = append(updated.Times, now.Milliseconds())
		isAllowed = true
	}
	next, err := json.Marshal(updated)
	if err != nil {
		return nil, false
	}
	return next, isAllowed
}
