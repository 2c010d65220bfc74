package reporter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"geraniumladder/internal/merger"
)

// BucketTime is the time that one row covers.
const BucketTime = 5 * time.Minute

// Thresholds of the alarms. A burn rate of 14.4 spends 2% of a 30-day budget, or a fifth of a 3-day budget, in an hour;
// above 1 the budget does not last its window.
const (
	PageBurn   = 14.4
	TicketBurn = 1.0
)

// Retention is how long rows are kept, and the window of the budget.
const Retention = 72 * time.Hour

// Indexes of Windows.
const (
	window5m = iota
	window1h
	window6h
	window3d
	windowCount
)

// Windows are the windows of the burn rates.
var Windows = [windowCount]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, Retention}

// Events are good events among all.
type Events struct {
	Good  int64
	Total int64
}

// Plus returns the sum.
func (e Events) Plus(o Events) Events { return Events{Good: e.Good + o.Good, Total: e.Total + o.Total} }

// Burn is the share of bad events divided by the share that the target allows; 0 without events. A damaged row with
// more good events than all counts as without bad events, so that it cannot raise the budget above 1.
func (e Events) Burn(target float64) float64 {
	if e.Total == 0 {
		return 0
	}
	return float64(max(0, e.Total-e.Good)) / float64(e.Total) / (1 - target)
}

// UpTo counts the events that took at most Bound.
type UpTo struct {
	Bound time.Duration `json:"BoundNs"`
	Good  int64
}

// Latency counts events by time. All bounds are kept in place of one threshold, so that a changed objective
// also applies to the rows written before.
type Latency struct {
	Total int64
	// UpTo is in the order of the bounds, and the counts never fall.
	UpTo []UpTo `json:",omitempty"`
}

// Within counts events of at most threshold as good. A threshold between two bounds counts as the lower bound,
// so that no event is taken for good that may not have been.
func (l Latency) Within(threshold time.Duration) Events {
	e := Events{Total: l.Total}
	for _, u := range l.UpTo {
		if u.Bound <= threshold {
			e.Good = u.Good
		}
	}
	return e
}

// Plus returns the sum. It has the bounds of both, so that rows of program versions with other bounds can be added.
func (l Latency) Plus(o Latency) Latency {
	switch {
	case o.Total == 0:
		return l
	case l.Total == 0:
		return o
	case slices.EqualFunc(l.UpTo, o.UpTo, func(a, b UpTo) bool { return a.Bound == b.Bound }):
		sum := Latency{Total: l.Total + o.Total, UpTo: slices.Clone(l.UpTo)}
		for i, u := range o.UpTo {
			sum.UpTo[i].Good += u.Good
		}
		return sum
	}
	bounds := map[time.Duration]bool{}
	for _, u := range slices.Concat(l.UpTo, o.UpTo) {
		bounds[u.Bound] = true
	}
	sum := Latency{Total: l.Total + o.Total}
	for _, b := range slices.Sorted(maps.Keys(bounds)) {
		sum.UpTo = append(sum.UpTo, UpTo{Bound: b, Good: l.Within(b).Good + o.Within(b).Good})
	}
	return sum
}

// Counts are the events of one organisation by indicator.
type Counts struct {
	FirstToken       Latency
	BetweenTokens    Latency
	WrongfulRefusals Events
	Availability     Events
}

// Plus returns the sum.
func (c Counts) Plus(o Counts) Counts {
	return Counts{
		FirstToken: c.FirstToken.Plus(o.FirstToken), BetweenTokens: c.BetweenTokens.Plus(o.BetweenTokens),
		WrongfulRefusals: c.WrongfulRefusals.Plus(o.WrongfulRefusals), Availability: c.Availability.Plus(o.Availability),
	}
}

// Events returns the good and total events as an objective counts them.
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

// bound is the largest bound up to the objective's threshold, at which its events are counted.
func (c Counts) bound(o merger.Objective) time.Duration {
	counted := map[string]Latency{"FirstToken": c.FirstToken, "BetweenTokens": c.BetweenTokens}[o.Indicator]
	bound := time.Duration(0)
	for _, u := range counted.UpTo {
		if u.Bound <= o.Threshold {
			bound = u.Bound
		}
	}
	return bound
}

// Series holds one organisation's counts by bucket. It is an immutable value.
type Series struct {
	buckets map[time.Time]Counts
}

// Collect adds the rows of all VMs up by organisation and bucket.
func Collect(rows []Row) map[string]Series {
	all := map[string]Series{}
	for _, row := range rows {
		if _, known := all[row.Organisation]; !known {
			all[row.Organisation] = Series{buckets: map[time.Time]Counts{}}
		}
		start := row.Bucket.UTC()
		all[row.Organisation].buckets[start] = all[row.Organisation].buckets[start].Plus(row.Counts)
	}
	return all
}

// Point is one bucket's events.
type Point struct {
	Start time.Time
	Events
}

// Points returns the events of the buckets that the window before now touches, in the order of time.
func (s Series) Points(o merger.Objective, window time.Duration, now time.Time) []Point {
	var points []Point
	for start, c := range s.buckets {
		if start.Add(BucketTime).After(now.Add(-window)) && !start.After(now) {
			points = append(points, Point{Start: start, Events: c.Events(o)})
		}
	}
	slices.SortFunc(points, func(a, b Point) int { return a.Start.Compare(b.Start) })
	return points
}

// State is what the alarms say.
type State string

// The states, worst first.
const (
	Page   State = "page"
	Ticket State = "ticket"
	Fine   State = "ok"
)

func (s State) rank() int { return slices.Index([]State{Page, Ticket, Fine}, s) }

// WindowBurn is the burn over one window.
type WindowBurn struct {
	Window time.Duration `json:"WindowNs"`
	Events
	// Burn is without a unit: 1 spends the budget exactly in its window.
	Burn float64
	// Covered is the part of the window since the first row. When it is shorter than Window, Burn is that of the part.
	Covered time.Duration `json:"CoveredNs"`
}

// Line is the state of one objective of one organisation.
type Line struct {
	Organisation string
	Objective    merger.Objective
	// Bound is the largest bound of the histogram up to the objective's threshold; 0 for other indicators.
	Bound   time.Duration `json:"BoundNs,omitempty"`
	Windows [windowCount]WindowBurn
	// Budget is the share of the bad events allowed over 3 days that is left; at most 1, below 0 when overspent.
	Budget float64
	State  State
	Points []Point
}

// Measure computes the line of one objective.
func (s Series) Measure(organisation string, o merger.Objective, now time.Time) Line {
	line := Line{Organisation: organisation, Objective: o, State: Fine, Points: s.Points(o, Retention, now)}
	first := now
	for start := range s.buckets {
		if start.Before(first) {
			first = start
		}
	}
	for i, w := range Windows {
		burn := WindowBurn{Window: w, Covered: min(w, now.Sub(first))}
		for _, p := range s.Points(o, w, now) {
			burn.Events = burn.Plus(p.Events)
		}
		burn.Burn = burn.Events.Burn(o.Target)
		line.Windows[i] = burn
	}
	for _, c := range s.buckets {
		line.Bound = max(line.Bound, c.bound(o))
	}
	line.Budget = 1 - line.Windows[window3d].Burn
	over := func(i int, limit float64) bool { return line.Windows[i].Burn > limit }
	switch {
	case over(window5m, PageBurn) && over(window1h, PageBurn):
		line.State = Page
	case over(window6h, TicketBurn) && over(window3d, TicketBurn):
		line.State = Ticket
	}
	return line
}

// Report holds the lines of all organisations.
type Report struct {
	Now   time.Time
	Lines []Line
}

// NewReport measures each objective for each organisation it applies to: the worst organisation comes first,
// and within it the worst objective.
func NewReport(objectives []merger.Objective, series map[string]Series, now time.Time) Report {
	lines := map[string][]Line{}
	add := func(organisation string, o merger.Objective) {
		lines[organisation] = append(lines[organisation], series[organisation].Measure(organisation, o, now))
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
	worse := func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.State.rank(), b.State.rank()), cmp.Compare(a.Budget, b.Budget),
			cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Objective.Name, b.Objective.Name))
	}
	groups := slices.Collect(maps.Values(lines))
	for _, g := range groups {
		slices.SortFunc(g, worse)
	}
	slices.SortFunc(groups, func(a, b []Line) int { return worse(a[0], b[0]) })
	return Report{Now: now, Lines: slices.Concat(groups...)}
}
