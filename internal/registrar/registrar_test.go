package registrar_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"geraniumladder/internal/registrar"
)

// store is a table whose history can be forgotten and whose calls can fail.
type store struct {
	mu       sync.Mutex
	version  int64
	rows     map[string]registrar.Row
	history  []registrar.Row
	oldest   int64
	isAway   bool
	reads    int
	followed int
}

func newStore() *store { return &store{rows: map[string]registrar.Row{}} }

func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row := registrar.Row{Key: key, Value: []byte(value), Version: s.version}
	s.rows[key] = row
	s.history = append(s.history, row)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	delete(s.rows, key)
	s.history = append(s.history, registrar.Row{Key: key, Version: s.version, IsGone: true})
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

var errAway = errors.New("the store is away")

func (s *store) ReadTable(context.Context, string) (registrar.Rows, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isAway {
		return registrar.Rows{}, errAway
	}
	s.reads++
	rows := registrar.Rows{Version: s.version}
	for _, r := range s.rows {
		rows.Rows = append(rows.Rows, r)
	}
	return rows, nil
}

func (s *store) ReadChanges(ctx context.Context, _ string, after int64, wait time.Duration) (registrar.Rows, error) {
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		switch {
		case s.isAway:
			s.mu.Unlock()
			return registrar.Rows{}, errAway
		case after < s.oldest:
			s.mu.Unlock()
			return registrar.Rows{}, registrar.ErrHistoryLost
		}
		rows := registrar.Rows{Version: s.version}
		for _, r := range s.history {
			if r.Version > after {
				rows.Rows = append(rows.Rows, r)
			}
		}
		s.followed++
		s.mu.Unlock()
		if len(rows.Rows) > 0 || !time.Now().Before(deadline) || ctx.Err() != nil {
			return rows, ctx.Err()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

type followed struct {
	*registrar.Follower
	stop func()
}

func follow(t *testing.T, s *store, keepsLapsed bool) followed {
	t.Helper()
	f := registrar.NewFollower(registrar.FollowerConfig{
		Table: "endpoints", Source: s, Pause: 200 * time.Millisecond, KeepsLapsed: keepsLapsed,
		OnChange: func(registrar.Table) {}, Now: time.Now, Log: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error)
	go func() { end <- f.Run(ctx) }()
	return followed{Follower: f, stop: func() {
		cancel()
		assert.Check(t, errors.Is(<-end, context.Canceled))
	}}
}

func (f followed) has(key string) bool {
	_, ok := f.Table().Rows[key]
	return ok
}

// TestFollowerWaitsForTheFirstRow guards against whole reads in a row while nothing has been written to the store yet.
func TestFollowerWaitsForTheFirstRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		f := follow(t, s, false)
		time.Sleep(5 * time.Second)
		s.set(func() { assert.Equal(t, s.reads, 1) })
		s.put("a", "1")
		time.Sleep(time.Second)
		assert.Assert(t, f.has("a"))
		f.stop()
	})
}

// TestFollowerSurvivesLostHistory guards against changes that are missed when the store forgets its history.
func TestFollowerSurvivesLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		f := follow(t, s, false)
		time.Sleep(time.Second)
		s.set(func() { s.isAway = true })
		s.put("b", "1")
		s.remove("a")
		s.set(func() { s.isAway, s.oldest = false, s.version })
		time.Sleep(time.Second)
		assert.Assert(t, f.has("b") && !f.has("a"))
		f.stop()
	})
}

// TestLapsedEndpointsReturn guards against a fleet without endpoints after an outage in which their entries lapsed, and
// against endpoints that are used for longer than the time in which they would have come back.
func TestLapsedEndpointsReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("returns", "1")
		s.put("gone", "1")
		f := follow(t, s, true)
		time.Sleep(time.Second)
		s.set(func() { s.isAway = true })
		time.Sleep(5 * time.Second)
		s.remove("returns")
		s.remove("gone")
		s.set(func() { s.isAway = false })
		time.Sleep(time.Second)
		assert.Assert(t, f.has("returns") && f.has("gone"), "kept just after the outage")
		s.put("returns", "2")
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, f.has("returns"))
		assert.Assert(t, !f.has("gone"), "taken for gone two seconds after the outage")
		f.stop()
	})
}

// TestRemovedEndpointsGoAtOnce guards against requests for an endpoint whose entry was removed while the store answered.
func TestRemovedEndpointsGoAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		f := follow(t, s, true)
		time.Sleep(time.Second)
		s.remove("a")
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, !f.has("a"))
		f.stop()
	})
}

// TestPeersKnowWhoIsGone guards against requests for an endpoint that left while the store turned only this entry away:
// a peer's copy without it is no outage in which it might have lapsed.
func TestPeersKnowWhoIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("left", "1")
		f := follow(t, s, true)
		time.Sleep(time.Second)
		assert.Equal(t, f.Failing(), time.Duration(0))
		s.set(func() { s.isAway = true })
		time.Sleep(2 * time.Second)
		assert.Assert(t, f.Failing() > time.Second)
		assert.Assert(t, f.Merge(registrar.Rows{Version: 9}))
		assert.Assert(t, !f.has("left"))
		f.stop()
	})
}

// TestMergeOnlyForward guards against an older copy from a peer that replaces a newer one.
func TestMergeOnlyForward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("a", "1")
		s.put("a", "2")
		f := follow(t, s, false)
		time.Sleep(time.Second)
		old := registrar.Rows{Version: 1, Rows: []registrar.Row{{Key: "a", Value: []byte("1"), Version: 1}}}
		assert.Assert(t, !f.Merge(old))
		assert.Equal(t, string(f.Table().Rows["a"].Value), "2")
		s.set(func() { s.isAway = true })
		assert.Assert(t, f.Merge(registrar.Rows{Version: 9, Rows: []registrar.Row{{Key: "a", Value: []byte("3"), Version: 9}}}))
		assert.Equal(t, string(f.Table().Rows["a"].Value), "3")
		f.stop()
	})
}

func configuration() *registrar.Configuration {
	return registrar.NewConfiguration(registrar.ConfigurationParts{
		Version: 3,
		Routes: []registrar.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Targets: []registrar.Target{{Service: "s", Weight: 1}}},
			{Name: "long", Host: "A.example", Prefix: "/x/y/", Targets: []registrar.Target{{Service: "s", Weight: 1}}},
		},
		Organisations: []registrar.Organisation{{Name: "o"}},
		Keys:          map[string]string{"key": "o", "orphan": "missing"},
	})
}

// TestRoutesByLongestPrefix guards against a request that takes a shorter or another host's route.
func TestRoutesByLongestPrefix(t *testing.T) {
	c := configuration()
	for path, want := range map[string]string{"/x/y/z": "long", "/x/z": "short", "/x/y": "short"} {
		assert.Equal(t, c.Route("a.example:80", path).Name, want)
	}
	assert.Assert(t, c.Route("b.example", "/x/y/") == nil)
	assert.Assert(t, c.Route("a.example", "/") == nil)
	assert.Equal(t, c.Owner("key").Name, "o")
	assert.Assert(t, c.Owner("orphan") == nil)
	assert.Assert(t, c.Owner("") == nil)
}

// TestSplitFollowsWeights guards against a split that ignores its weights, or sends one request to two services.
func TestSplitFollowsWeights(t *testing.T) {
	r := registrar.Route{Targets: []registrar.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for n := range 5000 {
		id := fmt.Sprintf("%016x", n)
		service := r.Choose(id)
		counts[service]++
		assert.Equal(t, r.Choose(id), service)
	}
	assert.Assert(t, counts["b"] > 350 && counts["b"] < 650, "%v", counts)
}
