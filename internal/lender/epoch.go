package lender

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"geraniumladder/internal/storer"
	"geraniumladder/internal/wire"
)

// settleEpoch puts the share that the epoch allows in force, and acknowledges the epoch once every bucket and the
// load permits in use fit it. The mutex is held.
func (l *Lender) settleEpoch(now time.Duration) {
	before, beforeDen := l.share()
	l.epoch = l.epoch.Advance(now)
	num, den := l.share()
	fits := true
	for _, a := range l.accounts {
		a.Account = a.WithShare(num, den, now)
		fits = fits && a.Bucket().Over() == 0
	}
	l.slotFree(now)
	if fits && len(l.inUse) <= l.slots() {
		l.epoch = l.epoch.WithTaken()
	}
	if num*beforeDen != before*den {
		l.config.Log.Info().Int64("Epoch", l.epoch.Number()).Int("Numerator", num).Int("Denominator", den).Msg("entry: share of the limits changed")
	}
}

// learn adopts an epoch row if it is newer. The mutex is held.
func (l *Lender) learn(row wire.EpochRow, now time.Duration) {
	if row.Epoch <= l.epoch.Number() {
		return
	}
	l.row = row
	names := make([]string, len(row.Members))
	for i, m := range row.Members {
		names[i] = name(m)
		l.meet(m.Address, now)
	}
	l.epoch = l.epoch.WithEpoch(row.Epoch, names, now)
	l.settleEpoch(now)
}

// followEpoch reads the epoch row every few seconds and writes it when this entry is not a member, or has proof
// that a member has ended.
func (l *Lender) followEpoch(ctx context.Context) {
	for {
		wait := epochEvery
		if err := l.updateEpoch(ctx); err != nil {
			if storer.IsKind(err, storer.Conflict) {
				// Entries that start together would otherwise collide again and again.
				wait = conflictPause + time.Duration(uuid.New().ID()%uint32(conflictPause.Milliseconds()))*time.Millisecond
			} else if ctx.Err() == nil {
				l.config.Log.Warn().Err(err).Msg("entry: epoch row not read or written")
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-l.readRow:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// wantRow asks for a read of the epoch row.
func (l *Lender) wantRow() {
	select {
	case l.readRow <- struct{}{}:
	default:
	}
}

// updateEpoch reads the row, and writes it if its members are to change.
func (l *Lender) updateEpoch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storer.DefaultCallTimeout)
	defer cancel()
	stored, err := l.config.Table.Get(ctx, epochPk, epochSk)
	if storer.IsKind(err, storer.NotFound) {
		stored, err = storer.Row{Pk: epochPk, Sk: epochSk}, nil
	}
	if err != nil {
		return errors.Wrap(err, "read the epoch row")
	}
	var row wire.EpochRow
	if len(stored.Data) > 0 {
		if err := json.Unmarshal(stored.Data, &row); err != nil {
			return errors.Wrap(err, "decode the epoch row; another version of the program may have written it")
		}
	}
	l.mutex.Lock()
	l.learn(row, l.now())
	members := l.successors(row)
	l.mutex.Unlock()
	if slices.Equal(members, row.Members) {
		return nil
	}
	row = wire.EpochRow{Epoch: row.Epoch + 1, Members: members}
	data, err := json.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "encode the epoch row")
	}
	mark := uuid.NewString()
	err = l.config.Table.Put(ctx, storer.Row{Pk: epochPk, Sk: epochSk, Data: data, Mark: mark}, stored.Version)
	if storer.IsKind(err, storer.Unavailable) {
		// The answer may have been lost after the write took effect.
		if back, readErr := l.config.Table.Get(ctx, epochPk, epochSk); readErr == nil && back.Mark == mark {
			err = nil
		}
	}
	if err != nil {
		return errors.Wrap(err, "write the epoch row")
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.learn(row, l.now())
	l.config.Log.Info().Int64("Epoch", row.Epoch).Int("Members", len(members)).Msg("entry: epoch changed")
	return nil
}

// successors returns the members after row: without those that are proven to have ended, and with this entry
// unless it leaves. The mutex is held.
func (l *Lender) successors(row wire.EpochRow) []wire.EntryMember {
	var members []wire.EntryMember
	member := false
	for _, m := range row.Members {
		switch {
		case m == l.config.Self:
			// A planned stop leaves only when Leave has settled the grants.
			member = true
			if !l.left {
				members = append(members, m)
			}
		case m.VM == l.config.Self.VM, l.missing[m.VM] >= goneLists:
			l.epoch = l.epoch.WithDead(name(m))
		default:
			members = append(members, m)
		}
	}
	if !member && l.selfListed && !l.leaving && l.config.State() != string(wire.EntryExchangeStateLeaving) {
		members = append(members, l.config.Self)
	}
	return members
}
