package applier_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/internal/applier"
	"geraniumladder/internal/merger"
	"geraniumladder/internal/storer"
	"geraniumladder/internal/wire"
)

// fault is a way in which the store makes a call fail.
type fault int

const (
	noFault fault = iota
	// rejected fails the call without effect. responseLost executes the call and fails it. delayed fails the call
	// and executes it before the next call.
	rejected
	responseLost
	delayed
)

// store is an in-memory table and object store with fault injection.
type store struct {
	mutex   sync.Mutex
	rows    map[string]storer.Row
	objects map[string][]byte
	delayed []func()
	// fault returns the fault for a call; nil means no faults. It is called without holding mutex.
	fault func(op string) fault
	calls map[string]int
}

func newStore() *store {
	return &store{rows: map[string]storer.Row{}, objects: map[string][]byte{}, calls: map[string]int{}}
}

var _ storer.Table = (*store)(nil)

func (s *store) invoke(op string, call func() error) error {
	f := noFault
	if s.fault != nil {
		f = s.fault(op)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, l := range s.delayed {
		l()
	}
	s.delayed = nil
	s.calls[strings.Fields(op)[0]]++
	switch f {
	case noFault:
	case rejected:
		return &storer.Error{Kind: storer.Unavailable, Op: op}
	case responseLost:
		_ = call()
		return &storer.Error{Kind: storer.Unavailable, Op: op}
	case delayed:
		s.delayed = append(s.delayed, func() { _ = call() })
		return &storer.Error{Kind: storer.Unavailable, Op: op}
	}
	return call()
}

func (s *store) Get(_ context.Context, pk, sk string) (row storer.Row, err error) {
	err = s.invoke("get "+pk+"/"+sk, func() error {
		found, ok := s.rows[pk+"/"+sk]
		if !ok {
			return &storer.Error{Kind: storer.NotFound, Op: pk + "/" + sk}
		}
		row = found
		return nil
	})
	return row, err
}

func (s *store) Query(_ context.Context, pk, from string, limit int) (rows []storer.Row, err error) {
	err = s.invoke("query "+pk, func() error {
		for _, row := range s.rows {
			if row.Pk == pk && row.Sk >= from {
				rows = append(rows, row)
			}
		}
		slices.SortFunc(rows, func(a, b storer.Row) int { return strings.Compare(a.Sk, b.Sk) })
		rows = rows[:min(limit, len(rows))]
		return nil
	})
	return rows, err
}

func (s *store) Put(ctx context.Context, row storer.Row, expect int64) error {
	return s.Transact(ctx, []storer.Write{{Row: row, Expect: expect}})
}

func (s *store) Delete(ctx context.Context, pk, sk string, expect int64) error {
	return s.Transact(ctx, []storer.Write{{Row: storer.Row{Pk: pk, Sk: sk}, Expect: expect, Delete: true}})
}

func (s *store) Transact(_ context.Context, writes []storer.Write) error {
	return s.invoke("transact", func() error {
		for _, w := range writes {
			if s.rows[w.Row.Pk+"/"+w.Row.Sk].Version != w.Expect {
				return &storer.Error{Kind: storer.Conflict, Op: w.Row.Pk + "/" + w.Row.Sk}
			}
		}
		for _, w := range writes {
			if w.Delete {
				delete(s.rows, w.Row.Pk+"/"+w.Row.Sk)
				continue
			}
			w.Row.Version = w.Expect + 1
			s.rows[w.Row.Pk+"/"+w.Row.Sk] = w.Row
		}
		return nil
	})
}

func (s *store) GetObject(_ context.Context, key string) (body []byte, err error) {
	err = s.invoke("getobject "+key, func() error {
		var ok bool
		if body, ok = s.objects[key]; !ok {
			return &storer.Error{Kind: storer.NotFound, Op: key}
		}
		return nil
	})
	return body, err
}

func (s *store) PutObject(_ context.Context, key string, body []byte) error {
	return s.invoke("putobject "+key, func() error { s.objects[key] = body; return nil })
}

func (s *store) DeleteObject(_ context.Context, key string) error {
	return s.invoke("deleteobject "+key, func() error { delete(s.objects, key); return nil })
}

func config(s *store) applier.Config {
	return applier.Config{Table: s, Objects: s, Backoff: time.Nanosecond}
}

// organisationFile returns a file that defines one organisation with the given rate.
func organisationFile(name string, rate int) merger.File {
	return merger.File{Name: name + ".yaml", Content: fmt.Appendf(nil, "Organisations:\n- {Name: %s, Rate: %d, Burst: 9}\n", name, rate)}
}

// newPolledFollower returns a follower that has polled once.
func newPolledFollower(s *store) *applier.Follower {
	f := applier.NewFollower(applier.FollowerConfig{Table: s, Objects: s})
	f.Poll(context.Background())
	return f
}

// TestConcurrentApply lets operators with stale folders apply and remove files, also between the read and the commit of
// another operator, on a store that rejects calls, loses responses and delays effects. It guards against lost updates,
// changes that are committed twice, wrong reports of success or conflict, and deltas that do not reproduce the files.
func TestConcurrentApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		ctx := context.Background()
		expected := map[string]string{}
		versions := map[string]int64{}
		commits := int64(0)
		knownVersions := make([]map[string]int64, 3)
		bases := make([]applier.Manifest, 3)
		names := []string{"a", "b", "c"}
		depth, activeOperator := 0, 0
		var runOperator func(label string)
		faulty := false
		s.fault = func(op string) fault {
			if op == "transact" && depth == 1 && rapid.IntRange(0, 3).Draw(t, "overtaken") == 0 {
				runOperator("overtaking ")
			}
			if !faulty || depth != 1 {
				return noFault
			}
			return rapid.SampledFrom([]fault{noFault, noFault, noFault, rejected, responseLost, delayed}).Draw(t, op)
		}
		runOperator = func(label string) {
			depth++
			defer func() { depth-- }()
			operator := rapid.IntRange(0, 2).Draw(t, label+"operator")
			if depth == 1 {
				activeOperator = operator
			} else if operator == activeOperator {
				// Two concurrent commands of the same operator are not modelled, because they share the folder's base.
				operator = (operator + 1) % 3
			}
			if depth == 1 && rapid.IntRange(0, 3).Draw(t, "pull") == 0 {
				m, _, err := applier.Pull(ctx, config(s))
				if err != nil {
					return
				}
				bases[operator], knownVersions[operator] = m, maps.Clone(versions)
				return
			}
			name := rapid.SampledFrom(names).Draw(t, label+"file")
			file := organisationFile(name, rapid.IntRange(1, 3).Draw(t, label+"rate"))
			files, removed := []merger.File{file}, []string(nil)
			if rapid.IntRange(0, 4).Draw(t, label+"remove") == 0 {
				files, removed = nil, []string{file.Name}
			}
			result, err := applier.Apply(ctx, config(s), bases[operator], files, removed)
			stale := knownVersions[operator][file.Name] != versions[file.Name]
			same := expected[file.Name] == string(file.Content) && removed == nil || removed != nil && versions[file.Name] == 0
			var conflict *applier.Conflict
			var unavailable *applier.Unavailable
			switch {
			case errors.As(err, &conflict):
				assert.Assert(t, stale && !same, "conflict reported although no other operator changed the file")
				assert.DeepEqual(t, conflict.Files, []string{file.Name})
			case errors.As(err, &unavailable):
				assert.Assert(t, faulty)
				return
			default:
				assert.NilError(t, err)
				if !result.Committed {
					assert.Assert(t, same, "reported as unchanged although the content differs")
					break
				}
				assert.Assert(t, !stale || same, "another operator's change was overwritten")
				commits++
				// If the response was lost, a concurrent commit of another file may already have a higher revision.
				if removed == nil {
					expected[file.Name], versions[file.Name] = string(file.Content), result.Revision
				} else {
					delete(expected, file.Name)
					delete(versions, file.Name)
				}
			}
			if err == nil {
				bases[operator] = result.Manifest
				if knownVersions[operator] == nil {
					knownVersions[operator] = map[string]int64{}
				}
				knownVersions[operator][file.Name] = versions[file.Name]
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			faulty = rapid.Bool().Draw(t, "faulty")
			runOperator("")
			// The next call executes a delayed commit, if there is one; update the model to the outcome.
			faulty, depth = false, 2
			m, files, err := applier.Pull(ctx, config(s))
			depth = 0
			assert.NilError(t, err)
			assert.Assert(t, m.Revision >= commits && m.Revision <= commits+1, "%d revisions for %d commits", m.Revision, commits)
			stored := map[string]string{}
			for _, f := range files {
				stored[f.Name] = string(f.Content)
			}
			if m.Revision == commits {
				assert.DeepEqual(t, stored, expected)
			}
			commits, expected = m.Revision, stored
			for _, n := range names {
				delete(versions, n+".yaml")
			}
			for n, v := range m.Files {
				versions[n] = v.Version
			}
			depth = 2
			f := newPolledFollower(s)
			depth = 0
			items, _ := merger.Parse(files)
			assert.Equal(t, f.Current().Number(), m.Revision)
			assert.Assert(t, merger.Diff(f.Current().Items(), items).Empty(), "the deltas do not reproduce the files")
		}
	})
}

// Guards against a commit that is reported as failed, or made twice, when its response is lost or its effect delayed.
func TestApplyDetectsItsOwnCommit(t *testing.T) {
	for _, f := range []fault{rejected, responseLost, delayed} {
		s := newStore()
		injected := 0
		s.fault = func(op string) fault {
			if op == "transact" && injected == 0 {
				injected++
				return f
			}
			return noFault
		}
		result, err := applier.Apply(context.Background(), config(s), applier.Manifest{}, []merger.File{organisationFile("a", 1)}, nil)
		assert.NilError(t, err)
		assert.Assert(t, result.Committed && result.Revision == 1)
		m, _, err := applier.Pull(context.Background(), config(s))
		assert.NilError(t, err)
		assert.DeepEqual(t, m, result.Manifest)
	}
}

// Guards against reporting "nothing was changed" when the commit may have taken effect.
func TestApplyReportsUnknownOutcome(t *testing.T) {
	s := newStore()
	sent := false
	s.fault = func(op string) fault {
		if op == "transact" {
			sent = true
			return responseLost
		}
		if sent {
			return rejected
		}
		return noFault
	}
	_, err := applier.Apply(context.Background(), config(s), applier.Manifest{}, []merger.File{organisationFile("a", 1)}, nil)
	var unavailable *applier.Unavailable
	assert.Assert(t, errors.As(err, &unavailable) && unavailable.OutcomeUnknown, "%v", err)
	s.fault = nil
	again, err := applier.Apply(context.Background(), config(s), applier.Manifest{}, []merger.File{organisationFile("a", 1)}, nil)
	assert.NilError(t, err)
	assert.Assert(t, !again.Committed && again.Revision == 1)
}

// Guards against rows and transactions that exceed the limits of the table service, and against followers that read
// all deltas although there is a snapshot.
func TestLargeFilesAndSnapshots(t *testing.T) {
	s := newStore()
	ctx := context.Background()
	base := applier.Manifest{}
	for i := range 130 {
		result, err := applier.Apply(ctx, config(s), base, []merger.File{organisationFile("o", i+1)}, nil)
		assert.NilError(t, err)
		base = result.Manifest
	}
	var files []merger.File
	for i := range 20 {
		var text strings.Builder
		text.WriteString("Adapters:\n")
		for k := range 400 {
			fmt.Fprintf(&text, "- {Name: a-%d-%d, BaseModel: llama, Versions: [{Version: 1, Path: %s}]} \n", i, k, strings.Repeat("x", 150))
		}
		files = append(files, merger.File{Name: fmt.Sprintf("%02d.yaml", i), Content: []byte(text.String())})
	}
	_, err := applier.Apply(ctx, config(s), base, files, nil)
	assert.NilError(t, err)
	total := 0
	for key, row := range s.rows {
		assert.Assert(t, len(row.Data) < 300<<10, "row %s has %d bytes", key, len(row.Data))
		total += len(row.Data)
	}
	assert.Assert(t, total < 4<<20, "the transaction has %d bytes", total)
	var head wire.HeadRow
	assert.NilError(t, json.Unmarshal(s.rows["config/head"].Data, &head))
	assert.Equal(t, head.Snapshot, int64(128))
	s.calls = map[string]int{}
	f := newPolledFollower(s)
	assert.Equal(t, f.Current().Number(), int64(131))
	o, _ := f.Current().Organisation("o")
	assert.Equal(t, o.Rate, 130.0)
	_, ok := f.Current().Adapter("a-19-399")
	assert.Assert(t, ok)
	assert.Equal(t, s.calls["getobject"], 2, "a snapshot and a large delta")
	assert.Equal(t, s.calls["query"], 1)
	// Without the snapshot, the deltas alone lead to the same revision.
	delete(s.objects, "config/snapshot/128")
	assert.Assert(t, merger.Diff(newPolledFollower(s).Current().Items(), f.Current().Items()).Empty())
}
