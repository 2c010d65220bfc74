// Package relayer decides which members of a group read a shared source. One member reads and passes on what it has
// read; the others rely on that as long as it keeps coming, and read by themselves when it stays away. There is no
// election and no lease: as in the suppression of RFC 6206 (Trickle), a member holds back because it has heard of a
// recent read, so that any loss costs calls and never more than a bounded staleness.
//
// The load that it answers: hundreds of processes that follow the same table, each with its own calls to a store that
// bills and limits them.
//
// The package owns the time of the last relayed read. It has no clock and uses no store.
package relayer

import (
	"hash/fnv"
	"time"
)

// Config configures a Relayer.
type Config struct {
	// Name identifies the member in its group. Of two members that read, the one with the smaller name goes on.
	Name string
	// Interval is the time between two reads of a reader; 0 makes the member read by itself at all times.
	Interval time.Duration
}

// The patience of a member that doesn't read is between minPatience and maxPatience intervals, differently for each
// member, so that not all of them start to read at once. maxPatience times the interval bounds the staleness that the
// loss of a reader causes.
const (
	minPatience = 1.5
	maxPatience = 2
)

// Relayer is the state of one member. It is an immutable value. Times are on the owner's monotonic clock.
type Relayer struct {
	config Config
	// isReader is set while this member reads by itself.
	isReader bool
	// relayedAt is the time of the last relayed read if isReader is false.
	relayedAt time.Duration
}

// New returns the Relayer of a member that reads by itself until it hears of another member's reads.
func New(c Config) Relayer { return Relayer{config: c, isReader: true} }

// WithInterval changes the interval. An interval of 0 makes the member read by itself.
func (r Relayer) WithInterval(interval time.Duration) Relayer {
	r.config.Interval = interval
	r.isReader = r.isReader || interval == 0
	return r
}

// WithRelayed records a read that the peer has relayed.
func (r Relayer) WithRelayed(peer string, now time.Duration) Relayer {
	if r.config.Interval == 0 || r.isReader && peer > r.config.Name {
		return r
	}
	r.isReader, r.relayedAt = false, now
	return r
}

// WithOwnRead records that this member has begun to read.
func (r Relayer) WithOwnRead() Relayer {
	r.isReader = true
	return r
}

// Interval returns the interval between two reads of a reader; 0 if members don't rely on one another.
func (r Relayer) Interval() time.Duration { return r.config.Interval }

// ReadIn returns the time until this member has to read by itself; 0 if it is due.
func (r Relayer) ReadIn(now time.Duration) time.Duration {
	if r.isReader {
		return 0
	}
	return max(0, r.relayedAt+r.patience()-now)
}

func (r Relayer) patience() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.config.Name))
	fraction := float64(h.Sum32()) / (1 << 32)
	return time.Duration((minPatience + (maxPatience-minPatience)*fraction) * float64(r.config.Interval))
}

// SharedInterval returns the interval for a group of the given size in which each member reads at the interval own by
// itself and a reader for all would have to read at the interval shared: that one if it makes fewer calls, and otherwise
// 0.
func SharedInterval(members int, own, shared time.Duration) time.Duration {
	if shared <= 0 || time.Duration(members)*shared <= own {
		return 0
	}
	return shared
}
