package lender_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"geraniumladder/internal/authenticator"
	"geraniumladder/internal/lender"
	"geraniumladder/internal/messenger"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/limiter"
)

func benchmarkMember(i int) wire.EntryMember {
	return wire.EntryMember{
		VM: fmt.Sprintf("entry-%02d", i), Incarnation: "1796361600000-0123456789abcdef", Address: fmt.Sprintf("10.0.9.%d:7001", 100+i),
	}
}

// BenchmarkExchange measures the time to handle an exchange and the JSON sizes of its request and response, for several
// numbers of entries and organisations, with none, a tenth and all of the peer's levels changed by at least 1 %.
func BenchmarkExchange(b *testing.B) {
	for _, entries := range []int{3, 8, 20} {
		for _, organisations := range []int{5, 100, 1000} {
			for _, changed := range []int{0, (organisations + 9) / 10, organisations} {
				b.Run(fmt.Sprintf("entries=%d/organisations=%d/changed=%d", entries, organisations, changed), func(b *testing.B) {
					benchmarkExchange(b, entries, organisations, changed)
				})
			}
		}
	}
}

func benchmarkExchange(b *testing.B, entries, organisations, changed int) {
	signer, err := authenticator.New(authenticator.Config{Secret: "0123456789abcdef"})
	assert.NilError(b, err)
	p, before := &fakePlatform{}, heapBytes()
	l, err := lender.New(lender.Config{
		Self: benchmarkMember(0), Messenger: messenger.New(messenger.Config{Signer: signer}), Table: p, VMs: p, Log: zerolog.Nop(),
	})
	assert.NilError(b, err)
	limits := map[string]limiter.Config{}
	for i := range organisations {
		limits[fmt.Sprintf("organisation-%04d", i)] = limiter.Config{Rate: 2_100_000 / float64(organisations), Burst: 6_300_000 / float64(organisations)}
	}
	l.SetOrganisations(limits)
	e := echo.New()
	l.Register(e.Group("/peer"))
	row := wire.EpochRow{Epoch: 1}
	for i := range entries {
		row.Members = append(row.Members, benchmarkMember(i))
	}
	in := wire.EntryExchange{
		Epoch: 1, EpochRow: &row, Freshness: wire.Freshness{AgeMs: 412, Revision: 123_456}, State: wire.EntryExchangeStateLive,
		Levels: map[string]float64{},
	}
	post := func(body []byte) int {
		req := httptest.NewRequest(http.MethodPost, "/peer/exchange", bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		recorder := httptest.NewRecorder()
		e.ServeHTTP(recorder, req)
		if recorder.Code != http.StatusOK {
			b.Fatal(recorder.Code, recorder.Body)
		}
		return recorder.Body.Len()
	}
	bodies := make([][]byte, entries-1)
	for i := range bodies {
		in.From = benchmarkMember(i + 1)
		for j := range changed {
			in.Levels[fmt.Sprintf("organisation-%04d", j)] = 1234.5678901234567 * float64(i+j+1)
		}
		bodies[i], err = json.Marshal(in)
		assert.NilError(b, err)
		post(bodies[i])
	}
	heapGrowth := float64(heapBytes()) - float64(before)
	responseBytes := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		responseBytes += post(bodies[i%len(bodies)])
	}
	b.ReportMetric(float64(len(bodies[0])), "sentJsonB")
	b.ReportMetric(float64(responseBytes)/float64(b.N), "answerJsonB/op")
	b.ReportMetric(heapGrowth, "heapB")
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
