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

	"geraniumladder/internal/looper"
	"geraniumladder/pkg/relayer"
	"geraniumladder/pkg/retainer"
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
	// outageThreshold is the time without an answer after which the store is logged as lost. It is several times the
	// duration of a slow read.
	outageThreshold = 1200 * time.Millisecond
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
	// Retention decides how long rows that lapsed during an outage of the store stay in use. By default none does.
	// SetRetention changes it.
	Retention retainer.Config
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
	// wake ends the wait for relayed reads, and wakeExpiry that for the end of a retention.
	wake, wakeExpiry chan struct{}

	mu       sync.Mutex
	relayer  relayer.Relayer
	retainer retainer.Retainer
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
		config: c, start: c.Now(), wake: make(chan struct{}, 1), wakeExpiry: make(chan struct{}, 1),
		relayer: relayer.New(relayer.Config{Name: c.Name}), retainer: retainer.New(c.Retention, 0), retained: map[string]retainedRow{}, lastSuccess: c.Now(),
	}
	f.SetPause(c.Pause)
	return f
}

// SetPause changes the time between two reads.
func (f *Follower) SetPause(pause time.Duration) { f.pause.Store(int64(pause)) }

// SetRetention changes how long rows that lapse during an outage stay in use.
func (f *Follower) SetRetention(c retainer.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retainer = f.retainer.WithConfig(c)
}

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
		notify(f.wake)
		return
	}
	readAt := f.elapsed() - c.Age
	f.relayer = f.relayer.WithRelayed(peer, readAt)
	f.mu.Unlock()
	f.apply(c.Rows, readAt, false)
}

// elapsed returns the time since the start, which is the clock of relayer and retainer.
func (f *Follower) elapsed() time.Duration { return f.config.Now().Sub(f.start) }

func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// awaitTurn waits until this process has to read by itself.
func (f *Follower) awaitTurn(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		wait := f.relayer.ReadIn(f.elapsed())
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
	if err := looper.Run(ctx, f.follow, f.expire); err != nil {
		return err
	}
	return ctx.Err()
}

// expire removes retained rows at the end of their retention.
func (f *Follower) expire(ctx context.Context) error {
	for {
		var timeout <-chan time.Time
		if next, ok := f.nextExpiry(); ok {
			timeout = time.After(next)
		}
		select {
		case <-timeout:
			f.removeExpired()
		case <-f.wakeExpiry:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// nextExpiry returns the time until the next retention ends, or false if no row is retained.
func (f *Follower) nextExpiry() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var next time.Time
	for _, retained := range f.retained {
		if next.IsZero() || retained.until.Before(next) {
			next = retained.until
		}
	}
	return next.Sub(f.config.Now()), !next.IsZero()
}

func (f *Follower) removeExpired() {
	f.mu.Lock()
	changed := f.removeExpiredLocked()
	table := f.tableLocked()
	f.mu.Unlock()
	if changed {
		f.config.OnChange(table)
	}
}

// removeExpiredLocked removes the rows whose retention has ended and reports whether there were any. The caller holds mu.
func (f *Follower) removeExpiredLocked() bool {
	now, changed := f.config.Now(), false
	for key, retained := range f.retained {
		if !now.Before(retained.until) {
			changed = true
			delete(f.retained, key)
			f.config.Log.Info().Str("Table", f.config.Table).Str("Key", key).Msg("registrar: row removed after its retention time")
		}
	}
	return changed
}

func (f *Follower) follow(ctx context.Context) error {
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
	sentAt := f.elapsed()
	if needsSnapshot {
		rows, err := f.config.Source.ReadTable(ctx, f.config.Table)
		if err == nil {
			err = f.replace(rows, sentAt)
		}
		return f.checkFailure(err, sentAt)
	}
	rows, err := f.config.Source.ReadChanges(ctx, f.config.Table, after, wait)
	if err != nil {
		return f.checkFailure(err, sentAt)
	}
	// The store holds the read open for no longer than wait, so the answer may be as old as the rest.
	age := max(0, f.elapsed()-sentAt-wait)
	f.apply(rows, sentAt, true)
	f.relay(after, rows, age)
	return nil
}

// checkFailure records the failure of the read sent at sentAt, unless the store has answered it, and returns err.
func (f *Follower) checkFailure(err error, sentAt time.Duration) error {
	if err != nil && !errors.Is(err, ErrHistoryLost) {
		f.recordFailure(err, sentAt)
	}
	return err
}

// relay passes a read on to the other processes. A read that took much longer than it should is not passed on: this
// process may have been suspended since the store returned it.
func (f *Follower) relay(from int64, rows Rows, age time.Duration) {
	f.mu.Lock()
	isRelaying := f.config.Relay != nil && f.relayer.Interval() > 0
	c := Changes{From: from, Age: age, Rows: Rows{Version: rows.Version, Rows: slices.Clone(rows.Rows)}}
	for i, row := range c.Rows.Rows {
		if retained, ok := f.retained[row.Key]; ok && row.IsDeleted {
			c.Rows.Rows[i].RetainedFor = retained.until.Sub(f.config.Now())
		}
	}
	f.mu.Unlock()
	if isRelaying && age < outageThreshold {
		f.config.Relay(c)
	}
}

// invalidateSnapshot makes the next poll read the whole table. The current rows stay in use until then.
func (f *Follower) invalidateSnapshot() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasSnapshot = false
}

func (f *Follower) recordFailure(err error, sentAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retainer = f.retainer.WithFailure(sentAt)
	if f.failingSince.IsZero() {
		f.failingSince = f.config.Now()
	}
	if !f.inOutage && f.config.Now().Sub(f.lastSuccess) > outageThreshold {
		f.inOutage = true
		f.config.Log.Warn().Str("Table", f.config.Table).Int64("Version", f.version).
			Dur("SinceAnswer", f.config.Now().Sub(f.lastSuccess)).Err(err).Msg("registrar: store lost")
	}
}

// recordSuccess records that the read sent at sentAt was answered.
func (f *Follower) recordSuccess(sentAt time.Duration) {
	f.retainer = f.retainer.WithAnswer(sentAt, f.elapsed())
	now := f.config.Now()
	if f.inOutage {
		f.config.Log.Info().Str("Table", f.config.Table).Int64("Version", f.version).
			Dur("SinceAnswer", now.Sub(f.lastSuccess)).Msg("registrar: store regained")
	}
	f.inOutage, f.lastSuccess, f.failingSince = false, now, time.Time{}
}

// errOlderSnapshot means that the copy was brought to a newer version while the store's snapshot was read.
var errOlderSnapshot = errors.New("the snapshot is older than a copy that was received meanwhile; it is read again")

// replace replaces the whole table with the store's, which was asked for it at sentAt.
func (f *Follower) replace(rows Rows, sentAt time.Duration) error {
	f.mu.Lock()
	if rows.Version < f.version {
		f.mu.Unlock()
		return errOlderSnapshot
	}
	f.recordSuccess(sentAt)
	f.hasSnapshot = true
	next := make(map[string]Row, len(rows.Rows))
	for _, row := range rows.Rows {
		next[row.Key] = row
		delete(f.retained, row.Key)
	}
	for key, row := range f.rows {
		if _, ok := next[key]; !ok {
			f.retainLapsed(row)
		}
	}
	f.version, f.rows = rows.Version, next
	table := f.tableLocked()
	f.mu.Unlock()
	f.config.OnChange(table)
	return nil
}

// retainLapsed keeps a removed row in use if it may have lapsed during an outage.
func (f *Follower) retainLapsed(row Row) {
	until, ok := f.retainer.RetainUntil()
	left := until - f.elapsed()
	if ok && left > 0 {
		f.retain(row, left)
	}
}

// retain keeps a removed row in use for a while.
func (f *Follower) retain(row Row, left time.Duration) {
	f.retained[row.Key] = retainedRow{row: row, until: f.config.Now().Add(left)}
	notify(f.wakeExpiry)
	f.config.Log.Info().Str("Table", f.config.Table).Str("Key", row.Key).Dur("For", left).
		Msg("registrar: row removed during an outage, retained temporarily")
}

// apply applies changes that the store returned to a read sent at readAt, and removes rows whose retention time has ended.
// The process that has read the changes itself decides which of the removed rows are retained.
func (f *Follower) apply(rows Rows, readAt time.Duration, isOwnRead bool) {
	f.mu.Lock()
	f.recordSuccess(readAt)
	next, isCloned := f.rows, false
	write := func() map[string]Row {
		if !isCloned {
			next, isCloned = maps.Clone(next), true
		}
		return next
	}
	for key, row := range lastChanges(rows.Rows, f.version) {
		removed, known := next[key]
		switch {
		case !row.IsDeleted:
			write()[key] = row
			delete(f.retained, key)
		case !known:
			// It was added and removed since the last read, or is retained already.
		case isOwnRead:
			delete(write(), key)
			f.retainLapsed(removed)
		default:
			delete(write(), key)
			if row.RetainedFor > 0 {
				f.retain(removed, row.RetainedFor)
			}
		}
	}
	changed := f.removeExpiredLocked() || isCloned
	f.version, f.rows = max(rows.Version, f.version), next
	table := f.tableLocked()
	f.mu.Unlock()
	if changed {
		f.config.OnChange(table)
	}
}

// lastChanges returns the last change of each row after a version.
func lastChanges(rows []Row, after int64) map[string]Row {
	last := make(map[string]Row, len(rows))
	for _, row := range rows {
		if row.Version > after && row.Version >= last[row.Key].Version {
			last[row.Key] = row
		}
	}
	return last
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
		if isLive || isRetained || f.version == 0 {
			row.IsDeleted, row.RetainedFor = false, 0
			retained[row.Key] = retainedRow{row: row, until: until}
		}
	}
	f.version, f.rows, f.retained = rows.Version, next, retained
	notify(f.wakeExpiry)
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
