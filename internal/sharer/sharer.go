// Package sharer implements the membership protocol of the entries (the processes that accept callers' requests) and the
// rate limits that they share. It tracks which entries exist and can reach each other, what each has admitted for each
// organisation, and which have newer copies of the platform's tables. It owns this entry's tallies: its replicas of the
// organisations' token buckets. It does not use the platform's store and so keeps working while that is unavailable.
package sharer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"geraniumladder/internal/forwarder"
	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/limiter"
)

const (
	// MessageInterval is the base interval between messages to the other entries. It grows by messageIntervalPerEntry
	// for each of them, because every entry sends to every other one.
	MessageInterval         = 200 * time.Millisecond
	messageIntervalPerEntry = 20 * time.Millisecond
	// MinMessageInterval is the minimum interval between messages, which applies after an admission from a limit that is running
	// low.
	MinMessageInterval = 25 * time.Millisecond
	// contactTimeoutIntervals is the contact timeout in message intervals. A peer whose messages stay away for longer
	// counts as out of contact. Until a network partition is detected, each side may spend the whole limit.
	contactTimeoutIntervals = 3.5
	// memberTimeout is how long an unreachable entry keeps its share of the limits. It may still be running on the other
	// side of a network partition.
	memberTimeout = 20 * time.Second
	// seedInterval is the interval between messages to seeds that are not known as entries, and between messages that
	// include the list of known addresses.
	seedInterval = time.Second
)

// Config configures a Sharer.
type Config struct {
	VM string
	// Domain is the failure domain of this entry.
	Domain string
	// Address is the HOST:PORT at which the other entries reach this one.
	Address string
	// Seeds are addresses of entries to contact first.
	Seeds []string
	// Allowance is the number of tokens by which all entries together may exceed a limit.
	Allowance float64
	Now       func() time.Time
	Log       zerolog.Logger
}

// peer is the state of another entry. All but address is zero until the first message from it.
type peer struct {
	address string
	domain  string
	boot    string
	// lastReceived is when its last message arrived. lastAcknowledged is when a message from it last listed this entry
	// among those from which it receives messages.
	lastReceived, lastAcknowledged time.Time
	isLeaving                      bool
	// contacts holds the entries whose messages reach the peer, according to its last message. The value is true if the
	// peer's messages reach that entry as well.
	contacts map[string]bool
	// lastAgreed is when the peer's set of mutual contacts was last the same as this entry's.
	lastAgreed time.Time
	// spent holds the tokens that the peer has admitted since its start, by organisation.
	spent map[string]int64
	// tables holds the positions of the peer's copies of the tables.
	tables    map[string]registrar.Position
	wasMutual bool
}

// Sharer tracks the other entries and this entry's tallies. It is safe for use by several goroutines.
type Sharer struct {
	config Config
	start  time.Time
	wake   chan struct{}

	mu    sync.Mutex
	peers map[string]*peer
	// tallies holds this entry's replica of the token bucket of each organisation.
	tallies map[string]limiter.ReplicatedBucket
	// groupSize is the number of entries in this entry's group, whose members can all reach each other, and memberCount
	// the number of all entries; both include this one. A group may spend groupSize/memberCount of each limit.
	groupSize   int
	memberCount int
	isLeaving   bool
	lastSeeded  time.Time
	// relayableSince is the time since which canRelay has been true; zero while it is not.
	relayableSince time.Time
	organisations  map[string]*registrar.Organisation
}

// New returns a Sharer that knows no other entry.
func New(c Config) *Sharer {
	return &Sharer{
		config: c, start: c.Now(), wake: make(chan struct{}, 1), peers: map[string]*peer{},
		tallies: map[string]limiter.ReplicatedBucket{}, groupSize: 1, memberCount: 1,
	}
}

func (s *Sharer) elapsed() time.Duration { return s.config.Now().Sub(s.start) }

// Wake returns a channel that receives a value when a message should be sent to the other entries immediately.
func (s *Sharer) Wake() <-chan struct{} { return s.wake }

// RequestMessage makes Wake receive a value.
func (s *Sharer) RequestMessage() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Leave announces in all further messages that this entry is shutting down.
func (s *Sharer) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLeaving = true
}

// SetOrganisations applies the limits of a configuration.
func (s *Sharer) SetOrganisations(organisations map[string]*registrar.Organisation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.organisations = organisations
	now := s.elapsed()
	for name := range s.tallies {
		if organisations[name] == nil {
			delete(s.tallies, name)
		}
	}
	for name, o := range organisations {
		if t, ok := s.tallies[name]; ok {
			s.tallies[name] = t.WithConfig(s.tallyConfig(o), now)
		} else {
			s.tallies[name] = s.newTally(o)
		}
	}
}

// SetSettings changes the seeds and the allowance.
func (s *Sharer) SetSettings(seeds []string, allowance float64) {
	s.mu.Lock()
	s.config.Seeds, s.config.Allowance = seeds, allowance
	organisations := s.organisations
	s.mu.Unlock()
	s.SetOrganisations(organisations)
}

func (s *Sharer) tallyConfig(o *registrar.Organisation) limiter.ReplicatedBucketConfig {
	return limiter.ReplicatedBucketConfig{Rate: o.Rate, Burst: o.Burst, Allowance: s.config.Allowance}
}

func (s *Sharer) newTally(o *registrar.Organisation) limiter.ReplicatedBucket {
	now := s.elapsed()
	return limiter.NewReplicatedBucket(s.tallyConfig(o), now).WithReachable(s.groupSize, s.memberCount, now)
}

// Admit takes tokens from the organisation's limit and reports whether the request is admitted. If not, it also returns
// the time after which it may be.
func (s *Sharer) Admit(o *registrar.Organisation, tokens float64) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.elapsed()
	t, ok := s.tallies[o.Name]
	if !ok {
		t = s.newTally(o)
	}
	t, admitted, after := t.Admit(tokens, now)
	s.tallies[o.Name] = t
	if t.NeedsReport() || !admitted && t.AwaitsReport(tokens, now) {
		s.RequestMessage()
	}
	return admitted, after
}

// AwaitsReport implements forwarder.Admitter. The message that Admit has requested is sent within MinMessageInterval.
func (s *Sharer) AwaitsReport(o *registrar.Organisation, tokens float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tallies[o.Name].AwaitsReport(tokens, s.elapsed())
}

// LimitState returns the values on which an admission decision for the organisation is based.
func (s *Sharer) LimitState(o *registrar.Organisation) forwarder.LimitState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return forwarder.LimitState{Level: s.tallies[o.Name].Level(s.elapsed()), Sharing: s.groupSize, Entries: s.memberCount}
}

// Refund returns the tokens of a request that was not executed.
func (s *Sharer) Refund(o *registrar.Organisation, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.tallies[o.Name]; ok {
		s.tallies[o.Name] = t.Refund(tokens, s.elapsed())
	}
}

// HandleMessage handles a message from another entry.
func (s *Sharer) HandleMessage(m wire.EntryState) {
	if m.VM == s.config.VM {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	p := s.peers[m.VM]
	if p == nil || p.boot != m.Boot {
		if p == nil {
			s.config.Log.Info().Str("Peer", m.VM).Str("Address", m.Address).Msg("sharer: peer discovered")
		} else {
			s.config.Log.Info().Str("Peer", m.VM).Str("Address", m.Address).Msg("sharer: peer restarted")
		}
		p = &peer{boot: m.Boot}
		s.peers[m.VM] = p
	}
	p.address, p.domain, p.lastReceived, p.isLeaving = m.Address, m.FailureDomain, now, m.IsLeaving
	p.tables = make(map[string]registrar.Position, len(m.Tables))
	for _, t := range m.Tables {
		p.tables[t.Table] = registrar.Position{Era: t.Era, Version: t.Version}
	}
	p.contacts = make(map[string]bool, len(m.Heard))
	for _, name := range m.Heard {
		p.contacts[name] = !slices.Contains(m.OneWay, name)
		if name == s.config.VM {
			p.lastAcknowledged = now
		}
	}
	if m.Known != nil {
		for _, known := range *m.Known {
			if known.VM != s.config.VM && s.peers[known.VM] == nil {
				// Learned from another entry: messages are sent to it, but it is counted only after its own first
				// message.
				s.peers[known.VM] = &peer{address: known.Address}
			}
		}
	}
	s.recordPeerSpending(p, m.Spent)
	s.updateGroup()
}

// recordPeerSpending deducts what the peer has admitted since its last message from the tallies. The first message of a
// peer process only sets the baseline.
func (s *Sharer) recordPeerSpending(p *peer, spent []wire.OrganisationSpent) {
	now := s.elapsed()
	isFirst := p.spent == nil
	next := make(map[string]int64, len(spent))
	for _, o := range spent {
		next[o.Organisation] = o.Tokens
		if t, ok := s.tallies[o.Organisation]; ok && !isFirst {
			s.tallies[o.Organisation] = t.WithPeerAdmitted(float64(o.Tokens-p.spent[o.Organisation]), now)
		}
	}
	p.spent = next
}

// updateGroup removes peers that have left or timed out, and counts all entries and those in this entry's group. A peer is
// in the group if it has mutual contact with this entry and had exactly the same mutual contacts within the last
// contactTimeout. Entries with the same mutual contacts form disjoint groups, each of which may spend its part of the
// limits, so the groups together spend no more than the limits, whichever links fail.
func (s *Sharer) updateGroup() {
	now := s.config.Now()
	memberCount := 1
	mutual := map[string]bool{}
	for name, p := range s.peers {
		if p.isLeaving && now.Sub(p.lastReceived) > s.contactTimeout() || !p.lastReceived.IsZero() && now.Sub(p.lastReceived) > memberTimeout {
			delete(s.peers, name)
			s.config.Log.Info().Str("Peer", name).Bool("IsLeaving", p.isLeaving).Msg("sharer: peer removed")
			continue
		}
		if p.lastReceived.IsZero() {
			continue
		}
		memberCount++
		if s.hasMutualContact(p, now) {
			mutual[name] = true
		}
		if mutual[name] != p.wasMutual {
			s.config.Log.Info().Str("Peer", name).Bool("IsMutual", mutual[name]).Dur("Heard", now.Sub(p.lastReceived)).
				Dur("Hears", now.Sub(p.lastAcknowledged)).Msg("sharer: contact changed")
			p.wasMutual = mutual[name]
		}
	}
	groupSize := 1
	for name := range mutual {
		p := s.peers[name]
		if s.hasSameContacts(name, p, mutual) {
			p.lastAgreed = now
		}
		if now.Sub(p.lastAgreed) < s.contactTimeout() {
			groupSize++
		}
	}
	if groupSize == s.groupSize && memberCount == s.memberCount {
		return
	}
	s.groupSize, s.memberCount = groupSize, memberCount
	elapsed := s.elapsed()
	for name, t := range s.tallies {
		s.tallies[name] = t.WithReachable(groupSize, memberCount, elapsed)
	}
}

// MessageInterval returns the current interval between messages to the other entries.
func (s *Sharer) MessageInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.messageInterval()
}

func (s *Sharer) messageInterval() time.Duration {
	return MessageInterval + time.Duration(s.memberCount-1)*messageIntervalPerEntry
}

// contactTimeout returns how long a received message counts as proof of contact.
func (s *Sharer) contactTimeout() time.Duration {
	return time.Duration(contactTimeoutIntervals * float64(s.messageInterval()))
}

// hasMutualContact reports whether this entry and the peer have both received messages from each other recently.
func (s *Sharer) hasMutualContact(p *peer, now time.Time) bool {
	return now.Sub(p.lastReceived) < s.contactTimeout() && now.Sub(p.lastAcknowledged) < s.contactTimeout()
}

// hasSameContacts reports whether both entries see the same group: whether the peer and its mutual contacts are the same
// set of entries as this entry and its mutual contacts.
func (s *Sharer) hasSameContacts(name string, p *peer, mutual map[string]bool) bool {
	contacts := 0
	for _, isMutual := range p.contacts {
		if isMutual {
			contacts++
		}
	}
	if contacts != len(mutual) || !p.contacts[s.config.VM] {
		return false
	}
	for other := range mutual {
		if other != name && !p.contacts[other] {
			return false
		}
	}
	return true
}

// NextMessage returns the next message to the other entries, and their addresses. It marks the admissions in the
// message as sent.
func (s *Sharer) NextMessage(boot string, sequence int64, tables map[string]registrar.Position) (wire.EntryState, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateGroup()
	now := s.config.Now()
	m := wire.EntryState{
		Boot: boot, Sequence: sequence, VM: s.config.VM, Address: s.config.Address, FailureDomain: s.config.Domain, IsLeaving: s.isLeaving,
		Tables: []wire.TableVersion{}, Heard: []string{}, OneWay: []string{}, Spent: []wire.OrganisationSpent{},
	}
	for table, at := range tables {
		m.Tables = append(m.Tables, wire.TableVersion{Table: table, Era: at.Era, Version: at.Version})
	}
	var recipients []string
	var known []wire.PeerAddress
	for name, p := range s.peers {
		recipients = append(recipients, p.address)
		if now.Sub(p.lastReceived) < s.contactTimeout() {
			m.Heard = append(m.Heard, name)
			if !s.hasMutualContact(p, now) {
				m.OneWay = append(m.OneWay, name)
			}
			known = append(known, wire.PeerAddress{VM: name, Address: p.address})
		}
	}
	for name, t := range s.tallies {
		updated, spent := t.MarkReported()
		s.tallies[name] = updated
		if spent != 0 {
			m.Spent = append(m.Spent, wire.OrganisationSpent{Organisation: name, Tokens: int64(spent)})
		}
	}
	if now.Sub(s.lastSeeded) >= seedInterval {
		s.lastSeeded = now
		m.Known = &known
		for _, seed := range s.config.Seeds {
			if !slices.Contains(recipients, seed) {
				recipients = append(recipients, seed)
			}
		}
	}
	return m, recipients
}

// EntryCount returns the number of entries that may be serving, including this one.
func (s *Sharer) EntryCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memberCount
}

// Members returns the names of the entries that may be serving, including this one.
func (s *Sharer) Members() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := []string{s.config.VM}
	for name, p := range s.peers {
		if !p.lastReceived.IsZero() {
			members = append(members, name)
		}
	}
	return members
}

// DomainPeers returns the addresses of the entries of this entry's failure domain that it is in contact with.
func (s *Sharer) DomainPeers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	var addresses []string
	for _, p := range s.peers {
		if p.domain == s.config.Domain && !p.isLeaving && s.hasMutualContact(p, now) {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

// ForwardAddresses returns the addresses of the other entries of this failure domain to which states are forwarded: all
// that may be running, because forwarding to one that isn't costs little, and one that is leaving still has requests.
func (s *Sharer) ForwardAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for _, p := range s.peers {
		if p.domain == s.config.Domain && !p.lastReceived.IsZero() {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

// RelayDomain returns the failure domain in which this entry forwards states and gets those that the others forward. It is
// empty unless the entry has been in contact for contactTimeout with all entries that may be running there, apart from a
// quarter or one of them. Otherwise it would miss the states that go through the others.
func (s *Sharer) RelayDomain() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	switch {
	case !s.canRelay(now):
		s.relayableSince = time.Time{}
		return ""
	case s.relayableSince.IsZero():
		s.relayableSince = now
	}
	if now.Sub(s.relayableSince) < s.contactTimeout() {
		return ""
	}
	return s.config.Domain
}

// relayJoinTime is the time after the start in which an entry doesn't know all others yet, nor they it.
const relayJoinTime = 3 * time.Second

// missingDivisor is the divisor of the number of entries of a domain that gives the number that may be out of contact.
const missingDivisor = 4

func (s *Sharer) canRelay(now time.Time) bool {
	if s.isLeaving || s.config.Domain == "" || now.Sub(s.start) < relayJoinTime {
		return false
	}
	known, reached := 1, 1
	for _, p := range s.peers {
		if p.domain != s.config.Domain || p.lastReceived.IsZero() {
			continue
		}
		known++
		if s.hasMutualContact(p, now) {
			reached++
		}
	}
	return known-reached <= max(1, known/missingDivisor)
}

// PeersWithNewer returns the addresses of reachable entries with a newer copy of the table, newest first.
func (s *Sharer) PeersWithNewer(table string, than registrar.Position) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	type peerCopy struct {
		address string
		at      registrar.Position
	}
	var copies []peerCopy
	for _, p := range s.peers {
		if at := p.tables[table]; at.Compare(than) > 0 && now.Sub(p.lastReceived) < s.contactTimeout() {
			copies = append(copies, peerCopy{address: p.address, at: at})
		}
	}
	slices.SortFunc(copies, func(a, b peerCopy) int {
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.address, b.address))
	})
	addresses := make([]string, len(copies))
	for i, f := range copies {
		addresses[i] = f.address
	}
	return addresses
}
