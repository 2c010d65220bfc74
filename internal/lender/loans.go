package lender

import (
	"context"
	"time"

	"github.com/google/uuid"

	"geraniumladder/internal/wire"
	"geraniumladder/pkg/limiter"
)

// borrow starts the goroutine that borrows for the organisation, if it is needed and does not run yet.
// The mutex is held.
func (l *Lender) borrow(a *account, organisation string, now time.Duration) {
	if a.running {
		wake(a)
		return
	}
	if len(a.waiters) == 0 && len(a.Plan(nil, now)) == 0 {
		return
	}
	a.running = l.spawn(func(ctx context.Context) { l.borrowing(ctx, a, organisation) })
}

// borrowing serves the waiting requests of one organisation, and asks for loans, until none is needed.
func (l *Lender) borrowing(ctx context.Context, a *account, organisation string) {
	pause := time.NewTimer(roundPause)
	defer pause.Stop()
	for {
		l.mutex.Lock()
		now := l.now()
		l.serve(a, organisation, now)
		needs := make([]float64, len(a.waiters))
		for i, w := range a.waiters {
			needs[i] = w.tokens
		}
		asks := a.Plan(needs, now)
		if l.leaving || organisation == loads && !l.slotFree(now) {
			asks = nil
		}
		if ctx.Err() != nil || len(needs) == 0 && len(asks) == 0 {
			a.running = false
			l.mutex.Unlock()
			return
		}
		for _, ask := range asks {
			l.ask(a, organisation, ask, now)
		}
		l.mutex.Unlock()
		pause.Reset(roundPause)
		select {
		case <-a.changed:
		case <-pause.C:
		case <-ctx.Done():
		}
	}
}

// ask sends one request for a loan. The mutex is held.
func (l *Lender) ask(a *account, organisation string, ask limiter.Ask, now time.Duration) {
	id := uuid.NewString()
	a.Account = a.WithAsked(id, ask.Lender, now)
	select {
	case l.borrowed <- struct{}{}:
	default:
	}
	life := l.config.Policy.GrantLife
	request := wire.LendRequest{
		GrantID: id, Borrower: l.self, Organisation: organisation, Tokens: ask.Tokens,
		LifeMs: life.Milliseconds(), Epoch: l.epoch.Number(),
	}
	l.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, life)
		defer cancel()
		var reply wire.LendReply
		err := l.config.Messenger.Call(ctx, ask.Lender, lendPath, request, &reply)
		l.mutex.Lock()
		defer l.mutex.Unlock()
		now := l.now()
		if err != nil {
			var reports []limiter.Report
			a.Account, reports = a.WithFailed(id, now)
			l.send(organisation, reports)
			l.config.Log.Debug().Err(err).Str("Peer", ask.Lender).Msg("entry: peer did not answer a request for a loan")
			return
		}
		var reports []limiter.Report
		a.Account, reports = a.WithAnswer(id, reply.Tokens, reply.Level, now)
		l.send(organisation, reports)
		l.serve(a, organisation, l.now())
		wake(a)
		if reply.Epoch > l.epoch.Number() {
			l.wantRow()
		}
	})
}

// send delivers reports to lenders. The mutex is held.
func (l *Lender) send(organisation string, reports []limiter.Report) {
	for _, r := range reports {
		request := wire.RepayRequest{GrantID: r.Grant, Organisation: organisation, Spent: r.Spent, Borrower: l.self}
		l.spawn(func(ctx context.Context) { l.repay(ctx, r.Lender, request) })
	}
}

func (l *Lender) repay(ctx context.Context, lender string, request wire.RepayRequest) {
	for range repayAttempts {
		attempt, cancel := context.WithTimeout(ctx, l.config.Policy.GrantLife/repayAttempts)
		err := l.config.Messenger.Call(attempt, lender, repayPath, request, nil)
		cancel()
		if err == nil {
			return
		}
		if !pause(ctx, roundPause) {
			return
		}
	}
}

// report closes the grants of an account that are not needed, all of them on request. The mutex is held.
func (l *Lender) report(a *account, organisation string, all bool) {
	var reports []limiter.Report
	if all {
		a.Account, reports = a.CloseAll()
	} else {
		a.Account, reports = a.Tidy(len(a.waiters) > 0, l.now())
	}
	l.send(organisation, reports)
}
