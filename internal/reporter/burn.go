package reporter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"geraniumladder/internal/merger"
)

// BucketDuration is the time span of one Row, which starts at Row.Bucket.
const BucketDuration = 5 * time.Minute

// Burn-rate thresholds of the alarms. A burn rate of 14.4 consumes 2% of a 30-day budget, or a fifth of a 3-day budget,
// in an hour. At a rate above 1 the budget is exhausted before its window ends.
const (
	PageBurnRate   = 14.4
	TicketBurnRate = 1.0
)

// Retention is how long rows are kept; it is also the window of the error budget.
const Retention = 72 * time.Hour

// Indexes into Windows.
const (
	window5m = iota
	window1h
	window6h
	window3d
	windowCount
)

// Windows are the time windows over which burn rates are computed.
var Windows = [windowCount]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, Retention}

// Events counts the good events and all events.
type Events struct {
	Good  int64
	Total int64
}

// Plus returns the sum of both counts.
func (e Events) Plus(o Events) Events { return Events{Good: e.Good + o.Good, Total: e.Total + o.Total} }

// Burn returns the burn rate: the share of bad events divided by the share that the target allows; 0 without events. A
// corrupt row with more good events than events in total counts as having no bad events, so that it cannot raise the
// budget above 1.
func (e Events) Burn(target float64) float64 {
	if e.Total == 0 {
		return 0
	}
	return float64(max(0, e.Total-e.Good)) / float64(e.Total) / (1 - target)
}

// UpTo is one bucket of a cumulative latency histogram: Good events took at most UpperBound.
type UpTo struct {
	UpperBound time.Duration `json:"BoundNs"`
	Good       int64
}

// Latency is a latency histogram. It keeps all buckets and not just the count at the current threshold, so that a
// changed objective also applies to rows that were written before the change.
type Latency struct {
	Total int64
	// UpTo is sorted by upper bound; the counts are cumulative and never decrease.
	UpTo []UpTo `json:",omitempty"`
}

// Within counts the events that took at most threshold as good. A threshold between two bucket bounds is rounded down
// to the lower one, so that no event is counted as good that may have exceeded the threshold.
func (l Latency) Within(threshold time.Duration) Events {
	e := Events{Total: l.Total}
	for _, u := range l.UpTo {
		if u.UpperBound <= threshold {
			e.Good = u.Good
		}
	}
	return e
}

// Plus returns the sum of both histograms. It has the bucket bounds of both, so that rows written by program versions
// with different bounds can be added.
func (l Latency) Plus(o Latency) Latency {
	switch {
	case o.Total == 0:
		return l
	case l.Total == 0:
		return o
	case slices.EqualFunc(l.UpTo, o.UpTo, func(a, b UpTo) bool { return a.UpperBound == b.UpperBound }):
		sum := Latency{Total: l.Total + o.Total, UpTo: slices.Clone(l.UpTo)}
		for i, u := range o.UpTo {
			sum.UpTo[i].Good += u.Good
		}
		return sum
	}
	bounds := map[time.Duration]bool{}
	for _, u := range slices.Concat(l.UpTo, o.UpTo) {
		bounds[u.UpperBound] = true
	}
	sum := Latency{Total: l.Total + o.Total}
	for _, b := range slices.Sorted(maps.Keys(bounds)) {
		sum.UpTo = append(sum.UpTo, UpTo{UpperBound: b, Good: l.Within(b).Good + o.Within(b).Good})
	}
	return sum
}

// Counts holds the events of one organisation by service-level indicator.
type Counts struct {
	FirstToken       Latency
	BetweenTokens    Latency
	WrongfulRefusals Events
	Availability     Events
}

// Plus returns the sum for each indicator.
func (c Counts) Plus(o Counts) Counts {
	return Counts{
		FirstToken: c.FirstToken.Plus(o.FirstToken), BetweenTokens: c.BetweenTokens.Plus(o.BetweenTokens),
		WrongfulRefusals: c.WrongfulRefusals.Plus(o.WrongfulRefusals), Availability: c.Availability.Plus(o.Availability),
	}
}

// Events returns the events of the objective's indicator, judged by its threshold.
func (c Counts) Events(o merger.Objective) Events {
	switch o.Indicator {
	case "FirstToken":
		return c.FirstToken.Within(o.Threshold)
	case "BetweenTokens":
		return c.BetweenTokens.Within(o.Threshold)
	case "WrongfulRefusals":
		return c.WrongfulRefusals
	case "Availability":
		return c.Availability
	}
	return Events{}
}

// effectiveThreshold returns the largest bucket bound that does not exceed the objective's threshold. Events are
// counted as good up to this bound.
func (c Counts) effectiveThreshold(o merger.Objective) time.Duration {
	counted := map[string]Latency{"FirstToken": c.FirstToken, "BetweenTokens": c.BetweenTokens}[o.Indicator]
	effectiveThreshold := time.Duration(0)
	for _, u := range counted.UpTo {
		if u.UpperBound <= o.Threshold {
			effectiveThreshold = u.UpperBound
		}
	}
	return effectiveThreshold
}

// Series holds the counts of one organisation by bucket. It is not modified after Aggregate returns it.
type Series struct {
	buckets map[time.Time]Counts
}

// Aggregate sums the rows of all VMs by organisation and bucket.
func Aggregate(rows []Row) map[string]Series {
	series := map[string]Series{}
	for _, row := range rows {
		if _, known := series[row.Organisation]; !known {
			series[row.Organisation] = Series{buckets: map[time.Time]Counts{}}
		}
		start := row.Bucket.UTC()
		series[row.Organisation].buckets[start] = series[row.Organisation].buckets[start].Plus(row.Counts)
	}
	return series
}

// Point holds the events of one bucket.
type Point struct {
	Start time.Time
	Events
}

// Points returns the events of the buckets that overlap the window ending at now, sorted by time.
func (s Series) Points(o merger.Objective, window time.Duration, now time.Time) []Point {
	var points []Point
	for start, c := range s.buckets {
		if start.Add(BucketDuration).After(now.Add(-window)) && !start.After(now) {
			points = append(points, Point{Start: start, Events: c.Events(o)})
		}
	}
	slices.SortFunc(points, func(a, b Point) int { return a.Start.Compare(b.Start) })
	return points
}

// State is the alarm state of an objective.
type State string

// The alarm states, most severe first.
const (
	Page    State = "page"
	Ticket  State = "ticket"
	NoAlarm State = "ok"
)

func (s State) rank() int { return slices.Index([]State{Page, Ticket, NoAlarm}, s) }

// WindowBurn is the burn rate over one window.
type WindowBurn struct {
	Window time.Duration `json:"WindowNs"`
	Events
	// Burn is the burn rate. It has no unit: at 1 the budget is consumed exactly in the window of the budget.
	Burn float64
	// Covered is the part of the window since the first row. If it is shorter than Window, Burn covers only that part.
	Covered time.Duration `json:"CoveredNs"`
}

// ObjectiveStatus is the state of one objective of one organisation.
type ObjectiveStatus struct {
	Organisation string
	Objective    merger.Objective
	// Bound is the largest bucket bound that does not exceed the objective's threshold; 0 for indicators without a
	// histogram.
	Bound   time.Duration `json:"BoundNs,omitempty"`
	Windows [windowCount]WindowBurn
	// Budget is the remaining share of the bad events allowed over 3 days: at most 1, negative if overspent.
	Budget float64
	State  State
	Points []Point
}

// Evaluate computes the status of one objective at the time now.
func (s Series) Evaluate(organisation string, o merger.Objective, now time.Time) ObjectiveStatus {
	status := ObjectiveStatus{Organisation: organisation, Objective: o, State: NoAlarm, Points: s.Points(o, Retention, now)}
	firstBucket := now
	for start := range s.buckets {
		if start.Before(firstBucket) {
			firstBucket = start
		}
	}
	for i, w := range Windows {
		burn := WindowBurn{Window: w, Covered: min(w, now.Sub(firstBucket))}
		for _, p := range s.Points(o, w, now) {
			burn.Events = burn.Plus(p.Events)
		}
		burn.Burn = burn.Events.Burn(o.Target)
		status.Windows[i] = burn
	}
	for _, c := range s.buckets {
		status.Bound = max(status.Bound, c.effectiveThreshold(o))
	}
	status.Budget = 1 - status.Windows[window3d].Burn
	exceeds := func(i int, limit float64) bool { return status.Windows[i].Burn > limit }
	switch {
	case exceeds(window5m, PageBurnRate) && exceeds(window1h, PageBurnRate):
		status.State = Page
	case exceeds(window6h, TicketBurnRate) && exceeds(window3d, TicketBurnRate):
		status.State = Ticket
	}
	return status
}

// Report holds the status of all objectives of all organisations.
type Report struct {
	Now   time.Time
	Lines []ObjectiveStatus
}

// NewReport evaluates each objective for each organisation it applies to. Organisations are sorted by their worst
// objective, worst first, and so are the objectives of each organisation.
func NewReport(objectives []merger.Objective, series map[string]Series, now time.Time) Report {
	lines := map[string][]ObjectiveStatus{}
	add := func(organisation string, o merger.Objective) {
		lines[organisation] = append(lines[organisation], series[organisation].Evaluate(organisation, o, now))
	}
	for _, o := range objectives {
		if o.Organisation != "" {
			add(o.Organisation, o)
			continue
		}
		for organisation := range series {
			add(organisation, o)
		}
	}
	worse := func(a, b ObjectiveStatus) int {
		return cmp.Or(cmp.Compare(a.State.rank(), b.State.rank()), cmp.Compare(a.Budget, b.Budget),
			cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Objective.Name, b.Objective.Name))
	}
	groups := slices.Collect(maps.Values(lines))
	for _, g := range groups {
		slices.SortFunc(g, worse)
	}
	slices.SortFunc(groups, func(a, b []ObjectiveStatus) int { return worse(a[0], b[0]) })
	return Report{Now: now, Lines: slices.Concat(groups...)}
}
