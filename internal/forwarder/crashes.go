package forwarder

import (
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumladder/pkg/quarantiner"
)

const (
	// lostRetention is how long a lost attempt is kept until the end of its endpoint is known.
	lostRetention = 10 * time.Second
	// maxLostAttempts limits the lost attempts that are kept for one endpoint.
	maxLostAttempts = 64
)

// endpointCrash is the end of an endpoint that had requests which it had not answered.
type endpointCrash struct {
	incarnation incarnation
	at          time.Time
	suspects    []quarantiner.Suspect[string]
	// requests are the digests of the requests.
	requests []string
}

// lostAttempt is a request that an endpoint had not answered when the connection ended.
type lostAttempt struct {
	at time.Time
	// suspect has no parts if the request has no prompt.
	suspect quarantiner.Suspect[string]
	// digest is empty if the request merely waited in an engine's queue, as far as is known.
	digest string
}

// recordLost keeps a lost attempt until it is known whether its endpoint has ended.
func (f *fleet) recordLost(e *endpoint, l lostAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.lost = slices.DeleteFunc(e.lost, func(old lostAttempt) bool { return l.at.Sub(old.at) > lostRetention })
	if len(e.lost) < maxLostAttempts {
		e.lost = append(e.lost, l)
	}
	if e.hasEnded {
		f.reportEnd(e)
	}
}

// recordRefused records that nothing listens at the address of the endpoint.
func (f *fleet) recordRefused(e *endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markEnded(e)
}

// markEnded records that the incarnation has ended.
func (f *fleet) markEnded(e *endpoint) {
	e.hasEnded = true
	f.reportEnd(e)
}

// reportEnd adds the lost attempts of an endpoint that has ended to the crashes, to the same one until takeCrashes returns
// it.
func (f *fleet) reportEnd(e *endpoint) {
	if len(e.lost) == 0 {
		return
	}
	c := endpointCrash{incarnation: incarnation{id: e.ID, born: e.Born}}
	if i := slices.IndexFunc(f.crashes, func(other endpointCrash) bool { return other.incarnation == c.incarnation }); i >= 0 {
		c = f.crashes[i]
		f.crashes = slices.Delete(f.crashes, i, i+1)
	}
	for _, l := range e.lost {
		if f.now().Sub(l.at) > lostRetention {
			continue
		}
		if c.at.IsZero() || l.at.Before(c.at) {
			c.at = l.at
		}
		if len(l.suspect.Parts) > 0 {
			c.suspects = append(c.suspects, l.suspect)
		}
		if l.digest != "" {
			c.requests = append(c.requests, l.digest)
		}
	}
	e.lost = nil
	if len(c.suspects) > 0 || len(c.requests) > 0 {
		f.crashes = append(f.crashes, c)
	}
}

// takeCrashes returns the crashes since the last call.
func (f *fleet) takeCrashes() []endpointCrash {
	f.mu.Lock()
	defer f.mu.Unlock()
	crashes := f.crashes
	f.crashes = nil
	return crashes
}

// isConnectionEnd reports whether the error is that of a connection which the other side has closed or reset. A
// connection that times out says nothing about the endpoint's process.
func isConnectionEnd(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}
