package forwarder

import (
	"context"
	"time"

	"geraniumladder/pkg/detector"
)

// maxProbes limits the probes in progress. With more endpoints to probe, the fault is more likely near this entry.
const maxProbes = 64

// endpointProbe is a probe of an endpoint whose sidecar is overdue.
type endpointProbe struct {
	endpoint *endpoint
	address  string
	born     int64
}

// probeResult is the end of a probe.
type probeResult struct {
	endpointProbe
	isAlive bool
	took    time.Duration
	err     error
}

// startProbes starts the probes. Their goroutines report to probeEnds, which has room for all of them.
func (f *Forwarder) startProbes(probes []endpointProbe) {
	for _, p := range probes {
		go func() {
			ctx, cancel := context.WithTimeout(f.ended, detector.ProbeTimeout)
			defer cancel()
			start := f.config.Now()
			born, err := f.config.Probe(ctx, p.address)
			isOther := born != 0 && p.born != 0 && born != p.born
			f.probeEnds <- probeResult{endpointProbe: p, isAlive: err == nil && !isOther, took: f.config.Now().Sub(start), err: err}
		}()
	}
}

// collectProbes records the results of the probes that have ended.
func (f *Forwarder) collectProbes() {
	for {
		select {
		case r := <-f.probeEnds:
			f.fleet.mu.Lock()
			f.fleet.probing--
			r.endpoint.probes = r.endpoint.probes.WithResult(r.isAlive)
			f.fleet.mu.Unlock()
			f.config.Log.Info().Str("Endpoint", r.endpoint.ID).Bool("IsAlive", r.isAlive).Dur("Took", r.took).AnErr("Error", r.err).
				Msg("forwarder: endpoint of an overdue sidecar probed")
		default:
			return
		}
	}
}

// dueProbes returns the endpoints to be probed: those whose sidecars are overdue, with attempts that will be abandoned soon
// if the endpoint doesn't answer either. The caller holds the lock.
func (f *fleet) dueProbes(now time.Time) []endpointProbe {
	var due []endpointProbe
	for _, e := range f.byIncarnation {
		isOverdue := e.liveness == detector.Suspect || e.liveness == detector.Silent
		if !isOverdue || f.probing >= maxProbes || !e.probes.IsDue(now) || len(f.stalledAttempts(e, now, abandonAfterIdle-detector.ProbeTimeout)) == 0 {
			continue
		}
		e.probes = e.probes.WithStart(now)
		f.probing++
		due = append(due, endpointProbe{endpoint: e, address: e.Address, born: e.Born})
	}
	return due
}
