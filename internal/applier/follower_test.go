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

// commitRate commits a new rate for the organisation o.
func commitRate(t *testing.T, s *store, rate int) {
	t.Helper()
	m, _, err := applier.Pull(context.Background(), config(s))
	assert.NilError(t, err)
	_, err = applier.Apply(context.Background(), config(s), m, []merger.File{organisationFile("o", rate)}, nil)
	assert.NilError(t, err)
}

// Guards against an entry without access to the store that does not fetch newer revisions from its peers, that accepts
// requests although a peer knows a newer revision, or that returns deltas with a gap.
func TestFollowerStoreUnavailable(t *testing.T) {
	ctx := context.Background()
	healthy, cutOff := newStore(), newStore()
	now := time.UnixMilli(1_760_000_000_000)
	clock := func() time.Time { return now }
	peer := applier.NewFollower(applier.FollowerConfig{Table: healthy, Objects: healthy, Now: clock})
	peersAnswer := true
	isolated := applier.NewFollower(applier.FollowerConfig{Table: cutOff, Objects: cutOff, Now: clock,
		PeerDeltas: func(_ context.Context, from int64) ([]merger.NumberedDelta, error) {
			deltas, ok := peer.Deltas(from)
			if !ok || !peersAnswer {
				return nil, errors.New("deltas are not available")
			}
			return deltas, nil
		},
		OtherEntries: func() (int, int, bool) { return 1, 1, peer.Freshness().StoreAway },
	})
	changes := isolated.Subscribe()
	cutOff.fault = func(string) fault { return rejected }
	commitRate(t, healthy, 1)
	commitRate(t, healthy, 2)
	peer.Poll(ctx)
	isolated.Poll(ctx)
	var stale *applier.Stale
	assert.Assert(t, errors.As(isolated.MayServe(now), &stale))

	isolated.RecordFreshness(peer.Freshness())
	isolated.Poll(ctx)
	assert.Equal(t, isolated.Current().Number(), int64(2))
	assert.NilError(t, isolated.MayServe(now))
	assert.Equal(t, len(changes), 1)
	deltas, ok := isolated.Deltas(2)
	assert.Assert(t, ok && len(deltas) == 1 && deltas[0].Number == 2)

	// A known revision can be fetched neither from the store nor from the peer: after MaxProofAge the entry rejects
	// requests.
	commitRate(t, healthy, 3)
	peer.Poll(ctx)
	peersAnswer = false
	isolated.RecordFreshness(peer.Freshness())
	isolated.Poll(ctx)
	assert.NilError(t, isolated.MayServe(now))
	now = now.Add(applier.DefaultMaxProofAge)
	assert.Assert(t, errors.As(isolated.MayServe(now), &stale))
	assert.Equal(t, stale.Known, int64(3))
	peersAnswer = true
	isolated.Poll(ctx)
	assert.Equal(t, isolated.Current().Number(), int64(3))

	// When the store is unavailable to both entries, they continue with the last revision.
	healthy.fault = cutOff.fault
	peer.Poll(ctx)
	now = now.Add(time.Hour)
	assert.NilError(t, isolated.MayServe(now))

	// A head with a lower revision, or outdated freshness from a peer, has no effect.
	healthy.fault, cutOff.fault = nil, nil
	isolated.Poll(ctx)
	isolated.RecordFreshness(wire.Freshness{Revision: 1, AgeMs: 0})
	assert.Equal(t, isolated.Current().Number(), int64(3))
	assert.Equal(t, isolated.Freshness().Revision, int64(3))
}

// Guards against a follower whose Run returns early, or that fetches a revision announced by a peer only at its next
// regular poll.
func TestFollowerRun(t *testing.T) {
	s := newStore()
	ctx, cancel := context.WithCancel(context.Background())
	f := applier.NewFollower(applier.FollowerConfig{Table: s, Objects: s, Poll: time.Hour})
	changes := f.Subscribe()
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	commitRate(t, s, 1)
	f.RecordFreshness(wire.Freshness{Revision: 1, AgeMs: -1})
	<-changes
	assert.Equal(t, f.Current().Number(), int64(1))
	cancel()
	assert.NilError(t, <-done)
}

func writeFile(t *testing.T, dir string, file merger.File) {
	t.Helper()
	assert.NilError(t, applier.WriteFile(filepath.Join(dir, file.Name), file.Content))
}

// Guards against losing an edit when two operators change the same file, against a removed file that reappears, and
// against applying a folder with unmerged files.
func TestConcurrentFolderEdits(t *testing.T) {
	ctx := context.Background()
	s := newStore()
	c := config(s)
	dirA, dirB := t.TempDir(), t.TempDir()
	writeFile(t, dirA, organisationFile("a", 1))
	writeFile(t, dirA, organisationFile("b", 1))
	_, err := applier.ApplyFolder(ctx, c, dirA)
	assert.NilError(t, err)
	pulled, err := applier.PullFolder(ctx, c, dirB)
	assert.NilError(t, err)
	assert.DeepEqual(t, pulled.Updated, []string{"a.yaml", "b.yaml"})

	// Edits of different files are both accepted.
	writeFile(t, dirA, organisationFile("a", 2))
	writeFile(t, dirB, organisationFile("b", 2))
	_, err = applier.ApplyFolder(ctx, c, dirA)
	assert.NilError(t, err)
	_, err = applier.ApplyFolder(ctx, c, dirB)
	assert.NilError(t, err)

	// Edits of the same file are rejected until they are merged.
	writeFile(t, dirB, organisationFile("a", 3))
	_, err = applier.DiffFolder(ctx, c, dirB)
	var conflict *applier.Conflict
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	_, err = applier.ApplyFolder(ctx, c, dirB)
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.DeepEqual(t, conflict.Files, []string{"a.yaml"})
	pulled, err = applier.PullFolder(ctx, c, dirB)
	assert.NilError(t, err)
	assert.DeepEqual(t, pulled.Unmerged, []string{"a.yaml"})
	_, err = applier.ApplyFolder(ctx, c, dirB)
	assert.Assert(t, errors.As(err, &conflict) && conflict.Unmerged, "%v", err)
	kept, err := os.ReadFile(filepath.Join(dirB, "a.yaml"))
	assert.NilError(t, err)
	assert.Equal(t, string(kept), string(organisationFile("a", 3).Content))
	remote, err := os.ReadFile(filepath.Join(dirB, "a.yaml.remote"))
	assert.NilError(t, err)
	assert.Equal(t, string(remote), string(organisationFile("a", 2).Content))
	assert.NilError(t, os.Remove(filepath.Join(dirB, "a.yaml.remote")))
	d, err := applier.DiffFolder(ctx, c, dirB)
	assert.NilError(t, err)
	assert.Equal(t, d.String(), "file a.yaml changed\norganisation a set\n")
	_, err = applier.ApplyFolder(ctx, c, dirB)
	assert.NilError(t, err)

	// Pulling a removed file deletes it in the other folder too.
	assert.NilError(t, os.Remove(filepath.Join(dirB, "b.yaml")))
	result, err := applier.ApplyFolder(ctx, c, dirB)
	assert.NilError(t, err)
	assert.DeepEqual(t, result.Removed, []string{"b.yaml"})
	pulled, err = applier.PullFolder(ctx, c, dirA)
	assert.NilError(t, err)
	assert.DeepEqual(t, pulled.Removed, []string{"b.yaml"})
	assert.DeepEqual(t, pulled.Updated, []string{"a.yaml"})
	result, err = applier.ApplyFolder(ctx, c, dirA)
	assert.NilError(t, err)
	assert.Assert(t, !result.Committed)
}

// Guards against a Watch that returns after a rejected file, or that does not apply the corrected file.
func TestWatchContinuesAfterRejectedApply(t *testing.T) {
	s := newStore()
	dir := t.TempDir()
	writeFile(t, dir, organisationFile("a", 1))
	ctx, cancel := context.WithCancel(context.Background())
	reports := make(chan error, 100)
	done := make(chan error, 1)
	watch := applier.WatchConfig{Config: config(s), Debounce: time.Millisecond, Report: func(_ applier.ApplyResult, err error) { reports <- err }}
	go func() { done <- applier.Watch(ctx, watch, dir) }()
	assert.NilError(t, <-reports)
	writeFile(t, dir, merger.File{Name: "a.yaml", Content: []byte("Organisations:\n-\n")})
	var invalid *applier.Invalid
	assert.Assert(t, errors.As(<-reports, &invalid))
	writeFile(t, dir, organisationFile("a", 2))
	// One save can cause several events, so the rejection may be reported more than once.
	for err := range reports {
		if err == nil {
			break
		}
		assert.Assert(t, errors.As(err, &invalid), "%v", err)
	}
	cancel()
	assert.NilError(t, <-done)
	o, _ := newPolledFollower(s).Current().Organisation("a")
	assert.Equal(t, o.Rate, 2.0)
}
