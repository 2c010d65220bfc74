// Package inspector queries the state of the whole fleet for operators: processes, limits, revisions in force, and
// calls with an unknown outcome. It stores nothing itself, but settling a call updates the claim row of the call. Calls
// cannot be listed while the table service is unavailable; the commands then return an error.
package inspector

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"geraniumladder/internal/dispatcher"
	"geraniumladder/internal/messenger"
	"geraniumladder/internal/router"
	"geraniumladder/internal/storer"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/claimer"
)

const (
	// statusTimeout limits the status request to one process.
	statusTimeout = 2 * time.Second
	// maxConcurrentQueries limits how many processes are queried concurrently.
	maxConcurrentQueries = 64
	// callsPageSize is the number of claim rows per query.
	callsPageSize = 500
)

// Config configures an Inspector.
type Config struct {
	Platform  storer.Platform
	Messenger *messenger.Messenger
	// Now defaults to time.Now.
	Now func() time.Time
}

// Inspector queries the state of the fleet and settles calls.
type Inspector struct {
	config Config
}

// New returns an Inspector. Now defaults to time.Now.
func New(c Config) *Inspector {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Inspector{config: c}
}

// Process is one VM of the platform's list, with the status that its process reports.
type Process struct {
	VM            string `json:"Vm"`
	Role          string
	Address       string
	FailureDomain string
	Leaving       bool
	// Problem is the error of the status request; empty if the process responded.
	Problem string              `json:",omitempty"`
	Entry   *wire.EntryStatus   `json:",omitempty"`
	Sidecar *wire.SidecarStatus `json:",omitempty"`
}

// Fleet is a snapshot of the state of the fleet.
type Fleet struct {
	// Revision is the latest committed revision; -1 if it cannot be read from the table service.
	Revision  int64
	Processes []Process
}

// Fleet queries all processes in the platform's list and returns them sorted by role and VM.
func (i *Inspector) Fleet(ctx context.Context) (Fleet, error) {
	list, err := i.config.Platform.ListVMs(ctx)
	if err != nil {
		return Fleet{}, err
	}
	fleet := Fleet{Revision: -1, Processes: make([]Process, len(list))}
	if head, err := i.head(ctx); err == nil {
		fleet.Revision = head.Revision
	}
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentQueries)
	for n, vm := range list {
		semaphore <- struct{}{}
		wg.Go(func() {
			fleet.Processes[n] = i.queryProcess(ctx, vm)
			<-semaphore
		})
	}
	wg.Wait()
	slices.SortFunc(fleet.Processes, func(a, b Process) int {
		return strings.Compare(a.Role+"/"+a.VM, b.Role+"/"+b.VM)
	})
	return fleet, nil
}

func (i *Inspector) head(ctx context.Context) (wire.HeadRow, error) {
	var head wire.HeadRow
	row, err := i.config.Platform.Get(ctx, "config", "head")
	if storer.IsKind(err, storer.NotFound) {
		return head, nil
	}
	if err != nil {
		return head, err
	}
	return head, errors.Wrap(json.Unmarshal(row.Data, &head), "decode the head; check row config/head in the table service")
}

func (i *Inspector) queryProcess(ctx context.Context, vm storer.VM) Process {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	p := Process{VM: vm.Name, Role: vm.Role, Address: vm.Address, FailureDomain: vm.FailureDomain, Leaving: vm.Leaving}
	var err error
	if vm.Role == string(wire.DescriptorRoleEntry) {
		p.Entry = &wire.EntryStatus{}
		if err = i.config.Messenger.Get(ctx, vm.Address, router.StatusPath, p.Entry); err != nil {
			p.Entry = nil
		}
	} else {
		p.Sidecar = &wire.SidecarStatus{}
		if err = i.config.Messenger.Get(ctx, vm.Address, dispatcher.StatusPath, p.Sidecar); err != nil {
			p.Sidecar = nil
		}
	}
	if err != nil {
		p.Problem = err.Error()
	}
	return p
}

// InForce implements operator.InForce. It checks whether the revision is in force in all listed entries and returns the
// VMs of those in which it is not. Entries that do not respond are included, because they may still serve with an older
// revision.
func (i *Inspector) InForce(ctx context.Context, revision int64) (missing []string, err error) {
	fleet, err := i.Fleet(ctx)
	if err != nil {
		return nil, err
	}
	for _, p := range fleet.Processes {
		if p.Role != string(wire.DescriptorRoleEntry) {
			continue
		}
		if p.Entry == nil || p.Entry.Revision < revision {
			missing = append(missing, p.VM)
		}
	}
	return missing, nil
}

// Call is a request with an idempotency key, as recorded in its claim row.
type Call struct {
	Organisation string
	Key          string
	Claim        wire.ClaimRow
}

// Calls returns the calls in the given state, sorted by creation time, oldest first.
func (i *Inspector) Calls(ctx context.Context, state wire.ClaimRowState) ([]Call, error) {
	var calls []Call
	from := ""
	for {
		rows, err := i.config.Platform.Query(ctx, router.ClaimPartitionKey, from, callsPageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			call, err := decodeCall(row)
			if err != nil {
				return nil, err
			}
			if call.Claim.State == state {
				calls = append(calls, call)
			}
		}
		if len(rows) < callsPageSize {
			break
		}
		// A NUL byte makes this the smallest key after that of the last row, where the next page starts.
		from = rows[len(rows)-1].Sk + "\x00"
	}
	slices.SortFunc(calls, func(a, b Call) int { return int(a.Claim.CreatedMs - b.Claim.CreatedMs) })
	return calls, nil
}

func decodeCall(row storer.Row) (Call, error) {
	organisation, key, _ := strings.Cut(row.Sk, "/")
	call := Call{Organisation: organisation, Key: key}
	return call, errors.Wrapf(json.Unmarshal(row.Data, &call.Claim), "decode the claim %s", row.Sk)
}

// SettleError reports that a call cannot be settled in its present state.
type SettleError struct {
	Call   string
	State  wire.ClaimRowState
	Remedy string
}

// Error implements error.
func (e *SettleError) Error() string {
	return "cannot settle call " + e.Call + " in state " + string(e.State) + ": " + e.Remedy
}

// Settle records the outcome that operators established for a call whose outcome was unknown: that it ran, or that it
// did not run, after which a retry may run it. It refuses to settle a call as not run while the call may still be
// running.
func (i *Inspector) Settle(ctx context.Context, organisation, key string, ran bool, note string) error {
	sk := organisation + "/" + key
	row, err := i.config.Platform.Get(ctx, router.ClaimPartitionKey, sk)
	if err != nil {
		return err
	}
	call, err := decodeCall(row)
	if err != nil {
		return err
	}
	// The times in the row are those of an entry's wall clock, which may be ahead of this one.
	now := i.config.Now().Add(-claimer.MaxClockSkew).UnixMilli() //nolint:forbidigo // MaxClockSkew allows for the jumps of clocks.
	switch {
	case call.Claim.State == wire.ClaimRowStateUnknown:
	case call.Claim.State == wire.ClaimRowStateClaimed && now > call.Claim.DeadlineMs:
	case call.Claim.State == wire.ClaimRowStateClaimed:
		return &SettleError{Call: sk, State: call.Claim.State, Remedy: "it may still be running; wait until its deadline has passed"}
	default:
		return &SettleError{Call: sk, State: call.Claim.State, Remedy: "its outcome is already known"}
	}
	// Even after its deadline or in the state unknown, the call may still be running until its longest lifetime has
	// passed. Only then may it be settled as not run.
	if latestEnd := call.Claim.CreatedMs + claimer.DefaultMaxLifetime.Milliseconds(); !ran && now <= latestEnd {
		return &SettleError{Call: sk, State: call.Claim.State,
			Remedy: "it may still be running; settle it as not run after " + time.UnixMilli(latestEnd).Add(claimer.MaxClockSkew).UTC().Format(time.RFC3339)} //nolint:forbidigo // Shown to operators only.
	}
	call.Claim.State = wire.ClaimRowStateSettledNotRun
	if ran {
		call.Claim.State = wire.ClaimRowStateSettledRan
	}
	call.Claim.Note = &note
	data, err := json.Marshal(call.Claim)
	if err != nil {
		return errors.Wrap(err, "encode the claim")
	}
	return i.config.Platform.Put(ctx, storer.Row{Pk: row.Pk, Sk: row.Sk, Data: data, Mark: uuid.NewString()}, row.Version)
}
