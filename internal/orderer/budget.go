package orderer

import (
	"encoding/json"
	"time"
)

// loadTimes is the stored row with the start times of recent model loads from the weight store, in milliseconds on the
// store's clock.
type loadTimes struct {
	Times []int64
}

// ReserveLoad is a sliding-window rate limiter: it records a load in the row if fewer than limit loads have started
// within the window before now. It returns the new row and whether the load is allowed. A row that cannot be decoded
// counts as empty.
func ReserveLoad(row []byte, now, window time.Duration, limit int) ([]byte, bool) {
	var current loadTimes
	if json.Unmarshal(row, &current) != nil {
		current = loadTimes{}
	}
	next := loadTimes{Times: []int64{}}
	for _, at := range current.Times {
		if now-time.Duration(at)*time.Millisecond < window {
			next.Times = append(next.Times, at)
		}
	}
	if len(next.Times) >= limit {
		return nil, false
	}
	next.Times = append(next.Times, now.Milliseconds())
	content, err := json.Marshal(next)
	return content, err == nil
}
