package dispatcher_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"geraniumladder/internal/authenticator"
	"geraniumladder/internal/configurer"
	"geraniumladder/internal/dispatcher"
	"geraniumladder/internal/messenger"
	"geraniumladder/internal/meter"
	"geraniumladder/internal/storer"
	"geraniumladder/internal/wire"
)

func heapAlloc() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkKeptCalls reports the heap use of a plain service's sidecar for each retained call with a 200-byte request
// body and a 200-byte response, including the guard's record.
func BenchmarkKeptCalls(b *testing.B) {
	for _, calls := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint("calls=", calls), func(b *testing.B) {
			var grown float64
			for b.Loop() {
				grown = retainCalls(b, calls)
			}
			b.ReportMetric(grown/float64(calls), "heapB/call")
		})
	}
}

func retainCalls(b *testing.B, calls int) float64 {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("x"), 200))
	}))
	defer service.Close()
	signer, err := authenticator.New(authenticator.Config{Secret: strings.Repeat("s", 16)})
	assert.NilError(b, err)
	instruments, err := meter.New(meter.Config{Role: "sidecar", VM: "ledger-1"})
	assert.NilError(b, err)
	settings := configurer.Defaults[configurer.Sidecar]()
	settings.VM, settings.Endpoint.URL, settings.Endpoint.Kind, settings.Endpoint.Service = "ledger-1", service.URL, "service", "ledger"
	d := dispatcher.New(dispatcher.Config{
		Settings: settings, Platform: storer.NewMemoryPlatform(), Messenger: messenger.New(messenger.Config{Signer: signer}),
		Signer: signer, Meter: instruments, Log: zerolog.Nop(),
	})
	handler := d.Handler()
	call := func(i int) {
		id := fmt.Sprintf("01234567-89ab-cdef-0123-%012d", i)
		header, err := json.Marshal(wire.RunHeader{
			RequestID: id, Attempt: 1, Incarnation: d.Incarnation(), Organisation: "accra", Weight: 1, RemainingMs: 60_000,
			Repeatable: true, PromptTokens: 1, AnswerTokens: 1, Entry: "entry-1",
		})
		assert.NilError(b, err)
		req := httptest.NewRequest(http.MethodPost, dispatcher.RunPath, bytes.NewReader(bytes.Repeat([]byte("y"), 200)))
		for name, value := range map[string]string{
			dispatcher.RunHeaderName: string(header), dispatcher.MethodHeader: http.MethodPost, dispatcher.TargetHeader: "/bookings",
			messenger.RequestIDHeader: id, authenticator.SignatureHeader: signer.Sign(http.MethodPost, dispatcher.RunPath, id, time.Now()),
		} {
			req.Header.Set(name, value)
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, req)
		if recorder.Code != http.StatusOK {
			b.Fatal(recorder.Code, recorder.Body)
		}
	}
	call(calls)
	before := heapAlloc()
	for i := range calls {
		call(i)
	}
	grown := float64(heapAlloc()) - float64(before)
	runtime.KeepAlive(d)
	return grown
}

// BenchmarkKeptStreams reports the heap use of one retained stream response, by the number of its 200-byte events.
func BenchmarkKeptStreams(b *testing.B) {
	for _, events := range []int{16, 256, 4096} {
		b.Run(fmt.Sprint("events=", events), func(b *testing.B) {
			const answers = 100
			var grown float64
			for b.Loop() {
				before := heapAlloc()
				kept := make([]any, answers)
				for i := range kept {
					kept[i] = dispatcher.RetainedResponse(events, 200)
				}
				grown = float64(heapAlloc()) - float64(before)
				runtime.KeepAlive(kept)
			}
			b.ReportMetric(grown/answers, "heapB/answer")
			b.ReportMetric(grown/answers/float64(events), "heapB/event")
		})
	}
}
