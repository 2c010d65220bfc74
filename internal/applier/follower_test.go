package applier_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"geraniumladder/internal/applier"
	"geraniumladder/internal/merger"
	"geraniumladder/internal/wire"
)

// commitRate applies one more change of the organisation o.
func commitRate(t *testing.T, s *store, rate int) {
	t.Helper()
	m, _, err := applier.Pull(context.Background(), config(s))
	assert.NilError(t, err)
	_, err = applier.Apply(context.Background(), config(s), m, []merger.File{organisation("o", rate)}, nil)
	assert.NilError(t, err)
}

// Guards against an entry that is cut off from the store and does not take newer revisions from its peers, or serves
// although a peer knows more, or hands out deltas with a gap.
func TestFollowerWithoutStore(t *testing.T) {
	ctx := context.Background()
	healthy, cutOff := newStore(), newStore()
	now := time.UnixMilli(1_760_000_000_000)
	clock := func() time.Time { return now }
	peer := applier.NewFollower(applier.FollowerConfig{Table: healthy, Objects: healthy, Now: clock})
	peersAnswer := true
	alone := applier.NewFollower(applier.FollowerConfig{Table: cutOff, Objects: cutOff, Now: clock,
		PeerDeltas: func(_ context.Context, from int64) ([]merger.NumberedDelta, error) {
			deltas, ok := peer.Deltas(from)
			if !ok || !peersAnswer {
				return nil, errors.New("not kept")
			}
			return deltas, nil
		},
		OtherEntries: func() (int, int, bool) { return 1, 1, peer.Freshness().StoreAway },
	})
	changes := alone.Subscribe()
	cutOff.fault = func(string) fault { return refused }
	commitRate(t, healthy, 1)
	commitRate(t, healthy, 2)
	peer.Poll(ctx)
	alone.Poll(ctx)
	var stale *applier.Stale
	assert.Assert(t, errors.As(alone.MayServe(now), &stale))

	alone.Observe(peer.Freshness())
	alone.Poll(ctx)
	assert.Equal(t, alone.Current().Number(), int64(2))
	assert.NilError(t, alone.MayServe(now))
	assert.Equal(t, len(changes), 1)
	deltas, ok := alone.Deltas(2)
	assert.Assert(t, ok && len(deltas) == 1 && deltas[0].Number == 2)

	// A revision is known that neither the store nor the peer hands out: after freshFor the entry refuses.
	commitRate(t, healthy, 3)
	peer.Poll(ctx)
	peersAnswer = false
	alone.Observe(peer.Freshness())
	alone.Poll(ctx)
	assert.NilError(t, alone.MayServe(now))
	now = now.Add(applier.DefaultFreshFor)
	assert.Assert(t, errors.As(alone.MayServe(now), &stale))
	assert.Equal(t, stale.Known, int64(3))
	peersAnswer = true
	alone.Poll(ctx)
	assert.Equal(t, alone.Current().Number(), int64(3))

	// When the store is unavailable to both, both continue with the last revision.
	healthy.fault = cutOff.fault
	peer.Poll(ctx)
	now = now.Add(time.Hour)
	assert.NilError(t, alone.MayServe(now))

	// A head that goes back, or an old hint, changes nothing.
	healthy.fault, cutOff.fault = nil, nil
	alone.Poll(ctx)
	alone.Observe(wire.Freshness{Revision: 1, AgeMs: 0})
	assert.Equal(t, alone.Current().Number(), int64(3))
	assert.Equal(t, alone.Freshness().Revision, int64(3))
}

// Guards against a follower that ends, or misses a newer revision told by a peer, until its next poll.
func TestFollowerRun(t *testing.T) {
	s := newStore()
	ctx, cancel := context.WithCancel(context.Background())
	f := applier.NewFollower(applier.FollowerConfig{Table: s, Objects: s, Poll: time.Hour})
	changes := f.Subscribe()
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	commitRate(t, s, 1)
	f.Observe(wire.Freshness{Revision: 1, AgeMs: -1})
	<-changes
	assert.Equal(t, f.Current().Number(), int64(1))
	cancel()
	assert.NilError(t, <-done)
}

func write(t *testing.T, dir string, file merger.File) {
	t.Helper()
	assert.NilError(t, applier.WriteFile(filepath.Join(dir, file.Name), file.Content))
}

// Guards against losing an edit when two operators change the same file, against a removed file that comes back,
// and against applying a folder with unmerged files.
func TestFoldersOfTwoOperators(t *testing.T) {
	ctx := context.Background()
	s := newStore()
	c := config(s)
	one, two := t.TempDir(), t.TempDir()
	write(t, one, organisation("a", 1))
	write(t, one, organisation("b", 1))
	_, err := applier.ApplyFolder(ctx, c, one)
	assert.NilError(t, err)
	pulled, err := applier.PullFolder(ctx, c, two)
	assert.NilError(t, err)
	assert.DeepEqual(t, pulled.Updated, []string{"a.yaml", "b.yaml"})

	// Different files: both are accepted.
	write(t, one, organisation("a", 2))
	write(t, two, organisation("b", 2))
	_, err = applier.ApplyFolder(ctx, c, one)
	assert.NilError(t, err)
	_, err = applier.ApplyFolder(ctx, c, two)
	assert.NilError(t, err)

	// The same file: refused until merged.
	write(t, two, organisation("a", 3))
	_, err = applier.DiffFolder(ctx, c, two)
	var conflict *applier.Conflict
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	_, err = applier.ApplyFolder(ctx, c, two)
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.DeepEqual(t, conflict.Files, []string{"a.yaml"})
	pulled, err = applier.PullFolder(ctx, c, two)
	assert.NilError(t, err)
	assert.DeepEqual(t, pulled.Unmerged, []string{"a.yaml"})
	_, err = applier.ApplyFolder(ctx, c, two)
	assert.Assert(t, errors.As(err, &conflict) && conflict.Unmerged, "%v", err)
	kept, err := os.ReadFile(filepath.Join(two, "a.yaml"))
	assert.NilError(t, err)
	assert.Equal(t, string(kept), string(organisation("a", 3).Content))
	theirs, err := os.ReadFile(filepath.Join(two, "a.yaml.remote"))
	assert.NilError(t, err)
	assert.Equal(t, string(theirs), string(organisation("a", 2).Content))
	assert.NilError(t, os.Remove(filepath.Join(two, "a.yaml.remote")))
	d, err := applier.DiffFolder(ctx, c, two)
	assert.NilError(t, err)
	assert.Equal(t, d.String(), "file a.yaml changed\norganisation a set\n")
	_, err = applier.ApplyFolder(ctx, c, two)
	assert.NilError(t, err)

	// A removed file goes away in the other folder too.
	assert.NilError(t, os.Remove(filepath.Join(two, "b.yaml")))
	result, err := applier.ApplyFolder(ctx, c, two)
	assert.NilError(t, err)
	assert.DeepEqual(t, result.Removed, []string{"b.yaml"})
	pulled, err = applier.PullFolder(ctx, c, one)
	assert.NilError(t, err)
	assert.DeepEqual(t, pulled.Removed, []string{"b.yaml"})
	assert.DeepEqual(t, pulled.Updated, []string{"a.yaml"})
	result, err = applier.ApplyFolder(ctx, c, one)
	assert.NilError(t, err)
	assert.Assert(t, !result.Committed)
}

// Guards against a watch that ends at a refused file or does not apply the corrected one.
func TestWatchGoesOnAfterARefusal(t *testing.T) {
	s := newStore()
	dir := t.TempDir()
	write(t, dir, organisation("a", 1))
	ctx, cancel := context.WithCancel(context.Background())
	reports := make(chan error, 100)
	done := make(chan error, 1)
	watch := applier.WatchConfig{Config: config(s), Debounce: time.Millisecond, Report: func(_ applier.Result, err error) { reports <- err }}
	go func() { done <- applier.Watch(ctx, watch, dir) }()
	assert.NilError(t, <-reports)
	write(t, dir, merger.File{Name: "a.yaml", Content: []byte("Organisations:\n-\n")})
	var invalid *applier.Invalid
	assert.Assert(t, errors.As(<-reports, &invalid))
	write(t, dir, organisation("a", 2))
	// One save can cause several events, so that the refusal may be reported again before.
	for err := range reports {
		if err == nil {
			break
		}
		assert.Assert(t, errors.As(err, &invalid), "%v", err)
	}
	cancel()
	assert.NilError(t, <-done)
	o, _ := follow(s).Current().Organisation("a")
	assert.Equal(t, o.Rate, 2.0)
}
