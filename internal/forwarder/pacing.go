package forwarder

import (
	"context"
	"time"

	"geraniumladder/internal/registrar"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/pacer"
	"geraniumladder/pkg/throttler"
)

const (
	// fleetStartTime is the time after the first list of endpoints in which new ones are those of a fleet that starts, not
	// ones that start during traffic.
	fleetStartTime = 10 * time.Second
	// paceDemandInterval is the interval of the demand to the sidecar of a paced engine. While requests wait for a grant it
	// is urgentDemandInterval.
	paceDemandInterval   = 150 * time.Millisecond
	urgentDemandInterval = 40 * time.Millisecond
	// grantPollInterval is the interval at which a request looks for a grant, and maxGrantWait the longest time that it
	// does so. maxLoadedGrantWait is the same at the endpoint that has loaded an adapter for it.
	grantPollInterval  = 15 * time.Millisecond
	maxGrantWait       = 2 * time.Second
	maxLoadedGrantWait = 400 * time.Millisecond
	// reasonPaced refuses a request for which all endpoints are paced and have not given a grant.
	reasonPaced = "endpoint-paced"
)

// endpointPace is this entry's view of the pacing of one endpoint.
type endpointPace struct {
	holder pacer.Holder
	// isNew means that the run was first listed while this entry was serving, and that its pacing has not ended.
	isNew bool
	// isPaced is what the sidecar last said, at heardAt; expectedAt is when the pacing was first expected without a word
	// from the sidecar. Both are zero if that never happened.
	isPaced             bool
	heardAt, expectedAt time.Time
	// coldRemaining is that of the registration. The endpoint is cold until coldUntil, and takes coldPerSecond requests a
	// second from all entries until then, 0 if that is not bounded.
	coldRemaining time.Duration
	coldUntil     time.Time
	coldPerSecond float64
	// hasSlowStart means that the service's configuration says for how long its endpoints are cold after a start.
	hasSlowStart bool
	// waiting is the number of requests that wait for a grant at this endpoint in particular.
	waiting   int
	responses pacer.Responses
	// demandAt is when the demand was last sent.
	demandAt time.Time
}

// serviceDemand counts the requests for a service.
type serviceDemand struct {
	// current and previous count the requests in seconds, the current one since begunAt.
	current, previous int
	begunAt           time.Time
	// waiting is the number of requests that wait for a grant at any endpoint.
	waiting int
}

func (s *serviceDemand) roll(now time.Time) {
	switch age := now.Sub(s.begunAt); {
	case age >= 2*time.Second:
		s.previous, s.current, s.begunAt = 0, 0, now
	case age >= time.Second:
		s.previous, s.current, s.begunAt = s.current, 0, now
	}
}

// recordServiceDemand counts a request for the service.
func (f *fleet) recordServiceDemand(service string, now time.Time) {
	s := f.serviceDemand(service)
	s.roll(now)
	s.current++
}

func (f *fleet) serviceDemand(service string) *serviceDemand {
	s := f.demandOf[service]
	if s == nil {
		s = &serviceDemand{}
		f.demandOf[service] = s
	}
	return s
}

// setListed records whether the run has just been listed for the first time during traffic.
func (p *endpointPace) setListed(isNew bool, now time.Time) {
	if isNew {
		p.isNew, p.expectedAt = true, now
	}
}

// setRegistration applies what the endpoint has registered. A registration that is read again says nothing new, so only a
// changed one counts from now.
func (p *endpointPace) setRegistration(r *registrar.Endpoint, s *registrar.Service, now time.Time) {
	p.coldPerSecond, p.hasSlowStart = 0, false
	if s != nil {
		p.coldPerSecond, p.hasSlowStart = s.ColdPerSecond, s.ColdStart > 0
	}
	if r.ColdRemaining == p.coldRemaining {
		return
	}
	wasExpected := p.isExpected(now)
	p.coldRemaining, p.coldUntil = r.ColdRemaining, now.Add(r.ColdRemaining)
	if !wasExpected {
		p.expectedAt = now
	}
}

// isCold reports whether the endpoint takes a bounded rate only.
func (p *endpointPace) isCold(now time.Time) bool {
	return p.coldPerSecond > 0 && now.Before(p.coldUntil)
}

// isExpected reports whether the endpoint is paced or its sidecar is expected to pace it.
func (p *endpointPace) isExpected(now time.Time) bool { return p.isPaced || p.isNew || p.isCold(now) }

// isSilent reports whether nothing has been heard of the pacing for so long that the entry goes on without the sidecar.
func (p *endpointPace) isSilent(now time.Time) bool {
	return now.Sub(p.heardAt) >= stateTTL && now.Sub(p.expectedAt) >= stateTTL
}

// setPace applies what the sidecar says of the pacing, and reports whether the endpoint began or ceased to be paced.
func (p *endpointPace) setPace(m *wire.EnginePace, vm string, now time.Time) bool {
	wasPaced := p.isPaced
	p.isPaced = m != nil && m.IsPaced
	if m == nil {
		return wasPaced
	}
	p.heardAt = now
	p.isNew = p.isNew && m.IsPaced
	for _, g := range m.Grants {
		if g.VM == vm {
			p.holder = p.holder.WithGrants(g.Round, g.Count)
		}
	}
	return p.isPaced != wasPaced
}

// paced says how a request may be sent to an endpoint.
type paced int

const (
	// free endpoints are not paced.
	free paced = iota
	// byGrant needs a grant, and byShare a share of the rate. Both are held.
	byGrant
	byShare
	// closed means that neither is held.
	closed
)

// paceOf returns how a request may be sent to the endpoint now.
func (f *fleet) paceOf(e *endpoint, now time.Time) paced {
	p := &e.pace
	hasSidecar := e.engine != nil
	switch {
	case !p.isExpected(now):
		return free
	case !p.isCold(now) && f.mostlyPaced[e.Service]:
		return free
	case hasSidecar && !p.isSilent(now):
		if p.holder.Available(f.elapsed(now)) > 0 {
			return byGrant
		}
		return closed
	case !p.isCold(now):
		return free
	}
	statement := throttler.Statement[string]{Endpoint: e.key, PerSecond: pacer.FallbackRate(p.coldPerSecond, hasSidecar), At: f.elapsed(now)}
	f.shares = f.shares.WithStatements([]throttler.Statement[string]{statement}, f.elapsed(now))
	if ok, _ := f.shares.Allows(e.key, f.elapsed(now)); ok {
		return byShare
	}
	return closed
}

// updateMostlyPaced finds the services of whose endpoints more than half are paced. After a restart of the whole fleet
// there are no others that could take the load meanwhile, and pacing all of them rejects more than it protects.
func (f *fleet) updateMostlyPaced(now time.Time) {
	clear(f.mostlyPaced)
	for service, list := range f.byService {
		paced := 0
		for _, e := range list {
			if e.pace.isExpected(now) {
				paced++
			}
		}
		if 2*paced > len(list) {
			f.mostlyPaced[service] = true
		}
	}
}

func (f *fleet) elapsed(now time.Time) time.Duration { return now.Sub(f.start) }

// takePace uses a grant or a share if the endpoint needs one, and reports whether the request may be sent.
func (f *fleet) takePace(e *endpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	switch f.paceOf(e, now) {
	case byGrant:
		e.pace.holder = e.pace.holder.WithTaken()
	case byShare:
		f.shares = f.shares.WithSend(e.key, f.elapsed(now))
	case closed:
		return false
	case free:
	}
	return true
}

// setMembers applies the entries among which the rate of a cold endpoint is divided without its sidecar.
func (f *fleet) setMembers(members []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.elapsed(f.now())
	f.shares = f.shares.WithMembers(members, now).WithoutExpired(now)
}

// isPaceDue reports whether the demand on a paced endpoint should be sent again.
func (f *fleet) isPaceDue(e *endpoint, now time.Time) bool {
	if !e.pace.isExpected(now) {
		return false
	}
	age := now.Sub(e.pace.demandAt)
	return age >= paceDemandInterval || age >= urgentDemandInterval && e.pace.waiting+f.serviceDemand(e.Service).waiting > 0
}

// paceDemand returns what the sidecar needs to know to pace the endpoint, nil if it isn't expected to.
func (f *fleet) paceDemand(e *endpoint) *wire.EntryPace {
	now := f.now()
	p := &e.pace
	if !p.isExpected(now) {
		return nil
	}
	p.demandAt = now
	p.holder = p.holder.WithRound(f.elapsed(now))
	s := f.serviceDemand(e.Service)
	s.roll(now)
	m := &wire.EntryPace{
		Round: p.holder.Round(), Wants: s.current + s.previous, Waiting: p.waiting + s.waiting, Open: e.open, Taken: p.holder.Taken(),
		Timely: p.responses.Timely, Late: p.responses.Late, Rejected: p.responses.Rejected, IsNew: p.isNew,
	}
	if p.isCold(now) {
		m.ColdMilliseconds = p.coldUntil.Sub(now).Milliseconds()
	}
	return m
}

// PacedEndpoints returns the number of endpoints that are paced.
func (f *Forwarder) PacedEndpoints() int {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	now, n := f.config.Now(), 0
	for _, e := range f.fleet.byIncarnation {
		if e.pace.isExpected(now) {
			n++
		}
	}
	return n
}

// lateFactor is how often the expected time to the first event a late response must have taken to count against the pace.
// In an overloaded fleet most responses are late at all endpoints, which is no sign that this one needs a lower limit.
const lateFactor = 2

// recordPaceResponse counts a response for the sidecar that paces the endpoint. Its first event, or all of a response that
// is no stream, is late after the route's objective if it also took much longer than expected. The fleet must be locked.
func (x *exchange) recordPaceResponse(e *endpoint, isFailure bool) {
	took := x.f.config.Now().Sub(x.sentAt)
	switch objective := x.route.Objective; {
	case isFailure:
		e.pace.responses.Rejected++
	case objective > 0 && took > objective && took > lateFactor*x.chosen.expected:
		e.pace.responses.Late++
	default:
		e.pace.responses.Timely++
	}
}

// recordRejected counts a request that the endpoint has rejected.
func (f *fleet) recordRejected(e *endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.pace.responses.Rejected++
}

// awaitGrant waits for a moment because all endpoints that could serve the request are paced. It returns false when the
// request has waited for too long.
func (x *exchange) awaitGrant(ctx context.Context) bool {
	f := x.f.fleet
	now := x.f.config.Now()
	if x.pacedSince.IsZero() {
		x.pacedSince = now
	}
	if now.Sub(x.pacedSince) >= maxGrantWait {
		return false
	}
	f.mu.Lock()
	f.serviceDemand(x.service).waiting++
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.serviceDemand(x.service).waiting--
		f.mu.Unlock()
	}()
	pause(ctx, grantPollInterval)
	return true
}

// awaitGrantAt waits for a grant at an endpoint that holds the adapter of the request.
func (x *exchange) awaitGrantAt(ctx context.Context, e *endpoint) {
	f := x.f.fleet
	begunAt := x.f.config.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	e.pace.waiting++
	for ctx.Err() == nil && !f.isGone(e) && f.paceOf(e, f.now()) == closed && f.now().Sub(begunAt) < maxLoadedGrantWait {
		f.mu.Unlock()
		pause(ctx, grantPollInterval)
		f.mu.Lock()
	}
	e.pace.waiting--
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
