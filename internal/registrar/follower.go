package registrar

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"geraniumladder/pkg/relayer"
)

// ErrHistoryLost means that the store no longer has all of the requested changes. The whole table must be read again.
var ErrHistoryLost = errors.New("the store's change history does not reach back to the requested version; read the whole table again")

// Row is one row of a table in the platform's store.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	// IsDeleted is set when the row was removed.
	IsDeleted bool
}

// Rows is the result of a read from the store.
type Rows struct {
	Rows []Row
	// Version is the store's latest version at the time of the read.
	Version int64
}

// Source reads a table.
type Source interface {
	// ReadTable returns a consistent snapshot of all rows.
	ReadTable(ctx context.Context, table string) (Rows, error)
	// ReadChanges returns the changes after a version, waiting up to wait for the first one. It fails with
	// ErrHistoryLost when the store no longer has all of them.
	ReadChanges(ctx context.Context, table string, after int64, wait time.Duration) (Rows, error)
}

const (
	// minRetryDelay and maxRetryDelay bound the delay after a failed read. They are short enough to detect the end of an
	// outage well within the two seconds in which endpoints register again.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// outageThreshold is the time without an answer after which the store is considered unavailable. It is several times
	// the duration of a slow read.
	outageThreshold = 1200 * time.Millisecond
	// lapsedRetention is how long rows that were removed during an outage are retained after it, because endpoints that
	// are still running register again within about two seconds.
	lapsedRetention = 1800 * time.Millisecond
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Table  string
	Source Source
	// Wait is how long the store may hold a read of changes open (long polling); with 0, reads return at once.
	Wait time.Duration
	// Pause is the time between two reads, which bounds the number of calls for a table that changes constantly.
	// SetPause changes it.
	Pause time.Duration
	// RetainsAfterOutage retains rows that were removed during an outage until lapsedRetention after its end.
	RetainsAfterOutage bool
	// OnChange is called with the table after each change.
	OnChange func(Table)
	// Name is the name of this process among those that follow the table. Relay, if not nil, passes changes that the store
	// has just returned on to the others, which hand them to HandleRelayed. It is called only while SetRelayInterval has
	// set an interval.
	Name  string
	Relay func(c Changes)
	Now   func() time.Time
	Log   zerolog.Logger
}

// Table is the content of a table as of a version. It is immutable.
type Table struct {
	// Version is 0 before the first read.
	Version int64
	Rows    map[string]Row
}

// Follower keeps a local copy of one table up to date. It is safe for use by several goroutines.
type Follower struct {
	config FollowerConfig
	pause  atomic.Int64
	start  time.Time
	// wake ends the wait for relayed reads.
	wake chan struct{}

	mu      sync.Mutex
	relayer relayer.Relayer
	table   Table
	// hasSnapshot is set once the whole table has been read, and cleared when the store's history is lost. The version
	// cannot serve for this, because an empty store is at version 0.
	hasSnapshot bool
	// retainedUntil holds the keys of rows removed during an outage, with the times until which they are retained.
	retainedUntil map[string]time.Time
	lastSuccess   time.Time
	inOutage      bool
	// failingSince is the time of the first of the consecutive failures; zero after a successful read.
	failingSince time.Time
}

// NewFollower returns a Follower with an empty table. Run starts it.
func NewFollower(c FollowerConfig) *Follower {
	f := &Follower{
		config: c, start: c.Now(), wake: make(chan struct{}, 1), relayer: relayer.New(relayer.Config{Name: c.Name}),
		retainedUntil: map[string]time.Time{}, lastSuccess: c.Now(),
	}
	f.SetPause(c.Pause)
	return f
}

// SetPause changes the time between two reads.
func (f *Follower) SetPause(pause time.Duration) { f.pause.Store(int64(pause)) }

// SetRelayInterval makes processes rely on one another's reads: the one that reads does so at this interval, and the
// others read only when no read has been relayed to them for up to twice that time. With 0 each process reads by itself.
func (f *Follower) SetRelayInterval(interval time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relayer = f.relayer.WithInterval(interval)
}

// HandleRelayed applies changes that the peer has read. Changes that don't follow on this copy make the follower read by
// itself.
func (f *Follower) HandleRelayed(peer string, c Changes) {
	f.mu.Lock()
	if !f.hasSnapshot || f.relayer.Interval() == 0 {
		f.mu.Unlock()
		return
	}
	if c.From > f.table.Version {
		f.relayer = f.relayer.WithOwnRead()
		f.mu.Unlock()
		f.wakeRun()
		return
	}
	f.relayer = f.relayer.WithRelayed(peer, f.config.Now().Sub(f.start))
	f.mu.Unlock()
	f.apply(c.Rows)
}

func (f *Follower) wakeRun() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// awaitTurn waits until this process has to read by itself.
func (f *Follower) awaitTurn(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		wait := f.relayer.ReadIn(f.config.Now().Sub(f.start))
		if wait == 0 || !f.hasSnapshot {
			f.relayer = f.relayer.WithOwnRead()
			f.mu.Unlock()
			return
		}
		f.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-f.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// pauses returns how long the store may hold a read open, and the time between two reads.
func (f *Follower) pauses() (wait, pause time.Duration) {
	f.mu.Lock()
	interval := f.relayer.Interval()
	f.mu.Unlock()
	switch {
	case interval == 0:
		return f.config.Wait, time.Duration(f.pause.Load())
	case f.config.Wait > 0:
		return interval, 0
	}
	return 0, interval
}

// Run follows the table until ctx is cancelled.
func (f *Follower) Run(ctx context.Context) error {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		f.awaitTurn(ctx)
		wait, pause := f.pauses()
		err := f.poll(ctx, wait)
		switch {
		case err == nil:
			retryDelay = minRetryDelay
			sleep(ctx, pause)
		case errors.Is(err, ErrHistoryLost):
			f.config.Log.Warn().Str("Table", f.config.Table).Int64("Version", f.Table().Version).
				Msg("registrar: change history lost, reading the whole table again")
			f.invalidateSnapshot()
		default:
			f.recordFailure(err)
			sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
		}
	}
	return ctx.Err()
}

// poll reads the changes since the last read, or the whole table at first and after the history was lost.
func (f *Follower) poll(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	after := f.table.Version
	needsSnapshot := !f.hasSnapshot
	f.mu.Unlock()
	if needsSnapshot {
		rows, err := f.config.Source.ReadTable(ctx, f.config.Table)
		if err != nil {
			return err
		}
		f.replace(rows, true)
		return nil
	}
	begin := f.config.Now()
	rows, err := f.config.Source.ReadChanges(ctx, f.config.Table, after, wait)
	if err != nil {
		return err
	}
	f.apply(rows)
	f.relay(after, rows, f.config.Now().Sub(begin)-wait)
	return nil
}

// relay passes a read on to the other processes. A read that took much longer than it should is not passed on: this
// process may have been suspended since the store returned it, and the others would take it for a recent one.
func (f *Follower) relay(from int64, rows Rows, excess time.Duration) {
	f.mu.Lock()
	isRelaying := f.config.Relay != nil && f.relayer.Interval() > 0
	f.mu.Unlock()
	if isRelaying && excess < outageThreshold {
		f.config.Relay(Changes{From: from, Rows: rows})
	}
}

// invalidateSnapshot makes the next poll read the whole table. The current rows stay in use until then.
func (f *Follower) invalidateSnapshot() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasSnapshot = false
}

func (f *Follower) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		f.failingSince = f.config.Now()
	}
	if !f.inOutage && f.config.Now().Sub(f.lastSuccess) > outageThreshold {
		f.inOutage = true
		f.config.Log.Warn().Str("Table", f.config.Table).Int64("Version", f.table.Version).
			Dur("SinceAnswer", f.config.Now().Sub(f.lastSuccess)).Err(err).Msg("registrar: store lost")
	}
}

// recordSuccess records a successful read and reports whether it ended an outage. A read of changes may take as long as
// Wait without an outage, so the limit is outageThreshold plus Wait. The result can be false even if inOutage was set.
func (f *Follower) recordSuccess() (endedOutage bool) {
	now := f.config.Now()
	// Relayed reads may be up to two intervals apart.
	endedOutage = now.Sub(f.lastSuccess) > outageThreshold+max(f.config.Wait, 2*f.relayer.Interval())
	if f.inOutage {
		f.config.Log.Info().Str("Table", f.config.Table).Int64("Version", f.table.Version).
			Dur("SinceAnswer", now.Sub(f.lastSuccess)).Msg("registrar: store regained")
	}
	f.inOutage, f.lastSuccess, f.failingSince = false, now, time.Time{}
	return endedOutage
}

// replace replaces the whole table and reports whether it did. A peer's copy is accepted only if it is newer.
func (f *Follower) replace(rows Rows, fromStore bool) bool {
	f.mu.Lock()
	current := f.table.Version
	if !fromStore && rows.Version <= current {
		f.mu.Unlock()
		return false
	}
	endedOutage := false
	if fromStore {
		endedOutage = f.recordSuccess()
		f.hasSnapshot = true
	}
	next := make(map[string]Row, len(rows.Rows))
	for _, row := range rows.Rows {
		next[row.Key] = row
		delete(f.retainedUntil, row.Key)
	}
	// A peer's copy comes from a store that answered the peer, so rows that it lacks really are removed. Missing rows
	// are retained only if the store itself has answered and its answer has ended an outage.
	if f.config.RetainsAfterOutage && current > 0 && endedOutage {
		for key, row := range f.table.Rows {
			if _, ok := next[key]; !ok {
				next[key] = row
				f.retain(key)
			}
		}
	}
	f.table = Table{Version: rows.Version, Rows: next}
	table := f.table
	f.mu.Unlock()
	f.config.OnChange(table)
	return true
}

// retain starts the retention time of a row removed during an outage.
func (f *Follower) retain(key string) {
	if _, ok := f.retainedUntil[key]; !ok {
		f.retainedUntil[key] = f.config.Now().Add(lapsedRetention)
		f.config.Log.Info().Str("Table", f.config.Table).Str("Key", key).Msg("registrar: row removed during an outage, retained temporarily")
	}
}

// apply applies changes from the store and removes rows whose retention time has ended.
func (f *Follower) apply(rows Rows) {
	f.mu.Lock()
	endedOutage := f.recordSuccess()
	now := f.config.Now()
	changed := false
	next := f.table.Rows
	ensureCopy := func() {
		if !changed {
			next, changed = maps.Clone(next), true
		}
	}
	for _, row := range rows.Rows {
		if row.Version <= f.table.Version {
			continue
		}
		_, known := next[row.Key]
		switch {
		case !row.IsDeleted:
			ensureCopy()
			next[row.Key] = row
			delete(f.retainedUntil, row.Key)
		case known && f.config.RetainsAfterOutage && endedOutage:
			f.retain(row.Key)
		case known:
			ensureCopy()
			delete(next, row.Key)
			delete(f.retainedUntil, row.Key)
		}
	}
	for key, until := range f.retainedUntil {
		if !now.Before(until) {
			ensureCopy()
			delete(next, key)
			delete(f.retainedUntil, key)
			f.config.Log.Info().Str("Table", f.config.Table).Str("Key", key).Msg("registrar: row removed after its retention time")
		}
	}
	f.table = Table{Version: max(rows.Version, f.table.Version), Rows: next}
	table := f.table
	f.mu.Unlock()
	if changed {
		f.config.OnChange(table)
	}
}

// Merge replaces the table with a peer's copy if that is newer, and reports whether it did.
func (f *Follower) Merge(rows Rows) bool { return f.replace(rows, false) }

// Name returns the name of the table.
func (f *Follower) Name() string { return f.config.Table }

// Table returns the current content.
func (f *Follower) Table() Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table
}

// FailingFor returns how long reads have been failing; 0 if the last one succeeded.
func (f *Follower) FailingFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		return 0
	}
	return f.config.Now().Sub(f.failingSince)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
