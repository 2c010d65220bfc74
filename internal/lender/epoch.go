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

// applyEpoch applies the share that the epoch allows to all accounts, and acknowledges the epoch once every bucket and
// the load permits in use fit the share. The caller holds the mutex.
func (l *Lender) applyEpoch(now time.Duration) {
	oldNum, oldDen := l.share()
	l.epoch = l.epoch.Advance(now)
	num, den := l.share()
	fits := true
	for _, a := range l.accounts {
		a.Account = a.WithShare(num, den, now)
		fits = fits && a.Bucket().Overcommitted() == 0
	}
	l.hasFreePermit(now)
	if fits && len(l.permits) <= l.slots() {
		l.epoch = l.epoch.WithShareApplied()
	}
	if num*oldDen != oldNum*den {
		l.config.Log.Info().Int64("Epoch", l.epoch.Number()).Int("Numerator", num).Int("Denominator", den).Msg("entry: share of the limits changed")
	}
}

// adoptEpoch adopts an epoch row if it is newer than the current one. The caller holds the mutex.
func (l *Lender) adoptEpoch(epochRow wire.EpochRow, now time.Duration) {
	if epochRow.Epoch <= l.epoch.Number() {
		return
	}
	for _, m := range l.epochRow.Members {
		if !slices.Contains(epochRow.Members, m) {
			l.removedMembers[m] = true
		}
	}
	l.epochRow = epochRow
	names := make([]string, len(epochRow.Members))
	for i, m := range epochRow.Members {
		delete(l.removedMembers, m)
		names[i] = memberName(m)
		l.findOrAddPeer(m.Address, now)
	}
	l.epoch = l.epoch.WithEpoch(epochRow.Epoch, names, now)
	l.applyEpoch(now)
}

// pollEpoch reads the epoch row at every pollInterval or on request. It writes the row if this entry is not a member,
// or if it has proof that a member has terminated.
func (l *Lender) pollEpoch(ctx context.Context) {
	for {
		wait := pollInterval
		if err := l.updateEpoch(ctx); err != nil {
			if storer.IsKind(err, storer.Conflict) {
				// The random delay keeps entries that start at the same time from conflicting repeatedly.
				wait = conflictRetryDelay + time.Duration(uuid.New().ID()%uint32(conflictRetryDelay.Milliseconds()))*time.Millisecond
			} else if ctx.Err() == nil {
				l.config.Log.Warn().Err(err).Msg("entry: updating the epoch row failed")
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-l.readEpochRow:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// requestEpochRead makes pollEpoch read the epoch row without waiting for the next interval.
func (l *Lender) requestEpochRead() {
	select {
	case l.readEpochRow <- struct{}{}:
	default:
	}
}

// updateEpoch reads the epoch row, and writes the next epoch if the members change.
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
	l.adoptEpoch(row, l.now())
	isSetBack, known := l.isSetBack(row), l.epochRow
	candidates, number := row, row.Epoch+1
	if isSetBack {
		candidates.Members = l.membersAfterRestore(row)
		// The gap makes all members wait for the shares of epochs that they have not seen.
		number = max(row.Epoch, known.Epoch) + 2
	}
	members := l.nextMembers(candidates)
	l.mutex.Unlock()
	if slices.Equal(members, row.Members) && !isSetBack {
		return nil
	}
	row = wire.EpochRow{Epoch: number, Members: members}
	data, err := json.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "encode the epoch row")
	}
	mark := uuid.NewString()
	err = l.config.Table.Put(ctx, storer.Row{Pk: epochPk, Sk: epochSk, Data: data, Mark: mark}, stored.Version)
	if storer.IsKind(err, storer.Unavailable) {
		// The write may have taken effect although its response was lost; the mark identifies this writer's row.
		if reread, readErr := l.config.Table.Get(ctx, epochPk, epochSk); readErr == nil && reread.Mark == mark {
			err = nil
		}
	}
	if err != nil {
		return errors.Wrap(err, "write the epoch row")
	}
	if isSetBack {
		l.config.Log.Warn().Int64("Epoch", number).Int64("Known", known.Epoch).
			Msg("entry: the table was restored from an earlier copy; an epoch above all known ones was written")
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.adoptEpoch(row, l.now())
	l.config.Log.Info().Int64("Epoch", row.Epoch).Int("Members", len(members)).Msg("entry: epoch changed")
	return nil
}

// isSetBack reports whether the table was restored from a copy that has an earlier epoch than the known one, or has since given
// its number to another. The caller holds the mutex.
func (l *Lender) isSetBack(row wire.EpochRow) bool {
	return row.Epoch < l.epochRow.Epoch || row.Epoch == l.epochRow.Epoch && !slices.Equal(row.Members, l.epochRow.Members)
}

// membersAfterRestore returns the members of the known epoch and those of row, which a restore has set back, unless they are known
// to have been removed. The others may hold a share. The caller holds the mutex.
func (l *Lender) membersAfterRestore(row wire.EpochRow) []wire.EntryMember {
	members := slices.Clone(l.epochRow.Members)
	for _, m := range row.Members {
		if !slices.Contains(members, m) && !l.removedMembers[m] {
			members = append(members, m)
		}
	}
	return members
}

// nextMembers returns the members of the epoch after row: without those that are proven to have terminated, and with
// this entry unless it is leaving. The caller holds the mutex.
func (l *Lender) nextMembers(row wire.EpochRow) []wire.EntryMember {
	var members []wire.EntryMember
	isMember := false
	for _, m := range row.Members {
		switch {
		case m == l.config.Self:
			// In a planned stop, the entry remains a member until Leave has settled its grants.
			isMember = true
			if !l.left {
				members = append(members, m)
			}
		case m.VM == l.config.Self.VM, l.absences[m.VM] >= absentListThreshold:
			l.epoch = l.epoch.WithDead(memberName(m))
		default:
			members = append(members, m)
		}
	}
	if !isMember && l.selfListed && !l.leaving && l.config.State() != string(wire.EntryExchangeStateLeaving) {
		members = append(members, l.config.Self)
	}
	return members
}
