package registrar_test

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"geraniumladder/internal/receiver"
	"geraniumladder/internal/registrar"
)

// thinSource is a store behind a link that carries a step of an answer in stepTime, shared by all answers on their way.
type thinSource struct {
	*fakeStore
	// steps is the size of an answer with rows.
	steps             int
	reads, inProgress atomic.Int64
	mostInProgress    atomic.Int64
	received          atomic.Int64
}

const stepTime = 20 * time.Millisecond

// Read implements io.Reader for the body of one answer.
func (s *thinSource) Read(p []byte) (int, error) {
	n := min(len(p), receiver.StepBytes/8)
	time.Sleep(stepTime * time.Duration(s.inProgress.Load()) * time.Duration(n) / receiver.StepBytes)
	s.received.Add(int64(n))
	return n, nil
}

func (s *thinSource) transfer(ctx context.Context, rows registrar.Rows, err error) (registrar.Rows, error) {
	s.reads.Add(1)
	if err != nil || len(rows.Rows) == 0 {
		return rows, err
	}
	s.mostInProgress.Store(max(s.mostInProgress.Load(), s.inProgress.Add(1)))
	defer s.inProgress.Add(-1)
	r := receiver.New(ctx, receiver.Config{First: callTimeout, Step: callTimeout})
	defer r.Close()
	size := int64(s.steps) * receiver.StepBytes
	body := io.LimitReader(readerFunc(func(p []byte) (int, error) {
		if err := r.Context().Err(); err != nil {
			return 0, err
		}
		return s.Read(p)
	}), size)
	_, err = r.ReadAll(body, size)
	return rows, err
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

func (s *thinSource) ReadTable(ctx context.Context, table string) (registrar.Rows, error) {
	rows, err := s.fakeStore.ReadTable(ctx, table)
	return s.transfer(ctx, rows, err)
}

func (s *thinSource) ReadChanges(ctx context.Context, table string, after int64, wait time.Duration) (registrar.Rows, error) {
	rows, err := s.fakeStore.ReadChanges(ctx, table, after, wait)
	return s.transfer(ctx, rows, err)
}

// startThinFollower starts a follower whose answers take 4 s to arrive, and returns a function that stops it.
func startThinFollower(t *testing.T) (*thinSource, *registrar.Follower, func()) {
	t.Helper()
	s := &thinSource{fakeStore: newFakeStore(), steps: int(4 * time.Second / stepTime)}
	s.put(configKey, "first")
	f := registrar.NewFollower(registrar.FollowerConfig{
		Table: "table", Source: s, Wait: time.Second, RepeatAfter: repeatTime, OnChange: func(registrar.Table) {}, Now: time.Now, Log: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error)
	go func() { end <- f.Run(ctx) }()
	return s, f, func() {
		cancel()
		assert.Check(t, errors.Is(<-end, context.Canceled))
	}
}

// TestArrivingAnswerIsNotAskedForAgain guards against a large answer that is asked for again while it arrives: the copies
// share the link, so that none of them arrives in time.
func TestArrivingAnswerIsNotAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f, stop := startThinFollower(t)
		defer stop()
		time.Sleep(3 * time.Second)
		assert.Assert(t, f.ReceivingFor() > 2*time.Second, f.ReceivingFor())
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, string(f.Table().Rows[configKey].Value), "first")
		assert.Equal(t, f.ReceivingFor(), time.Duration(0))
		s.put(configKey, "second")
		time.Sleep(4500 * time.Millisecond)
		assert.Equal(t, string(f.Table().Rows[configKey].Value), "second")
		assert.Equal(t, s.mostInProgress.Load(), int64(1))
	})
}

// TestArrivingAnswerEndsWithCopy guards against a large answer that occupies the link after a peer's copy has brought what
// it contains, and against another read of the whole table after that.
func TestArrivingAnswerEndsWithCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, f, stop := startThinFollower(t)
		defer stop()
		time.Sleep(time.Second)
		s.put(configKey, "second")
		rows, err := s.fakeStore.ReadTable(t.Context(), "table")
		assert.NilError(t, err)
		assert.Assert(t, f.Merge(rows, time.Now()))
		received := s.received.Load()
		time.Sleep(4 * time.Second)
		assert.Assert(t, s.received.Load()-received <= receiver.StepBytes)
		assert.Equal(t, s.inProgress.Load(), int64(0))
		s.put(configKey, "third")
		time.Sleep(5 * time.Second)
		assert.Equal(t, string(f.Table().Rows[configKey].Value), "third")
	})
}
