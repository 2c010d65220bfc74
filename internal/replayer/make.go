package replayer

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumladder/internal/driver"
)

// MakeConfig configures Make.
type MakeConfig struct {
	// User is vunidawa or accra.
	User string
	Seed uint64
	// Duration is the length of the day that the trace stands for; between 10 s and 10 min.
	Duration time.Duration
}

// profile is how one user's day looks.
type profile struct {
	fleet Fleet
	// rate is the mean number of requests a second at full day.
	rate float64
	// shares of the organisations in the requests.
	shares []float64
	zipf   float64
	// bookings and balances are shares of the requests, drafts the share of the completions that are long.
	bookings, balances, drafts float64
	draft, chat                size
	// neighbour is the organisation that sends factor times its rate.
	neighbour int
	factor    float64
}

type size struct{ prompt, answer, prefix int }

// Rates of organisations: several times the mean demand, so that the ordinary burst is within it and five times is not.
const (
	rateOverMean = 2.5
	burstSeconds = 10
)

var profiles = map[string]profile{
	"vunidawa": {
		fleet: Fleet{
			User: "vunidawa", Models: 12, Entries: 3, Ledgers: 3, Slots: 8, Batch: 4, StepMs: 20, LoadRate: 3, LoadMs: 250,
			BookingMs: 20, FailureDomains: 3, Adapters: 3000, Organisations: named("cathedral", "sacred-heart", "st-mary", "st-anne", "holy-cross"),
		},
		rate: 16, shares: []float64{0.32, 0.24, 0.2, 0.14, 0.1}, zipf: 1.6,
		bookings: 0.1, balances: 0.1, drafts: 0.4, draft: size{220, 40, 0}, chat: size{40, 16, 0}, neighbour: 0, factor: 5,
	},
	"accra": {
		fleet: Fleet{
			User: "accra", Models: 18, Entries: 3, Ledgers: 3, Slots: 8, Batch: 4, StepMs: 20, LoadRate: 4, LoadMs: 250,
			BookingMs: 20, FailureDomains: 3, Adapters: 3000, Organisations: named("makola", "kaneshie", "tema", "madina", "osu"),
		},
		rate: 20, shares: []float64{0.26, 0.22, 0.2, 0.17, 0.15}, zipf: 1.6,
		bookings: 0.1, balances: 0.1, drafts: 0.35, draft: size{300, 36, 220}, chat: size{60, 16, 0}, neighbour: 1, factor: 5,
	},
}

func named(names ...string) []Organisation {
	all := make([]Organisation, len(names))
	for i, name := range names {
		all[i] = Organisation{Name: name, Weight: 1}
	}
	return all
}

// Parts of the day, as shares of its length. The same requests come three times: to warm the fleet, in quiet, and beside
// the neighbour, so that the worst organisation's ratio compares equal work.
const (
	dayOpens       = 0.14
	dayQuiet       = 0.34
	dayNeighbour   = 0.54
	dayAfternoon   = 0.74
	dayRestart     = 0.78
	dayStoreDown   = 0.83
	dayStoreUp     = 0.88
	dayKeyWithdraw = 0.91
	dayVMLeaves    = 0.95
	// arriving is how many model endpoints join in the morning after the first.
	arriving = 4
	// burstChance is the share of the seconds in which one organisation sends a burst of burstRequests.
	burstChance   = 0.1
	burstRequests = 5
)

// Make generates a trace from a seed.
func Make(c MakeConfig) (Trace, error) {
	p, known := profiles[c.User]
	if !known {
		return Trace{}, errors.Newf("there is no user %q; give one of %s", c.User, strings.Join(slices.Sorted(maps.Keys(profiles)), ", "))
	}
	if c.Duration < 10*time.Second || c.Duration > driver.MaxDuration {
		return Trace{}, errors.Newf("a trace lasts 10s to %s; give another --duration", driver.MaxDuration)
	}
	p.fleet.Organisations = slices.Clone(p.fleet.Organisations)
	p.fleet.Seed = c.Seed
	completions := 1 - p.bookings - p.balances
	mean := completions * (p.drafts*float64(p.draft.prompt+p.draft.answer) + (1-p.drafts)*float64(p.chat.prompt+p.chat.answer))
	for i := range p.fleet.Organisations {
		rate := math.Ceil(rateOverMean * p.rate * p.shares[i] * mean)
		p.fleet.Organisations[i].Rate, p.fleet.Organisations[i].Burst = rate, burstSeconds*rate
	}
	m := &maker{profile: p, rng: rand.New(rand.NewPCG(c.Seed, 7)), length: c.Duration}
	m.day()
	p.fleet.Models -= arriving
	slices.SortStableFunc(m.lines, func(a, b Line) int { return int(a.OffsetMs - b.OffsetMs) })
	return Trace{Fleet: p.fleet, Lines: m.lines}, nil
}

type maker struct {
	profile

	rng    *rand.Rand
	length time.Duration
	lines  []Line
	// shift moves the ranks of the adapters' popularity.
	shift int
}

func (m *maker) at(share float64) time.Duration { return time.Duration(share * float64(m.length)) }

func (m *maker) event(share float64, l Line) {
	l.OffsetMs = m.at(share).Milliseconds()
	m.lines = append(m.lines, l)
}

func (m *maker) day() {
	for i := range arriving {
		m.event(dayOpens*float64(i+1)/(arriving+1), Line{Kind: KindVMArrives, VM: fmt.Sprintf("model-%d", m.fleet.Models-arriving+i+1)})
	}
	// Until the day has opened, demand rises to its full rate.
	m.span(0, m.at(dayOpens), func(at time.Duration) float64 { return float64(at) / float64(m.at(dayOpens)) })
	full := func(time.Duration) float64 { return 1 }
	begin := len(m.lines)
	m.span(m.at(dayOpens), m.at(dayQuiet), full)
	pattern := slices.Clone(m.lines[begin:])
	for _, start := range []float64{dayQuiet, dayNeighbour} {
		for _, l := range pattern {
			l.OffsetMs += (m.at(start) - m.at(dayOpens)).Milliseconds()
			m.lines = append(m.lines, l)
		}
	}
	loud := m.fleet.Organisations[m.neighbour].Name
	m.event(dayQuiet, Line{Kind: KindQuietStarts})
	m.event(dayNeighbour, Line{Kind: KindNeighbourStarts, Organisation: loud})
	m.poisson(m.at(dayNeighbour), m.at(dayAfternoon), (m.factor-1)*m.rate*m.shares[m.neighbour], func(at time.Duration) {
		m.request(at, m.neighbour)
	})
	m.event(dayAfternoon, Line{Kind: KindNeighbourEnds})
	m.shift = 37
	m.event(dayAfternoon, Line{Kind: KindPopularityShift})
	m.event(dayRestart, Line{Kind: KindEngineRestarts, VM: "model-2"})
	m.event(dayStoreDown, Line{Kind: KindStoreDown})
	m.event(dayStoreUp, Line{Kind: KindStoreUp})
	last := m.fleet.Organisations[len(m.fleet.Organisations)-1].Name
	m.event(dayKeyWithdraw, Line{Kind: KindKeyWithdrawn, Organisation: last, KeyID: last + "-2"})
	m.event(dayVMLeaves, Line{Kind: KindVMLeaves, VM: "model-1"})
	// Towards the end demand falls.
	m.span(m.at(dayAfternoon), m.length, func(at time.Duration) float64 {
		return min(1, 0.3+float64(m.length-at)/float64(m.length-m.at(dayVMLeaves)))
	})
	// A third of the last organisation's requests present the key that is withdrawn, until then.
	for i, l := range m.lines {
		if l.IsRequest() && l.Organisation == last && l.Offset() < m.at(dayKeyWithdraw) && l.OffsetMs%3 == 0 {
			m.lines[i].KeyID = last + "-2"
		}
	}
}

// poisson calls send at the times of a Poisson process.
func (m *maker) poisson(from, to time.Duration, rate float64, send func(time.Duration)) {
	for at := from; ; {
		at += time.Duration(m.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		send(at)
	}
}

// span generates the requests of all organisations, thinned to the given level of demand, with short bursts.
func (m *maker) span(from, to time.Duration, level func(time.Duration) float64) {
	m.poisson(from, to, m.rate, func(at time.Duration) {
		if m.rng.Float64() < level(at) {
			m.request(at, m.pickOrganisation())
		}
	})
	for at := from; at < to-time.Second; at += time.Second {
		if m.rng.Float64() >= burstChance {
			continue
		}
		organisation := m.pickOrganisation()
		for i := range burstRequests {
			m.request(at+time.Duration(i)*10*time.Millisecond, organisation)
		}
	}
}

func (m *maker) pickOrganisation() int {
	point := m.rng.Float64()
	for i, share := range m.shares {
		if point -= share; point < 0 {
			return i
		}
	}
	return len(m.shares) - 1
}

func (m *maker) request(at time.Duration, organisation int) {
	name := m.fleet.Organisations[organisation].Name
	l := Line{OffsetMs: at.Milliseconds(), Organisation: name, Route: name + "-ledger", Repeatable: true}
	switch point := m.rng.Float64(); {
	case point < m.bookings:
		l.Kind, l.Repeatable = KindBooking, false
	case point < m.bookings+m.balances:
		l.Kind = KindBalance
	default:
		perOrganisation := m.fleet.Adapters / len(m.fleet.Organisations)
		rank := (driver.ZipfRank(m.rng, m.zipf, perOrganisation) + m.shift) % perOrganisation
		l.Kind, l.Route, l.Stream = KindCompletion, fmt.Sprintf("%s-%04d", name, rank), true
		s := m.chat
		if m.rng.Float64() < m.drafts {
			s = m.draft
		}
		l.PromptTokens, l.AnswerTokens = s.prompt, s.answer
		if s.prefix > 0 {
			l.PrefixID, l.PrefixTokens = "catalogue-"+name, s.prefix
		}
	}
	m.lines = append(m.lines, l)
}
