package dispatcher

import (
	"context"
	"time"

	"geraniumladder/internal/wire"
	"geraniumladder/pkg/pinner"
)

// loadOnArrival starts the load of an absent adapter at once if the request brings a permit, in place of when the
// queue gives the request out, so that the load overlaps with the wait of the others.
func (d *Dispatcher) loadOnArrival(r *run, now time.Duration) bool {
	name := adapterOf(r.header)
	if name == "" || r.header.PermitID == "" || d.slots.IsResident(name) {
		return false
	}
	slots, action := d.slots.Take(name, r.key, true, now)
	switch action.Kind {
	case pinner.Load:
		d.slots = slots
		d.startLoad(r.header.WeightPath, name, action.Evict)
		return true
	case pinner.Wait:
		// The request stays pinned to the load that others have started.
		d.slots = slots
		return true
	default:
		return false
	}
}

func (d *Dispatcher) residentForQueue(adapter string) bool {
	return adapter == "" || adapter != d.draining && d.slots.IsResident(adapter)
}

// retryAside places requests that had found no slot.
func (d *Dispatcher) retryAside(now time.Duration) {
	waiting := d.aside
	d.aside = nil
	for _, r := range waiting {
		d.place(r, now)
	}
	if len(d.aside) == 0 {
		d.draining = ""
		return
	}
	if d.draining == "" && now-d.aside[0].asideSince > drainAfter {
		d.draining = d.leastPinned()
	}
}

// leastPinned names the resident adapter with the fewest pins.
func (d *Dispatcher) leastPinned() string {
	best, pins := "", 0
	for _, name := range d.slots.Resident() {
		if n := len(d.slots.Pinning(name)); best == "" || n < pins {
			best, pins = name, n
		}
	}
	return best
}

func (d *Dispatcher) setAside(r *run, now time.Duration) {
	if r.asideSince == 0 {
		r.asideSince = now
	}
	d.aside = append(d.aside, r)
}

// startLoad loads an adapter in the background. The caller holds the lock.
func (d *Dispatcher) startLoad(path, name, evict string) {
	d.loads++
	// The entries hear of the load at its start, so that further requests for the adapter come here.
	d.wake()
	d.spawn(func(ctx context.Context) { d.loadAdapter(ctx, name, path, evict) })
}

func (d *Dispatcher) loadAdapter(ctx context.Context, name, path, evict string) {
	begun := d.now()
	err := d.order(ctx, func(ctx context.Context, fence int64) error {
		if evict == "" {
			return nil
		}
		return d.engine.unload(ctx, evict, fence)
	})
	if err == nil {
		err = d.order(ctx, func(ctx context.Context, fence int64) error { return d.engine.load(ctx, name, path, fence) })
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loads++
	if err != nil {
		d.log.Warn().Err(err).Str("Adapter", name).Msg("sidecar: adapter load failed")
		d.config.Meter.Load("failed", d.now().Sub(begun))
		var waiters []string
		d.slots, waiters = d.slots.LoadFailed(name)
		for _, key := range waiters {
			if w := d.runs[key]; w != nil {
				d.drop(w, wire.RunErrorCodeLoadFailed, "the adapter could not be loaded; retry elsewhere")
			}
		}
		// Whether the evicted adapter is still there is not known.
		d.distrust = true
		d.pump()
		return
	}
	d.config.Meter.Load("ok", d.now().Sub(begun))
	var waiters []string
	d.slots, waiters = d.slots.Loaded(name)
	for _, key := range waiters {
		if w := d.runs[key]; w != nil {
			d.config.Meter.Stall(w.header.Organisation)
			d.start(w)
		}
	}
	d.pump()
	d.wake()
}

// order gives an order to the engine with the fencing number of the lease, checked just before it is sent.
func (d *Dispatcher) order(ctx context.Context, send func(ctx context.Context, fence int64) error) error {
	fence, held := d.lease.held()
	if !held {
		return errNoLease
	}
	return send(ctx, fence)
}

func (d *Dispatcher) removeAside(r *run) {
	for i, a := range d.aside {
		if a == r {
			d.aside = append(d.aside[:i:i], d.aside[i+1:]...)
			return
		}
	}
}
