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

	"geraniumladder/internal/receiver"
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
	// RetainedFor is set in the removed rows of a peer's copy: the time for which the peer goes on using the row. Value and
	// Version are then those of the row before its removal.
	RetainedFor time.Duration
}

// Rows is the result of a read from the store.
type Rows struct {
	Rows []Row
	// Era and Version are the store's latest position at the time of the read.
	Era, Version int64
	// EarlierAt is a time at which the store was still in an earlier era; zero if none is known.
	EarlierAt time.Time
}

// Position returns the store's position at the time of the read.
func (r Rows) Position() Position { return Position{Era: r.Era, Version: r.Version} }

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
	// maxRepeatDelay bounds the delay between two repetitions of a read that is not answered.
	maxRepeatDelay = 600 * time.Millisecond
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Table  string
	Source Source
	// Wait is how long the store may hold a read of changes open (long polling); with 0, reads return at once. SetWait
	// changes it.
	Wait time.Duration
	// RepeatAfter is the time beyond Wait after which a read that is not answered is repeated beside the first, which the
	// store may have lost. With 0, it is not repeated before it fails. Wait and RepeatAfter together bound how long a lost
	// read hides the store's return. A large answer that is arriving is not asked for again, see receiver.WithProgress.
	RepeatAfter time.Duration
	// Pause is the time between two reads, which bounds the number of calls for a table that changes constantly.
	// SetPause changes it.
	Pause time.Duration
	// Retention decides how long rows that lapsed during an outage of the store stay in use. Its ReturnTime is also how long
	// rows stay in use that a restore of the store has taken back. By default none does. SetRetention changes it.
	Retention retainer.Config
	// SlowAnswer is the time after which a large answer that is still arriving is logged when it ends; with 0 none is.
	SlowAnswer time.Duration
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

// Table is the content of a table at a position of the store. It is immutable.
type Table struct {
	// Era and Version are the position. Version is 0 before the first read.
	Era, Version int64
	// Rows are the rows to use: those of the store at the version, and removed ones that are retained.
	Rows map[string]Row
}

// Position returns the position of the table.
func (t Table) Position() Position { return Position{Era: t.Era, Version: t.Version} }

// retainedRow is a removed row that stays in use for a while. It is dropped by the first answer to a read sent after until.
type retainedRow struct {
	row Row
	// until is a time since the follower's start.
	until time.Duration
	// isTakenBack means that a restore of the store has taken the row back, and its writer may write it again.
	isTakenBack bool
	// isCopied means that the row was retained in a peer's copy. While reads fail, it is dropped at until.
	isCopied bool
}

// Follower keeps a local copy of one table up to date. It is safe for use by several goroutines.
type Follower struct {
	config      FollowerConfig
	wait, pause atomic.Int64
	start       time.Time
	// wake ends the wait for relayed reads.
	wake chan struct{}

	// delivering is held during calls of OnChange, and never taken while mu is held.
	delivering sync.Mutex

	mu       sync.Mutex
	relayer  relayer.Relayer
	retainer retainer.Retainer
	// at is the position of rows, whose version is 0 before the first read. rows are exactly the store's rows at that
	// position, so that they can be passed on to other processes. The map is nil before the first read and never modified.
	at   Position
	rows map[string]Row
	// retained holds rows that were removed during an outage and stay in use for a while. No key is also in rows.
	retained map[string]retainedRow
	// overrides hold what is used in place of rows that a restore of the store has set back. All keys are in rows.
	overrides map[string]override
	// removed holds the rows that were removed lately, in whichever era. No key is also in rows or retained.
	removed map[string]removal
	// hasSnapshot is set once the whole table has been read or copied, and cleared when the store's history is lost. The version
	// cannot serve for this, because an empty store is at version 0.
	hasSnapshot bool
	lastSuccess time.Time
	inOutage    bool
	// failingSince is the time of the first of the consecutive failures; zero after a successful read.
	failingSince time.Time
	// receivingSince is the time at which the first part of a large answer to the current read arrived; zero without one.
	receivingSince time.Time
	// cancelRead ends the current read; nil without one.
	cancelRead context.CancelFunc
}

// NewFollower returns a Follower with an empty table. Run starts it.
func NewFollower(c FollowerConfig) *Follower {
	f := &Follower{
		config: c, start: c.Now(), wake: make(chan struct{}, 1),
		relayer: relayer.New(relayer.Config{Name: c.Name}), retainer: retainer.New(c.Retention, 0),
		retained: map[string]retainedRow{}, overrides: map[string]override{}, removed: map[string]removal{}, lastSuccess: c.Now(),
	}
	f.SetWait(c.Wait)
	f.SetPause(c.Pause)
	return f
}

// SetWait changes how long the store may hold a read of changes open.
func (f *Follower) SetWait(wait time.Duration) { f.wait.Store(int64(wait)) }

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
// itself, and those of an earlier era are ignored. It reports whether the changes are to be copied from the peer instead,
// with Merge or, if that fails, ReadNow.
func (f *Follower) HandleRelayed(peer string, c Changes) bool {
	f.mu.Lock()
	if !f.hasSnapshot || f.relayer.Interval() == 0 {
		f.mu.Unlock()
		return false
	}
	readAt := f.elapsed() - c.Age
	switch isBehind := c.From > f.at.Version; {
	case c.Rows.Era != f.at.Era:
		f.mu.Unlock()
		f.NoteEra(c.Rows.Era)
		return false
	case isBehind && c.MustCopy:
		f.relayer = f.relayer.WithRelayed(peer, readAt)
		f.mu.Unlock()
		return true
	case isBehind:
		f.mu.Unlock()
		f.ReadNow()
		return false
	}
	f.relayer = f.relayer.WithRelayed(peer, readAt)
	f.mu.Unlock()
	if f.apply(c.Rows, readAt) == nil {
		f.supersedeRead()
	}
	return false
}

// ReadNow makes the follower read by itself.
func (f *Follower) ReadNow() {
	f.mu.Lock()
	f.relayer = f.relayer.WithOwnRead()
	f.mu.Unlock()
	f.wakeRun()
}

// supersedeRead ends a read whose large answer is still arriving, after newer changes came from a peer. The next read
// asks for what is newer than those.
func (f *Follower) supersedeRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelRead != nil && !f.receivingSince.IsZero() {
		f.cancelRead()
	}
}

// elapsed returns the time since the start, which is the clock of relayer and retainer.
func (f *Follower) elapsed() time.Duration { return f.config.Now().Sub(f.start) }

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
		wait := f.relayer.ReadIn(f.elapsed())
		if wait == 0 || !f.hasSnapshot {
			f.relayer = f.relayer.WithOwnRead()
			f.mu.Unlock()
			return
		}
		f.mu.Unlock()
		timer := time.NewTimer(f.overrideWait(wait))
		select {
		case <-timer.C:
			f.endOverrides()
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
	wait = time.Duration(f.wait.Load())
	switch {
	case interval == 0:
		return wait, time.Duration(f.pause.Load())
	case wait > 0:
		return interval, 0
	}
	return 0, interval
}

// Run follows the table until ctx is cancelled.
func (f *Follower) Run(ctx context.Context) error {
	retryDelay, hasFailed := minRetryDelay, false
	for ctx.Err() == nil {
		f.awaitTurn(ctx)
		wait, pause := f.pauses()
		if hasFailed {
			// A store that was restored while it was away says so at once, and not when it has held the read open.
			wait = 0
		}
		err := f.poll(ctx, f.overrideWait(wait))
		hasFailed = err != nil
		switch {
		case err == nil:
			retryDelay = minRetryDelay
			sleep(ctx, pause)
		case errors.Is(err, ErrHistoryLost):
			f.config.Log.Warn().Str("Table", f.config.Table).Int64("Version", f.Table().Version).
				Msg("registrar: change history lost, reading the whole table again")
			f.invalidateSnapshot()
		case errors.Is(err, errOtherEra):
			sleep(ctx, minRetryDelay)
		default:
			sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
		}
	}
	return ctx.Err()
}

// poll reads the changes since the last read, or the whole table at first and after the history was lost.
func (f *Follower) poll(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	at, previous := f.at, f.rows
	needsSnapshot := !f.hasSnapshot
	f.cancelRead = cancel
	f.mu.Unlock()
	if needsSnapshot {
		a := f.read(ctx, 0, func(ctx context.Context, _ time.Duration) (Rows, error) {
			return f.config.Source.ReadTable(ctx, f.config.Table)
		})
		if a.err != nil {
			return a.err
		}
		return f.replace(a.rows, a.sentAt)
	}
	a := f.read(ctx, wait, func(ctx context.Context, wait time.Duration) (Rows, error) {
		return f.config.Source.ReadChanges(ctx, f.config.Table, at.Version, wait)
	})
	if a.err != nil {
		return a.err
	}
	if a.rows.Era != at.Era {
		f.NoteEra(a.rows.Era)
		return errOtherEra
	}
	// The store holds the read open for no longer than its wait, so the answer may be as old as the rest.
	age := max(0, f.elapsed()-a.sentAt-a.wait)
	if err := f.apply(a.rows, a.sentAt); err != nil {
		return err
	}
	f.relay(Changes{From: at.Version, Age: age, Rows: a.rows, Previous: previous})
	return nil
}

// answer is the result of one read.
type answer struct {
	rows Rows
	err  error
	// sentAt is the time at which the read was sent, and wait how long the store was allowed to hold it open.
	sentAt, wait time.Duration
}

// read reads until the store answers or refuses. It repeats a read that is not answered in time, without a wait and
// beside the earlier ones, and returns the first answer. The reads sent before that one have failed. While a large answer
// is arriving, a repetition would only take a part of the link from it.
func (f *Follower) read(ctx context.Context, wait time.Duration, call func(ctx context.Context, wait time.Duration) (Rows, error)) answer {
	progress := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(receiver.WithProgress(ctx, func() {
		select {
		case progress <- struct{}{}:
		default:
		}
	}))
	defer f.recordReceiving(false)
	answers := make(chan answer)
	// pending are the times at which the reads without a result were sent, in order.
	var pending []time.Duration
	defer func() {
		cancel()
		for range pending {
			<-answers
		}
	}()
	send := func(wait time.Duration) {
		sentAt := f.elapsed()
		pending = append(pending, sentAt)
		go func() {
			rows, err := call(ctx, wait)
			answers <- answer{rows: rows, err: err, sentAt: sentAt, wait: wait}
		}()
	}
	send(wait)
	delay := f.config.RepeatAfter
	var repeat <-chan time.Time
	if delay > 0 {
		repeat = time.After(wait + delay)
	}
	for {
		select {
		case a := <-answers:
			pending = slices.DeleteFunc(pending, func(sentAt time.Duration) bool { return sentAt == a.sentAt })
			switch {
			case ctx.Err() != nil:
				return answer{err: ctx.Err()}
			case a.err == nil || errors.Is(a.err, ErrHistoryLost):
				for _, sentAt := range pending {
					if sentAt < a.sentAt {
						f.recordFailure(errUnanswered, sentAt)
					}
				}
				return a
			case len(pending) == 0 || !errors.Is(a.err, context.DeadlineExceeded):
				f.recordFailure(a.err, a.sentAt)
				return a
			}
			f.recordFailure(a.err, a.sentAt)
		case <-repeat:
			f.recordDelay()
			send(0)
			delay = min(2*delay, maxRepeatDelay)
			repeat = time.After(delay)
		case <-progress:
			f.recordReceiving(true)
			if delay > 0 {
				repeat = time.After(delay)
			}
		case <-ctx.Done():
			return answer{err: ctx.Err()}
		}
	}
}

// recordReceiving records that a part of a large answer has arrived, or that the read has ended.
func (f *Follower) recordReceiving(isReceiving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !isReceiving:
		if took := f.config.Now().Sub(f.receivingSince); !f.receivingSince.IsZero() && f.config.SlowAnswer > 0 && took > f.config.SlowAnswer {
			f.config.Log.Warn().Str("Table", f.config.Table).Int64("Version", f.at.Version).Dur("Took", took).Dur("Limit", f.config.SlowAnswer).
				Msg("registrar: a large answer took long to arrive; the table grows too large for this VM's link to follow its changes in time")
		}
		f.receivingSince, f.cancelRead = time.Time{}, nil
	case f.receivingSince.IsZero():
		f.receivingSince = f.config.Now()
	}
}

// errUnanswered means that the store has answered a later read and not this one.
var errUnanswered = errors.New("the read is not answered; it was repeated")

// relay passes a read on to the other processes. A read that took much longer than it should is not passed on: this
// process may have been suspended since the store returned it.
func (f *Follower) relay(c Changes) {
	f.mu.Lock()
	isRelaying := f.config.Relay != nil && f.relayer.Interval() > 0
	f.mu.Unlock()
	if isRelaying && c.Age < outageThreshold {
		f.config.Relay(c)
	}
}

// invalidateSnapshot makes the next poll read the whole table. The current rows stay in use until then.
func (f *Follower) invalidateSnapshot() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasSnapshot = false
}

// recordFailure records that the store has refused the read sent at sentAt, or has not answered it.
func (f *Follower) recordFailure(err error, sentAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retainer = f.retainer.WithFailure(sentAt)
	f.recordFailingLocked(err)
}

// recordDelay records that the answer to a read stays away. It may still come.
func (f *Follower) recordDelay() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordFailingLocked(errUnanswered)
}

// recordFailingLocked notes since when reads fail. The caller holds mu.
func (f *Follower) recordFailingLocked(err error) {
	if f.failingSince.IsZero() {
		f.failingSince = f.config.Now()
	}
	if !f.inOutage && f.config.Now().Sub(f.lastSuccess) > outageThreshold {
		f.inOutage = true
		f.config.Log.Warn().Str("Table", f.config.Table).Int64("Version", f.at.Version).
			Dur("SinceAnswer", f.config.Now().Sub(f.lastSuccess)).Err(err).Msg("registrar: store lost")
	}
}

// recordSuccess records that the read sent at sentAt was answered.
func (f *Follower) recordSuccess(sentAt time.Duration) {
	f.retainer = f.retainer.WithAnswer(sentAt, f.elapsed())
	now := f.config.Now()
	if f.inOutage {
		f.config.Log.Info().Str("Table", f.config.Table).Int64("Version", f.at.Version).
			Dur("SinceAnswer", now.Sub(f.lastSuccess)).Msg("registrar: store regained")
	}
	f.inOutage, f.lastSuccess, f.failingSince = false, now, time.Time{}
}

// errOtherEra means that the store was restored since the copy was read, or that a copy of a later era arrived while the store
// was read. What was read doesn't follow on the copy.
var errOtherEra = errors.New("the store was restored since the copy was read; the table is read again")

// errOlderSnapshot means that the copy was brought to a newer version while the store's snapshot was read.
var errOlderSnapshot = errors.New("the snapshot is older than a copy that was received meanwhile; it is read again")

// replace replaces the whole table with the store's, which was asked for it at sentAt.
func (f *Follower) replace(rows Rows, sentAt time.Duration) error {
	f.mu.Lock()
	if rows.Position().Compare(f.at) < 0 {
		f.config.Log.Warn().Str("Table", f.config.Table).Int64("Era", f.at.Era).Int64("Version", f.at.Version).Int64("ReadEra", rows.Era).
			Int64("Read", rows.Version).Msg("registrar: the table that was read is older than the copy, discarded")
		f.mu.Unlock()
		return errOlderSnapshot
	}
	lastBefore := f.retainer.LastBefore()
	if !rows.EarlierAt.IsZero() {
		lastBefore = max(lastBefore, rows.EarlierAt.Sub(f.start))
	}
	f.recordSuccess(sentAt)
	f.hasSnapshot = true
	next := make(map[string]Row, len(rows.Rows))
	for _, row := range rows.Rows {
		next[row.Key] = row
	}
	for key, row := range f.rows {
		if _, ok := next[key]; !ok {
			f.retainLapsed(row)
		}
	}
	f.setRows(rows.Position(), next, lastBefore)
	f.dropOverrides()
	f.mu.Unlock()
	f.deliver()
	return nil
}

// setRows replaces the rows and their position. lastBefore is a time at which the store was not yet in this state. The caller
// holds mu.
func (f *Follower) setRows(at Position, next map[string]Row, lastBefore time.Duration) {
	if at.Era > f.at.Era {
		f.enterEra(at, next, lastBefore)
	}
	for key := range next {
		delete(f.retained, key)
	}
	f.recordRemovals(next)
	f.at, f.rows = at, next
}

// retainLapsed keeps a removed row in use if it was in use and may have lapsed during an outage.
func (f *Follower) retainLapsed(row Row) {
	if o, ok := f.overrides[row.Key]; ok {
		if o.row == nil {
			return
		}
		row = *o.row
	}
	until, ok := f.retainer.RetainUntil()
	left := until - f.elapsed()
	if !ok || left <= 0 {
		return
	}
	f.retained[row.Key] = retainedRow{row: row, until: until}
	f.config.Log.Info().Str("Table", f.config.Table).Str("Key", row.Key).Dur("For", left).
		Msg("registrar: row removed during an outage, retained temporarily")
}

// dropExpired drops the retained rows whose time ended before a read that was answered, and reports whether there were
// any. Their time is longer if the store has been away again meanwhile, so that they could not come back.
func (f *Follower) dropExpired(readAt time.Duration) bool {
	longer, isLonger := f.retainer.RetainUntil()
	changed := false
	for key, retained := range f.retained {
		until := retained.until
		if isLonger && !retained.isCopied {
			until = max(until, longer)
		}
		if readAt >= until {
			f.dropRetained(key)
			changed = true
		}
	}
	return changed
}

// apply applies changes that the store returned to a read sent at readAt, and drops rows whose retention time has ended.
func (f *Follower) apply(rows Rows, readAt time.Duration) error {
	f.mu.Lock()
	if rows.Era != f.at.Era {
		f.mu.Unlock()
		return errOtherEra
	}
	f.recordSuccess(readAt)
	next, isCloned := f.rows, false
	write := func() map[string]Row {
		if !isCloned {
			next, isCloned = maps.Clone(next), true
		}
		return next
	}
	for key, row := range lastChanges(rows.Rows, f.at.Version) {
		removed, known := next[key]
		switch {
		case !row.IsDeleted:
			write()[key] = row
			delete(f.retained, key)
		case !known:
			// It was added and removed since the last read, or is retained already.
		default:
			delete(write(), key)
			f.retainLapsed(removed)
		}
	}
	changed := f.dropExpired(readAt) || isCloned
	at := Position{Era: f.at.Era, Version: max(rows.Version, f.at.Version)}
	if isCloned {
		f.setRows(at, next, readAt)
	}
	f.at = at
	changed = f.dropOverrides() || changed
	f.mu.Unlock()
	if changed {
		f.deliver()
	}
	return nil
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
	if rows.Position().Compare(f.at) <= 0 {
		f.mu.Unlock()
		return false
	}
	next := make(map[string]Row, len(rows.Rows))
	retained, live := map[string]retainedRow{}, f.liveRows()
	for _, row := range rows.Rows {
		if !row.IsDeleted {
			next[row.Key] = row
			continue
		}
		until := askedAt.Sub(f.start) + row.RetainedFor
		_, isLive := live[row.Key]
		previous, isRetained := f.retained[row.Key]
		if isRetained {
			until = min(until, previous.until)
		}
		if isLive || isRetained || f.rows == nil {
			row.IsDeleted, row.RetainedFor = false, 0
			retained[row.Key] = retainedRow{row: row, until: until, isTakenBack: previous.isTakenBack, isCopied: !previous.isTakenBack}
		}
	}
	for key, previous := range f.retained {
		_, isBack := next[key]
		_, isKept := retained[key]
		switch {
		case previous.isTakenBack && rows.Era > f.at.Era:
			retained[key] = previous
		case !isBack && !isKept:
			f.recordRemoval(previous.row)
		}
	}
	f.retained = retained
	f.setRows(rows.Position(), next, max(f.retainer.LastBefore(), askedAt.Sub(f.start)))
	f.dropOverrides()
	// The copy is the store's content at its version, so that the changes after that version are enough.
	f.hasSnapshot = true
	f.mu.Unlock()
	f.supersedeRead()
	f.deliver()
	return true
}

// DropCopied drops the rows that a peer's copy retained and whose time has ended, if no read is answered that would tell.
func (f *Follower) DropCopied() {
	f.mu.Lock()
	changed := false
	for key, retained := range f.retained {
		if !f.failingSince.IsZero() && retained.isCopied && f.elapsed() >= retained.until {
			f.dropRetained(key)
			changed = true
		}
	}
	f.mu.Unlock()
	if changed {
		f.deliver()
	}
}

// dropRetained ends the use of a retained row.
func (f *Follower) dropRetained(key string) {
	f.recordRemoval(f.retained[key].row)
	delete(f.retained, key)
	f.config.Log.Info().Str("Table", f.config.Table).Str("Key", key).Msg("registrar: row removed after its retention time")
}

// Copy returns the content for a peer, see Merge. Retained rows are marked as deleted.
func (f *Follower) Copy() Rows {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := Rows{Era: f.at.Era, Version: f.at.Version, Rows: slices.Collect(maps.Values(f.rows))}
	for _, retained := range f.retained {
		row := retained.row
		row.IsDeleted, row.RetainedFor = true, max(0, retained.until-f.elapsed())
		rows.Rows = append(rows.Rows, row)
	}
	return rows
}

// deliver passes the current content to OnChange. Several goroutines change the table, so that one of them could otherwise
// deliver an older content after another one has delivered a newer.
func (f *Follower) deliver() {
	f.delivering.Lock()
	defer f.delivering.Unlock()
	f.config.OnChange(f.Table())
}

// Name returns the name of the table.
func (f *Follower) Name() string { return f.config.Table }

// Table returns the current content.
func (f *Follower) Table() Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Table{Era: f.at.Era, Version: f.at.Version, Rows: f.currentRows()}
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

// ReceivingFor returns how long a large answer to the current read has been arriving; 0 without one.
func (f *Follower) ReceivingFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.receivingSince.IsZero() {
		return 0
	}
	return f.config.Now().Sub(f.receivingSince)
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
