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
	benchFirstEventCalls = 400
	benchStreams         = 8
	benchTokens          = 256
)

// benchTargets holds the parameters of the same call to two targets: directly to the stand-in engine, and to an entry.
type benchTargets struct {
	client *http.Client
	names  [2]string
	urls   [2]string
	models [2]string
	keys   [2]string
}

// eventTimes are the times from the start of a call to each event of its stream.
type eventTimes []time.Duration

func (t benchTargets) measureStream(target, number, tokens int) (eventTimes, error) {
	text, err := json.Marshal(map[string]any{
		"model": t.models[target], "prompt": fmt.Sprintf("%08d: %s", number, strings.Repeat("word ", 20)), "max_tokens": tokens, "stream": true,
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, t.urls[target]+"/v1/completions", bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if t.keys[target] != "" {
		req.Header.Set("Authorization", "Bearer "+t.keys[target])
	}
	start := time.Now()
	resp, err := t.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return nil, fmt.Errorf("%s: %d %s", t.names[target], resp.StatusCode, body)
	}
	var times eventTimes
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			times = append(times, time.Since(start))
		}
	}
	return times, lines.Err()
}

func quantileMicros(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds())
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHotPath compares calls through an entry and a sidecar with direct calls to the stand-in engine, within one
// run of the demo. It reports the time to the first event, the gaps between events, and CPU time and allocations per
// event. The last two cover the whole process with engine and client, so the difference between the targets is the cost
// of entry and sidecar.
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
	waitForStableRevision(d)
	targets := newBenchTargets(b, d)
	firstEvents, gaps, cpu, allocs := [2][]time.Duration{}, [2][]time.Duration{}, [2]time.Duration{}, [2]uint64{}
	events := [2]int{}
	for b.Loop() {
		for i := range benchFirstEventCalls {
			for target := range 2 {
				times, err := targets.measureStream(target, 2*i+target, 1)
				assert.NilError(b, err)
				firstEvents[target] = append(firstEvents[target], times[0])
			}
		}
		for target := range 2 {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := cpuTime(b)
			for _, times := range targets.measureStreams(b, target) {
				events[target] += len(times)
				for i := 1; i < len(times); i++ {
					gaps[target] = append(gaps[target], times[i]-times[i-1])
				}
			}
			cpu[target] += cpuTime(b) - start
			runtime.ReadMemStats(&after)
			allocs[target] += after.Mallocs - before.Mallocs
		}
	}
	for target, name := range targets.names {
		slices.Sort(firstEvents[target])
		slices.Sort(gaps[target])
		b.ReportMetric(quantileMicros(firstEvents[target], 0.5), name+"-first-p50-µs")
		b.ReportMetric(quantileMicros(firstEvents[target], 0.99), name+"-first-p99-µs")
		b.ReportMetric(quantileMicros(gaps[target], 0.5), name+"-gap-p50-µs")
		b.ReportMetric(quantileMicros(gaps[target], 0.99), name+"-gap-p99-µs")
		b.ReportMetric(float64(cpu[target].Nanoseconds())/1000/float64(events[target]), name+"-cpu-µs/token")
		b.ReportMetric(float64(allocs[target])/float64(events[target]), name+"-allocs/token")
	}
}

// measureStreams runs benchStreams streams concurrently.
func (t benchTargets) measureStreams(b *testing.B, target int) []eventTimes {
	all := make([]eventTimes, benchStreams)
	var group sync.WaitGroup
	for i := range all {
		group.Go(func() {
			times, err := t.measureStream(target, 1_000_000+2*i+target, benchTokens)
			if err != nil {
				b.Error(err)
			}
			all[i] = times
		})
	}
	group.Wait()
	return all
}

func newBenchTargets(b *testing.B, d *launcher.Demo) benchTargets {
	const organisation = "vunidawa"
	announcement := d.Announcement()
	targets := benchTargets{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}, names: [2]string{"direct", "entry"},
		models: [2]string{organisation + "-drafts@v1", announcement.Routes.Model[organisation]},
		urls:   [2]string{"", announcement.Entries[0]}, keys: [2]string{"", announcement.Keys[organisation]},
	}
	b.Cleanup(targets.client.CloseIdleConnections)
	_, err := targets.measureStream(1, 0, 1)
	assert.NilError(b, err)
	for _, url := range announcement.StandIns.Endpoints {
		targets.urls[0] = url
		if _, err := targets.measureStream(0, 1, 1); err == nil {
			return targets
		}
	}
	b.Fatal("no engine has the adapter loaded")
	return targets
}

// writeAdapters adds adapters to the operators' folder, 1000 per file.
func writeAdapters(b *testing.B, folder string, count int) {
	for start := 0; start < count; start += 1000 {
		var text strings.Builder
		text.WriteString("Adapters:\n")
		for i := start; i < min(count, start+1000); i++ {
			fmt.Fprintf(&text, "- Name: idle-%05d\n  BaseModel: base\n  Versions:\n  - {Version: v1, Path: idle/%d/v1}\n", i, i)
		}
		assert.NilError(b, os.WriteFile(filepath.Join(folder, fmt.Sprintf("30-idle-%05d.yaml", start)), []byte(text.String()), 0o600))
	}
}

// waitForStableRevision waits until the lowest revision in force at any entry is later than the first and has not
// changed for five seconds.
func waitForStableRevision(d *launcher.Demo) {
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

// BenchmarkOpenRequests reports heap and stack bytes of the whole process per open stream, running or waiting, for
// direct calls and for calls through an entry. The difference is what an entry and a sidecar hold together.
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
			targets := newBenchTargets(b, d)
			for b.Loop() {
				for target, name := range targets.names {
					growth, failed := targets.measureMemory(target, open)
					b.ReportMetric(growth/float64(open), name+"-B/open")
					b.ReportMetric(float64(failed), name+"-failed")
				}
			}
		})
	}
}

// measureMemory opens streams concurrently and returns the growth of heap and stacks after half a second, scaled up to
// all streams. It returns when all streams have ended.
func (t benchTargets) measureMemory(target, streams int) (growth float64, failed int) {
	const tokens = 50
	before := heapAndStacks()
	results := make(chan error, streams)
	for i := range streams {
		go func() {
			_, err := t.measureStream(target, 2_000_000+2*i+target, tokens)
			results <- err
		}()
	}
	time.Sleep(500 * time.Millisecond)
	// Streams that have ended already hold no memory and would lower the result.
	ended := len(results)
	growth = float64(heapAndStacks()-before) * float64(streams) / float64(max(streams-ended, 1))
	for range streams {
		if err := <-results; err != nil {
			failed++
		}
	}
	return growth, failed
}

func heapAndStacks() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
