package applier

import (
	"cmp"
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"geraniumladder/internal/merger"
	"geraniumladder/internal/storer"
	"geraniumladder/internal/wire"
)

const (
	// DefaultPoll is the time between two reads of the head: 410 entries make 820 of the store's 2,000 reads a second.
	DefaultPoll = 500 * time.Millisecond
	// DefaultFreshFor leaves one second of the 4 s, in which a withdrawn key must stop working, for the commit's
	// answer to reach the operator and for messages on their way.
	DefaultFreshFor = 3 * time.Second
	// headTimeout bounds one read of the head, so that a hanging store is noticed well within DefaultFreshFor.
	headTimeout = time.Second
	// fetchTimeout bounds the fetch of a page of deltas or a snapshot.
	fetchTimeout = 5 * time.Second
	// hopAllowance is added to the age of each proof from another process for the time on its way, which neither
	// of the two can measure. It is far above the 1.5 ms between failure domains.
	hopAllowance = 250 * time.Millisecond
	// keptDeltas bounds the deltas kept for peers: more than a day of changes at 630 a day.
	keptDeltas = 1024
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Table   storer.Table
	Objects storer.Objects
	// Poll is DefaultPoll when 0.
	Poll time.Duration
	// FreshFor is DefaultFreshFor when 0.
	FreshFor time.Duration
	// PeerDeltas fetches the deltas numbered from and up from a peer entry, in order. It is asked when the store
	// does not answer; nil when there are no peers.
	PeerDeltas func(ctx context.Context, from int64) ([]merger.NumberedDelta, error)
	// OtherEntries returns how many other entries the platform lists, how many of them answer, and whether one that
	// answers reports that the store is unavailable to it. Nil means that there are none.
	OtherEntries func() (listed, reachable int, peerStoreAway bool)
	// Now is time.Now when nil.
	Now func() time.Time
	Log zerolog.Logger
}

// Follower keeps the newest revision in force in an entry. It is safe for use by several goroutines.
type Follower struct {
	c       FollowerConfig
	current atomic.Pointer[merger.Revision]
	// kick wakes Run before the next poll.
	kick chan struct{}

	mutex    sync.Mutex
	progress Progress
	// kept are the last deltas that were put in force, without a gap, the newest last.
	kept        []merger.NumberedDelta
	subscribers []chan struct{}

	// newestSnapshot is used by Run alone.
	newestSnapshot int64
}

// NewFollower returns a Follower with the empty revision in force.
func NewFollower(c FollowerConfig) *Follower {
	c.Poll = cmp.Or(c.Poll, DefaultPoll)
	c.FreshFor = cmp.Or(c.FreshFor, DefaultFreshFor)
	if c.Now == nil {
		c.Now = time.Now
	}
	f := &Follower{c: c, kick: make(chan struct{}, 1)}
	empty := merger.NewRevision(0, merger.Items{})
	f.current.Store(&empty)
	return f
}

// Current returns the revision in force. Its number never goes down.
func (f *Follower) Current() merger.Revision { return *f.current.Load() }

// Progress returns what is known about revisions.
func (f *Follower) Progress() Progress {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.progress
}

// Freshness returns what to tell other processes.
func (f *Follower) Freshness() wire.Freshness { return f.Progress().Freshness(f.c.Now()) }

// Observe takes what another process told. For a proof in the answer to a request of its own, the caller first adds
// the time since it sent the request to AgeMs.
func (f *Follower) Observe(fresh wire.Freshness) {
	now := f.c.Now()
	behind := f.update(func(p Progress) Progress {
		p = p.WithKnown(fresh.Revision)
		if fresh.AgeMs >= 0 {
			p = p.WithProof(fresh.Revision, now.Add(-hopAllowance-time.Duration(fresh.AgeMs)*time.Millisecond))
		}
		return p
	})
	if behind {
		select {
		case f.kick <- struct{}{}:
		default:
		}
	}
}

// update changes the progress and says whether this made a newer revision known.
func (f *Follower) update(change func(Progress) Progress) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	before := f.progress.Known()
	f.progress = change(f.progress)
	return f.progress.Known() > before
}

// MayServe returns *Stale unless a new request may be accepted at now.
func (f *Follower) MayServe(now time.Time) error {
	return f.Progress().MayServe(now, f.c.FreshFor, func() Others {
		if f.c.OtherEntries == nil {
			return Others{}
		}
		listed, reachable, away := f.c.OtherEntries()
		return Others{Listed: listed, Reachable: reachable, StoreAway: away}
	})
}

// Deltas returns the deltas numbered from and up, for a peer. It returns false when they are not kept any more;
// the peer then needs a snapshot.
func (f *Follower) Deltas(from int64) ([]merger.NumberedDelta, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if from > f.progress.InForce() {
		return nil, true
	}
	if len(f.kept) == 0 || from < f.kept[0].Number {
		return nil, false
	}
	return append([]merger.NumberedDelta(nil), f.kept[from-f.kept[0].Number:]...), true
}

// Subscribe returns a channel that receives after each change of the revision in force. Changes that follow each
// other quickly may be joined into one.
func (f *Follower) Subscribe() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	c := make(chan struct{}, 1)
	f.subscribers = append(f.subscribers, c)
	return c
}

// Run follows the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	ticker := time.NewTicker(f.c.Poll)
	defer ticker.Stop()
	for {
		f.Poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-f.kick:
		}
	}
}

// Poll reads the head once and fetches what is missing. Run calls it; it must not be called beside Run.
func (f *Follower) Poll(ctx context.Context) {
	wasAway := f.Progress().StoreAway()
	err := f.readHead(ctx)
	if ctx.Err() != nil {
		return
	}
	switch {
	case err != nil && !wasAway:
		f.c.Log.Warn().Err(err).Msg("entry: the head of the configuration cannot be read; the last revision stays in force")
	case err == nil && wasAway:
		f.c.Log.Info().Msg("entry: the head of the configuration can be read again")
	}
	if err = f.catchUp(ctx, err == nil); err != nil && ctx.Err() == nil {
		f.c.Log.Warn().Err(err).Msg("entry: a newer configuration cannot be fetched; it is tried again at the next poll")
	}
}

func (f *Follower) readHead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	began, knownBefore := f.c.Now(), f.Progress().Known()
	head, _, err := readHead(ctx, f.c.Table)
	if err != nil {
		f.update(func(p Progress) Progress { return p.WithStoreAway(true) })
		return err
	}
	if head.Revision < knownBefore {
		// The store promises consistent reads, so that this is a table restored from an older copy.
		f.c.Log.Error().Int64("Head", head.Revision).Int64("Known", knownBefore).
			Msg("entry: the head of the configuration went back; a revision in force is never reverted: restart all processes after restoring the table")
	}
	f.newestSnapshot = max(f.newestSnapshot, head.Snapshot)
	f.update(func(p Progress) Progress { return p.WithStoreAway(false).WithProof(head.Revision, began) })
	return nil
}

// catchUp fetches until everything known is in force, from the store if it answers, else from a peer.
func (f *Follower) catchUp(ctx context.Context, storeAnswers bool) error {
	for ctx.Err() == nil {
		before := f.Current().Number()
		step := f.Progress().Next(f.newestSnapshot)
		if step == (Step{}) {
			return nil
		}
		err := errors.New("the store does not answer")
		if storeAnswers {
			err = f.fetch(ctx, step)
		}
		if f.Current().Number() == before {
			if peerErr := f.fetchFromPeer(ctx, before+1); peerErr != nil {
				err = errors.CombineErrors(err, peerErr)
			}
		}
		if f.Current().Number() == before {
			return errors.Wrapf(err, "revision %d", before+1)
		}
	}
	return nil
}

func (f *Follower) fetch(ctx context.Context, step Step) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if step.Snapshot != 0 {
		if err := f.fetchSnapshot(ctx, step.Snapshot); err == nil {
			return nil
		}
		// Without the snapshot the deltas still lead to the newest revision, only more slowly.
		step.From = f.Current().Number() + 1
	}
	rows, err := f.c.Table.Query(ctx, deltaPk, deltaSk(step.From), queryPage)
	if err != nil {
		return err
	}
	for _, row := range rows {
		delta, err := f.decodeDelta(ctx, row)
		if err != nil {
			return err
		}
		if err := f.put(delta); err != nil {
			return err
		}
	}
	if len(rows) == 0 {
		return errors.Newf("row %s/%s is missing; restore the table, or apply any change 64 times for a new snapshot", deltaPk, deltaSk(step.From))
	}
	return nil
}

func (f *Follower) fetchSnapshot(ctx context.Context, number int64) error {
	body, err := f.c.Objects.GetObject(ctx, snapshotKey(number))
	if err != nil {
		return err
	}
	var s snapshot
	if err := json.Unmarshal(body, &s); err != nil {
		return errors.Wrapf(err, "decode object %s", snapshotKey(number))
	}
	if s.Number != number {
		return errors.Newf("object %s holds revision %d; delete it", snapshotKey(number), s.Number)
	}
	f.enforce(merger.NewRevision(number, s.Items), nil)
	return nil
}

func (f *Follower) decodeDelta(ctx context.Context, row storer.Row) (merger.NumberedDelta, error) {
	var doc deltaRow
	if err := json.Unmarshal(row.Data, &doc); err != nil {
		return merger.NumberedDelta{}, errors.Wrapf(err, "decode row %s/%s", deltaPk, row.Sk)
	}
	numbered := merger.NumberedDelta{Number: doc.Number}
	if doc.Delta != nil {
		numbered.Delta = *doc.Delta
		return numbered, nil
	}
	body, err := f.c.Objects.GetObject(ctx, doc.Object)
	if err != nil {
		return numbered, err
	}
	return numbered, errors.Wrapf(json.Unmarshal(body, &numbered.Delta), "decode object %s", doc.Object)
}

func (f *Follower) fetchFromPeer(ctx context.Context, from int64) error {
	if f.c.PeerDeltas == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	deltas, err := f.c.PeerDeltas(ctx, from)
	if err != nil {
		return err
	}
	for _, d := range deltas {
		if err := f.put(d); err != nil {
			return err
		}
	}
	return nil
}

// put puts the next delta in force; one that is in force already is ignored.
func (f *Follower) put(d merger.NumberedDelta) error {
	current := f.Current()
	if d.Number <= current.Number() {
		return nil
	}
	next, err := current.With(d.Number, d.Delta)
	if err != nil {
		return err
	}
	f.enforce(next, &d)
	return nil
}

// enforce replaces the revision in force. Only the goroutine that polls calls it.
func (f *Follower) enforce(next merger.Revision, delta *merger.NumberedDelta) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if next.Number() <= f.progress.InForce() {
		return
	}
	f.current.Store(&next)
	f.progress = f.progress.WithInForce(next.Number())
	if delta == nil {
		f.kept = nil
	} else {
		f.kept = append(f.kept, *delta)
	}
	if extra := len(f.kept) - keptDeltas; extra > 0 {
		f.kept = append([]merger.NumberedDelta(nil), f.kept[extra:]...)
	}
	for _, c := range f.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
	f.c.Log.Info().Int64("Revision", next.Number()).Msg("entry: a newer configuration is in force")
}
