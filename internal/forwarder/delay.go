package forwarder

import (
	"context"
	"runtime"
	"time"

	"geraniumladder/pkg/shedder"
)

// delayProbeInterval is the interval at which MeasureDelay measures the delay of the process.
const delayProbeInterval = 40 * time.Millisecond

// minSuspension is the delay from which the process counts as suspended. Shorter ones matter only while they last.
const minSuspension = 100 * time.Millisecond

// suspension is the last time in which the process did not run.
type suspension struct {
	until, length time.Duration
}

// patientCaller is the time that a caller without a timeout is taken to wait.
const patientCaller = time.Minute

// MeasureDelay measures, until ctx is cancelled, how long this process is behind: how much later than due a goroutine
// runs that waits for its turn among those of the requests. ServeHTTP rejects requests while the delay stands.
func (f *Forwarder) MeasureDelay(ctx context.Context) error {
	timer := time.NewTimer(delayProbeInterval)
	defer timer.Stop()
	due := f.config.Now().Add(delayProbeInterval)
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		// An expired timer makes its goroutine the next one to run. Gosched puts it behind those that are ready.
		runtime.Gosched()
		now := f.config.Now()
		f.RecordDelay(now.Sub(due))
		timer.Reset(delayProbeInterval)
		due = f.config.Now().Add(delayProbeInterval)
	}
}

// RecordDelay records one measurement of the delay of the process.
func (f *Forwarder) RecordDelay(delay time.Duration) {
	delay = max(0, delay)
	now := f.elapsed()
	f.mu.Lock()
	before := f.shedder.StandingDelay(now)
	f.shedder = f.shedder.WithDelay(now, delay)
	f.measuredAt = now
	if delay >= minSuspension {
		f.suspension = suspension{until: now, length: delay}
	}
	after := f.shedder.StandingDelay(now)
	f.mu.Unlock()
	f.config.Observer.Delay(delay)
	if wasBehind, isBehind := before > shedder.DefaultTarget, after > shedder.DefaultTarget; wasBehind != isBehind {
		f.config.Log.Info().Bool("IsBehind", isBehind).Dur("Delay", delay).Dur("Standing", after).Int64("Open", f.open.Load()).
			Msg("forwarder: process fell behind or caught up")
	}
}

// delayWithin returns by how much the process is behind or has been suspended within the last span. After a suspension,
// the requests may run before MeasureDelay does.
func (f *Forwarder) delayWithin(span time.Duration) time.Duration {
	now := f.elapsed()
	f.mu.Lock()
	defer f.mu.Unlock()
	delay := f.shedder.Delay(now)
	if f.measuredAt > 0 {
		delay = max(delay, now-f.measuredAt-delayProbeInterval)
	}
	if now-f.suspension.until <= span {
		delay = max(delay, f.suspension.length)
	}
	return delay
}

func (f *Forwarder) elapsed() time.Duration { return f.config.Now().Sub(f.start) }

// admitByDelay returns the delay of the process, and a refusal if the request can't be handled in time.
func (f *Forwarder) admitByDelay(remaining time.Duration) (time.Duration, *Refusal) {
	now := f.elapsed()
	f.mu.Lock()
	s := f.shedder
	f.mu.Unlock()
	if remaining <= 0 {
		remaining = patientCaller
	}
	if ok, after := f.config.Shedding.Admit(s, now, remaining); !ok {
		return s.Delay(now), refuseUnavailable("overloaded", after)
	}
	return s.Delay(now), nil
}
