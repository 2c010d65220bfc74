package dispatcher

import (
	"context"
	"net"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumladder/internal/wire"
)

const (
	// endChecks is the number of attempts to connect to an endpoint that has ended a connection without an answer, and
	// endCheckDelay the time between two. A process that ends closes its connections some time before its port.
	endChecks       = 2
	endCheckDelay   = 25 * time.Millisecond
	endCheckTimeout = 500 * time.Millisecond
)

// endObserver counts the runs of an engine or a plain service that have ended. It is safe for concurrent use.
type endObserver struct {
	address string

	mu    sync.Mutex
	count int
	// endedAt is when the last end was found.
	endedAt time.Time
}

func newEndObserver(endpoint string) *endObserver {
	u, err := url.Parse(endpoint)
	if err != nil {
		return &endObserver{}
	}
	port := u.Port()
	if port == "" {
		port = u.Scheme
	}
	return &endObserver{address: net.JoinHostPort(u.Hostname(), port)}
}

// observe returns the failure of a request that began at a time, and names the run in it if that has ended under the request.
func (o *endObserver) observe(ctx context.Context, began time.Time, failure *wire.RunError) *wire.RunError {
	if failure != nil && failure.Outcome != wire.RunErrorOutcomeNotRun && ctx.Err() == nil {
		failure.EndedRun = o.endedRun(ctx, began)
	}
	return failure
}

// endedRun names the run that has ended, or is empty if the endpoint's port takes connections: then it has only broken one off.
func (o *endObserver) endedRun(ctx context.Context, began time.Time) string {
	for check := range endChecks {
		if check > 0 {
			select {
			case <-time.After(endCheckDelay):
			case <-ctx.Done():
				return ""
			}
		}
		dialer := net.Dialer{Timeout: endCheckTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", o.address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return o.recordEnd(began)
		}
		if err != nil {
			return ""
		}
		_ = conn.Close()
	}
	return ""
}

// recordEnd counts an end, once for all requests that it has cut off: a request that began later reached another run.
func (o *endObserver) recordEnd(began time.Time) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if began.After(o.endedAt) {
		o.count++
		o.endedAt = time.Now()
	}
	return strconv.Itoa(o.count)
}
