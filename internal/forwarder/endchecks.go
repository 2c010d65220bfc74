package forwarder

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// endCheckInterval is the time between two checks of an endpoint, and endCheckPeriod the time after the last lost attempt
	// in which it is checked. A process that ends closes its connections some time before its port.
	endCheckInterval = 250 * time.Millisecond
	endCheckPeriod   = time.Second
	endCheckTimeout  = 500 * time.Millisecond
	// maxEndChecks limits the checks in progress.
	maxEndChecks = 64
)

// endChecks is the state of the checks whether a plain service's endpoint has ended, which no sidecar tells. They are made
// after it has closed a connection without an answer.
type endChecks struct {
	isChecking bool
	checkedAt  time.Time
}

// endCheckResult is the end of a check.
type endCheckResult struct {
	endpoint *endpoint
	// isRefused means that nothing listens at the address.
	isRefused bool
}

// dueEndChecks returns the endpoints to be checked.
func (f *fleet) dueEndChecks(now time.Time) []*endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var due []*endpoint
	for _, e := range f.byIncarnation {
		switch {
		case len(e.lost) == 0, e.engine != nil, e.hasEnded, e.isChecking, f.endChecking >= maxEndChecks:
		case now.Sub(e.lost[len(e.lost)-1].at) > endCheckPeriod, now.Sub(e.checkedAt) < endCheckInterval:
		default:
			e.isChecking, e.checkedAt = true, now
			f.endChecking++
			due = append(due, e)
		}
	}
	return due
}

// startEndChecks starts the checks. Their goroutines report to endChecks, which has room for all of them.
func (f *Forwarder) startEndChecks(due []*endpoint) {
	for _, e := range due {
		f.fleet.mu.Lock()
		address := e.Address
		f.fleet.mu.Unlock()
		go func() {
			ctx, cancel := context.WithTimeout(f.ended, endCheckTimeout)
			defer cancel()
			conn, err := f.config.Pool.Get(ctx, address, 0, "")
			if err == nil {
				conn.Close()
			}
			f.endChecks <- endCheckResult{endpoint: e, isRefused: errors.Is(err, syscall.ECONNREFUSED)}
		}()
	}
}

// collectEndChecks records the results of the checks that have ended.
func (f *Forwarder) collectEndChecks() {
	for {
		select {
		case r := <-f.endChecks:
			f.fleet.mu.Lock()
			f.fleet.endChecking--
			r.endpoint.isChecking = false
			if r.isRefused {
				f.fleet.markEnded(r.endpoint)
			}
			f.fleet.mu.Unlock()
		default:
			return
		}
	}
}
