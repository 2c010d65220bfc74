package lender

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"geraniumladder/internal/messenger"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/limiter"
)

const (
	exchangePath = messenger.PathPrefix + "exchange"
	lendPath     = messenger.PathPrefix + "lend"
	repayPath    = messenger.PathPrefix + "repay"
	// roleEntry is the role of entries on the platform's list.
	roleEntry = "entry"
	// levelStep is the change of a level, as a part of the share, that peers are told of.
	levelStep = 0.01
)

// Register adds the pages for other entries to the group at /peer.
func (l *Lender) Register(g *echo.Group) {
	g.POST("/exchange", func(c echo.Context) error {
		var in wire.EntryExchange
		if err := c.Bind(&in); err != nil {
			return err
		}
		return c.JSON(http.StatusOK, l.exchanged(in))
	})
	g.POST("/lend", func(c echo.Context) error {
		var in wire.LendRequest
		if err := c.Bind(&in); err != nil {
			return err
		}
		return c.JSON(http.StatusOK, l.lend(in))
	})
	g.POST("/repay", func(c echo.Context) error {
		var in wire.RepayRequest
		if err := c.Bind(&in); err != nil {
			return err
		}
		l.repaid(in)
		return c.NoContent(http.StatusNoContent)
	})
}

// exchanged answers a peer's exchange with this entry's.
func (l *Lender) exchanged(in wire.EntryExchange) wire.EntryExchange {
	// The time that a request spends on its way is unknown, so what it carries proves no age. Proofs travel in
	// answers, whose age is bounded by the round trip.
	in.Freshness.AgeMs = -1
	l.config.Observe(in.Freshness)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	l.hear(in, now)
	return l.exchange(l.meet(in.From.Address, now))
}

// lend answers a peer's request for a loan. The clock is read after the receipt.
func (l *Lender) lend(in wire.LendRequest) wire.LendReply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	reply := wire.LendReply{GrantID: in.GrantID, Epoch: l.epoch.Number()}
	if in.Epoch > reply.Epoch {
		l.wantRow()
	}
	a := l.accounts[in.Organisation]
	if a == nil || l.leaving || !limiter.Yields(len(a.waiters) > 0, in.Borrower, l.self) {
		return reply
	}
	a.Account, reply.Tokens, reply.Level = a.Lend(in.GrantID, in.Tokens, l.now(), time.Duration(in.LifeMs)*time.Millisecond)
	return reply
}

// repaid records a peer's report.
func (l *Lender) repaid(in wire.RepayRequest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a := l.accounts[in.Organisation]
	if a == nil {
		return
	}
	now := l.now()
	a.Account = a.Repaid(in.GrantID, in.Spent, now)
	l.serve(a, in.Organisation, now)
}

// meet returns the peer at address, a new one if need be; nil for this entry itself. The mutex is held.
func (l *Lender) meet(address string, now time.Duration) *peer {
	if address == l.config.Self.Address || address == "" {
		return nil
	}
	p := l.peers[address]
	if p == nil {
		p = &peer{address: address, since: now, asked: math.MinInt64, answered: math.MinInt64 / 2, told: map[string]float64{}}
		l.peers[address] = p
	}
	return p
}

// hear takes over what a peer says of itself. The mutex is held.
func (l *Lender) hear(in wire.EntryExchange, now time.Duration) {
	p := l.meet(in.From.Address, now)
	if p == nil {
		return
	}
	if p.member != in.From {
		// Another incarnation has other levels and was told none.
		p.member, p.told = in.From, map[string]float64{}
	}
	p.storeAway = in.Freshness.StoreAway
	if in.EpochRow != nil {
		l.learn(*in.EpochRow, now)
	}
	l.epoch = l.epoch.WithAck(name(in.From), in.Epoch)
	l.settleEpoch(now)
	for organisation, level := range in.Levels {
		if a := l.accounts[organisation]; a != nil && in.State != wire.EntryExchangeStateLeaving {
			a.Account = a.WithPeer(p.address, level, now)
		}
	}
}

// exchange returns what this entry tells p. The mutex is held.
func (l *Lender) exchange(p *peer) wire.EntryExchange {
	now := l.now()
	l.settleEpoch(now)
	out := wire.EntryExchange{
		From: l.config.Self, Epoch: l.epoch.Ack(), Freshness: l.config.Freshness(),
		State: wire.EntryExchangeState(l.config.State()), Levels: map[string]float64{},
	}
	if l.row.Epoch > 0 {
		row := l.row
		out.EpochRow = &row
	}
	if p == nil {
		return out
	}
	for organisation, a := range l.accounts {
		b := a.Bucket().Advance(now)
		told, ok := p.told[organisation]
		if !ok || math.Abs(b.Level()-told) > levelStep*b.Cap() {
			out.Levels[organisation], p.told[organisation] = b.Level(), b.Level()
		}
	}
	return out
}

// exchangeAll starts an exchange with the peers that have waited longest for one.
func (l *Lender) exchangeAll() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	l.settleEpoch(now)
	var idle []*peer
	for address, p := range l.peers {
		if !l.reachable(p, now) {
			for _, a := range l.accounts {
				a.Account = a.WithoutPeer(address)
			}
			if !l.known(p) && now-max(p.since, p.answered) > forgetAfter {
				delete(l.peers, address)
				continue
			}
		}
		if !p.busy {
			idle = append(idle, p)
		}
	}
	slices.SortFunc(idle, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(a.asked, b.asked), cmp.Compare(a.address, b.address))
	})
	for _, p := range idle[:min(len(idle), exchangeFanout)] {
		p.busy, p.asked = l.spawn(func(ctx context.Context) { l.exchangeWith(ctx, p) }), now
	}
}

func (l *Lender) exchangeWith(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	l.mutex.Lock()
	out := l.exchange(p)
	began := l.now()
	l.mutex.Unlock()
	var in wire.EntryExchange
	err := l.config.Messenger.Call(ctx, p.address, exchangePath, out, &in)
	l.mutex.Lock()
	now := l.now()
	p.busy = false
	if err != nil {
		// The levels may not have arrived.
		p.told = map[string]float64{}
		l.mutex.Unlock()
		l.config.Log.Debug().Err(err).Str("Peer", p.address).Msg("entry: peer did not answer an exchange")
		return
	}
	p.answered = now
	l.hear(in, now)
	l.mutex.Unlock()
	if in.Freshness.AgeMs >= 0 {
		in.Freshness.AgeMs += (now - began).Milliseconds() + 1
	}
	l.config.Observe(in.Freshness)
}

// reachable says whether p has answered lately. The mutex is held.
func (l *Lender) reachable(p *peer, now time.Duration) bool {
	rounds := (len(l.peers) + exchangeFanout - 1) / exchangeFanout
	return now-p.answered <= time.Duration(reachableRounds*max(1, rounds))*l.config.ExchangeEvery
}

// known says whether p is on the platform's list or a member of the epoch. The mutex is held.
func (l *Lender) known(p *peer) bool {
	for _, address := range l.listed {
		if address == p.address {
			return true
		}
	}
	return slices.ContainsFunc(l.row.Members, func(m wire.EntryMember) bool { return m.Address == p.address })
}

// followList reads the platform's list of VMs every few seconds.
func (l *Lender) followList(ctx context.Context) {
	for {
		if err := l.updateList(ctx); err != nil && ctx.Err() == nil {
			l.config.Log.Warn().Err(err).Msg("entry: list of VMs not read")
		}
		if !pause(ctx, epochEvery) {
			return
		}
	}
}

func (l *Lender) updateList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	vms, err := l.config.VMs.List(ctx)
	if err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	listed, self := map[string]string{}, false
	for _, vm := range vms {
		if vm.Role != roleEntry {
			continue
		}
		self = self || vm.Name == l.config.Self.VM
		if vm.Name != l.config.Self.VM {
			listed[vm.Name] = vm.Address
			l.meet(vm.Address, now)
		}
	}
	if self && !l.selfListed {
		l.selfListed = true
		l.wantRow()
	}
	// A list without this VM, which runs, is no proof that others have ended.
	if !self && len(l.row.Members) > 0 {
		return errors.New("the list of VMs does not have this VM; its absences are not counted")
	}
	l.listed = listed
	for vm := range listed {
		l.missing[vm] = 0
	}
	for _, m := range l.row.Members {
		if _, seen := l.missing[m.VM]; !seen && m.VM != l.config.Self.VM {
			l.missing[m.VM] = goneLists - neverLists
		}
	}
	for vm := range l.missing {
		if _, ok := listed[vm]; ok {
			continue
		}
		if l.missing[vm]++; l.missing[vm] >= goneLists {
			l.wantRow()
			if !slices.ContainsFunc(l.row.Members, func(m wire.EntryMember) bool { return m.VM == vm }) {
				delete(l.missing, vm)
			}
		}
	}
	return nil
}

// Peers returns the number of other entries that are listed by the platform or members of the epoch, how many of
// them answer, and whether one of these says that the store is unavailable to it.
func (l *Lender) Peers() (listed, reachable int, peerStoreAway bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	vms := map[string]bool{}
	for vm := range l.listed {
		vms[vm] = true
	}
	for _, m := range l.row.Members {
		if m.VM != l.config.Self.VM {
			vms[m.VM] = true
		}
	}
	for _, p := range l.peers {
		if l.reachable(p, now) {
			reachable++
			peerStoreAway = peerStoreAway || p.storeAway
		}
	}
	return len(vms), reachable, peerStoreAway
}

// Entries returns the addresses of the entries known, this one included, in order.
func (l *Lender) Entries() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	entries := []string{l.config.Self.Address}
	for address, p := range l.peers {
		if l.reachable(p, now) || l.known(p) {
			entries = append(entries, address)
		}
	}
	slices.Sort(entries)
	return entries
}

// Status returns the epoch and this entry's share of each limit, by organisation; the load budget is one of them.
func (l *Lender) Status() (epoch int64, limits []wire.LimitStatus) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	for organisation, a := range l.accounts {
		b := a.Bucket().Advance(now)
		limits = append(limits, wire.LimitStatus{Organisation: organisation, Rate: b.Rate(), Burst: b.Cap(), Level: b.Level()})
	}
	slices.SortFunc(limits, func(a, b wire.LimitStatus) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return l.epoch.Number(), limits
}

// Leave ends this entry's part in the limits, for a planned stop after the last request has been settled: it
// reports what it has borrowed, waits until what it has lent is reported or has expired, gives up its share and
// writes itself out of the epoch row. Run must still run. If the store stays unavailable until ctx ends, the share
// is unused until the platform's list shows that this VM has gone.
func (l *Lender) Leave(ctx context.Context) error {
	l.mutex.Lock()
	l.leaving = true
	for organisation, a := range l.accounts {
		l.report(a, organisation, true)
	}
	l.mutex.Unlock()
	for !l.settled() {
		if !pause(ctx, tidyEvery) {
			return errors.Wrap(ctx.Err(), "the grants are not settled; allow the stop more time")
		}
	}
	for {
		err := l.updateEpoch(ctx)
		if err == nil {
			return nil
		}
		if !pause(ctx, conflictPause) {
			return errors.Wrap(err, "the entry is still a member of the epoch; its share returns when its VM has gone")
		}
	}
}

// settled gives up the share once nothing is lent and no load permit is in use.
func (l *Lender) settled() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	l.slotFree(now)
	for organisation, a := range l.accounts {
		l.report(a, organisation, true)
		if a.Bucket().Advance(now).Lent() > 0 {
			return false
		}
	}
	if len(l.inUse) > 0 {
		return false
	}
	l.left = true
	l.settleEpoch(now)
	return true
}
