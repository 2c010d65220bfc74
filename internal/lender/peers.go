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
	// roleEntry is the role of entries on the platform's list of VMs.
	roleEntry = "entry"
	// minLevelChange is the smallest change of a level that is sent to peers, as a fraction of the bucket's capacity.
	minLevelChange = 0.01
)

// Register adds the handlers for requests from other entries to the group at /peer.
func (l *Lender) Register(g *echo.Group) {
	g.POST("/exchange", func(c echo.Context) error {
		var in wire.EntryExchange
		if err := c.Bind(&in); err != nil {
			return err
		}
		return c.JSON(http.StatusOK, l.handleExchange(in))
	})
	g.POST("/lend", func(c echo.Context) error {
		var in wire.LendRequest
		if err := c.Bind(&in); err != nil {
			return err
		}
		return c.JSON(http.StatusOK, l.handleLend(in))
	})
	g.POST("/repay", func(c echo.Context) error {
		var in wire.RepayRequest
		if err := c.Bind(&in); err != nil {
			return err
		}
		l.handleRepay(in)
		return c.NoContent(http.StatusNoContent)
	})
}

// handleExchange records a peer's exchange message and returns this entry's.
func (l *Lender) handleExchange(in wire.EntryExchange) wire.EntryExchange {
	// The transit time of a request is unknown, so the age of the proof that it carries is unknown as well. Only proofs in
	// responses count, whose transit time is bounded by the round trip.
	in.Freshness.AgeMs = -1
	l.config.RecordFreshness(in.Freshness)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	l.recordExchange(in, now)
	return l.buildExchange(l.findOrAddPeer(in.From.Address, now))
}

// handleLend answers a peer's loan request. It reads the clock after receiving the request, so that this entry holds
// the grant until after it has expired at the borrower.
func (l *Lender) handleLend(in wire.LendRequest) wire.LendReply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	reply := wire.LendReply{GrantID: in.GrantID, Epoch: l.epoch.Number()}
	if in.Epoch > reply.Epoch {
		l.requestEpochRead()
	}
	a := l.accounts[in.Organisation]
	if a == nil || l.leaving || !limiter.MayLend(len(a.waiters) > 0, in.Borrower, l.self) {
		return reply
	}
	a.Account, reply.Tokens, reply.Level = a.Lend(in.GrantID, in.Tokens, l.now(), time.Duration(in.LifeMs)*time.Millisecond)
	return reply
}

// handleRepay records a peer's report of the tokens spent from a grant.
func (l *Lender) handleRepay(in wire.RepayRequest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a := l.accounts[in.Organisation]
	if a == nil {
		return
	}
	now := l.now()
	a.Account = a.WithRepayment(in.GrantID, in.Spent, now)
	l.admitWaiters(a, in.Organisation, now)
}

// findOrAddPeer returns the peer at address, adding it if it is unknown, or nil for this entry's own address. The caller
// holds the mutex.
func (l *Lender) findOrAddPeer(address string, now time.Duration) *peer {
	if address == l.config.Self.Address || address == "" {
		return nil
	}
	p := l.peers[address]
	if p == nil {
		p = &peer{address: address, discoveredAt: now, exchangedAt: math.MinInt64, respondedAt: math.MinInt64 / 2, lastSent: map[string]float64{}}
		l.peers[address] = p
	}
	return p
}

// recordExchange records the state that a peer sent in an exchange. The caller holds the mutex.
func (l *Lender) recordExchange(in wire.EntryExchange, now time.Duration) {
	p := l.findOrAddPeer(in.From.Address, now)
	if p == nil {
		return
	}
	if p.member != in.From {
		// A new incarnation has not received any levels from this entry.
		p.member, p.lastSent = in.From, map[string]float64{}
	}
	p.storeUnavailable = in.Freshness.StoreAway
	l.config.RecordEvidence(in.Crashes, in.Answers)
	if in.EpochRow != nil {
		l.adoptEpoch(*in.EpochRow, now)
	}
	l.epoch = l.epoch.WithAck(memberName(in.From), in.Epoch)
	l.applyEpoch(now)
	for organisation, level := range in.Levels {
		if a := l.accounts[organisation]; a != nil && in.State != wire.EntryExchangeStateLeaving {
			a.Account = a.WithPeer(p.address, level, now)
		}
	}
}

// buildExchange returns the exchange message for p, with the levels that have changed since the last one. The caller
// holds the mutex.
func (l *Lender) buildExchange(p *peer) wire.EntryExchange {
	now := l.now()
	l.applyEpoch(now)
	out := wire.EntryExchange{
		From: l.config.Self, Epoch: l.epoch.Ack(), Freshness: l.config.Freshness(),
		State: wire.EntryExchangeState(l.config.State()), Levels: map[string]float64{},
	}
	out.Crashes, out.Answers = l.config.Evidence()
	if l.epochRow.Epoch > 0 {
		epochRow := l.epochRow
		out.EpochRow = &epochRow
	}
	if p == nil {
		return out
	}
	for organisation, a := range l.accounts {
		b := a.Bucket().Advance(now)
		lastSent, ok := p.lastSent[organisation]
		if !ok || math.Abs(b.Level()-lastSent) > minLevelChange*b.Cap() {
			out.Levels[organisation], p.lastSent[organisation] = b.Level(), b.Level()
		}
	}
	return out
}

// startExchanges starts exchanges with the peers whose last exchange is the longest ago, and removes unreachable peers
// after peerRetention.
func (l *Lender) startExchanges() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	l.applyEpoch(now)
	var idle []*peer
	for address, p := range l.peers {
		if !l.reachable(p, now) {
			for _, a := range l.accounts {
				a.Account = a.WithoutPeer(address)
			}
			if !l.isListedOrMember(p) && now-max(p.discoveredAt, p.respondedAt) > peerRetention {
				delete(l.peers, address)
				continue
			}
		}
		if !p.exchanging {
			idle = append(idle, p)
		}
	}
	slices.SortFunc(idle, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(a.exchangedAt, b.exchangedAt), cmp.Compare(a.address, b.address))
	})
	for _, p := range idle[:min(len(idle), exchangeFanout)] {
		p.exchanging, p.exchangedAt = l.spawn(func(ctx context.Context) { l.exchangeWith(ctx, p) }), now
	}
}

func (l *Lender) exchangeWith(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	l.mutex.Lock()
	out := l.buildExchange(p)
	sentAt := l.now()
	l.mutex.Unlock()
	var in wire.EntryExchange
	err := l.config.Messenger.Call(ctx, p.address, exchangePath, out, &in)
	l.mutex.Lock()
	now := l.now()
	p.exchanging = false
	if err != nil {
		// The peer may not have received the levels, so the next exchange sends all of them.
		p.lastSent = map[string]float64{}
		l.mutex.Unlock()
		l.config.Log.Debug().Err(err).Str("Peer", p.address).Msg("entry: exchange with peer failed")
		return
	}
	p.respondedAt = now
	l.recordExchange(in, now)
	l.mutex.Unlock()
	if in.Freshness.AgeMs >= 0 {
		in.Freshness.AgeMs += (now - sentAt).Milliseconds() + 1
	}
	l.config.RecordFreshness(in.Freshness)
}

// reachable reports whether p has responded within the last unreachableRounds rounds. The caller holds the mutex.
func (l *Lender) reachable(p *peer, now time.Duration) bool {
	rounds := (len(l.peers) + exchangeFanout - 1) / exchangeFanout
	return now-p.respondedAt <= time.Duration(unreachableRounds*max(1, rounds))*l.config.ExchangeInterval
}

// isListedOrMember reports whether p is on the platform's list or a member of the epoch. The caller holds the mutex.
func (l *Lender) isListedOrMember(p *peer) bool {
	for _, address := range l.listed {
		if address == p.address {
			return true
		}
	}
	return slices.ContainsFunc(l.epochRow.Members, func(m wire.EntryMember) bool { return m.Address == p.address })
}

// pollVMs reads the platform's list of VMs at every pollInterval.
func (l *Lender) pollVMs(ctx context.Context) {
	for {
		if err := l.updateVMs(ctx); err != nil && ctx.Err() == nil {
			l.config.Log.Warn().Err(err).Msg("entry: updating the list of VMs failed")
		}
		if !sleep(ctx, pollInterval) {
			return
		}
	}
}

func (l *Lender) updateVMs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	vms, err := l.config.VMs.ListVMs(ctx)
	if err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	listed, selfFound := map[string]string{}, false
	for _, vm := range vms {
		if vm.Role != roleEntry {
			continue
		}
		selfFound = selfFound || vm.Name == l.config.Self.VM
		if vm.Name != l.config.Self.VM {
			listed[vm.Name] = vm.Address
			l.findOrAddPeer(vm.Address, now)
		}
	}
	if selfFound && !l.selfListed {
		l.selfListed = true
		l.requestEpochRead()
	}
	// A list without this VM, which is running, is not proof that other VMs have terminated.
	if !selfFound && len(l.epochRow.Members) > 0 {
		return errors.New("the list of VMs does not contain this VM; VMs missing from it are not counted as absent")
	}
	l.listed = listed
	for vm := range listed {
		l.absences[vm] = 0
	}
	for _, m := range l.epochRow.Members {
		if _, seen := l.absences[m.VM]; !seen && m.VM != l.config.Self.VM {
			l.absences[m.VM] = absentListThreshold - unseenListThreshold
		}
	}
	for vm := range l.absences {
		if _, ok := listed[vm]; ok {
			continue
		}
		if l.absences[vm]++; l.absences[vm] >= absentListThreshold {
			l.requestEpochRead()
			if !slices.ContainsFunc(l.epochRow.Members, func(m wire.EntryMember) bool { return m.VM == vm }) {
				delete(l.absences, vm)
			}
		}
	}
	return nil
}

// PeerCounts returns the number of other entries that are listed by the platform or members of the epoch, the number of
// reachable peers, and whether one of these reports that the store is unavailable to it.
func (l *Lender) PeerCounts() (listed, reachable int, peerStoreUnavailable bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	vms := map[string]bool{}
	for vm := range l.listed {
		vms[vm] = true
	}
	for _, m := range l.epochRow.Members {
		if m.VM != l.config.Self.VM {
			vms[m.VM] = true
		}
	}
	for _, p := range l.peers {
		if l.reachable(p, now) {
			reachable++
			peerStoreUnavailable = peerStoreUnavailable || p.storeUnavailable
		}
	}
	return len(vms), reachable, peerStoreUnavailable
}

// EntryAddresses returns the sorted addresses of the known entries, including this one.
func (l *Lender) EntryAddresses() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	entries := []string{l.config.Self.Address}
	for address, p := range l.peers {
		if l.reachable(p, now) || l.isListedOrMember(p) {
			entries = append(entries, address)
		}
	}
	slices.Sort(entries)
	return entries
}

// Status returns the epoch and this entry's share of each limit, sorted by organisation, including that of adapter loads.
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

// Leave removes this entry from the epoch for a planned stop, after the last request has been settled: it reports what
// it has borrowed, waits until what it has lent is reported or has expired, gives up its share and removes itself from
// the epoch row. Run must still be running. If the store stays unavailable until ctx is done, the share is unused until
// this VM is absent from the platform's list.
func (l *Lender) Leave(ctx context.Context) error {
	l.mutex.Lock()
	l.leaving = true
	for organisation, a := range l.accounts {
		l.closeGrants(a, organisation, true)
	}
	l.mutex.Unlock()
	for !l.releaseShare() {
		if !sleep(ctx, grantCheckInterval) {
			return errors.Wrap(ctx.Err(), "grants or load permits are still outstanding; raise StopTimeout")
		}
	}
	for {
		err := l.updateEpoch(ctx)
		if err == nil {
			return nil
		}
		if !sleep(ctx, conflictRetryDelay) {
			return errors.Wrap(err, "the entry is still a member of the epoch; its share is unused until its VM is no longer listed")
		}
	}
}

// releaseShare gives up the share if nothing is lent and no load permit is in use, and reports whether it did.
func (l *Lender) releaseShare() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	l.hasFreePermit(now)
	for organisation, a := range l.accounts {
		l.closeGrants(a, organisation, true)
		if a.Bucket().Advance(now).Lent() > 0 {
			return false
		}
	}
	if len(l.permits) > 0 {
		return false
	}
	l.left = true
	l.applyEpoch(now)
	return true
}
