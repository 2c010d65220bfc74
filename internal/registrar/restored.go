package registrar

import (
	"bytes"
	"maps"
	"time"
)

// removalMemory is how long a removed row is remembered. It is longer than a copy from which the store is restored is old.
const removalMemory = time.Minute

// removal is the last version of a row before its removal.
type removal struct {
	version int64
	at      time.Duration
}

// override is what is used in place of a row that a restore of the store has set back.
type override struct {
	// row is the row of before the restore; nil if it had been removed.
	row *Row
	// version is that of the row which the store has. A change of the row ends the override.
	version int64
	// until is a time since the follower's start. A read that is answered after it ends the override.
	until time.Duration
}

// NoteEra makes the follower read the whole table if the store is in a later era than its copy. Another reader of the store
// has found that.
func (f *Follower) NoteEra(era int64) {
	f.mu.Lock()
	if era <= f.at.Era || !f.hasSnapshot {
		f.mu.Unlock()
		return
	}
	f.hasSnapshot = false
	f.relayer = f.relayer.WithOwnRead()
	if f.cancelRead != nil {
		f.cancelRead()
	}
	f.mu.Unlock()
	f.wakeRun()
}

// enterEra prepares the replacement of the rows by those of a later era. What the restore has taken back is kept for
// ReturnTime, in which its writers write it again. The store was not back yet at lastBefore, so that this ends no later than
// ReturnTime after its return. The caller holds mu.
func (f *Follower) enterEra(at Position, next map[string]Row, lastBefore time.Duration) {
	if f.rows == nil {
		return
	}
	previous := maps.Clone(f.liveRows())
	for key, retained := range f.retained {
		if retained.isTakenBack {
			previous[key] = retained.row
		}
	}
	for key, o := range f.overrides {
		if o.row == nil {
			f.removed[key] = removal{version: o.version, at: f.elapsed()}
		}
	}
	f.overrides = map[string]override{}
	rewritten := lastBefore + f.retainer.Config().ReturnTime
	missing := f.keepTakenBack(previous, next, rewritten)
	f.leaveOutRemoved(next, rewritten)
	f.config.Log.Warn().Str("Table", f.config.Table).Int64("Era", at.Era).Int64("Version", at.Version).Int64("FromEra", f.at.Era).
		Int64("FromVersion", f.at.Version).Int("Missing", missing).Int("SetBack", len(f.overrides)).
		Msg("registrar: the store was restored from an earlier copy; rows that are missing or set back stay as they were until they are written again")
}

// keepTakenBack keeps the previous rows in use that next lacks or has in an earlier version, and returns the number of those
// that it lacks. The caller holds mu.
func (f *Follower) keepTakenBack(previous, next map[string]Row, until time.Duration) (missing int) {
	if until <= f.elapsed() {
		return 0
	}
	for key, row := range previous {
		restored, ok := next[key]
		switch {
		case !ok:
			// It isn't marked as copied: a copied row is dropped while the store is away, when nobody can write it again.
			f.retained[key] = retainedRow{row: row, until: until, isTakenBack: true}
			missing++
		case restored.Version < row.Version && !bytes.Equal(restored.Value, row.Value):
			f.overrides[key] = override{row: &row, version: restored.Version, until: until}
		}
	}
	return missing
}

// leaveOutRemoved keeps rows out of use that were removed before the restore. Those whose writers have ended lapse again.
// The caller holds mu.
func (f *Follower) leaveOutRemoved(next map[string]Row, rewritten time.Duration) {
	config, now := f.retainer.Config(), f.elapsed()
	lapsed := rewritten + time.Duration(config.LapseIntervals)*config.RenewInterval
	if config.ReturnTime == 0 || lapsed <= now {
		return
	}
	for key, removed := range f.removed {
		restored, ok := next[key]
		if ok && restored.Version <= removed.version && now-removed.at < removalMemory {
			f.overrides[key] = override{version: restored.Version, until: lapsed}
		}
	}
}

// recordRemovals remembers the rows that next lacks. The caller holds mu.
func (f *Follower) recordRemovals(next map[string]Row) {
	now := f.elapsed()
	maps.DeleteFunc(f.removed, func(key string, r removal) bool {
		_, isBack := next[key]
		return isBack || now-r.at >= removalMemory
	})
	for key, row := range f.rows {
		_, isRetained := f.retained[key]
		if _, ok := next[key]; !ok && !isRetained {
			f.recordRemoval(row)
		}
	}
}

// recordRemoval remembers a row that is no longer used. The caller holds mu.
func (f *Follower) recordRemoval(row Row) {
	f.removed[row.Key] = removal{version: row.Version, at: f.elapsed()}
}

// overrideWait returns the time until the next override ends; most if that is shorter.
func (f *Follower) overrideWait(most time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.elapsed()
	for _, o := range f.overrides {
		if o.until > now {
			most = min(most, o.until-now)
		}
	}
	return most
}

// endOverrides ends the overrides whose time has ended.
func (f *Follower) endOverrides() {
	f.mu.Lock()
	changed := f.dropOverrides()
	f.mu.Unlock()
	if changed {
		f.deliver()
	}
}

// dropOverrides ends the overrides of rows that have changed, and those whose time has ended unless the store is away: then
// nothing can be written again. It reports whether there were any. The caller holds mu.
func (f *Follower) dropOverrides() bool {
	changed, now := false, f.elapsed()
	isAway := !f.failingSince.IsZero() || f.retainer.IsOutage()
	for key, o := range f.overrides {
		row, ok := f.rows[key]
		if ok && row.Version == o.version && (isAway || now < o.until) {
			continue
		}
		delete(f.overrides, key)
		changed = true
		f.config.Log.Info().Str("Table", f.config.Table).Str("Key", key).Bool("IsRewritten", !ok || row.Version != o.version).
			Msg("registrar: row of a restored store is used again")
	}
	return changed
}

// currentRows returns the rows to use. The caller holds mu and must not modify them.
func (f *Follower) currentRows() map[string]Row {
	rows := f.liveRows()
	if len(f.retained) == 0 {
		return rows
	}
	rows = maps.Clone(rows)
	for key, retained := range f.retained {
		rows[key] = retained.row
	}
	return rows
}

// liveRows returns the rows to use without those that were removed and are retained. The caller holds mu and must not
// modify them.
func (f *Follower) liveRows() map[string]Row {
	if len(f.overrides) == 0 {
		return f.rows
	}
	rows := maps.Clone(f.rows)
	for key, o := range f.overrides {
		if o.row == nil {
			delete(rows, key)
		} else {
			rows[key] = *o.row
		}
	}
	return rows
}
