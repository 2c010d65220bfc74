package registrar

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// ErrHistoryLost means that the store no longer has the changes asked for; read the whole table.
var ErrHistoryLost = errors.New("the store's history doesn't reach back that far; read the whole table again")

// Row is one row of a table in the platform's store.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	// IsGone rows were removed.
	IsGone bool
}

// Rows is an answer of the store.
type Rows struct {
	Rows []Row
	// Version is the store's newest version at the time of the answer.
	Version int64
}

// Source reads a table.
type Source interface {
	// ReadTable returns all rows as of one moment.
	ReadTable(ctx context.Context, table string) (Rows, error)
	// ReadChanges returns what changed after a version, waiting up to wait for the first change. It fails with
	// ErrHistoryLost when the store has forgotten a part of it.
	ReadChanges(ctx context.Context, table string, after int64, wait time.Duration) (Rows, error)
}

const (
	// retryFirst and retryMost bound the pause after a failed read: short enough to notice the store's return within
	// a fraction of the two seconds in which its entries are restored.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// outageAfter is the time without an answer after which the store counts as away; several times a slow answer.
	outageAfter = 1200 * time.Millisecond
	// restoreTime is how long rows that were removed during an outage are kept after it, because endpoints that live
	// register again within about two seconds.
	restoreTime = 1800 * time.Millisecond
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Table  string
	Source Source
	// Wait is how long the store may hold a read of changes open; 0 polls.
	Wait time.Duration
	// Pause is the time between two reads, which bounds the calls of a table that changes all the time. SetPause changes it.
	Pause time.Duration
	// KeepsLapsed keeps rows that were removed during an outage until restoreTime after its end.
	KeepsLapsed bool
	// OnChange is called with the table after each change.
	OnChange func(Table)
	Now      func() time.Time
	Log      zerolog.Logger
}

// Table is the content of a table as of a version. It is immutable.
type Table struct {
	// Version is 0 before the first read.
	Version int64
	Rows    map[string]Row
}

// Follower keeps a copy of one table. It is safe for use by several goroutines.
type Follower struct {
	config FollowerConfig
	pause  atomic.Int64

	mu    sync.Mutex
	table Table
	// isRead is set once the table was read as a whole, and until the store's history is lost. A store in which nothing
	// has been written yet is at version 0.
	isRead bool
	lapsed map[string]time.Time
	lastOK time.Time
	away   bool
	// failedSince is when the first of the failures in a row came back; zero after an answer.
	failedSince time.Time
}

// NewFollower returns a Follower that has read nothing.
func NewFollower(c FollowerConfig) *Follower {
	f := &Follower{config: c, lapsed: map[string]time.Time{}, lastOK: c.Now()}
	f.SetPause(c.Pause)
	return f
}

// SetPause changes the time between two reads.
func (f *Follower) SetPause(pause time.Duration) { f.pause.Store(int64(pause)) }

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := retryFirst
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			pause = retryFirst
			sleep(ctx, time.Duration(f.pause.Load()))
		case errors.Is(err, ErrHistoryLost):
			f.config.Log.Warn().Str("Table", f.config.Table).Int64("Version", f.Table().Version).
				Msg("registrar: history lost, whole table read again")
			f.reset()
		default:
			f.failed(err)
			sleep(ctx, pause)
			pause = min(2*pause, retryMost)
		}
	}
	return ctx.Err()
}

// step reads once. The first read, and one after lost history, reads the whole table.
func (f *Follower) step(ctx context.Context) error {
	f.mu.Lock()
	after := f.table.Version
	whole := !f.isRead
	f.mu.Unlock()
	if whole {
		rows, err := f.config.Source.ReadTable(ctx, f.config.Table)
		if err != nil {
			return err
		}
		f.replace(rows, true)
		return nil
	}
	rows, err := f.config.Source.ReadChanges(ctx, f.config.Table, after, f.config.Wait)
	if err != nil {
		return err
	}
	f.apply(rows)
	return nil
}

// reset makes the next step read the whole table. The rows stay in use until then.
func (f *Follower) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isRead = false
}

func (f *Follower) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failedSince.IsZero() {
		f.failedSince = f.config.Now()
	}
	if !f.away && f.config.Now().Sub(f.lastOK) > outageAfter {
		f.away = true
		f.config.Log.Warn().Str("Table", f.config.Table).Int64("Version", f.table.Version).
			Dur("SinceAnswer", f.config.Now().Sub(f.lastOK)).Err(err).Msg("registrar: store lost")
	}
}

// answered notes an answer of the store and returns when an outage that it ended is over for lapsed rows.
func (f *Follower) answered() (wasAway bool) {
	now := f.config.Now()
	wasAway = now.Sub(f.lastOK) > outageAfter+f.config.Wait
	if f.away {
		f.config.Log.Info().Str("Table", f.config.Table).Int64("Version", f.table.Version).
			Dur("SinceAnswer", now.Sub(f.lastOK)).Msg("registrar: store regained")
	}
	f.away, f.lastOK, f.failedSince = false, now, time.Time{}
	return wasAway
}

// replace takes a whole table. From a peer it is taken only when it is newer.
func (f *Follower) replace(rows Rows, fromStore bool) bool {
	f.mu.Lock()
	current := f.table.Version
	if !fromStore && rows.Version <= current {
		f.mu.Unlock()
		return false
	}
	wasAway := false
	if fromStore {
		wasAway = f.answered()
		f.isRead = true
	}
	next := make(map[string]Row, len(rows.Rows))
	for _, row := range rows.Rows {
		next[row.Key] = row
		delete(f.lapsed, row.Key)
	}
	// A peer's copy is from a store that answers, so what it lacks is gone.
	if f.config.KeepsLapsed && current > 0 && wasAway {
		for key, row := range f.table.Rows {
			if _, ok := next[key]; !ok {
				next[key] = row
				f.lapse(key)
			}
		}
	}
	f.table = Table{Version: rows.Version, Rows: next}
	table := f.table
	f.mu.Unlock()
	f.config.OnChange(table)
	return true
}

func (f *Follower) lapse(key string) {
	if _, ok := f.lapsed[key]; !ok {
		f.lapsed[key] = f.config.Now().Add(restoreTime)
		f.config.Log.Info().Str("Table", f.config.Table).Str("Key", key).Msg("registrar: row lapsed in an outage, kept for now")
	}
}

// apply takes changes.
func (f *Follower) apply(rows Rows) {
	f.mu.Lock()
	wasAway := f.answered()
	now := f.config.Now()
	changed := false
	next := f.table.Rows
	edit := func() {
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
		case !row.IsGone:
			edit()
			next[row.Key] = row
			delete(f.lapsed, row.Key)
		case known && f.config.KeepsLapsed && wasAway:
			f.lapse(row.Key)
		case known:
			edit()
			delete(next, row.Key)
			delete(f.lapsed, row.Key)
		}
	}
	for key, end := range f.lapsed {
		if !now.Before(end) {
			edit()
			delete(next, key)
			delete(f.lapsed, key)
			f.config.Log.Info().Str("Table", f.config.Table).Str("Key", key).Msg("registrar: lapsed row removed")
		}
	}
	f.table = Table{Version: max(rows.Version, f.table.Version), Rows: next}
	table := f.table
	f.mu.Unlock()
	if changed {
		f.config.OnChange(table)
	}
}

// Merge takes a peer's copy of the table when it is newer, and says whether it was.
func (f *Follower) Merge(rows Rows) bool { return f.replace(rows, false) }

// Name is the name of the table.
func (f *Follower) Name() string { return f.config.Table }

// Table returns the content last read.
func (f *Follower) Table() Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table
}

// Failing is how long reads have failed in a row; 0 when the last one succeeded.
func (f *Follower) Failing() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failedSince.IsZero() {
		return 0
	}
	return f.config.Now().Sub(f.failedSince)
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
