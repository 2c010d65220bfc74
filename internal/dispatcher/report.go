package dispatcher

import (
	"context"
	"slices"

	"geraniumladder/internal/wire"
	"geraniumladder/pkg/placer"
)

// checkResidency compares the engine's resident adapters with the sidecar's slots. They differ if the engine has
// restarted or the outcome of an order was unknown.
func (d *Dispatcher) checkResidency(ctx context.Context) {
	d.mu.Lock()
	loadEvents, isClosed := d.loadEvents, d.closedFor() > 0
	d.mu.Unlock()
	if isClosed {
		return
	}
	resident, err := d.engine.resident(ctx, d.config.Settings.Endpoint.BaseModel)
	_, leaseHeld := d.lease.held()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.markUnready()
		return
	}
	if d.loadEvents != loadEvents || len(d.slots.Loading()) > 0 {
		return
	}
	slices.Sort(resident)
	if d.resyncSlots || !d.ready || !slices.Equal(resident, d.slots.Resident()) {
		d.resetSlots(resident)
	}
	// The first orders and requests wait for the lease, which ensures that a previous sidecar of this endpoint has
	// stopped.
	if !d.ready && (leaseHeld || d.everReady) {
		d.ready, d.everReady = true, true
		d.log.Info().Int("Resident", len(resident)).Msg("sidecar: endpoint ready")
		d.requestHeartbeat()
	}
	d.dispatchQueued()
}

// markUnready stops sending requests to an engine that does not answer and refuses the waiting ones, so that the
// entries send them elsewhere.
func (d *Dispatcher) markUnready() {
	if !d.ready {
		return
	}
	d.ready = false
	d.log.Warn().Msg("sidecar: engine does not answer")
	d.rejectWaiting(wire.RunErrorCodeStarting, "the engine does not answer; send the request elsewhere")
	d.requestHeartbeat()
}

// rejectWaiting ends all requests that have not started.
func (d *Dispatcher) rejectWaiting(code wire.RunErrorCode, message string) {
	for _, r := range d.runs {
		if r.expiresAt == 0 && !r.running {
			d.queue = d.queue.Without(r.key)
			d.removeSlotWaiter(r)
			d.rejectRun(r, code, message)
		}
	}
}

// resetSlots replaces the slots with the engine's report. Running requests whose adapter is still resident keep a pin.
func (d *Dispatcher) resetSlots(resident []string) {
	d.resyncSlots = false
	var lost, surplus []string
	d.slots, lost, surplus = d.slots.Reset(resident)
	now := d.elapsed()
	for _, key := range lost {
		r := d.runs[key]
		switch {
		case r == nil || r.expiresAt != 0:
		case r.running:
			if name := adapterOf(r.header); d.slots.IsResident(name) {
				d.slots, _ = d.slots.Acquire(name, key, false, now)
			}
		default:
			d.rejectRun(r, wire.RunErrorCodeLoadFailed, "the engine has restarted; retry the request")
		}
	}
	for _, name := range surplus {
		d.spawn(func(ctx context.Context) {
			err := d.withFencingToken(ctx, func(ctx context.Context, fencingToken int64) error { return d.engine.unload(ctx, name, fencingToken) })
			if err != nil {
				d.log.Warn().Err(err).Str("Adapter", name).Msg("sidecar: failed to unload surplus adapter")
			}
		})
	}
	d.requestHeartbeat()
}

// descriptor returns the full descriptor, including residency. An entry that has it is sent only residency changes.
func (d *Dispatcher) descriptor() wire.Descriptor {
	s := d.config.Settings
	kind := wire.DescriptorKindModel
	if s.Endpoint.Kind != kindModel {
		kind = wire.DescriptorKindService
	}
	residents := []wire.Residency{}
	for _, name := range d.heldAdapters() {
		residents = append(residents, wire.Residency{Name: name})
	}
	return wire.Descriptor{
		VM: s.VM, Role: wire.DescriptorRoleSidecar, Incarnation: d.incarnation, Address: d.config.Advertise,
		FailureDomain: s.FailureDomain, ProtocolMin: protocolVersion, ProtocolMax: protocolVersion,
		Capabilities: []string{"resume", "void"}, Kind: kind, BaseModel: s.Endpoint.BaseModel, Service: s.Endpoint.Service,
		Slots: s.Endpoint.Slots, MaxRunning: s.Endpoint.MaxRunning, TokensPerSecond: s.Endpoint.TokensPerSecond,
		Resident: residents,
	}
}

// protocolVersion is the version of the message protocol that this release supports.
const protocolVersion = 1

// estimatedWork returns the work of a request in the unit that entries use to compare endpoints: generated tokens, with
// prompt tokens converted by the ratio of prefill to decode throughput.
func estimatedWork(h wire.RunHeader) float64 {
	return float64(h.AnswerTokens) + float64(h.PromptTokens)/placer.DefaultPrefillRatio
}

func (d *Dispatcher) currentLoad() wire.Load {
	now := d.elapsed()
	waiting := d.queue.Load()
	// An organisation's long backlog does not delay the others, so it does not count when an endpoint is chosen. The
	// queue counts in weighted tokens, and one generated token costs generatedTokenCost.
	queued := d.queue.ShortBacklogTokens(now) / generatedTokenCost
	for _, r := range d.slotWaiters {
		queued += estimatedWork(r.header)
	}
	running := 0.0
	for r := range d.active {
		running += max(0, estimatedWork(r.header)-float64(r.response.tokenEstimate()))
	}
	d.loadSequence++
	return wire.Load{
		QueuedRequests: waiting.Requests + len(d.slotWaiters), QueuedTokens: int64(queued),
		Running: d.running, RunningTokens: int64(running), Sequence: d.loadSequence,
	}
}

// generatedTokenCost is the cost of a generated token in the queue's unit (see scheduler.Cost).
const generatedTokenCost = 2

// heldAdapters returns the sorted names of the adapters that are resident or being loaded. Requests for them need no
// load permit.
func (d *Dispatcher) heldAdapters() []string {
	names := append(d.slots.Resident(), d.slots.Loading()...)
	slices.Sort(names)
	return names
}

func (d *Dispatcher) state() wire.HeartbeatState {
	switch {
	case d.leaving:
		return wire.HeartbeatStateLeaving
	case !d.ready, d.reports.IsLeaving(d.endpointRun):
		// A sidecar's own leaving state is final, but the next run of its endpoint takes requests again.
		return wire.HeartbeatStateStarting
	}
	return wire.HeartbeatStateLive
}

// Status describes the sidecar for operators.
func (d *Dispatcher) Status() wire.SidecarStatus {
	var fencingToken int64
	if d.lease != nil {
		fencingToken, _ = d.lease.held()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.config.Settings
	return wire.SidecarStatus{
		VM: s.VM, Endpoint: s.Endpoint.URL, Incarnation: d.incarnation, FailureDomain: s.FailureDomain,
		State: string(d.state()), Resident: d.slots.Resident(), Pinned: d.slots.Pins(), Load: d.currentLoad(),
		Revision: d.revision, Fence: fencingToken,
	}
}
