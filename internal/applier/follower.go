package applier

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
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
	// DefaultPollInterval is the interval between two reads of the head. It keeps the load on the store below the
	// 2,000 reads per second that it can serve: a fleet of 410 entries makes 820.
	DefaultPollInterval = 500 * time.Millisecond
	// DefaultMaxProofAge is the maximum age of the proof that the configuration in force is the newest one. A withdrawn
	// key must stop working within 4 s. One second of that is left for the commit's response to reach the operator and
	// for messages in transit.
	DefaultMaxProofAge = 3 * time.Second
	// headTimeout bounds one read of the head, so that a hanging store is detected well within DefaultMaxProofAge.
	headTimeout = time.Second
	// fetchTimeout bounds the fetch of one page of deltas. Objects are fetched for as long as they make progress.
	fetchTimeout = 5 * time.Second
	// transitAllowance is added to the age of each proof from another process to cover the network delay, which
	// neither process can measure. It is far above the latency of 1.5 ms between failure domains.
	transitAllowance = 250 * time.Millisecond
	// maxRecentDeltas bounds the deltas kept for peers. A peer can catch up after more than a day at 630 changes per
	// day.
	maxRecentDeltas = 1024
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Table   storer.Table
	Objects storer.Objects
	// Poll is the interval between two reads of the head; it defaults to DefaultPollInterval.
	Poll time.Duration
	// MaxProofAge is the age at which a proof no longer permits accepting requests; see Progress.MayServe. It defaults
	// to DefaultMaxProofAge.
	MaxProofAge time.Duration
	// PeerDeltas asks a peer entry for the deltas whose numbers are at least from, in ascending order. It is called when the
	// store yields no newer revision; nil if there are no peers.
	PeerDeltas func(ctx context.Context, from int64) ([]merger.NumberedDelta, error)
	// OtherEntries returns how many other entries the platform lists, how many of them are reachable, and whether a
	// reachable one reports that the store is unavailable to it. Nil means that there are no other entries.
	OtherEntries func() (listed, reachable int, peerStoreUnavailable bool)
	// Now defaults to time.Now.
	Now func() time.Time
	Log zerolog.Logger
}

// Follower keeps the newest revision in force in an entry. It is safe for concurrent use, except for Run and Poll.
type Follower struct {
	c       FollowerConfig
	current atomic.Pointer[merger.Revision]
	// wake makes Run poll at once.
	wake chan struct{}

	mutex    sync.Mutex
	progress Progress
	// recentDeltas holds the deltas that were last put in force, in ascending order. Each leads on from the one before.
	recentDeltas []merger.NumberedDelta
	subscribers  []chan struct{}

	// newestSnapshot is accessed only by the goroutine that polls, and so is olderHead: the revision of the last head that was
	// below a known one, 0 if the last head was not.
	newestSnapshot, olderHead int64
}

// NewFollower returns a Follower with the empty revision in force.
func NewFollower(c FollowerConfig) *Follower {
	c.Poll = cmp.Or(c.Poll, DefaultPollInterval)
	c.MaxProofAge = cmp.Or(c.MaxProofAge, DefaultMaxProofAge)
	if c.Now == nil {
		c.Now = time.Now
	}
	f := &Follower{c: c, wake: make(chan struct{}, 1)}
	empty := merger.NewRevision(0, merger.Items{})
	f.current.Store(&empty)
	return f
}

// Current returns the revision in force. Its number never decreases.
func (f *Follower) Current() merger.Revision { return *f.current.Load() }

// Progress returns a copy of the current progress.
func (f *Follower) Progress() Progress {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.progress
}

// Freshness returns the freshness to send to other processes.
func (f *Follower) Freshness() wire.Freshness { return f.Progress().Freshness(f.c.Now()) }

// RecordFreshness records the freshness received from another process. If it came in the response to a request, the
// caller first adds the time since the request was sent to AgeMs.
func (f *Follower) RecordFreshness(fresh wire.Freshness) {
	now := f.c.Now()
	behind := f.update(func(p Progress) Progress {
		p = p.WithKnown(fresh.Revision)
		if fresh.AgeMs >= 0 {
			p = p.WithProof(fresh.Revision, now.Add(-transitAllowance-time.Duration(fresh.AgeMs)*time.Millisecond))
		}
		return p
	})
	if behind {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}

// update changes the progress and reports whether a newer revision became known.
func (f *Follower) update(change func(Progress) Progress) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	before := f.progress.Known()
	f.progress = change(f.progress)
	return f.progress.Known() > before
}

// MayServe returns nil if a new request may be accepted at now, and *Stale if not.
func (f *Follower) MayServe(now time.Time) error {
	return f.Progress().MayServe(now, f.c.MaxProofAge, func() PeerStatus {
		if f.c.OtherEntries == nil {
			return PeerStatus{}
		}
		listed, reachable, storeUnavailable := f.c.OtherEntries()
		return PeerStatus{Listed: listed, Reachable: reachable, StoreUnavailable: storeUnavailable}
	})
}

// Deltas returns the deltas with numbers >= from, for a peer. It returns false if some of them are no longer kept; the
// peer then needs a snapshot.
func (f *Follower) Deltas(from int64) ([]merger.NumberedDelta, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if from > f.progress.InForce() {
		return nil, true
	}
	if len(f.recentDeltas) == 0 || from <= f.recentDeltas[0].Base() {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(f.recentDeltas, from, func(d merger.NumberedDelta, number int64) int { return cmp.Compare(d.Number, number) })
	return slices.Clone(f.recentDeltas[first:]), true
}

// Subscribe returns a channel that receives a value after the revision in force changes. Changes in quick succession
// may be coalesced into one value.
func (f *Follower) Subscribe() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	c := make(chan struct{}, 1)
	f.subscribers = append(f.subscribers, c)
	return c
}

// Run polls the configuration until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	ticker := time.NewTicker(f.c.Poll)
	defer ticker.Stop()
	for {
		f.Poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-f.wake:
		}
	}
}

// Poll reads the head once and fetches the missing revisions. Run calls it; it must not be called concurrently with
// Run.
func (f *Follower) Poll(ctx context.Context) {
	wasUnavailable := f.Progress().StoreUnavailable()
	err := f.readHead(ctx)
	if ctx.Err() != nil {
		return
	}
	switch {
	case err != nil && !wasUnavailable:
		f.c.Log.Warn().Err(err).Msg("entry: reading the configuration head failed; the last revision stays in force")
	case err == nil && wasUnavailable:
		f.c.Log.Info().Msg("entry: reading the configuration head succeeds again")
	}
	if err = f.catchUp(ctx, err == nil); err != nil && ctx.Err() == nil {
		f.c.Log.Warn().Err(err).Msg("entry: fetching a newer configuration failed; retrying at the next poll")
	}
}

func (f *Follower) readHead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	start, knownBefore := f.c.Now(), f.Progress().Known()
	head, _, err := readHead(ctx, f.c.Table)
	if err != nil {
		f.update(func(p Progress) Progress { return p.WithStoreUnavailable(true) })
		return err
	}
	// The store guarantees consistent reads, so that a lower head means that the table was restored from an older copy. Commits
	// to it get numbers above all earlier ones, so that none is newer than the known revision.
	newest, isSetBack := max(head.Revision, knownBefore), head.Revision < knownBefore
	if isSetBack && f.olderHead != head.Revision {
		f.c.Log.Error().Int64("Head", head.Revision).Int64("Known", knownBefore).
			Msg("entry: the table was restored from an older copy; the revision in force stays: apply the changes since the copy again")
	}
	f.olderHead = 0
	if isSetBack {
		f.olderHead = head.Revision
	}
	f.newestSnapshot = max(f.newestSnapshot, head.Snapshot)
	f.update(func(p Progress) Progress { return p.WithStoreUnavailable(false).WithProof(newest, start) })
	return nil
}

// catchUp fetches until the highest known revision is in force. It asks a peer when the store yields nothing newer.
func (f *Follower) catchUp(ctx context.Context, storeAnswers bool) error {
	for ctx.Err() == nil {
		before := f.Current().Number()
		step := f.Progress().NextFetch(f.newestSnapshot)
		if step == (FetchStep{}) {
			return nil
		}
		err := errors.New("the store did not respond")
		if storeAnswers {
			err = f.fetch(ctx, step)
		}
		if errors.Is(err, errOtherHistory) {
			err = f.reload(ctx)
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

func (f *Follower) fetch(ctx context.Context, step FetchStep) error {
	if step.Snapshot != 0 {
		if err := f.fetchSnapshot(ctx, step.Snapshot); err == nil {
			return nil
		}
		// Fall back to the deltas, which also lead to the newest revision, but more slowly.
		step.From = f.Current().Number() + 1
	}
	queryCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	rows, err := f.c.Table.Query(queryCtx, deltaPk, deltaSk(step.From), queryPage)
	if err != nil {
		return err
	}
	for _, row := range rows {
		delta, err := f.decodeDelta(ctx, row)
		if err != nil {
			return err
		}
		if err := f.applyDelta(delta); err != nil {
			return err
		}
	}
	if len(rows) == 0 {
		return errors.Newf("row %s/%s is missing; restore the table, or apply any change 64 times for a new snapshot", deltaPk, deltaSk(step.From))
	}
	return nil
}

// errOtherHistory means that a delta leads on from another revision than the one in force.
var errOtherHistory = errors.New("the next revision doesn't follow on the one in force; the whole configuration is read again")

// reload puts the stored files in force. After a restore of the table, its revisions don't follow on those that it has taken
// back.
func (f *Follower) reload(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	s, err := Config{Table: f.c.Table, Objects: f.c.Objects}.withDefaults().read(ctx)
	if err != nil {
		return err
	}
	items, faults := merger.Parse(s.sortedFiles())
	if len(faults) > 0 {
		return &Invalid{Faults: faults}
	}
	f.c.Log.Warn().Int64("From", f.Current().Number()).Int64("To", s.head.Revision).Msg("entry: whole configuration read, it doesn't follow on the one in force")
	f.activate(merger.NewRevision(s.head.Revision, items), nil)
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
	f.activate(merger.NewRevision(number, s.Items), nil)
	return nil
}

func (f *Follower) decodeDelta(ctx context.Context, row storer.Row) (merger.NumberedDelta, error) {
	var doc deltaRow
	if err := json.Unmarshal(row.Data, &doc); err != nil {
		return merger.NumberedDelta{}, errors.Wrapf(err, "decode row %s/%s", deltaPk, row.Sk)
	}
	numbered := merger.NumberedDelta{Number: doc.Number, Skipped: doc.Skipped}
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
		if err := f.applyDelta(d); err != nil {
			return err
		}
	}
	return nil
}

// applyDelta applies the next delta to the revision in force; a delta that is already in force is ignored.
func (f *Follower) applyDelta(d merger.NumberedDelta) error {
	current := f.Current()
	switch {
	case d.Number <= current.Number():
		return nil
	case d.Base() != current.Number():
		return errOtherHistory
	}
	next, err := current.WithDelta(d)
	if err != nil {
		return err
	}
	f.activate(next, &d)
	return nil
}

// activate replaces the revision in force by a newer one. delta is what led to it; nil if it came from a snapshot.
// Only the goroutine that polls calls it.
func (f *Follower) activate(next merger.Revision, delta *merger.NumberedDelta) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if next.Number() <= f.progress.InForce() {
		return
	}
	f.current.Store(&next)
	f.progress = f.progress.WithInForce(next.Number())
	if delta == nil {
		f.recentDeltas = nil
	} else {
		f.recentDeltas = append(f.recentDeltas, *delta)
	}
	if extra := len(f.recentDeltas) - maxRecentDeltas; extra > 0 {
		f.recentDeltas = append([]merger.NumberedDelta(nil), f.recentDeltas[extra:]...)
	}
	for _, c := range f.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
	f.c.Log.Info().Int64("Revision", next.Number()).Msg("entry: a newer configuration is in force")
}
