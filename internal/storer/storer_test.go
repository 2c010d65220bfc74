package storer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/internal/emulator"
	"geraniumladder/internal/storer"
)

func kindOf(t *testing.T, err error) storer.Kind {
	t.Helper()
	e := new(storer.Error)
	assert.Assert(t, errors.As(err, &e), "error %v is not a *storer.Error", err)
	return e.Kind
}

// newClient returns a client that is connected to a new emulated platform.
func newClient(t *testing.T, c emulator.PlatformConfig) (*storer.Client, *emulator.Platform) {
	t.Helper()
	platform := emulator.NewPlatform(c)
	server := httptest.NewServer(platform.Handler())
	client := storer.NewClient(storer.ClientConfig{URL: server.URL, Timeout: 20 * time.Second})
	t.Cleanup(func() { client.Close(); platform.Crash(); server.CloseClientConnections(); server.Close() })
	return client, platform
}

// forEachPlatform runs a test against a Client of an emulated platform and against a Memory.
func forEachPlatform(t *testing.T, test func(*testing.T, storer.Platform)) {
	t.Run("client", func(t *testing.T) {
		client, platform := newClient(t, emulator.PlatformConfig{})
		platform.VMList.Register(emulator.RegisteredVM{VM: "e1", Address: "10.0.0.1:7", FailureDomain: "a", Role: "entry"})
		test(t, client)
	})
	t.Run("memory", func(t *testing.T) {
		memory := storer.NewMemoryPlatform()
		memory.SetVMs([]storer.VM{{Name: "e1", Address: "10.0.0.1:7", FailureDomain: "a", Role: "entry"}})
		test(t, memory)
	})
}

// Guards against a field that is lost in encoding, and against a write that takes effect although its condition failed.
func TestConditionalWrites(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p storer.Platform) {
		ctx := t.Context()
		_, err := p.Get(ctx, "claim", "org/absent")
		assert.Equal(t, kindOf(t, err), storer.NotFound)
		row := storer.Row{Pk: "claim", Sk: "org/ü 1", Data: []byte(`{"A":"<&>"}`), Mark: "m1"}
		assert.NilError(t, p.Put(ctx, row, 0))
		assert.Equal(t, kindOf(t, p.Put(ctx, row, 0)), storer.Conflict)
		row.Mark = "m2"
		assert.NilError(t, p.Put(ctx, row, 1))
		stale := row
		stale.Mark = "m3"
		assert.Equal(t, kindOf(t, p.Put(ctx, stale, 1)), storer.Conflict)
		row.Version = 2
		got, err := p.Get(ctx, row.Pk, row.Sk)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, row)
		assert.Equal(t, kindOf(t, p.Delete(ctx, row.Pk, row.Sk, 1)), storer.Conflict)
		assert.NilError(t, p.Delete(ctx, row.Pk, row.Sk, 2))
		_, err = p.Get(ctx, row.Pk, row.Sk)
		assert.Equal(t, kindOf(t, err), storer.NotFound)
		big := storer.Row{Pk: "a", Sk: "b", Data: []byte(strings.Repeat("x", storer.MaxRowBytes))}
		assert.Equal(t, kindOf(t, p.Put(ctx, big, 0)), storer.Invalid)
	})
}

// Guards against missing or duplicate rows at page boundaries: the emulated table ends a page at 1 MiB.
func TestQuery(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p storer.Platform) {
		data := []byte(strings.Repeat("x", 300<<10))
		for i := 9; i >= 0; i-- {
			assert.NilError(t, p.Put(t.Context(), storer.Row{Pk: "q", Sk: fmt.Sprintf("%03d", i), Data: data}, 0))
		}
		assert.NilError(t, p.Put(t.Context(), storer.Row{Pk: "r", Sk: "000"}, 0))
		for _, test := range []struct {
			from        string
			limit       int
			first, rows int
		}{{"", 0, 0, 10}, {"", 3, 0, 3}, {"002", 0, 2, 8}, {"0025", 6, 3, 6}, {"002", 1, 2, 1}, {"2", 0, 0, 0}} {
			rows, err := p.Query(t.Context(), "q", test.from, test.limit)
			assert.NilError(t, err)
			assert.Equal(t, len(rows), test.rows, "from %q limit %d", test.from, test.limit)
			for i, row := range rows {
				assert.Equal(t, row.Sk, fmt.Sprintf("%03d", test.first+i))
				assert.Equal(t, row.Version, int64(1))
			}
		}
	})
}

// Guards against a transaction that takes effect in part.
func TestTransact(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p storer.Platform) {
		ctx := t.Context()
		head, file := storer.Row{Pk: "config", Sk: "head"}, storer.Row{Pk: "config-file", Sk: "a.yaml"}
		assert.NilError(t, p.Transact(ctx, []storer.Write{{Row: head}, {Row: file}}))
		err := p.Transact(ctx, []storer.Write{{Row: head, Expect: 1}, {Row: file, Expect: 7}})
		assert.Equal(t, kindOf(t, err), storer.Conflict)
		got, err := p.Get(ctx, "config", "head")
		assert.NilError(t, err)
		assert.Equal(t, got.Version, int64(1))
		assert.NilError(t, p.Transact(ctx, []storer.Write{{Row: file, Expect: 1, Delete: true}, {Row: head, Expect: 1}}))
		_, err = p.Get(ctx, "config-file", "a.yaml")
		assert.Equal(t, kindOf(t, err), storer.NotFound)
		assert.Equal(t, kindOf(t, p.Transact(ctx, []storer.Write{{Row: head}, {Row: head}})), storer.Invalid)
	})
}

// Guards against an object or a VM that is altered in encoding or in transit.
func TestObjectsAndVMs(t *testing.T) {
	forEachPlatform(t, func(t *testing.T, p storer.Platform) {
		ctx, key := t.Context(), "config/snapshot/64 ü+%"
		_, err := p.GetObject(ctx, key)
		assert.Equal(t, kindOf(t, err), storer.NotFound)
		for _, body := range [][]byte{[]byte("one\x00two"), {}} {
			assert.NilError(t, p.PutObject(ctx, key, body))
			got, err := p.GetObject(ctx, key)
			assert.NilError(t, err)
			assert.Equal(t, string(got), string(body))
		}
		assert.NilError(t, p.DeleteObject(ctx, key))
		_, err = p.GetObject(ctx, key)
		assert.Equal(t, kindOf(t, err), storer.NotFound)
		vms, err := p.ListVMs(ctx)
		assert.NilError(t, err)
		assert.DeepEqual(t, vms, []storer.VM{{Name: "e1", Address: "10.0.0.1:7", FailureDomain: "a", Role: "entry"}})
	})
}

// callAll calls each operation once and returns the errors; the first five are those of writes.
func callAll(ctx context.Context, p storer.Platform) []error {
	row := storer.Row{Pk: "lease", Sk: "model-1", Mark: "mine"}
	_, get := p.Get(ctx, row.Pk, row.Sk)
	_, query := p.Query(ctx, row.Pk, "", 0)
	_, object := p.GetObject(ctx, "k")
	_, list := p.ListVMs(ctx)
	return []error{
		p.Put(ctx, row, 0), p.Delete(ctx, row.Pk, row.Sk, 1), p.Transact(ctx, []storer.Write{{Row: row}}),
		p.PutObject(ctx, "k", nil), p.DeleteObject(ctx, "k"), get, query, object, list,
	}
}

// Guards against an outage that is reported as a definite result, such as NotFound or Conflict.
func TestOutage(t *testing.T) {
	client, platform := newClient(t, emulator.PlatformConfig{})
	memory := storer.NewMemoryPlatform()
	for _, fault := range []struct {
		platform emulator.Faults
		memory   storer.Fault
	}{
		{emulator.Faults{Down: true}, storer.Fault{Down: true}},
		{emulator.Faults{FailNext: 100}, storer.Fault{FailNext: 100}},
		{emulator.Faults{FailRate: 1}, storer.Fault{Down: true}},
	} {
		platform.SetFaults(fault.platform)
		memory.SetFault(fault.memory)
		for _, p := range []storer.Platform{client, memory} {
			for i, err := range callAll(t.Context(), p) {
				assert.Equal(t, kindOf(t, err), storer.Unavailable, "call %d: %v", i, err)
			}
		}
	}
	platform.SetFaults(emulator.Faults{})
	_, err := client.Get(t.Context(), "lease", "model-1")
	assert.Equal(t, kindOf(t, err), storer.NotFound, "a call that failed took effect")
}

// Guards against a lost response that is treated as a failed write: the row must hold the writer's mark.
func TestLostResponse(t *testing.T) {
	client, platform := newClient(t, emulator.PlatformConfig{})
	platform.Table.SetFaults(emulator.Faults{LoseAnswerNext: 2})
	memory := storer.NewMemoryPlatform()
	memory.SetFault(storer.Fault{LoseAnswerNext: 2})
	for _, p := range []storer.Platform{client, memory} {
		ctx := t.Context()
		row := storer.Row{Pk: "claim", Sk: "org/key", Mark: "mine"}
		_, err := p.Get(ctx, row.Pk, row.Sk)
		assert.Equal(t, kindOf(t, err), storer.NotFound, "a read must not use up the fault")
		assert.Equal(t, kindOf(t, p.Put(ctx, row, 0)), storer.Unavailable)
		row.Mark = "mine too"
		assert.Equal(t, kindOf(t, p.Transact(ctx, []storer.Write{{Row: row, Expect: 1}})), storer.Unavailable)
		got, err := p.Get(ctx, row.Pk, row.Sk)
		assert.NilError(t, err)
		assert.Equal(t, got.Mark, "mine too")
		assert.Equal(t, got.Version, int64(2))
	}
	// A retry by the SDK or by net/http would increase this number.
	assert.Equal(t, len(platform.Table.SeenRequests()), 4)
}

// Guards against a call on an unresponsive connection that exceeds its timeout.
func TestUnresponsiveConnectionTimesOut(t *testing.T) {
	platform := emulator.NewPlatform(emulator.PlatformConfig{})
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	client := storer.NewClient(storer.ClientConfig{URL: server.URL, Timeout: 200 * time.Millisecond})
	defer client.Close()
	row := storer.Row{Pk: "a", Sk: "b"}
	for client.Put(t.Context(), row, 0) != nil { // On a busy machine the call can exceed the short timeout.
		if _, err := client.Get(t.Context(), "a", "b"); err == nil {
			break
		}
	}
	platform.SetFaults(emulator.Faults{Silent: true})
	_, err := client.Get(t.Context(), "a", "b")
	assert.Equal(t, kindOf(t, err), storer.Unavailable)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	working := storer.NewClient(storer.ClientConfig{URL: server.URL, Timeout: 20 * time.Second})
	defer working.Close()
	_, err = working.Get(t.Context(), "a", "b")
	assert.NilError(t, err)
}

// Guards against a snapshot that never arrives over a thin link, because its transfer takes longer than a call may, and
// against an object store that holds a call with a byte now and then.
func TestLargeObjectArrivesOverThinLink(t *testing.T) {
	const part, timeout = 32 << 10, 500 * time.Millisecond
	var trickles atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range 30 {
			content := make([]byte, part)
			if trickles.Load() {
				content = content[:1]
			}
			if _, err := w.Write(content); err != nil || r.Context().Err() != nil {
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(timeout / 10)
		}
	}))
	defer server.Close()
	client := storer.NewClient(storer.ClientConfig{URL: server.URL, Timeout: timeout})
	defer client.Close()
	body, err := client.GetObject(t.Context(), "snapshot")
	assert.NilError(t, err)
	assert.Equal(t, len(body), 30*part)
	trickles.Store(true)
	_, err = client.GetObject(t.Context(), "snapshot")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against opening a new connection for each call.
func TestConnectionIsReused(t *testing.T) {
	server := httptest.NewUnstartedServer(emulator.NewPlatform(emulator.PlatformConfig{}).Handler())
	var opened atomic.Int32
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := storer.NewClient(storer.ClientConfig{URL: server.URL, Timeout: 20 * time.Second})
	defer client.Close()
	for range 20 {
		callAll(t.Context(), client)
	}
	assert.Equal(t, opened.Load(), int32(1))
}

// Guards against a rate limit that is not applied or not reported as Unavailable.
func TestRateLimitIsUnavailable(t *testing.T) {
	client, _ := newClient(t, emulator.PlatformConfig{Table: emulator.TableConfig{WriteRate: 1}})
	var limited int
	for i := range 20 {
		if err := client.Put(t.Context(), storer.Row{Pk: "a", Sk: fmt.Sprint(i)}, 0); err != nil {
			assert.Equal(t, kindOf(t, err), storer.Unavailable)
			limited++
		}
	}
	assert.Assert(t, limited > 0)
}

// Guards against a Memory, which tests of other packages use, that behaves differently from a Client with the table
// service.
func TestMemoryMatchesClient(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		platform := emulator.NewPlatform(emulator.PlatformConfig{})
		server := httptest.NewServer(platform.Handler())
		defer server.Close()
		client := storer.NewClient(storer.ClientConfig{URL: server.URL, Timeout: 20 * time.Second})
		defer client.Close()
		memory := storer.NewMemoryPlatform()
		write := rapid.Custom(func(r *rapid.T) storer.Write {
			return storer.Write{
				Row:    storer.Row{Pk: rapid.SampledFrom([]string{"a", "b"}).Draw(r, "Pk"), Sk: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(r, "Sk"), Mark: rapid.String().Draw(r, "Mark")},
				Expect: rapid.Int64Range(0, 3).Draw(r, "Expect"),
				Delete: rapid.IntRange(0, 3).Draw(r, "Delete") == 0,
			}
		})
		for range rapid.IntRange(1, 12).Draw(r, "steps") {
			writes := rapid.SliceOfN(write, 1, 3).Draw(r, "writes")
			got, want := client.Transact(r.Context(), writes), memory.Transact(r.Context(), writes)
			assert.Equal(r, got == nil, want == nil, "client: %v, memory: %v", got, want)
			if want != nil {
				g, w := new(storer.Error), new(storer.Error)
				assert.Assert(r, errors.As(got, &g) && errors.As(want, &w))
				assert.Equal(r, g.Kind, w.Kind)
			}
			for _, pk := range []string{"a", "b"} {
				got, err := client.Query(r.Context(), pk, "2", 0)
				assert.NilError(r, err)
				want, err := memory.Query(r.Context(), pk, "2", 0)
				assert.NilError(r, err)
				assert.Equal(r, fmt.Sprint(got), fmt.Sprint(want))
			}
		}
	})
}

// TestOddVMDoesNotHideTheList guards against an entry of the list of VMs that can't be decoded, after which the processes
// would stop following the list.
func TestOddVMDoesNotHideTheList(t *testing.T) {
	const valid = `{"targets":["10.0.0.1:7"],"labels":{"Vm":"e1","FailureDomain":"a","Role":"entry","State":"Live"}}`
	odd := []string{
		`{"targets":"10.0.0.2:7"}`, `{"targets":[99999999999999999999]}`, `{"targets":["10.0.0.2:7"],"labels":{"Vm":1e999}}`, `7`, `"e2"`, `[]`,
		`{"labels":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "["+strings.Join(append(odd, valid), ",")+"]")
	}))
	t.Cleanup(server.Close)
	var out bytes.Buffer
	client := storer.NewClient(storer.ClientConfig{URL: server.URL, Log: zerolog.New(&out)})
	t.Cleanup(client.Close)
	for range 3 {
		vms, err := client.ListVMs(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, vms, []storer.VM{{Name: "e1", Address: "10.0.0.1:7", FailureDomain: "a", Role: "entry"}})
	}
	assert.Equal(t, strings.Count(out.String(), "\n"), 1, out.String())
}
