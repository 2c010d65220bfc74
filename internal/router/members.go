package router

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"geraniumladder/internal/wire"
	"geraniumladder/pkg/placer"
	"geraniumladder/pkg/tracker"
)

// protocolVersion is the version of the message protocol that this release supports.
const protocolVersion = 1

// handleHeartbeat processes the heartbeat of a sidecar.
func (r *Router) handleHeartbeat(c echo.Context) error {
	var heartbeat wire.Heartbeat
	if err := c.Bind(&heartbeat); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "the heartbeat is malformed; run releases that fit together")
	}
	r.config.Meter.ControlBytes("in", int(c.Request().ContentLength))
	want, err := r.recordHeartbeat(heartbeat)
	if incompatible := (*tracker.IncompatibleError)(nil); errors.As(err, &incompatible) {
		r.log.Error().Str("Vm", heartbeat.VM).Msg("entry: " + incompatible.Error())
		return echo.NewHTTPError(http.StatusPreconditionFailed, incompatible.Error())
	}
	if err != nil {
		return err
	}
	r.config.Follower.RecordFreshness(heartbeat.Freshness)
	return c.JSON(http.StatusOK, wire.HeartbeatReply{
		Entries: r.entries(), WantDescriptor: want, Freshness: r.config.Follower.Freshness(),
	})
}

// entries returns the addresses of the known entries, including this one.
func (r *Router) entries() []string {
	return append([]string{r.config.AdvertiseAddress}, r.config.Lender.EntryAddresses()...)
}

// recordHeartbeat applies a heartbeat to the members and the view. It reports whether the sidecar must send its
// descriptor.
func (r *Router) recordHeartbeat(heartbeat wire.Heartbeat) (wantDescriptor bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.elapsed()
	message := tracker.Heartbeat[wire.Descriptor]{
		VM: heartbeat.VM, Incarnation: heartbeat.Incarnation, Address: heartbeat.Address, State: trackerState(heartbeat.State),
		Sequence: heartbeat.Load.Sequence, Hash: heartbeat.DescriptorHash,
	}
	if d := heartbeat.Descriptor; d != nil {
		message.Descriptor = &tracker.Descriptor[wire.Descriptor]{
			Role: tracker.Role(d.Role), FailureDomain: d.FailureDomain, ProtocolMin: d.ProtocolMin, ProtocolMax: d.ProtocolMax, Detail: *d,
		}
	}
	table, reply, err := r.members.WithHeartbeat(message, now)
	if err != nil {
		return false, err
	}
	r.members = table
	if reply.Dropped {
		return false, nil
	}
	if d := heartbeat.Descriptor; d != nil {
		r.view = r.view.WithDescriptor(placerDescriptor(*d))
	}
	want := reply.WantDescriptor
	if delta := heartbeat.ResidencyDelta; delta != nil {
		var gap bool
		r.view, gap = r.view.WithResidency(heartbeat.VM, heartbeat.Incarnation, placer.Delta{
			Sequence: delta.Sequence, Added: delta.Added, Removed: delta.Removed,
		})
		want = want || gap
	}
	r.view = r.view.WithLoad(heartbeat.VM, heartbeat.Incarnation, placerLoad(heartbeat.Load), now)
	// Only the state of this member can have changed. The others change only with time, which refreshStates handles.
	if m, known := r.members.Member(heartbeat.VM, now); known {
		r.applyState(m)
	}
	return want, nil
}

func trackerState(s wire.HeartbeatState) tracker.State {
	switch s {
	case wire.HeartbeatStateLive:
		return tracker.Live
	case wire.HeartbeatStateLeaving:
		return tracker.Leaving
	default:
		return tracker.Starting
	}
}

func placerDescriptor(d wire.Descriptor) placer.Descriptor {
	out := placer.Descriptor{
		VM: d.VM, Address: d.Address, FailureDomain: d.FailureDomain, Incarnation: d.Incarnation,
		BaseModel: d.BaseModel, Service: d.Service, Slots: d.Slots, MaxRunning: d.MaxRunning, TokensPerSecond: d.TokensPerSecond,
	}
	for _, res := range d.Resident {
		if res.Loading != nil && *res.Loading {
			out.Loading = append(out.Loading, res.Name)
		} else {
			out.Resident = append(out.Resident, res.Name)
		}
	}
	return out
}

func placerLoad(l wire.Load) placer.Load {
	return placer.Load{
		QueuedRequests: l.QueuedRequests, QueuedTokens: l.QueuedTokens,
		Running: l.Running, RunningTokens: l.RunningTokens, Sequence: l.Sequence,
	}
}

// refreshStates applies the members' states to the view. The caller holds mu.
func (r *Router) refreshStates(now time.Duration) {
	for _, m := range r.members.Members(now) {
		if r.viewStates[m.VM] != m.State || m.State == tracker.Live {
			r.applyState(m)
		}
	}
}

// applyState applies the state of one member to the view. The caller holds mu.
func (r *Router) applyState(m tracker.Member[wire.Descriptor]) {
	if m.State == tracker.Gone {
		r.view = r.view.Without(m.VM)
		delete(r.viewStates, m.VM)
		return
	}
	r.viewStates[m.VM] = m.State
	r.view = r.view.WithState(m.VM, m.Incarnation, placerState(m.State))
}

// startupTimeout is how long a new entry fails /healthz while it knows no endpoint. After that the fleet is assumed to
// have none, and /healthz succeeds.
const startupTimeout = 15 * time.Second

// isReady reports whether the load balancer may send requests to this entry. A new entry learns of the endpoints from
// their next heartbeats.
func (r *Router) isReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Len() > 0 || r.elapsed() > startupTimeout
}

func placerState(s tracker.State) placer.State {
	switch s {
	case tracker.Live:
		return placer.Live
	case tracker.Leaving:
		return placer.Leaving
	case tracker.Suspect:
		return placer.Suspect
	default:
		return placer.Starting
	}
}

// readVMList merges the platform's VM list with the sidecars' own reports and updates the view.
func (r *Router) readVMList(ctx context.Context) {
	list, err := r.config.Platform.ListVMs(ctx)
	_, reachable, _ := r.config.Lender.PeerCounts()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.elapsed()
	if err != nil {
		r.log.Debug().Err(err).Msg("entry: could not read the platform's VM list")
	} else {
		listed := make([]tracker.ListedVM, 0, len(list))
		for _, vm := range list {
			if vm.Role == string(tracker.Sidecar) {
				listed = append(listed, tracker.ListedVM{
					VM: vm.Name, Address: vm.Address, FailureDomain: vm.FailureDomain, Role: tracker.Sidecar, Leaving: vm.Leaving,
				})
			}
		}
		r.members = r.members.WithList(listed, now)
	}
	r.members = r.members.WithoutForgotten(now)
	r.reports = r.reports.WithoutExpired(func(string) bool { return false }, now)
	r.refreshStates(now)
	r.view = r.view.WithEntries(reachable + 1)
}
