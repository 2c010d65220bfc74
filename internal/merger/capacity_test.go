package merger_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/merger"
)

// BenchmarkRevisionMemory reports the heap use of a revision with as many keys and routes as adapters, the size of its
// snapshot and the size of a delta that changes one adapter.
func BenchmarkRevisionMemory(b *testing.B) {
	for _, n := range adapterCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var heapGrowth float64
			var snapshot []byte
			for b.Loop() {
				before := heapAlloc()
				items := largeItems(n)
				items.Keys, items.Routes = make(map[string]merger.Key, n), make(map[string]merger.Route, n)
				for i := range n {
					id := fmt.Sprintf("organisation-%04d-%05d", i%1000, i)
					digest := sha256.Sum256([]byte(id))
					items.Keys[id] = merger.Key{ID: id, Organisation: fmt.Sprintf("organisation-%04d", i%1000), Digest: hex.EncodeToString(digest[:])}
					name := fmt.Sprintf("adapter-%05d", i)
					items.Routes[name] = merger.Route{Name: name, Organisations: []string{fmt.Sprintf("organisation-%04d", i%1000)},
						Targets: []merger.Target{{Adapter: name, Version: "1", Weight: 1}}}
				}
				r := merger.NewRevision(1, items)
				heapGrowth = float64(heapAlloc()) - float64(before)
				var err error
				snapshot, err = json.Marshal(items)
				assert.NilError(b, err)
				runtime.KeepAlive(r)
			}
			delta, err := json.Marshal(merger.Delta{Adapters: merger.Changes[merger.Adapter]{Set: map[string]merger.Adapter{"adapter-00007": largeItems(8).Adapters["adapter-00007"]}}})
			assert.NilError(b, err)
			b.ReportMetric(heapGrowth, "heapB")
			b.ReportMetric(float64(len(snapshot)), "snapshotB")
			b.ReportMetric(float64(len(delta)), "deltaB")
		})
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
