package launcher_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"geraniumladder/internal/launcher"
)

const (
	benchFirsts  = 400
	benchStreams = 8
	benchTokens  = 256
)

// hotPath is the same call in two ways: to the stand-in engine, and to an entry.
type hotPath struct {
	client *http.Client
	names  [2]string
	urls   [2]string
	models [2]string
	keys   [2]string
}

// timings are the arrivals of the events of one stream, counted from the call.
type timings []time.Duration

func (h hotPath) stream(way, number, tokens int) (timings, error) {
	text, err := json.Marshal(map[string]any{
		"model": h.models[way], "prompt": fmt.Sprintf("%08d: %s", number, strings.Repeat("word ", 20)), "max_tokens": tokens, "stream": true,
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, h.urls[way]+"/v1/completions", bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if h.keys[way] != "" {
		req.Header.Set("Authorization", "Bearer "+h.keys[way])
	}
	began := time.Now()
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return nil, fmt.Errorf("%s: %d %s", h.names[way], resp.StatusCode, body)
	}
	var at timings
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			at = append(at, time.Since(began))
		}
	}
	return at, lines.Err()
}

func quantile(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds())
}

// processorTime is what this process has used so far.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHotPath compares calls through an entry and a sidecar with calls to the stand-in engine, in one run of the
// demo: the time to the first event, the gaps between events, and the processor time and allocations for each event of
// the whole process, the engine and the client included, so that the difference is what entry and sidecar add.
func BenchmarkHotPath(b *testing.B) {
	for _, adapters := range []int{100, 3000, 53000} {
		b.Run(fmt.Sprint("adapters=", adapters), func(b *testing.B) { benchmarkHotPath(b, adapters) })
	}
}

func benchmarkHotPath(b *testing.B, adapters int) {
	folder := b.TempDir()
	d, err := launcher.NewDemo(launcher.DemoConfig{Listen: "127.0.0.1:0", Folder: folder, Log: zerolog.Nop()})
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx, io.Discard) }()
	defer func() {
		cancel()
		assert.NilError(b, <-ended)
	}()
	for !d.Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	writeAdapters(b, folder, adapters)
	waitUnchanged(d)
	h := newHotPath(b, d)
	firsts, gaps, used, allocated := [2][]time.Duration{}, [2][]time.Duration{}, [2]time.Duration{}, [2]uint64{}
	events := [2]int{}
	for b.Loop() {
		for i := range benchFirsts {
			for way := range 2 {
				at, err := h.stream(way, 2*i+way, 1)
				assert.NilError(b, err)
				firsts[way] = append(firsts[way], at[0])
			}
		}
		for way := range 2 {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := processorTime(b)
			for _, at := range h.streams(b, way) {
				events[way] += len(at)
				for i := 1; i < len(at); i++ {
					gaps[way] = append(gaps[way], at[i]-at[i-1])
				}
			}
			used[way] += processorTime(b) - start
			runtime.ReadMemStats(&after)
			allocated[way] += after.Mallocs - before.Mallocs
		}
	}
	for way, name := range h.names {
		slices.Sort(firsts[way])
		slices.Sort(gaps[way])
		b.ReportMetric(quantile(firsts[way], 0.5), name+"-first-p50-µs")
		b.ReportMetric(quantile(firsts[way], 0.99), name+"-first-p99-µs")
		b.ReportMetric(quantile(gaps[way], 0.5), name+"-gap-p50-µs")
		b.ReportMetric(quantile(gaps[way], 0.99), name+"-gap-p99-µs")
		b.ReportMetric(float64(used[way].Nanoseconds())/1000/float64(events[way]), name+"-cpu-µs/token")
		b.ReportMetric(float64(allocated[way])/float64(events[way]), name+"-allocs/token")
	}
}

// streams runs benchStreams streams at once.
func (h hotPath) streams(b *testing.B, way int) []timings {
	all := make([]timings, benchStreams)
	var group sync.WaitGroup
	for i := range all {
		group.Go(func() {
			at, err := h.stream(way, 1_000_000+2*i+way, benchTokens)
			if err != nil {
				b.Error(err)
			}
			all[i] = at
		})
	}
	group.Wait()
	return all
}

func newHotPath(b *testing.B, d *launcher.Demo) hotPath {
	const organisation = "vunidawa"
	at := d.Announcement()
	h := hotPath{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}, names: [2]string{"direct", "entry"},
		models: [2]string{organisation + "-drafts@v1", at.Routes.Model[organisation]},
		urls:   [2]string{"", at.Entries[0]}, keys: [2]string{"", at.Keys[organisation]},
	}
	b.Cleanup(h.client.CloseIdleConnections)
	_, err := h.stream(1, 0, 1)
	assert.NilError(b, err)
	for _, url := range at.StandIns.Endpoints {
		h.urls[0] = url
		if _, err := h.stream(0, 1, 1); err == nil {
			return h
		}
	}
	b.Fatal("no engine has the adapter")
	return h
}

// writeAdapters adds adapters to the operators' folder, a thousand to a file.
func writeAdapters(b *testing.B, folder string, count int) {
	for first := 0; first < count; first += 1000 {
		var text strings.Builder
		text.WriteString("Adapters:\n")
		for i := first; i < min(count, first+1000); i++ {
			fmt.Fprintf(&text, "- Name: idle-%05d\n  BaseModel: base\n  Versions:\n  - {Version: v1, Path: idle/%d/v1}\n", i, i)
		}
		assert.NilError(b, os.WriteFile(filepath.Join(folder, fmt.Sprintf("30-idle-%05d.yaml", first)), []byte(text.String()), 0o600))
	}
}

// waitUnchanged waits until a revision after the first has been in force at every entry for five seconds.
func waitUnchanged(d *launcher.Demo) {
	newest, since := int64(0), time.Now()
	for newest < 2 || time.Since(since) < 5*time.Second {
		lowest := d.Entries()[0].Router().Status().Revision
		for _, e := range d.Entries() {
			lowest = min(lowest, e.Router().Status().Revision)
		}
		if lowest != newest {
			newest, since = lowest, time.Now()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// BenchmarkOpenRequests reports the heap and stacks of the whole process for each open stream, running or waiting,
// directly and through an entry, so that the difference is what an entry and a sidecar hold together.
func BenchmarkOpenRequests(b *testing.B) {
	for _, open := range []int{25, 50, 200} {
		b.Run(fmt.Sprint("open=", open), func(b *testing.B) {
			d, err := launcher.NewDemo(launcher.DemoConfig{Listen: "127.0.0.1:0", Folder: b.TempDir(), Log: zerolog.Nop()})
			assert.NilError(b, err)
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- d.Run(ctx, io.Discard) }()
			defer func() {
				cancel()
				assert.NilError(b, <-ended)
			}()
			for !d.Ready() {
				time.Sleep(10 * time.Millisecond)
			}
			h := newHotPath(b, d)
			for b.Loop() {
				for way, name := range h.names {
					grown, failed := h.held(way, open)
					b.ReportMetric(grown/float64(open), name+"-B/open")
					b.ReportMetric(float64(failed), name+"-failed")
				}
			}
		})
	}
}

// held returns the growth of heap and stacks half a second after open streams have begun, and waits for their ends.
func (h hotPath) held(way, open int) (grown float64, failed int) {
	const tokens = 50
	before := heapAndStacks()
	ends := make(chan error, open)
	for i := range open {
		go func() {
			_, err := h.stream(way, 2_000_000+2*i+way, tokens)
			ends <- err
		}()
	}
	time.Sleep(500 * time.Millisecond)
	// Streams that have ended by now would lower the figure.
	done := len(ends)
	grown = float64(heapAndStacks()-before) * float64(open) / float64(max(open-done, 1))
	for range open {
		if err := <-ends; err != nil {
			failed++
		}
	}
	return grown, failed
}

func heapAndStacks() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
