package orderer

import (
	"encoding/json"
	"time"
)

// loadTimes is the row with the latest loads of models from the weight store, in milliseconds of the store's clock.
type loadTimes struct {
	Times []int64
}

// TakeLoad adds a load to the row if fewer than most have begun in the window before now. A row that can't be decoded
// counts as empty.
func TakeLoad(row []byte, now, window time.Duration, most int) ([]byte, bool) {
	var old loadTimes
	if json.Unmarshal(row, &old) != nil {
		old = loadTimes{}
	}
	next := loadTimes{Times: []int64{}}
	for _, at := range old.Times {
		if now-time.Duration(at)*time.Millisecond < window {
			next.Times = append(next.Times, at)
		}
	}
	if len(next.Times) >= most {
		return nil, false
	}
	next.Times = append(next.Times, now.Milliseconds())
	content, err := json.Marshal(next)
	return content, err == nil
}
