package lender

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
)

// Permit is a permission for one adapter load; it counts as one of the fleet's loads in flight until released.
type Permit struct {
	// ID identifies the permit in the message to the sidecar.
	ID     string
	lender *Lender
	id     string
}

// Permit waits until this entry's share of LoadsInFlight and of LoadRate permits a load, or until ctx is done.
func (l *Lender) Permit(ctx context.Context) (*Permit, error) {
	id, refusal := l.admit(ctx, loadAccount, 1)
	if refusal != nil {
		return nil, errors.Wrap(ctx.Err(), "no adapter load permit was available in time; "+
			"raise LoadRate or LoadsInFlight if the weight store can handle more loads")
	}
	return &Permit{ID: l.self + "/" + id, lender: l, id: id}, nil
}

// Release ends the load in flight. The token remains spent.
func (p *Permit) Release() {
	l := p.lender
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.permits, p.id)
	a := l.accounts[loadAccount]
	now := l.now()
	a.Account, _ = a.Settle(p.id, 1, 1, now)
	l.applyEpoch(now)
	l.admitWaiters(a, loadAccount, now)
}

// hasFreePermit drops expired permits and reports whether this entry's share of LoadsInFlight permits another load. The
// caller holds the mutex.
func (l *Lender) hasFreePermit(now time.Duration) bool {
	maps.DeleteFunc(l.permits, func(_ string, end time.Duration) bool { return end <= now })
	return len(l.permits) < l.slots()
}

// slots returns this entry's share of the loads in flight, rounded down so that the sum of all shares never exceeds
// LoadsInFlight.
func (l *Lender) slots() int {
	num, den := l.share()
	return l.config.LoadsInFlight * num / den
}
