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
	// User is the name of a workload profile: vunidawa or accra.
	User string
	Seed uint64
	// Duration is the length of the trace, 10 s to 10 min.
	Duration time.Duration
}

// workloadProfile describes the fleet and the daily traffic of one user.
type workloadProfile struct {
	fleet Fleet
	// rate is the mean number of requests per second at full demand.
	rate float64
	// organisationShares are shares of the requests, in the order of fleet.Organisations.
	organisationShares []float64
	zipf               float64
	// bookingShare and balanceShare are shares of the requests, draftShare is the share of long completions among all
	// completions.
	bookingShare, balanceShare, draftShare float64
	draft, chat                            tokenCounts
	// neighbourIndex is the index of the noisy neighbour, which sends neighbourFactor times its usual rate.
	neighbourIndex  int
	neighbourFactor float64
}

type tokenCounts struct{ prompt, answer, prefix int }

// Rate limits of organisations, relative to mean demand. A limit below normal bursts would refuse them; one above the
// noisy neighbour's five-fold demand would not limit it.
const (
	rateOverMean = 2.5
	burstSeconds = 10
)

var profiles = map[string]workloadProfile{
	"vunidawa": {
		fleet: Fleet{
			User: "vunidawa", Models: 12, Entries: 3, Ledgers: 3, Slots: 8, Batch: 4, StepMs: 20, LoadRate: 3, LoadMs: 250,
			BookingMs: 20, FailureDomains: 3, Adapters: 3000, Organisations: newOrganisations("cathedral", "sacred-heart", "st-mary", "st-anne", "holy-cross"),
		},
		rate: 16, organisationShares: []float64{0.32, 0.24, 0.2, 0.14, 0.1}, zipf: 1.6,
		bookingShare: 0.1, balanceShare: 0.1, draftShare: 0.4, draft: tokenCounts{220, 40, 0}, chat: tokenCounts{40, 16, 0}, neighbourIndex: 0, neighbourFactor: 5,
	},
	"accra": {
		fleet: Fleet{
			User: "accra", Models: 18, Entries: 3, Ledgers: 3, Slots: 8, Batch: 4, StepMs: 20, LoadRate: 4, LoadMs: 250,
			BookingMs: 20, FailureDomains: 3, Adapters: 3000, Organisations: newOrganisations("makola", "kaneshie", "tema", "madina", "osu"),
		},
		rate: 20, organisationShares: []float64{0.26, 0.22, 0.2, 0.17, 0.15}, zipf: 1.6,
		bookingShare: 0.1, balanceShare: 0.1, draftShare: 0.35, draft: tokenCounts{300, 36, 220}, chat: tokenCounts{60, 16, 0}, neighbourIndex: 1, neighbourFactor: 5,
	},
}

func newOrganisations(names ...string) []Organisation {
	all := make([]Organisation, len(names))
	for i, name := range names {
		all[i] = Organisation{Name: name, Weight: 1}
	}
	return all
}

// Phases and events as fractions of the trace duration. The ramp-up has requests of its own. Those sent between
// rampUpEnd and quietPhaseStart, which warm up the fleet, are sent again in the quiet phase and with the noisy
// neighbour, so that the worst organisation's ratio compares equal work.
const (
	rampUpEnd           = 0.14
	quietPhaseStart     = 0.34
	neighbourPhaseStart = 0.54
	neighbourPhaseEnd   = 0.74
	engineRestartTime   = 0.78
	storeDownTime       = 0.83
	storeUpTime         = 0.88
	keyWithdrawnTime    = 0.91
	vmLeavesTime        = 0.95
	// arrivingVMs is the number of model endpoints that join during the ramp-up.
	arrivingVMs = 4
	// burstProbability is the probability per second that an organisation sends a burst of burstRequests requests.
	burstProbability = 0.1
	burstRequests    = 5
)

// Make generates a trace. Equal configurations give equal traces.
func Make(c MakeConfig) (Trace, error) {
	p, ok := profiles[c.User]
	if !ok {
		return Trace{}, errors.Newf("unknown user %q; use one of %s", c.User, strings.Join(slices.Sorted(maps.Keys(profiles)), ", "))
	}
	if c.Duration < 10*time.Second || c.Duration > driver.MaxDuration {
		return Trace{}, errors.Newf("the duration of a trace must be between 10s and %s; change --duration", driver.MaxDuration)
	}
	p.fleet.Organisations = slices.Clone(p.fleet.Organisations)
	p.fleet.Seed = c.Seed
	completions := 1 - p.bookingShare - p.balanceShare
	meanTokens := completions * (p.draftShare*float64(p.draft.prompt+p.draft.answer) + (1-p.draftShare)*float64(p.chat.prompt+p.chat.answer))
	for i := range p.fleet.Organisations {
		rate := math.Ceil(rateOverMean * p.rate * p.organisationShares[i] * meanTokens)
		p.fleet.Organisations[i].Rate, p.fleet.Organisations[i].Burst = rate, burstSeconds*rate
	}
	g := &generator{workloadProfile: p, rng: rand.New(rand.NewPCG(c.Seed, 7)), length: c.Duration}
	g.generate()
	// The trace starts without the arriving VMs. The generator's copy of the fleet includes them, because it numbers them
	// after the others.
	p.fleet.Models -= arrivingVMs
	slices.SortStableFunc(g.lines, func(a, b Line) int { return int(a.OffsetMs - b.OffsetMs) })
	return Trace{Fleet: p.fleet, Lines: g.lines}, nil
}

type generator struct {
	workloadProfile

	rng    *rand.Rand
	length time.Duration
	lines  []Line
	// rankShift is added to the popularity ranks of the adapters.
	rankShift int
}

// offset returns the offset at a fraction of the trace duration.
func (g *generator) offset(share float64) time.Duration {
	return time.Duration(share * float64(g.length))
}

func (g *generator) addEvent(share float64, l Line) {
	l.OffsetMs = g.offset(share).Milliseconds()
	g.lines = append(g.lines, l)
}

func (g *generator) generate() {
	for i := range arrivingVMs {
		g.addEvent(rampUpEnd*float64(i+1)/(arrivingVMs+1), Line{Kind: KindVMArrives, VM: fmt.Sprintf("model-%d", g.fleet.Models-arrivingVMs+i+1)})
	}
	// Demand rises linearly to its full rate during the ramp-up.
	g.addRequests(0, g.offset(rampUpEnd), func(offset time.Duration) float64 { return float64(offset) / float64(g.offset(rampUpEnd)) })
	fullDemand := func(time.Duration) float64 { return 1 }
	patternStart := len(g.lines)
	g.addRequests(g.offset(rampUpEnd), g.offset(quietPhaseStart), fullDemand)
	pattern := slices.Clone(g.lines[patternStart:])
	for _, start := range []float64{quietPhaseStart, neighbourPhaseStart} {
		for _, l := range pattern {
			l.OffsetMs += (g.offset(start) - g.offset(rampUpEnd)).Milliseconds()
			g.lines = append(g.lines, l)
		}
	}
	neighbour := g.fleet.Organisations[g.neighbourIndex].Name
	g.addEvent(quietPhaseStart, Line{Kind: KindQuietStarts})
	g.addEvent(neighbourPhaseStart, Line{Kind: KindNeighbourStarts, Organisation: neighbour})
	g.forPoissonArrivals(g.offset(neighbourPhaseStart), g.offset(neighbourPhaseEnd), (g.neighbourFactor-1)*g.rate*g.organisationShares[g.neighbourIndex], func(offset time.Duration) {
		g.addRequest(offset, g.neighbourIndex)
	})
	g.addEvent(neighbourPhaseEnd, Line{Kind: KindNeighbourEnds})
	// From here on, each request goes to the adapter 37 ranks further on, wrapping around.
	g.rankShift = 37
	g.addEvent(neighbourPhaseEnd, Line{Kind: KindPopularityShift})
	g.addEvent(engineRestartTime, Line{Kind: KindEngineRestarts, VM: "model-2"})
	g.addEvent(storeDownTime, Line{Kind: KindStoreDown})
	g.addEvent(storeUpTime, Line{Kind: KindStoreUp})
	lastOrganisation := g.fleet.Organisations[len(g.fleet.Organisations)-1].Name
	g.addEvent(keyWithdrawnTime, Line{Kind: KindKeyWithdrawn, Organisation: lastOrganisation, KeyID: lastOrganisation + "-2"})
	g.addEvent(vmLeavesTime, Line{Kind: KindVMLeaves, VM: "model-1"})
	// Demand falls linearly to 0.3 of its full rate, during the last 0.7 of the time after vmLeavesTime.
	g.addRequests(g.offset(neighbourPhaseEnd), g.length, func(offset time.Duration) float64 {
		return min(1, 0.3+float64(g.length-offset)/float64(g.length-g.offset(vmLeavesTime)))
	})
	// Until its withdrawal, a third of the last organisation's requests present the key that is withdrawn.
	for i, l := range g.lines {
		if l.IsRequest() && l.Organisation == lastOrganisation && l.Offset() < g.offset(keyWithdrawnTime) && l.OffsetMs%3 == 0 {
			g.lines[i].KeyID = lastOrganisation + "-2"
		}
	}
}

// forPoissonArrivals calls send with each arrival time of a Poisson process.
func (g *generator) forPoissonArrivals(from, to time.Duration, rate float64, send func(time.Duration)) {
	for at := from; ; {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		send(at)
	}
}

// addRequests adds requests of all organisations, thinned to the given fraction of full demand, and short bursts.
func (g *generator) addRequests(from, to time.Duration, demand func(time.Duration) float64) {
	g.forPoissonArrivals(from, to, g.rate, func(at time.Duration) {
		if g.rng.Float64() < demand(at) {
			g.addRequest(at, g.pickOrganisation())
		}
	})
	for at := from; at < to-time.Second; at += time.Second {
		if g.rng.Float64() >= burstProbability {
			continue
		}
		organisation := g.pickOrganisation()
		for i := range burstRequests {
			g.addRequest(at+time.Duration(i)*10*time.Millisecond, organisation)
		}
	}
}

func (g *generator) pickOrganisation() int {
	point := g.rng.Float64()
	for i, share := range g.organisationShares {
		if point -= share; point < 0 {
			return i
		}
	}
	return len(g.organisationShares) - 1
}

func (g *generator) addRequest(at time.Duration, organisation int) {
	name := g.fleet.Organisations[organisation].Name
	l := Line{OffsetMs: at.Milliseconds(), Organisation: name, Route: name + "-ledger", Repeatable: true}
	switch point := g.rng.Float64(); {
	case point < g.bookingShare:
		l.Kind, l.Repeatable = KindBooking, false
	case point < g.bookingShare+g.balanceShare:
		l.Kind = KindBalance
	default:
		perOrganisation := g.fleet.Adapters / len(g.fleet.Organisations)
		rank := (driver.ZipfRank(g.rng, g.zipf, perOrganisation) + g.rankShift) % perOrganisation
		l.Kind, l.Route, l.Stream = KindCompletion, fmt.Sprintf("%s-%04d", name, rank), true
		tokens := g.chat
		if g.rng.Float64() < g.draftShare {
			tokens = g.draft
		}
		l.PromptTokens, l.AnswerTokens = tokens.prompt, tokens.answer
		if tokens.prefix > 0 {
			l.PrefixID, l.PrefixTokens = "catalogue-"+name, tokens.prefix
		}
	}
	g.lines = append(g.lines, l)
}
