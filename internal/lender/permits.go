package lender

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
)

// Permit is a slot of the fleet-wide load budget.
type Permit struct {
	// ID names the permit in the message to the sidecar.
	ID     string
	lender *Lender
	id     string
}

// Permit waits for a slot and a token of the load budget until ctx ends.
func (l *Lender) Permit(ctx context.Context) (*Permit, error) {
	id, refusal := l.admit(ctx, loads, 1)
	if refusal != nil {
		return nil, errors.Wrap(ctx.Err(), "no adapter load is permitted in time; "+
			"raise LoadRate or LoadsInFlight if the weight store can bear it")
	}
	return &Permit{ID: l.self + "/" + id, lender: l, id: id}, nil
}

// Release frees the slot. The token of the rate stays spent.
func (p *Permit) Release() {
	l := p.lender
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.inUse, p.id)
	a := l.accounts[loads]
	now := l.now()
	a.Account, _ = a.Settle(p.id, 1, 1, now)
	l.settleEpoch(now)
	l.serve(a, loads, now)
}

// slotFree says whether this entry's share of the slots has room. The mutex is held.
func (l *Lender) slotFree(now time.Duration) bool {
	maps.DeleteFunc(l.inUse, func(_ string, end time.Duration) bool { return end <= now })
	return len(l.inUse) < l.slots()
}

// slots is this entry's share of the loads in flight, rounded down so that the shares never sum to more.
func (l *Lender) slots() int {
	num, den := l.share()
	return l.config.LoadsInFlight * num / den
}
