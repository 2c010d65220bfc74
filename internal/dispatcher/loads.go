package dispatcher

import (
	"context"
	"time"

	"geraniumladder/internal/wire"
	"geraniumladder/pkg/pinner"
)

// loadOnArrival starts loading a missing adapter as soon as a request with a load permit arrives, instead of when the
// request is dequeued, so that the load overlaps with the queueing time of other requests.
func (d *Dispatcher) loadOnArrival(r *run, now time.Duration) bool {
	name := adapterOf(r.header)
	if name == "" || r.header.PermitID == "" || d.slots.IsResident(name) {
		return false
	}
	slots, action := d.slots.Acquire(name, r.key, true, now)
	switch action.Kind {
	case pinner.Load:
		d.slots = slots
		d.startLoad(r.header.WeightPath, name, action.Evict)
		return true
	case pinner.Wait:
		// The request is pinned to the load that is already running.
		d.slots = slots
		return true
	default:
		return false
	}
}

func (d *Dispatcher) canServe(adapter string) bool {
	return adapter == "" || adapter != d.drainingAdapter && d.slots.IsResident(adapter)
}

// retrySlotWaiters retries the requests that found no free adapter slot.
func (d *Dispatcher) retrySlotWaiters(now time.Duration) {
	waiting := d.slotWaiters
	d.slotWaiters = nil
	for _, r := range waiting {
		d.tryStart(r, now)
	}
	if len(d.slotWaiters) == 0 {
		d.drainingAdapter = ""
		return
	}
	if d.drainingAdapter == "" && now-d.slotWaiters[0].slotWaitSince > slotWaitBeforeDrain {
		d.drainingAdapter = d.leastPinnedAdapter()
	}
}

// leastPinnedAdapter returns the resident adapter with the fewest pins.
func (d *Dispatcher) leastPinnedAdapter() string {
	best, pins := "", 0
	for _, name := range d.slots.Resident() {
		if n := len(d.slots.PinnedBy(name)); best == "" || n < pins {
			best, pins = name, n
		}
	}
	return best
}

func (d *Dispatcher) addSlotWaiter(r *run, now time.Duration) {
	if r.slotWaitSince == 0 {
		r.slotWaitSince = now
	}
	d.slotWaiters = append(d.slotWaiters, r)
}

// startLoad loads an adapter in the background. The caller holds the lock.
func (d *Dispatcher) startLoad(path, name, evict string) {
	d.loadEvents++
	// Entries are notified when a load starts, so that they send further requests for the adapter to this endpoint.
	d.requestHeartbeat()
	d.spawn(func(ctx context.Context) { d.loadAdapter(ctx, name, path, evict) })
}

func (d *Dispatcher) loadAdapter(ctx context.Context, name, path, evict string) {
	startedAt := d.now()
	err := d.withFencingToken(ctx, func(ctx context.Context, fencingToken int64) error {
		if evict == "" {
			return nil
		}
		return d.engine.unload(ctx, evict, fencingToken)
	})
	if err == nil {
		err = d.withFencingToken(ctx, func(ctx context.Context, fencingToken int64) error {
			return d.engine.load(ctx, name, path, fencingToken)
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loadEvents++
	if err != nil {
		d.log.Warn().Err(err).Str("Adapter", name).Msg("sidecar: adapter load failed")
		d.config.Meter.Load("failed", d.now().Sub(startedAt))
		var waiters []string
		d.slots, waiters = d.slots.LoadFailed(name)
		for _, key := range waiters {
			if w := d.runs[key]; w != nil {
				d.rejectRun(w, wire.RunErrorCodeLoadFailed, "the adapter could not be loaded; retry elsewhere")
			}
		}
		// It is unknown whether the evicted adapter is still resident.
		d.resyncSlots = true
		d.dispatchQueued()
		return
	}
	d.config.Meter.Load("ok", d.now().Sub(startedAt))
	var waiters []string
	d.slots, waiters = d.slots.Loaded(name)
	for _, key := range waiters {
		if w := d.runs[key]; w != nil {
			d.config.Meter.Stall(w.header.Organisation)
			d.start(w)
		}
	}
	d.dispatchQueued()
	d.requestHeartbeat()
}

// withFencingToken sends an order to the engine with the fencing token of the lease. The lease is checked immediately
// before the order is sent.
func (d *Dispatcher) withFencingToken(ctx context.Context, send func(ctx context.Context, fencingToken int64) error) error {
	fencingToken, held := d.lease.held()
	if !held {
		return errLeaseNotHeld
	}
	return send(ctx, fencingToken)
}

func (d *Dispatcher) removeSlotWaiter(r *run) {
	for i, waiter := range d.slotWaiters {
		if waiter == r {
			d.slotWaiters = append(d.slotWaiters[:i:i], d.slotWaiters[i+1:]...)
			return
		}
	}
}
