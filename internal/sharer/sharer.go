// Package sharer is what the entries know of one another: which are there, which hear of one another, what each has
// admitted for each organisation, and who has newer copies of the platform's tables. It owns this entry's tallies of
// the organisations' limits. It uses no store: while that is away, entries go on hearing of one another.
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
	// TellEvery is the time between two messages to the other entries while they are few. It grows by tellPerEntry with
	// each, because every entry tells every other one.
	TellEvery    = 200 * time.Millisecond
	tellPerEntry = 20 * time.Millisecond
	// TellSoonest is the time between two messages after an admission from a scarce limit.
	TellSoonest = 25 * time.Millisecond
	// heardMessages in a row must be lost before a sender is no longer heard. While a cut is not noticed, each side may
	// spend the whole limit.
	heardMessages = 3.5
	// memberLife is how long an entry that is not heard of keeps its part of the limits. It may be alive behind a cut.
	memberLife = 20 * time.Second
	// seedEvery is the time between two messages to seeds that are not known as entries, and between two lists of
	// addresses.
	seedEvery = time.Second
)

// Config configures a Sharer.
type Config struct {
	VM      string
	Address string
	Seeds   []string
	// Allowance is the number of tokens by which the entries may exceed a limit together.
	Allowance float64
	Now       func() time.Time
	Log       zerolog.Logger
}

// peer is another entry.
type peer struct {
	address string
	boot    string
	// heardAt is when its last message arrived, hearsAt when a message last said that it hears this entry.
	heardAt, hearsAt time.Time
	isLeaving        bool
	// hears holds the entries that the peer hears and is heard by, as it last told.
	hears map[string]bool
	// agreedAt is when the peer's set of entries was last the same as this entry's.
	agreedAt  time.Time
	spent     map[string]int64
	tables    map[string]int64
	wasMutual bool
}

// Sharer is safe for use by several goroutines.
type Sharer struct {
	config Config
	start  time.Time
	wake   chan struct{}

	mu            sync.Mutex
	peers         map[string]*peer
	tallies       map[string]limiter.Tally
	group         int
	members       int
	isLeaving     bool
	seededAt      time.Time
	organisations map[string]*registrar.Organisation
}

// New returns a Sharer that knows no other entry.
func New(c Config) *Sharer {
	return &Sharer{
		config: c, start: c.Now(), wake: make(chan struct{}, 1), peers: map[string]*peer{},
		tallies: map[string]limiter.Tally{}, group: 1, members: 1,
	}
}

func (s *Sharer) elapsed() time.Duration { return s.config.Now().Sub(s.start) }

// Wake receives when the others should be told at once.
func (s *Sharer) Wake() <-chan struct{} { return s.wake }

// Leave tells the others from now on that this entry leaves.
func (s *Sharer) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLeaving = true
}

// SetOrganisations takes the limits of a configuration.
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
			s.tallies[name] = t.WithConfig(s.limit(o), now)
		} else {
			s.tallies[name] = s.newTally(o)
		}
	}
}

// Tune changes the seeds and the allowance.
func (s *Sharer) Tune(seeds []string, allowance float64) {
	s.mu.Lock()
	s.config.Seeds, s.config.Allowance = seeds, allowance
	organisations := s.organisations
	s.mu.Unlock()
	s.SetOrganisations(organisations)
}

func (s *Sharer) limit(o *registrar.Organisation) limiter.TallyConfig {
	return limiter.TallyConfig{Rate: o.Rate, Burst: o.Burst, Allowance: s.config.Allowance}
}

func (s *Sharer) newTally(o *registrar.Organisation) limiter.Tally {
	now := s.elapsed()
	return limiter.NewTally(s.limit(o), now).WithGroup(s.group, s.members, now)
}

// Admit takes tokens of the organisation's limit.
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
	if t.IsScarce() {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return admitted, after
}

// Standing tells what a decision on the organisation rests on.
func (s *Sharer) Standing(o *registrar.Organisation) forwarder.Standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return forwarder.Standing{Level: s.tallies[o.Name].Level(s.elapsed()), Sharing: s.group, Entries: s.members}
}

// Refund gives tokens back of a request that has not run.
func (s *Sharer) Refund(o *registrar.Organisation, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.tallies[o.Name]; ok {
		s.tallies[o.Name] = t.Refund(tokens, s.elapsed())
	}
}

// Hear takes another entry's message.
func (s *Sharer) Hear(m wire.EntryState) {
	if m.VM == s.config.VM {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	p := s.peers[m.VM]
	if p == nil || p.boot != m.Boot {
		if p == nil {
			s.config.Log.Info().Str("Peer", m.VM).Str("Address", m.Address).Msg("sharer: entry found")
		} else {
			s.config.Log.Info().Str("Peer", m.VM).Str("Address", m.Address).Msg("sharer: entry restarted")
		}
		p = &peer{boot: m.Boot}
		s.peers[m.VM] = p
	}
	p.address, p.heardAt, p.isLeaving = m.Address, now, m.IsLeaving
	p.tables = make(map[string]int64, len(m.Tables))
	for _, t := range m.Tables {
		p.tables[t.Table] = t.Version
	}
	p.hears = make(map[string]bool, len(m.Heard))
	for _, name := range m.Heard {
		p.hears[name] = !slices.Contains(m.OneWay, name)
		if name == s.config.VM {
			p.hearsAt = now
		}
	}
	if m.Known != nil {
		for _, known := range *m.Known {
			if known.VM != s.config.VM && s.peers[known.VM] == nil {
				// Told of at second hand: this entry tells it of itself, and counts it once it answers.
				s.peers[known.VM] = &peer{address: known.Address}
			}
		}
	}
	s.takeSpent(p, m.Spent)
	s.regroup()
}

// takeSpent takes off what the peer has admitted since its last message. The first message of a run sets the start.
func (s *Sharer) takeSpent(p *peer, spent []wire.OrganisationSpent) {
	now := s.elapsed()
	isFirst := p.spent == nil
	next := make(map[string]int64, len(spent))
	for _, o := range spent {
		next[o.Organisation] = o.Tokens
		if t, ok := s.tallies[o.Organisation]; ok && !isFirst {
			s.tallies[o.Organisation] = t.WithPeerSpent(float64(o.Tokens-p.spent[o.Organisation]), now)
		}
	}
	p.spent = next
}

// regroup counts the entries, and those that share one copy of the limits: the entries that hear of one another and of
// no others than this one does. Such groups don't overlap, so what they may spend adds up to the limit, whichever links
// are cut.
func (s *Sharer) regroup() {
	now := s.config.Now()
	members := 1
	mutual := map[string]bool{}
	for name, p := range s.peers {
		if p.isLeaving && now.Sub(p.heardAt) > s.heardLife() || !p.heardAt.IsZero() && now.Sub(p.heardAt) > memberLife {
			delete(s.peers, name)
			s.config.Log.Info().Str("Peer", name).Bool("IsLeaving", p.isLeaving).Msg("sharer: entry forgotten")
			continue
		}
		if p.heardAt.IsZero() {
			continue
		}
		members++
		if s.isMutual(p, now) {
			mutual[name] = true
		}
		if mutual[name] != p.wasMutual {
			s.config.Log.Info().Str("Peer", name).Bool("IsMutual", mutual[name]).Dur("Heard", now.Sub(p.heardAt)).
				Dur("Hears", now.Sub(p.hearsAt)).Msg("sharer: contact changed")
			p.wasMutual = mutual[name]
		}
	}
	group := 1
	for name := range mutual {
		p := s.peers[name]
		if s.agrees(name, p, mutual) {
			p.agreedAt = now
		}
		if now.Sub(p.agreedAt) < s.heardLife() {
			group++
		}
	}
	if group == s.group && members == s.members {
		return
	}
	s.group, s.members = group, members
	elapsed := s.elapsed()
	for name, t := range s.tallies {
		s.tallies[name] = t.WithGroup(group, members, elapsed)
	}
}

// TellEvery is the time between two messages to the other entries.
func (s *Sharer) TellEvery() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tellEvery()
}

func (s *Sharer) tellEvery() time.Duration {
	return TellEvery + time.Duration(s.members-1)*tellPerEntry
}

// heardLife is how long a message proves that its sender hears and is heard.
func (s *Sharer) heardLife() time.Duration {
	return time.Duration(heardMessages * float64(s.tellEvery()))
}

func (s *Sharer) isMutual(p *peer, now time.Time) bool {
	return now.Sub(p.heardAt) < s.heardLife() && now.Sub(p.hearsAt) < s.heardLife()
}

// agrees says whether the peer hears of the same entries as this one.
func (s *Sharer) agrees(name string, p *peer, mutual map[string]bool) bool {
	hears := 0
	for _, isMutual := range p.hears {
		if isMutual {
			hears++
		}
	}
	if hears != len(mutual) || !p.hears[s.config.VM] {
		return false
	}
	for other := range mutual {
		if other != name && !p.hears[other] {
			return false
		}
	}
	return true
}

// Message returns the message to the other entries and their addresses.
func (s *Sharer) Message(boot string, sequence int64, tables map[string]int64) (wire.EntryState, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regroup()
	now := s.config.Now()
	m := wire.EntryState{
		Boot: boot, Sequence: sequence, VM: s.config.VM, Address: s.config.Address, IsLeaving: s.isLeaving,
		Tables: []wire.TableVersion{}, Heard: []string{}, OneWay: []string{}, Spent: []wire.OrganisationSpent{},
	}
	for table, version := range tables {
		m.Tables = append(m.Tables, wire.TableVersion{Table: table, Version: version})
	}
	var to []string
	var known []wire.PeerAddress
	for name, p := range s.peers {
		to = append(to, p.address)
		if now.Sub(p.heardAt) < s.heardLife() {
			m.Heard = append(m.Heard, name)
			if !s.isMutual(p, now) {
				m.OneWay = append(m.OneWay, name)
			}
			known = append(known, wire.PeerAddress{VM: name, Address: p.address})
		}
	}
	for name, t := range s.tallies {
		told, spent := t.Told()
		s.tallies[name] = told
		if spent != 0 {
			m.Spent = append(m.Spent, wire.OrganisationSpent{Organisation: name, Tokens: int64(spent)})
		}
	}
	if now.Sub(s.seededAt) >= seedEvery {
		s.seededAt = now
		m.Known = &known
		for _, seed := range s.config.Seeds {
			if !slices.Contains(to, seed) {
				to = append(to, seed)
			}
		}
	}
	return m, to
}

// Entries is the number of entries that may be serving, this one included.
func (s *Sharer) Entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

// Newer returns addresses of entries with a newer copy of the table, newest first.
func (s *Sharer) Newer(table string, version int64) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	type copyOf struct {
		address string
		version int64
	}
	var found []copyOf
	for _, p := range s.peers {
		if v := p.tables[table]; v > version && now.Sub(p.heardAt) < s.heardLife() {
			found = append(found, copyOf{address: p.address, version: v})
		}
	}
	slices.SortFunc(found, func(a, b copyOf) int {
		return cmp.Or(cmp.Compare(b.version, a.version), cmp.Compare(a.address, b.address))
	})
	addresses := make([]string, len(found))
	for i, f := range found {
		addresses[i] = f.address
	}
	return addresses
}
