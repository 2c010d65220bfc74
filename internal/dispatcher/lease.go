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

// leasePk is the partition key of the lease rows.
const leasePk = "lease"

// leaseKeeper runs the lease of one endpoint against the table service.
type leaseKeeper struct {
	table storer.Table
	now   func() time.Duration
	log   zerolog.Logger
	name  string
	// released is closed when the lease has been given back.
	released chan struct{}

	mu    sync.Mutex
	lease leaser.Lease
	// changed is signalled when the lease is to be looked at again.
	changed chan struct{}
}

func newLeaseKeeper(table storer.Table, c leaser.Config, now func() time.Duration, log zerolog.Logger) *leaseKeeper {
	return &leaseKeeper{
		table: table, now: now, log: log, name: c.Name, released: make(chan struct{}), lease: leaser.New(c), changed: make(chan struct{}, 1),
	}
}

// held returns the fencing number while the lease is held.
func (k *leaseKeeper) held() (int64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Held(k.now())
}

// releaseLimit bounds the wait for the release. Without it the next sidecar waits for the lease to expire.
const releaseLimit = 3 * time.Second

// release gives the lease back and waits until that has been written, if the table service answers.
func (k *leaseKeeper) release(ctx context.Context) {
	k.mu.Lock()
	k.lease = k.lease.WithRelease()
	k.mu.Unlock()
	select {
	case k.changed <- struct{}{}:
	default:
	}
	select {
	case <-k.released:
	case <-time.After(releaseLimit):
	case <-ctx.Done():
	}
}

// run acquires and renews the lease until the release is complete or ctx ends.
func (k *leaseKeeper) run(ctx context.Context) error {
	had := false
	for {
		action := k.next()
		if action.Kind == leaser.Ended {
			close(k.released)
			return nil
		}
		if err := k.perform(ctx, action); err != nil {
			return err
		}
		if fence, held := k.held(); held != had {
			had = held
			k.log.Info().Int64("Fence", fence).Bool("Held", held).Msg("sidecar: lease changed")
		}
	}
}

func (k *leaseKeeper) next() leaser.Action {
	k.mu.Lock()
	defer k.mu.Unlock()
	var action leaser.Action
	k.lease, action = k.lease.Next(k.now())
	return action
}

func (k *leaseKeeper) update(change func(leaser.Lease) leaser.Lease) {
	k.mu.Lock()
	k.lease = change(k.lease)
	k.mu.Unlock()
}

func (k *leaseKeeper) perform(ctx context.Context, action leaser.Action) error {
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

func (k *leaseKeeper) read(ctx context.Context) {
	stored, err := k.table.Get(ctx, leasePk, k.name)
	now := k.now()
	if storer.IsKind(err, storer.NotFound) {
		k.update(func(l leaser.Lease) leaser.Lease { return l.Seen(nil, 0, now) })
		return
	}
	row := leaser.Row{}
	if err == nil {
		err = json.Unmarshal(stored.Data, &row)
	}
	if err != nil {
		k.update(func(l leaser.Lease) leaser.Lease { return l.Lost(now) })
		return
	}
	k.update(func(l leaser.Lease) leaser.Lease { return l.Seen(&row, stored.Version, now) })
}

func (k *leaseKeeper) write(ctx context.Context, action leaser.Action) {
	data, err := json.Marshal(action.Row)
	if err != nil {
		k.log.Error().Err(err).Msg("sidecar: the lease row cannot be encoded")
		return
	}
	row := storer.Row{Pk: leasePk, Sk: k.name, Data: data, Mark: action.Row.Mark}
	err = k.table.Put(ctx, row, action.Version)
	now := k.now()
	k.update(func(l leaser.Lease) leaser.Lease {
		switch {
		case err == nil:
			return l.Written(now)
		case storer.IsKind(err, storer.Conflict):
			return l.Conflicted()
		default:
			return l.Lost(now)
		}
	})
}

// errNoLease is returned for an order that needs the lease.
var errNoLease = errors.New("the lease of the endpoint is not held; check that the table service answers")
