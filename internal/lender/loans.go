package lender

import (
	"context"
	"time"

	"github.com/google/uuid"

	"geraniumladder/internal/wire"
	"geraniumladder/pkg/limiter"
)

// startBorrowing starts the goroutine that borrows for the organisation, if it is needed, or wakes it if it is already
// running. The caller holds the mutex.
func (l *Lender) startBorrowing(a *account, organisation string, now time.Duration) {
	if a.workerRunning {
		wake(a)
		return
	}
	if len(a.waiters) == 0 && len(a.PlanLoans(nil, now)) == 0 {
		return
	}
	a.workerRunning = l.spawn(func(ctx context.Context) { l.borrowLoop(ctx, a, organisation) })
}

// borrowLoop admits the waiting requests of an organisation and requests loans until no request waits and no loan is
// needed.
func (l *Lender) borrowLoop(ctx context.Context, a *account, organisation string) {
	timer := time.NewTimer(borrowInterval)
	defer timer.Stop()
	for {
		l.mutex.Lock()
		now := l.now()
		l.admitWaiters(a, organisation, now)
		needs := make([]float64, len(a.waiters))
		for i, w := range a.waiters {
			needs[i] = w.tokens
		}
		asks := a.PlanLoans(needs, now)
		if l.leaving || organisation == loadAccount && !l.hasFreePermit(now) {
			asks = nil
		}
		if ctx.Err() != nil || len(needs) == 0 && len(asks) == 0 {
			a.workerRunning = false
			l.mutex.Unlock()
			return
		}
		for _, ask := range asks {
			l.ask(a, organisation, ask, now)
		}
		l.mutex.Unlock()
		timer.Reset(borrowInterval)
		select {
		case <-a.changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// ask sends a loan request to a peer. The caller holds the mutex.
func (l *Lender) ask(a *account, organisation string, ask limiter.LoanRequest, now time.Duration) {
	id := uuid.NewString()
	a.Account = a.WithLoanRequested(id, ask.Lender, now)
	select {
	case l.grantOpened <- struct{}{}:
	default:
	}
	ttl := l.config.Policy.GrantTTL
	request := wire.LendRequest{
		GrantID: id, Borrower: l.self, Organisation: organisation, Tokens: ask.Tokens,
		LifeMs: ttl.Milliseconds(), Epoch: l.epoch.Number(),
	}
	l.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, ttl)
		defer cancel()
		var reply wire.LendReply
		err := l.config.Messenger.Call(ctx, ask.Lender, lendPath, request, &reply)
		l.mutex.Lock()
		defer l.mutex.Unlock()
		now := l.now()
		if err != nil {
			var reports []limiter.GrantReport
			a.Account, reports = a.WithLoanFailed(id, now)
			l.sendReports(organisation, reports)
			l.config.Log.Debug().Err(err).Str("Peer", ask.Lender).Msg("entry: loan request to peer failed")
			return
		}
		var reports []limiter.GrantReport
		a.Account, reports = a.WithLoanReply(id, reply.Tokens, reply.Level, now)
		l.sendReports(organisation, reports)
		l.admitWaiters(a, organisation, l.now())
		wake(a)
		if reply.Epoch > l.epoch.Number() {
			l.requestEpochRead()
		}
	})
}

// sendReports sends reports to their lenders in the background. The caller holds the mutex.
func (l *Lender) sendReports(organisation string, reports []limiter.GrantReport) {
	for _, r := range reports {
		request := wire.RepayRequest{GrantID: r.Grant, Organisation: organisation, Spent: r.Spent, Borrower: l.self}
		l.spawn(func(ctx context.Context) { l.repay(ctx, r.Lender, request) })
	}
}

func (l *Lender) repay(ctx context.Context, lender string, request wire.RepayRequest) {
	for range repayAttempts {
		attempt, cancel := context.WithTimeout(ctx, l.config.Policy.GrantTTL/repayAttempts)
		err := l.config.Messenger.Call(attempt, lender, repayPath, request, nil)
		cancel()
		if err == nil {
			return
		}
		if !sleep(ctx, borrowInterval) {
			return
		}
	}
}

// closeGrants closes the borrowed grants of an account that are not needed, or all of them, and reports them to their
// lenders. The caller holds the mutex.
func (l *Lender) closeGrants(a *account, organisation string, all bool) {
	var reports []limiter.GrantReport
	if all {
		a.Account, reports = a.CloseAllGrants()
	} else {
		a.Account, reports = a.CloseUnusedGrants(len(a.waiters) > 0, l.now())
	}
	l.sendReports(organisation, reports)
}
