package detector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/detector"
)

var start = time.Unix(1_000, 0)

// TestStandings guards against a peer that is given up after one lost beat, and against one that is never given up.
func TestStandings(t *testing.T) {
	c := detector.Config{}.WithDefaults()
	beats := detector.Beats{}.WithBeat(start, 250*time.Millisecond)
	for _, tt := range []struct {
		after time.Duration
		want  detector.Standing
	}{
		{0, detector.Heard}, {550 * time.Millisecond, detector.Heard}, {650 * time.Millisecond, detector.Suspect},
		{1050 * time.Millisecond, detector.Suspect}, {1150 * time.Millisecond, detector.Silent}, {16 * time.Second, detector.Unknown},
	} {
		assert.Equal(t, c.Standing(beats, start.Add(tt.after)), tt.want, "after %v", tt.after)
	}
	assert.Equal(t, c.Standing(detector.Beats{}, start), detector.Unknown)
	assert.Equal(t, c.Standing(beats.WithBeat(start, 0), start), detector.Unknown)
}

// TestPunctualPeersAreHeard searches for promises and lost beats that make a peer suspect which beats in time, and for
// pauses of the observer that it blames on a peer.
func TestPunctualPeersAreHeard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := detector.Config{}.WithDefaults()
		beats, now := detector.Beats{}, start
		for range rapid.IntRange(1, 30).Draw(t, "beats") {
			within := time.Duration(rapid.IntRange(1, 2000).Draw(t, "within")) * time.Millisecond
			beats = beats.WithBeat(now, within)
			now = now.Add(time.Duration(rapid.Float64Range(0, 1).Draw(t, "part") * float64(within)))
			if rapid.Bool().Draw(t, "pauses") {
				pause := time.Duration(rapid.IntRange(1, 10_000).Draw(t, "pause")) * time.Millisecond
				now = now.Add(pause)
				beats = beats.WithPause(pause)
			}
			assert.Equal(t, c.Standing(beats, now), detector.Heard)
		}
		// From the last beat on the standing only gets worse until the peer is forgotten.
		worst := detector.Heard
		for now.Before(beats.Last().Add(c.Life)) {
			now = now.Add(time.Duration(rapid.IntRange(50, 1000).Draw(t, "silence")) * time.Millisecond)
			standing := c.Standing(beats, now)
			assert.Assert(t, standing >= worst || standing == detector.Unknown)
			worst = max(worst, standing)
		}
	})
}
