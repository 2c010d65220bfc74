// Package inspector reads the state of the whole fleet for operators: processes, limits, revisions in force, and calls
// whose outcome is not known. It owns no state; settling a call writes its claim row. When the table service is
// unavailable it cannot list calls, and says so.
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
	// askTimeout bounds the wait for one process.
	askTimeout = 2 * time.Second
	// askAtOnce bounds the processes that are asked at the same time.
	askAtOnce = 64
	// callsPage is how many claim rows are read at once.
	callsPage = 500
)

// Config configures an Inspector.
type Config struct {
	Platform  storer.Platform
	Messenger *messenger.Messenger
	// Now is time.Now when nil.
	Now func() time.Time
}

// Inspector reads the state of the fleet.
type Inspector struct {
	config Config
}

// New returns an Inspector.
func New(c Config) *Inspector {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Inspector{config: c}
}

// Process is one VM of the platform's list and what its process says of itself.
type Process struct {
	VM            string `json:"Vm"`
	Role          string
	Address       string
	FailureDomain string
	Leaving       bool
	// Problem says why the process could not be read; empty when it answered.
	Problem string              `json:",omitempty"`
	Entry   *wire.EntryStatus   `json:",omitempty"`
	Sidecar *wire.SidecarStatus `json:",omitempty"`
}

// Fleet is the state of the fleet at one moment.
type Fleet struct {
	// Revision is the newest committed one; -1 when the table service does not answer.
	Revision  int64
	Processes []Process
}

// Fleet reads all processes of the platform's list, sorted by role and VM.
func (i *Inspector) Fleet(ctx context.Context) (Fleet, error) {
	list, err := i.config.Platform.List(ctx)
	if err != nil {
		return Fleet{}, err
	}
	fleet := Fleet{Revision: -1, Processes: make([]Process, len(list))}
	if head, err := i.head(ctx); err == nil {
		fleet.Revision = head.Revision
	}
	var ends sync.WaitGroup
	slots := make(chan struct{}, askAtOnce)
	for n, vm := range list {
		slots <- struct{}{}
		ends.Go(func() {
			fleet.Processes[n] = i.ask(ctx, vm)
			<-slots
		})
	}
	ends.Wait()
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
	return head, errors.Wrap(json.Unmarshal(row.Data, &head), "decode the head; check the table service's rows config/head")
}

func (i *Inspector) ask(ctx context.Context, vm storer.VM) Process {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// InForce names the live entries that do not yet have the revision in force. An entry that does not answer is named,
// because it may still serve under an older one.
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

// Call is a call with an idempotency key.
type Call struct {
	Organisation string
	Key          string
	Claim        wire.ClaimRow
}

// Calls returns the calls in the given state, oldest first.
func (i *Inspector) Calls(ctx context.Context, state wire.ClaimRowState) ([]Call, error) {
	var calls []Call
	from := ""
	for {
		rows, err := i.config.Platform.Query(ctx, router.ClaimPk, from, callsPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			call, err := callOf(row)
			if err != nil {
				return nil, err
			}
			if call.Claim.State == state {
				calls = append(calls, call)
			}
		}
		if len(rows) < callsPage {
			break
		}
		// The next page begins after the last row.
		from = rows[len(rows)-1].Sk + "\x00"
	}
	slices.SortFunc(calls, func(a, b Call) int { return int(a.Claim.CreatedMs - b.Claim.CreatedMs) })
	return calls, nil
}

func callOf(row storer.Row) (Call, error) {
	organisation, key, _ := strings.Cut(row.Sk, "/")
	call := Call{Organisation: organisation, Key: key}
	return call, errors.Wrapf(json.Unmarshal(row.Data, &call.Claim), "decode the claim %s", row.Sk)
}

// SettleError means that a call cannot be settled.
type SettleError struct {
	Call   string
	State  wire.ClaimRowState
	Remedy string
}

// Error implements error.
func (e *SettleError) Error() string {
	return "the call " + e.Call + " is " + string(e.State) + "; " + e.Remedy
}

// Settle records what operators found out about a call whose outcome was not known: that it ran, or that it did not,
// so that a retry may run it. A call that may still be running is not settled as not run.
func (i *Inspector) Settle(ctx context.Context, organisation, key string, ran bool, note string) error {
	sk := organisation + "/" + key
	row, err := i.config.Platform.Get(ctx, router.ClaimPk, sk)
	if err != nil {
		return err
	}
	call, err := callOf(row)
	if err != nil {
		return err
	}
	now := i.config.Now().UnixMilli()
	switch {
	case call.Claim.State == wire.ClaimRowStateUnknown:
	case call.Claim.State == wire.ClaimRowStateClaimed && now > call.Claim.DeadlineMs:
	case call.Claim.State == wire.ClaimRowStateClaimed:
		return &SettleError{Call: sk, State: call.Claim.State, Remedy: "it may be running; wait for its deadline"}
	default:
		return &SettleError{Call: sk, State: call.Claim.State, Remedy: "there is nothing to settle"}
	}
	if end := call.Claim.CreatedMs + claimer.DefaultMaxLife.Milliseconds(); !ran && now <= end {
		return &SettleError{Call: sk, State: call.Claim.State,
			Remedy: "it may still be running; settle it as not run after " + time.UnixMilli(end).UTC().Format(time.RFC3339)}
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
