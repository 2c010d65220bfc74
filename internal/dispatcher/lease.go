package dispatcher

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"geraniumladder/internal/storer"
	"geraniumladder/pkg/leaser"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// leasePartitionKey is the partition key of the lease rows.
const leasePartitionKey = "lease"

// leaseManager acquires, renews and releases the lease of one endpoint in the table service.
type leaseManager struct {
	table storer.Table
	now   func() time.Duration
	log   zerolog.Logger
	name  string
	// released is closed when the lease has been released.
	released chan struct{}

	mu    sync.Mutex
	lease leaser.Lease
	// changed is signalled when the lease state machine has to be run again.
	changed chan struct{}
}

func newLeaseManager(table storer.Table, c leaser.Config, now func() time.Duration, log zerolog.Logger) *leaseManager {
	return &leaseManager{
		table: table, now: now, log: log, name: c.Name, released: make(chan struct{}), lease: leaser.New(c), changed: make(chan struct{}, 1),
	}
}

// held returns the fencing token while the lease is held.
func (k *leaseManager) held() (int64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Held(k.now())
}

// releaseTimeout bounds the wait for the release. If the release is not written, the next sidecar has to wait for the
// lease to expire.
const releaseTimeout = 3 * time.Second

// release releases the lease and waits until the release has been written, for at most releaseTimeout.
func (k *leaseManager) release(ctx context.Context) {
	k.mu.Lock()
	k.lease = k.lease.WithRelease()
	k.mu.Unlock()
	select {
	case k.changed <- struct{}{}:
	default:
	}
	select {
	case <-k.released:
	case <-time.After(releaseTimeout):
	case <-ctx.Done():
	}
}

// run acquires and renews the lease until it has been released or ctx ends.
func (k *leaseManager) run(ctx context.Context) error {
	wasHeld := false
	for {
		action := k.next()
		if action.Kind == leaser.Ended {
			close(k.released)
			return nil
		}
		if err := k.perform(ctx, action); err != nil {
			return err
		}
		if fencingToken, held := k.held(); held != wasHeld {
			wasHeld = held
			k.log.Info().Int64("Fence", fencingToken).Bool("Held", held).Msg("sidecar: lease changed")
		}
	}
}

func (k *leaseManager) next() leaser.Action {
	k.mu.Lock()
	defer k.mu.Unlock()
	var action leaser.Action
	k.lease, action = k.lease.Next(k.now())
	return action
}

func (k *leaseManager) update(change func(leaser.Lease) leaser.Lease) {
	k.mu.Lock()
	k.lease = change(k.lease)
	k.mu.Unlock()
}

func (k *leaseManager) perform(ctx context.Context, action leaser.Action) error {
	switch action.Kind {
	case leaser.Wait:
		select {
		case <-time.After(action.Until - k.now()):
		case <-k.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	case leaser.Read:
		k.read(ctx)
	case leaser.Write:
		k.write(ctx, action)
	case leaser.Ended:
	}
	return ctx.Err()
}

func (k *leaseManager) read(ctx context.Context) {
	stored, err := k.table.Get(ctx, leasePartitionKey, k.name)
	now := k.now()
	if storer.IsKind(err, storer.NotFound) {
		k.update(func(l leaser.Lease) leaser.Lease { return l.RowRead(nil, 0, now) })
		return
	}
	row := leaser.Row{}
	if err == nil {
		err = json.Unmarshal(stored.Data, &row)
	}
	if err != nil {
		k.update(func(l leaser.Lease) leaser.Lease { return l.ResponseLost(now) })
		return
	}
	k.update(func(l leaser.Lease) leaser.Lease { return l.RowRead(&row, stored.Version, now) })
}

func (k *leaseManager) write(ctx context.Context, action leaser.Action) {
	data, err := json.Marshal(action.Row)
	if err != nil {
		k.log.Error().Err(err).Msg("sidecar: failed to encode the lease row")
		return
	}
	row := storer.Row{Pk: leasePartitionKey, Sk: k.name, Data: data, Mark: action.Row.Mark}
	err = k.table.Put(ctx, row, action.Version)
	now := k.now()
	k.update(func(l leaser.Lease) leaser.Lease {
		switch {
		case err == nil:
			return l.Written(now)
		case storer.IsKind(err, storer.Conflict):
			return l.ConditionFailed()
		default:
			return l.ResponseLost(now)
		}
	})
}

// errLeaseNotHeld is returned for an order while the lease is not held.
var errLeaseNotHeld = errors.New("the lease of the endpoint is not held; check that the table service answers")
