package dispatcher

import (
	"context"
	"slices"

	"geraniumladder/internal/wire"
	"geraniumladder/pkg/placer"
)

// readResident reads what the engine holds and compares it with what the sidecar believes. A difference means that
// the engine has restarted or that an order's outcome was not known.
func (d *Dispatcher) readResident(ctx context.Context) {
	d.mu.Lock()
	loads := d.loads
	d.mu.Unlock()
	resident, err := d.engine.resident(ctx, d.config.Settings.Endpoint.BaseModel)
	_, leased := d.lease.held()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.unready()
		return
	}
	if d.loads != loads || len(d.slots.Loading()) > 0 {
		return
	}
	slices.Sort(resident)
	if d.distrust || !d.ready || !slices.Equal(resident, d.slots.Resident()) {
		d.reset(resident)
	}
	// The first orders and requests wait for the lease, so that a sidecar that was here before has stopped.
	if !d.ready && (leased || d.wasReady) {
		d.ready, d.wasReady = true, true
		d.log.Info().Int("Resident", len(resident)).Msg("sidecar: endpoint ready")
		d.wake()
	}
	d.pump()
}

// unready stops giving requests to an engine that does not answer, and sends the waiting ones elsewhere.
func (d *Dispatcher) unready() {
	if !d.ready {
		return
	}
	d.ready = false
	d.log.Warn().Msg("sidecar: engine does not answer")
	for _, r := range d.runs {
		if r.forget == 0 && !r.running {
			d.queue = d.queue.Without(r.key)
			d.removeAside(r)
			d.drop(r, wire.RunErrorCodeStarting, "the engine does not answer; send the request elsewhere")
		}
	}
	d.wake()
}

// reset believes the engine's report in place of the slots. Running requests whose adapter is still there keep a pin.
func (d *Dispatcher) reset(resident []string) {
	d.distrust = false
	var lost, surplus []string
	d.slots, lost, surplus = d.slots.Reset(resident)
	now := d.elapsed()
	for _, key := range lost {
		r := d.runs[key]
		switch {
		case r == nil || r.forget != 0:
		case r.running:
			if name := adapterOf(r.header); d.slots.IsResident(name) {
				d.slots, _ = d.slots.Take(name, key, false, now)
			}
		default:
			d.drop(r, wire.RunErrorCodeLoadFailed, "the engine has restarted; retry the request")
		}
	}
	for _, name := range surplus {
		d.spawn(func(ctx context.Context) {
			err := d.order(ctx, func(ctx context.Context, fence int64) error { return d.engine.unload(ctx, name, fence) })
			if err != nil {
				d.log.Warn().Err(err).Str("Adapter", name).Msg("sidecar: surplus adapter not unloaded")
			}
		})
	}
	d.wake()
}

// descriptor describes the sidecar, without its residents, which are told as deltas.
func (d *Dispatcher) descriptor() wire.Descriptor {
	s := d.config.Settings
	kind := wire.DescriptorKindModel
	if s.Endpoint.Kind != kindModel {
		kind = wire.DescriptorKindService
	}
	residents := []wire.Residency{}
	for _, name := range d.held() {
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

// protocolVersion is the version of the messages that this release speaks.
const protocolVersion = 1

// workOf is a request's work in the unit in which entries compare endpoints: tokens to generate, with prompt tokens at
// the speed of prefill.
func workOf(h wire.RunHeader) float64 {
	return float64(h.AnswerTokens) + float64(h.PromptTokens)/placer.DefaultPrefillSpeed
}

func (d *Dispatcher) currentLoad() wire.Load {
	now := d.elapsed()
	waiting := d.queue.Load()
	// An organisation's long queue makes no difference to the others, so it does not count for the choice of an
	// endpoint. The queue counts in weighted tokens, of which one generated token costs answerCost.
	queued := d.queue.FairTokens(now) / answerCost
	for _, r := range d.aside {
		queued += workOf(r.header)
	}
	running := 0.0
	for r := range d.active {
		running += max(0, workOf(r.header)-float64(r.answer.tokens()))
	}
	d.sequence++
	return wire.Load{
		QueuedRequests: waiting.Requests + len(d.aside), QueuedTokens: int64(queued),
		Running: d.running, RunningTokens: int64(running), Sequence: d.sequence,
	}
}

// answerCost is the cost of a generated token in the queue's unit (scheduler.Cost).
const answerCost = 2

// held names the adapters that are resident or being loaded, sorted: requests for these need no load permit.
func (d *Dispatcher) held() []string {
	names := append(d.slots.Resident(), d.slots.Loading()...)
	slices.Sort(names)
	return names
}

func (d *Dispatcher) state() wire.HeartbeatState {
	switch {
	case d.leaving:
		return wire.HeartbeatStateLeaving
	case !d.ready:
		return wire.HeartbeatStateStarting
	}
	return wire.HeartbeatStateLive
}

// Status describes the sidecar for operators.
func (d *Dispatcher) Status() wire.SidecarStatus {
	var fence int64
	if d.lease != nil {
		fence, _ = d.lease.held()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.config.Settings
	return wire.SidecarStatus{
		VM: s.VM, Endpoint: s.Endpoint.URL, Incarnation: d.incarnation, FailureDomain: s.FailureDomain,
		State: string(d.state()), Resident: d.slots.Resident(), Pinned: d.slots.Pins(), Load: d.currentLoad(),
		Revision: d.revision, Fence: fence,
	}
}
