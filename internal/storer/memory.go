package storer

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of the table service, the same as those of DynamoDB.
const (
	// MaxRowBytes limits the total size of the keys, data and mark of one row.
	MaxRowBytes = 400 << 10
	// MaxTransactWrites limits the number of writes in one transaction.
	MaxTransactWrites = 100
)

// Fault configures the failures that a Memory injects.
type Fault struct {
	// Down makes every call fail with Unavailable and without effect.
	Down bool
	// FailNext is the number of next calls that fail with Unavailable and without effect.
	FailNext int
	// LoseAnswerNext is the number of next writes that take effect but return Unavailable, as if the response was lost.
	LoseAnswerNext int
	// Latency delays every call.
	Latency time.Duration
}

// Counts holds the numbers of calls that a Memory has received.
type Counts struct {
	Reads  int
	Writes int
}

// VersionError is the cause of the errors of kind Conflict that a Memory returns.
type VersionError struct {
	// Index is the position of the write within its transaction.
	Index  int
	Pk     string
	Sk     string
	Stored int64
	Expect int64
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("row %s/%s has version %d, not %d", e.Pk, e.Sk, e.Stored, e.Expect)
}

// partition holds the rows of one partition key.
type partition struct {
	// sortKeys is sorted and holds exactly the keys of rows.
	sortKeys []string
	rows     map[string]Row
}

// MemoryPlatform is an in-memory Platform. It holds its own rows, objects and list of VMs and is safe for concurrent
// use. SetFault makes it fail as an unavailable platform does.
type MemoryPlatform struct {
	mu         sync.Mutex
	fault      Fault
	counts     Counts
	partitions map[string]*partition
	objects    map[string][]byte
	vms        []VM
}

var _ Platform = (*MemoryPlatform)(nil)

// NewMemoryPlatform returns an empty MemoryPlatform.
func NewMemoryPlatform() *MemoryPlatform {
	return &MemoryPlatform{partitions: map[string]*partition{}, objects: map[string][]byte{}}
}

// SetFault replaces the injected failures; the zero Fault turns them off.
func (m *MemoryPlatform) SetFault(f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// SetVMs replaces the list of VMs.
func (m *MemoryPlatform) SetVMs(vms []VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = slices.Clone(vms)
}

// CopyRows returns a function that sets the rows back to what they are now, as the restore of a backup does. Objects and the
// list of VMs stay as they are.
func (m *MemoryPlatform) CopyRows() (restore func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	copied := copyPartitions(m.partitions)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.partitions = copyPartitions(copied)
	}
}

func copyPartitions(partitions map[string]*partition) map[string]*partition {
	copied := make(map[string]*partition, len(partitions))
	for key, p := range partitions {
		copied[key] = &partition{sortKeys: slices.Clone(p.sortKeys), rows: maps.Clone(p.rows)}
	}
	return copied
}

// Counts returns the numbers of calls received so far, including those that failed because of a Fault.
func (m *MemoryPlatform) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

var errInjected = errors.New("failure injected by SetFault")

// call runs operation under the lock unless an injected failure prevents it.
func (m *MemoryPlatform) call(ctx context.Context, op string, isWrite bool, operation func() *Error) error {
	m.mu.Lock()
	latency := m.fault.Latency
	m.mu.Unlock()
	if latency > 0 {
		timer := time.NewTimer(latency)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return &Error{Kind: Unavailable, Op: op, Cause: err}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if isWrite {
		m.counts.Writes++
	} else {
		m.counts.Reads++
	}
	if m.fault.Down {
		return &Error{Kind: Unavailable, Op: op, Cause: errInjected}
	}
	if m.fault.FailNext > 0 {
		m.fault.FailNext--
		return &Error{Kind: Unavailable, Op: op, Cause: errInjected}
	}
	// Compare the *Error itself: an error interface that holds a nil *Error is not nil.
	if err := operation(); err != nil {
		return err
	}
	if isWrite && m.fault.LoseAnswerNext > 0 {
		m.fault.LoseAnswerNext--
		return &Error{Kind: Unavailable, Op: op, Cause: errInjected}
	}
	return nil
}

// Get implements Table.
func (m *MemoryPlatform) Get(ctx context.Context, pk, sk string) (Row, error) {
	op := "get " + pk + "/" + sk
	var found Row
	err := m.call(ctx, op, false, func() *Error {
		row, ok := m.row(pk, sk)
		if !ok {
			return &Error{Kind: NotFound, Op: op}
		}
		found = cloneRow(row)
		return nil
	})
	return found, err
}

// Query implements Table.
func (m *MemoryPlatform) Query(ctx context.Context, pk, from string, limit int) ([]Row, error) {
	var found []Row
	err := m.call(ctx, "query "+pk, false, func() *Error {
		p, ok := m.partitions[pk]
		if !ok {
			return nil
		}
		for _, sk := range p.sortKeys[sort.SearchStrings(p.sortKeys, from):] {
			if limit > 0 && len(found) == limit {
				break
			}
			found = append(found, cloneRow(p.rows[sk]))
		}
		return nil
	})
	return found, err
}

// Put implements Table.
func (m *MemoryPlatform) Put(ctx context.Context, row Row, expect int64) error {
	return m.commit(ctx, "put "+row.Pk+"/"+row.Sk, []Write{{Row: row, Expect: expect}})
}

// Delete implements Table.
func (m *MemoryPlatform) Delete(ctx context.Context, pk, sk string, expect int64) error {
	return m.commit(ctx, "delete "+pk+"/"+sk, []Write{{Row: Row{Pk: pk, Sk: sk}, Expect: expect, Delete: true}})
}

// Transact implements Table.
func (m *MemoryPlatform) Transact(ctx context.Context, writes []Write) error {
	return m.commit(ctx, "transact", writes)
}

func (m *MemoryPlatform) commit(ctx context.Context, op string, writes []Write) error {
	return m.call(ctx, op, true, func() *Error {
		if err := checkWrites(op, writes); err != nil {
			return err
		}
		for i, w := range writes {
			if stored, _ := m.row(w.Row.Pk, w.Row.Sk); stored.Version != w.Expect {
				return &Error{Kind: Conflict, Op: op, Cause: &VersionError{
					Index: i, Pk: w.Row.Pk, Sk: w.Row.Sk, Stored: stored.Version, Expect: w.Expect,
				}}
			}
		}
		for _, w := range writes {
			m.apply(w)
		}
		return nil
	})
}

// checkWrites returns an error of kind Invalid for writes that the table service rejects regardless of its rows.
func checkWrites(op string, writes []Write) *Error {
	invalid := func(format string, args ...any) *Error {
		return &Error{Kind: Invalid, Op: op, Cause: errors.Newf(format, args...)}
	}
	if len(writes) == 0 || len(writes) > MaxTransactWrites {
		return invalid("%d writes; give 1 to %d", len(writes), MaxTransactWrites)
	}
	type key struct{ pk, sk string }
	seen := map[key]bool{}
	for _, w := range writes {
		k := key{w.Row.Pk, w.Row.Sk}
		if k.pk == "" || k.sk == "" {
			return invalid("the row has an empty key")
		}
		if seen[k] {
			return invalid("two writes of row %s/%s", k.pk, k.sk)
		}
		seen[k] = true
		if n := len(k.pk) + len(k.sk) + len(w.Row.Data) + len(w.Row.Mark); n > MaxRowBytes {
			return invalid("row %s/%s has %d bytes; give at most %d", k.pk, k.sk, n, MaxRowBytes)
		}
	}
	return nil
}

func (m *MemoryPlatform) row(pk, sk string) (Row, bool) {
	p, ok := m.partitions[pk]
	if !ok {
		return Row{}, false
	}
	row, ok := p.rows[sk]
	return row, ok
}

func (m *MemoryPlatform) apply(w Write) {
	p, ok := m.partitions[w.Row.Pk]
	if !ok {
		p = &partition{rows: map[string]Row{}}
		m.partitions[w.Row.Pk] = p
	}
	at, exists := slices.BinarySearch(p.sortKeys, w.Row.Sk)
	if w.Delete {
		if exists {
			p.sortKeys = slices.Delete(p.sortKeys, at, at+1)
			delete(p.rows, w.Row.Sk)
		}
		return
	}
	if !exists {
		p.sortKeys = slices.Insert(p.sortKeys, at, w.Row.Sk)
	}
	row := cloneRow(w.Row)
	row.Version = w.Expect + 1
	p.rows[row.Sk] = row
}

func cloneRow(r Row) Row {
	r.Data = bytes.Clone(r.Data)
	return r
}

// GetObject implements Objects.
func (m *MemoryPlatform) GetObject(ctx context.Context, key string) ([]byte, error) {
	op := "get object " + key
	var body []byte
	err := m.call(ctx, op, false, func() *Error {
		stored, ok := m.objects[key]
		if !ok {
			return &Error{Kind: NotFound, Op: op}
		}
		body = bytes.Clone(stored)
		return nil
	})
	return body, err
}

// PutObject implements Objects.
func (m *MemoryPlatform) PutObject(ctx context.Context, key string, body []byte) error {
	return m.call(ctx, "put object "+key, true, func() *Error {
		m.objects[key] = append([]byte{}, body...)
		return nil
	})
}

// DeleteObject implements Objects.
func (m *MemoryPlatform) DeleteObject(ctx context.Context, key string) error {
	return m.call(ctx, "delete object "+key, true, func() *Error {
		delete(m.objects, key)
		return nil
	})
}

// ListVMs implements VMs.
func (m *MemoryPlatform) ListVMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := m.call(ctx, "list VMs", false, func() *Error {
		vms = slices.Clone(m.vms)
		return nil
	})
	return vms, err
}
