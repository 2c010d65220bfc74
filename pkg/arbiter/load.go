package arbiter

import (
	"math"
	"time"
)

const (
	// loadHalfLife is the time after which a request has half of its weight. An entry with 6 requests/s then decides on about
	// 17 of them.
	loadHalfLife = 2 * time.Second
	// minLoadWeight is the number of recent requests below which capacity isn't taken for short.
	minLoadWeight = 5
	// shortAbove and shortBelow are the late parts of the requests at which capacity becomes short and no longer is.
	shortAbove = 0.3
	shortBelow = 0.1
)

// decayed is a sum whose terms lose half of their weight in each half-life.
type decayed struct {
	at    time.Duration
	total float64
}

func (d decayed) value(now, halfLife time.Duration) float64 {
	if now <= d.at {
		return d.total
	}
	return d.total * math.Exp2(-float64(now-d.at)/float64(halfLife))
}

func (d decayed) with(now, halfLife time.Duration, n float64) decayed {
	return decayed{at: max(now, d.at), total: d.value(now, halfLife) + n}
}

// Load is the part of a service's recent requests that are expected to be late because of others. It is an immutable
// value.
type Load struct {
	all, late decayed
	isShort   bool
}

// WithRequest returns the Load after a new request, admitted or not.
func (l Load) WithRequest(now time.Duration, isLate bool) Load {
	n := 0.0
	if isLate {
		n = 1
	}
	l.all, l.late = l.all.with(now, loadHalfLife, 1), l.late.with(now, loadHalfLife, n)
	switch part := l.LatePart(); {
	case l.all.total >= minLoadWeight && part >= shortAbove:
		l.isShort = true
	case part < shortBelow:
		l.isShort = false
	}
	return l
}

// LatePart returns the late part of the recent requests.
func (l *Load) LatePart() float64 {
	if l.all.total == 0 {
		return 0
	}
	return l.late.total / l.all.total
}

// IsShort reports whether capacity is short: requests that are expected to be late displace timely ones.
func (l *Load) IsShort() bool { return l.isShort }
