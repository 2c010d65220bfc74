package emulator_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/emulator"
)

// TestColdEngine guards against a stand-in that is as fast or as robust when cold as when warm, or that can't become cold
// again.
func TestColdEngine(t *testing.T) {
	c := emulator.EngineConfig{ColdStart: 2 * time.Second, ColdPerSecond: 2}
	withEngine(t, c, func(t *testing.T, engine *emulator.Engine, h http.Handler) {
		request := func() time.Duration {
			begin := time.Now()
			completionText(t, h, "/v1/completions", completionBody("base", "a", 10, ""))
			return time.Since(begin)
		}
		cold := request()
		time.Sleep(c.ColdStart)
		warm := request()
		assert.Assert(t, cold > 3*warm, "cold %v, warm %v", cold, warm)
		for range 20 {
			request()
		}
		assert.Equal(t, engine.Stats().ColdCrashes, 0)
		assert.Equal(t, post(h, "/cold", `{"For":"10s"}`).Code, http.StatusNoContent)
		assert.Equal(t, engine.ColdRemaining(), 10*time.Second)
		// In a second it takes 2*1.5 + 5 = 8.
		for range 8 {
			request()
		}
		assert.Equal(t, engine.Stats().ColdCrashes, 0)
		assert.Assert(t, post(h, "/v1/completions", completionBody("base", "a", 10, "")).Code != http.StatusOK)
		assert.Equal(t, engine.Stats().ColdCrashes, 1)
		assert.Equal(t, engine.ColdRemaining(), c.ColdStart)
	})
}
