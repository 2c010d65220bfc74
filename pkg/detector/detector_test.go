package detector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/detector"
)

var start = time.Unix(1_000, 0)

// TestStandingBySilence guards against a peer that is suspected after a single lost heartbeat, and against a failed peer
// that goes undetected.
func TestStandingBySilence(t *testing.T) {
	c := detector.Config{}.WithDefaults()
	heartbeats := detector.Heartbeats{}.WithHeartbeat(start, 250*time.Millisecond)
	for _, tt := range []struct {
		after time.Duration
		want  detector.Liveness
	}{
		{0, detector.Heard}, {550 * time.Millisecond, detector.Heard}, {650 * time.Millisecond, detector.Suspect},
		{1050 * time.Millisecond, detector.Suspect}, {1150 * time.Millisecond, detector.Silent}, {16 * time.Second, detector.Unknown},
	} {
		assert.Equal(t, c.Liveness(heartbeats, start.Add(tt.after)), tt.want, "after %v", tt.after)
	}
	assert.Equal(t, c.Liveness(detector.Heartbeats{}, start), detector.Unknown)
	assert.Equal(t, c.Liveness(heartbeats.WithHeartbeat(start, 0), start), detector.Unknown)
}

// TestPeersWithinIntervalAreHeard guards against suspecting a peer whose heartbeats arrive within the announced
// intervals, also if the observer itself pauses in between.
func TestPeersWithinIntervalAreHeard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := detector.Config{}.WithDefaults()
		heartbeats, now := detector.Heartbeats{}, start
		for range rapid.IntRange(1, 30).Draw(t, "beats") {
			interval := time.Duration(rapid.IntRange(1, 2000).Draw(t, "within")) * time.Millisecond
			heartbeats = heartbeats.WithHeartbeat(now, interval)
			now = now.Add(time.Duration(rapid.Float64Range(0, 1).Draw(t, "part") * float64(interval)))
			if rapid.Bool().Draw(t, "pauses") {
				pause := time.Duration(rapid.IntRange(1, 10_000).Draw(t, "pause")) * time.Millisecond
				now = now.Add(pause)
				heartbeats = heartbeats.WithPause(pause)
			}
			assert.Equal(t, c.Liveness(heartbeats, now), detector.Heard)
		}
		// After the last heartbeat the standing only gets worse until the peer is unknown again.
		worst := detector.Heard
		for now.Before(heartbeats.LastHeartbeat().Add(c.ForgetAfter)) {
			now = now.Add(time.Duration(rapid.IntRange(50, 1000).Draw(t, "silence")) * time.Millisecond)
			standing := c.Liveness(heartbeats, now)
			assert.Assert(t, standing >= worst || standing == detector.Unknown)
			worst = max(worst, standing)
		}
	})
}
