package orderer

import (
	"slices"
	"time"

	"geraniumladder/internal/wire"
	"geraniumladder/pkg/pacer"
)

// silenceThreshold is the time between two reports of the engine from which on the engine or this VM was away, so that
// the engine is paced. Polls with orders and a request to the store take up to a second.
const silenceThreshold = 2 * time.Second

// pacing is the sidecar's part of the pacing of its engine. The owner's mutex guards it.
type pacing struct {
	pacer pacer.Pacer
	// start is the origin of the times in pacer.
	start time.Time
	// born is the engine's run in its last report, at reportedAt; 0 before the first.
	born       int64
	reportedAt time.Time
	// pacedBorn is the run whose start has been paced. Entries may report it as new for a while.
	pacedBorn int64
	// isNew means that an entry has reported the engine's run as started during traffic.
	isNew bool
	// askedAt is when an entry last sent an EntryPace; zero before the first.
	askedAt  time.Time
	wasPaced bool
}

func newPacing(now time.Time) pacing { return pacing{pacer: pacer.New(0), start: now} }

// setDemand records what an entry says.
func (p *pacing) setDemand(d *wire.EntryDemand, c *Capacity, now time.Time) {
	p.askedAt = now
	p.isNew = p.isNew || d.Pace.IsNew
	if c == nil {
		return
	}
	elapsed := now.Sub(p.start)
	p.pacer = p.pacer.WithConfig(pacer.Config{PerSecond: c.ColdPerSecond, Capacity: c.Batch}).
		WithCold(time.Duration(d.Pace.ColdMilliseconds)*time.Millisecond, elapsed).
		WithDemand(pacer.Demand{
			Entry: d.VM, Boot: d.Boot, Round: d.Pace.Round, Wants: d.Pace.Wants, Waiting: d.Pace.Waiting, Open: d.Pace.Open, Taken: d.Pace.Taken,
			Responses: pacer.Responses{Timely: d.Pace.Timely, Late: d.Pace.Late, Rejected: d.Pace.Rejected},
		}, elapsed)
}

// setReport records a report of the engine and issues grants. It returns why the pacing of a start begins, or "".
func (p *pacing) setReport(r Report, isRegained bool, c *Capacity, now time.Time) (reason string) {
	elapsed := now.Sub(p.start)
	p.pacer = p.pacer.WithConfig(pacer.Config{PerSecond: c.ColdPerSecond, Capacity: c.Batch})
	isRestarted := p.born != 0 && r.Born != p.born
	switch {
	case isRestarted:
		reason = "restarted"
	case p.born != 0 && isRegained:
		reason = "regained"
	case p.born != 0 && now.Sub(p.reportedAt) >= silenceThreshold:
		reason = "silent"
	case p.isNew && p.pacedBorn != r.Born:
		reason = "new"
	}
	if c.ColdStart <= 0 {
		// The configuration knows no slow start. Where many engines restart into an overload, holding them back then costs
		// callers more than it protects.
		reason = ""
	}
	if reason != "" {
		if isRestarted {
			// The registration may reach the entries seconds later.
			p.pacer = p.pacer.WithCold(c.ColdStart, elapsed)
		}
		p.pacer = p.pacer.WithStart(r.Running+r.Waiting, elapsed)
		p.pacedBorn = r.Born
	}
	p.isNew, p.born, p.reportedAt = false, r.Born, now
	p.pacer = p.pacer.WithReport(r.Running, r.Waiting, elapsed)
	return reason
}

// pace records a report of the engine and reports whether the engine is paced.
func (o *Orderer) pace(r Report, isRegained bool) bool {
	c := o.config.Capacity()
	if c == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Now()
	reason := o.pacing.setReport(r, isRegained, c, now)
	elapsed := now.Sub(o.pacing.start)
	isPaced := o.pacing.pacer.IsPaced(elapsed)
	if reason != "" || isPaced != o.pacing.wasPaced {
		o.config.Log.Info().Bool("IsPaced", isPaced).Str("Reason", reason).Int64("Born", r.Born).Float64("Limit", o.pacing.pacer.Limit(elapsed)).
			Int("Running", r.Running).Msg("orderer: pacing of the engine changed")
	}
	o.pacing.wasPaced = isPaced
	return isPaced
}

// paceMessage returns the pacing for the entries: nil if the engine is not paced and no entry asks, or while the capacity
// is unknown.
func (o *Orderer) paceMessage() *wire.EnginePace {
	if o.config.Capacity() == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.config.Now()
	elapsed := now.Sub(o.pacing.start)
	isPaced := o.pacing.pacer.IsPaced(elapsed)
	isAsked := !o.pacing.askedAt.IsZero() && now.Sub(o.pacing.askedAt) <= demandTTL
	if !isPaced && !isAsked {
		return nil
	}
	m := &wire.EnginePace{IsPaced: isPaced, Grants: []wire.PaceGrant{}}
	for _, g := range o.pacing.pacer.Grants(elapsed) {
		m.Grants = append(m.Grants, wire.PaceGrant{VM: g.Entry, Count: g.Count, Round: g.Round})
	}
	return m
}

func equalPace(a, b *wire.EnginePace) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.IsPaced == b.IsPaced && slices.Equal(a.Grants, b.Grants)
}

// PaceLimit returns the number of requests that may be in progress at the engine while it is paced, 0 without a limit,
// and whether it is paced.
func (o *Orderer) PaceLimit() (limit float64, isPaced bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	elapsed := o.config.Now().Sub(o.pacing.start)
	return o.pacing.pacer.Limit(elapsed), o.pacing.pacer.IsPaced(elapsed)
}
