package retainer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/retainer"
)

const (
	renewInterval = 1200 * time.Millisecond
	returnTime    = 2 * time.Second
	answerTime    = 4 * time.Millisecond
)

var config = retainer.Config{RenewInterval: renewInterval, LapseIntervals: 3, ReturnTime: returnTime}

// span is an outage of the registry.
type span struct{ from, to time.Duration }

// play reads at an interval through outages, and calls check after each answered read.
func play(t *rapid.T, outages []span, end time.Duration, check func(r retainer.Retainer, sentAt time.Duration)) {
	interval := time.Duration(rapid.IntRange(100, 750).Draw(t, "interval ms")) * time.Millisecond
	timeout := time.Duration(rapid.IntRange(5, 1200).Draw(t, "timeout ms")) * time.Millisecond
	r := retainer.New(config, 0)
	for at := time.Duration(rapid.IntRange(0, 750).Draw(t, "start ms")) * time.Millisecond; at < end; {
		isAway := false
		for _, o := range outages {
			isAway = isAway || at < o.to && at+answerTime > o.from
		}
		if isAway {
			r = r.WithFailure(at)
			at += timeout
			continue
		}
		r = r.WithAnswer(at, at+answerTime)
		check(r, at)
		at += interval
	}
}

func drawOutages(t *rapid.T) (outages []span, end time.Duration) {
	at := 2 * time.Second
	for range rapid.IntRange(1, 4).Draw(t, "outages") {
		o := span{from: at}
		o.to = o.from + time.Duration(rapid.IntRange(1, 6000).Draw(t, "length ms"))*time.Millisecond
		outages = append(outages, o)
		at = o.to + time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause ms"))*time.Millisecond
	}
	return outages, at + 5*time.Second
}

// TestRetentionEndsAfterTheReturn guards against an entry that is retained for longer than lapsed entries may take to come
// back, counted from the registry's return and not from the reader's first answer.
func TestRetentionEndsAfterTheReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outages, end := drawOutages(t)
		play(t, outages, end, func(r retainer.Retainer, sentAt time.Duration) {
			last := time.Duration(0)
			for _, o := range outages {
				if o.from < sentAt {
					last = o.to
				}
			}
			if until, ok := r.RetainUntil(); ok {
				assert.Assert(t, until <= last+returnTime, "answered at %v, retained until %v, back at %v", sentAt, until, last)
			}
		})
	})
}

// TestLapsedEntriesAreRetained guards against dropping the entries of sound owners that lapsed because the registry was
// away: the first answer after it decides.
func TestLapsedEntriesAreRetained(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := time.Duration(rapid.IntRange(2400, 60000).Draw(t, "length ms")) * time.Millisecond
		outage := span{from: 2 * time.Second, to: 2*time.Second + length}
		isFirst := true
		play(t, []span{outage}, outage.to+5*time.Second, func(r retainer.Retainer, sentAt time.Duration) {
			if sentAt < outage.to || !isFirst {
				return
			}
			isFirst = false
			until, ok := r.RetainUntil()
			assert.Assert(t, ok && until > sentAt, "answered at %v, retained until %v, %t", sentAt, until, ok)
		})
	})
}

// TestNothingLapsesInAShortOutage guards against retaining an entry that was removed beside an outage which was too short
// for any entry to lapse.
func TestNothingLapsesInAShortOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The reader can't tell an outage from its own pauses between two answers.
		length := time.Duration(rapid.IntRange(1, 300).Draw(t, "length ms")) * time.Millisecond
		outage := span{from: 2 * time.Second, to: 2*time.Second + length}
		play(t, []span{outage}, 10*time.Second, func(r retainer.Retainer, sentAt time.Duration) {
			_, ok := r.RetainUntil()
			assert.Assert(t, !ok, "answered at %v after an outage of %v", sentAt, length)
		})
	})
}

// TestNothingIsRetainedOnceOwnersHaveRenewed guards against retaining an entry that was removed long after an outage.
func TestNothingIsRetainedOnceOwnersHaveRenewed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outages, end := drawOutages(t)
		back := outages[len(outages)-1].to
		play(t, outages, end+5*time.Second, func(r retainer.Retainer, sentAt time.Duration) {
			// One read may be late for the return, one interval shows that it stays, and one more ends it.
			if _, ok := r.RetainUntil(); ok && sentAt > back+1200*time.Millisecond+renewInterval+2*750*time.Millisecond {
				t.Fatalf("answered at %v, retained although the registry is back since %v", sentAt, back)
			}
		})
	})
}

// TestRetainerOfAStalledReader guards against a reader that was suspended and drops all entries, or keeps one for good.
func TestRetainerOfAStalledReader(t *testing.T) {
	r := retainer.New(config, 0).WithAnswer(time.Second, time.Second+answerTime)
	r = r.WithAnswer(6*time.Second, 6*time.Second+answerTime)
	until, ok := r.RetainUntil()
	assert.Assert(t, ok && until == 8*time.Second)
	for at := 6500 * time.Millisecond; at < 9*time.Second; at += 500 * time.Millisecond {
		r = r.WithAnswer(at, at+answerTime)
	}
	_, ok = r.RetainUntil()
	assert.Assert(t, !ok)
}

// TestUnconfiguredRetainerRetainsNothing guards against a default that keeps removed rows in use.
func TestUnconfiguredRetainerRetainsNothing(t *testing.T) {
	for _, c := range []retainer.Config{{}, {ReturnTime: returnTime}, {RenewInterval: renewInterval}} {
		r := retainer.New(c, 0).WithFailure(time.Second).WithAnswer(9*time.Second, 9*time.Second)
		_, ok := r.RetainUntil()
		assert.Assert(t, !ok)
	}
}
