package registrar

import (
	"context"
	"maps"
	"slices"
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
	// RetainedFor is set in rows that another process passes on: the time for which that process goes on using the
	// removed row. Value and Version are then those of the row before its removal.
	RetainedFor time.Duration
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
	// Rows are the rows to use: those of the store at the version, and removed ones that are retained.
	Rows map[string]Row
}

// retainedRow is a removed row that stays in use for a while.
type retainedRow struct {
	row   Row
	until time.Time
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
	// version is the version of rows, 0 before the first read. rows are exactly the store's rows at that version, so that
	// they can be passed on to other processes. The map is never modified.
	version int64
	rows    map[string]Row
	// retained holds rows that were removed during an outage and stay in use for a while. No key is also in rows.
	retained map[string]retainedRow
	// hasSnapshot is set once the whole table has been read, and cleared when the store's history is lost. The version
	// cannot serve for this, because an empty store is at version 0.
	hasSnapshot bool
	lastSuccess time.Time
	inOutage    bool
	// failingSince is the time of the first of the consecutive failures; zero after a successful read.
	failingSince time.Time
}

// NewFollower returns a Follower with an empty table. Run starts it.
func NewFollower(c FollowerConfig) *Follower {
	f := &Follower{
		config: c, start: c.Now(), wake: make(chan struct{}, 1), relayer: relayer.New(relayer.Config{Name: c.Name}),
		retained: map[string]retainedRow{}, lastSuccess: c.Now(),
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
	if c.From > f.version {
		f.relayer = f.relayer.WithOwnRead()
		f.mu.Unlock()
		f.wakeRun()
		return
	}
	f.relayer = f.relayer.WithRelayed(peer, f.config.Now().Sub(f.start))
	f.mu.Unlock()
	f.apply(c.Rows, false)
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
	after := f.version
	needsSnapshot := !f.hasSnapshot
	f.mu.Unlock()
	if needsSnapshot {
		rows, err := f.config.Source.ReadTable(ctx, f.config.Table)
		if err != nil {
			return err
		}
		return f.replace(rows)
	}
	begin := f.config.Now()
	rows, err := f.config.Source.ReadChanges(ctx, f.config.Table, after, wait)
	if err != nil {
		return err
	}
	f.apply(rows, true)
	f.relay(after, rows, f.config.Now().Sub(begin)-wait)
	return nil
}

// relay passes a read on to the other processes. A read that took much longer than it should is not passed on: this
// process may have been suspended since the store returned it, and the others would take it for a recent one.
func (f *Follower) relay(from int64, rows Rows, excess time.Duration) {
	f.mu.Lock()
	isRelaying := f.config.Relay != nil && f.relayer.Interval() > 0
	c := Changes{From: from, Rows: Rows{Version: rows.Version, Rows: slices.Clone(rows.Rows)}}
	for i, row := range c.Rows.Rows {
		if retained, ok := f.retained[row.Key]; ok && row.IsDeleted {
			c.Rows.Rows[i].RetainedFor = retained.until.Sub(f.config.Now())
		}
	}
	f.mu.Unlock()
	if isRelaying && excess < outageThreshold {
		f.config.Relay(c)
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
		f.config.Log.Warn().Str("Table", f.config.Table).Int64("Version", f.version).
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
		f.config.Log.Info().Str("Table", f.config.Table).Int64("Version", f.version).
			Dur("SinceAnswer", now.Sub(f.lastSuccess)).Msg("registrar: store regained")
	}
	f.inOutage, f.lastSuccess, f.failingSince = false, now, time.Time{}
	return endedOutage
}

// errOlderSnapshot means that the copy was brought to a newer version while the store's snapshot was read.
var errOlderSnapshot = errors.New("the snapshot is older than a copy that was received meanwhile; it is read again")

// replace replaces the whole table with the store's.
func (f *Follower) replace(rows Rows) error {
	f.mu.Lock()
	if rows.Version < f.version {
		f.mu.Unlock()
		return errOlderSnapshot
	}
	endedOutage := f.recordSuccess()
	f.hasSnapshot = true
	next := make(map[string]Row, len(rows.Rows))
	for _, row := range rows.Rows {
		next[row.Key] = row
		delete(f.retained, row.Key)
	}
	if f.config.RetainsAfterOutage && endedOutage {
		for key, row := range f.rows {
			if _, ok := next[key]; !ok {
				f.retain(row)
			}
		}
	}
	f.version, f.rows = rows.Version, next
	table := f.tableLocked()
	f.mu.Unlock()
	f.config.OnChange(table)
	return nil
}

// retain starts the retention time of a row removed during an outage.
func (f *Follower) retain(row Row) {
	f.retained[row.Key] = retainedRow{row: row, until: f.config.Now().Add(lapsedRetention)}
	f.config.Log.Info().Str("Table", f.config.Table).Str("Key", row.Key).Msg("registrar: row removed during an outage, retained temporarily")
}

// apply applies changes and removes rows whose retention time has ended. The process that has read changes from the store
// decides which of the removed rows are retained.
func (f *Follower) apply(rows Rows, isOwnRead bool) {
	f.mu.Lock()
	endedOutage := f.recordSuccess()
	now := f.config.Now()
	next, isCloned, changed := f.rows, false, false
	write := func() map[string]Row {
		if !isCloned {
			next, isCloned, changed = maps.Clone(next), true, true
		}
		return next
	}
	for _, row := range rows.Rows {
		if row.Version <= f.version {
			continue
		}
		if !row.IsDeleted {
			write()[row.Key] = row
			delete(f.retained, row.Key)
			continue
		}
		removed, known := next[row.Key]
		if !known {
			continue
		}
		delete(write(), row.Key)
		switch {
		case !f.config.RetainsAfterOutage:
		case isOwnRead && endedOutage:
			f.retain(removed)
		case !isOwnRead && row.RetainedFor > 0:
			f.retained[row.Key] = retainedRow{row: removed, until: now.Add(row.RetainedFor)}
		}
	}
	for key, retained := range f.retained {
		if !now.Before(retained.until) {
			changed = true
			delete(f.retained, key)
			f.config.Log.Info().Str("Table", f.config.Table).Str("Key", key).Msg("registrar: row removed after its retention time")
		}
	}
	f.version, f.rows = max(rows.Version, f.version), next
	table := f.tableLocked()
	f.mu.Unlock()
	if changed {
		f.config.OnChange(table)
	}
}

// Merge replaces the table with the copy of a peer that was asked for it at askedAt, if the copy is newer, and reports
// whether it did. The copy comes from a store that answered the peer, so rows that it lacks really are removed; those that
// the peer retains stay in use for no longer than there, and only if they are in use here.
func (f *Follower) Merge(rows Rows, askedAt time.Time) bool {
	f.mu.Lock()
	if rows.Version <= f.version {
		f.mu.Unlock()
		return false
	}
	next := make(map[string]Row, len(rows.Rows))
	retained := map[string]retainedRow{}
	for _, row := range rows.Rows {
		if !row.IsDeleted {
			next[row.Key] = row
			continue
		}
		until := askedAt.Add(row.RetainedFor)
		_, isLive := f.rows[row.Key]
		previous, isRetained := f.retained[row.Key]
		if isRetained && previous.until.Before(until) {
			until = previous.until
		}
		if f.config.RetainsAfterOutage && (isLive || isRetained || f.version == 0) {
			row.IsDeleted, row.RetainedFor = false, 0
			retained[row.Key] = retainedRow{row: row, until: until}
		}
	}
	f.version, f.rows, f.retained = rows.Version, next, retained
	table := f.tableLocked()
	f.mu.Unlock()
	f.config.OnChange(table)
	return true
}

// Copy returns the content for a peer, see Merge. Retained rows are marked as deleted.
func (f *Follower) Copy() Rows {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := Rows{Version: f.version, Rows: slices.Collect(maps.Values(f.rows))}
	for _, retained := range f.retained {
		row := retained.row
		row.IsDeleted, row.RetainedFor = true, max(0, retained.until.Sub(f.config.Now()))
		rows.Rows = append(rows.Rows, row)
	}
	return rows
}

// Name returns the name of the table.
func (f *Follower) Name() string { return f.config.Table }

// Table returns the current content.
func (f *Follower) Table() Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tableLocked()
}

// tableLocked returns the current content. The caller holds mu.
func (f *Follower) tableLocked() Table {
	if len(f.retained) == 0 {
		return Table{Version: f.version, Rows: f.rows}
	}
	rows := maps.Clone(f.rows)
	for key, retained := range f.retained {
		rows[key] = retained.row
	}
	return Table{Version: f.version, Rows: rows}
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
