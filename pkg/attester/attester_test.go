package attester_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/attester"
)

type leaving = attester.Leaving[string]

// site replays an entry and its endpoints in virtual time. Endpoints close and leave, and say so in responses that arrive
// up to 400 ms later, in any order.
type site struct {
	policy attester.Policy[string]
	state  attester.Attester[string]
	now    time.Duration
	// closedUntil is the end of each endpoint's closure, and rejectedAt the time of the first 503 in it.
	closedUntil, rejectedAt map[string]time.Duration
	hasLeft, isTold         map[string]bool
	// whileClosed counts the requests in the present closure from 500 ms after the first 503 on, and whileLeaving those
	// that are sent although a response has said that the endpoint is leaving.
	whileClosed  map[string]int
	most         int
	whileLeaving int
	responses    []response
}

type response struct {
	arrives time.Duration
	receive func()
}

func (s *site) send(endpoint string, delay time.Duration) {
	if ok, _ := s.policy(s.state, endpoint, s.now); !ok {
		return
	}
	if s.isTold[endpoint] {
		s.whileLeaving++
	}
	left, isLeaving, askedAt := s.closedUntil[endpoint]-s.now, s.hasLeft[endpoint], s.now
	if first, isRejected := s.rejectedAt[endpoint]; left > 0 && !isRejected {
		s.rejectedAt[endpoint] = s.now
	} else if left > 0 && s.now >= first+500*time.Millisecond {
		s.whileClosed[endpoint]++
		s.most = max(s.most, s.whileClosed[endpoint])
	}
	s.responses = append(s.responses, response{arrives: s.now + delay, receive: func() {
		if left > 0 {
			s.state = s.state.WithClosure(endpoint, left, askedAt, s.now)
		}
		if isLeaving {
			s.state, s.isTold[endpoint] = s.state.WithLeaving(leaving{Endpoint: endpoint, At: s.now}, true), true
		}
	}})
}

// play draws a minute of events. The endpoint c never leaves.
func play(t *rapid.T, policy attester.Policy[string]) *site {
	s := &site{
		policy: policy, state: attester.New[string](attester.Config{}), closedUntil: map[string]time.Duration{}, rejectedAt: map[string]time.Duration{},
		hasLeft: map[string]bool{}, isTold: map[string]bool{}, whileClosed: map[string]int{},
	}
	milliseconds := func(most int) time.Duration {
		return time.Duration(rapid.IntRange(1, most).Draw(t, "milliseconds")) * time.Millisecond
	}
	for s.now < time.Minute {
		s.now += milliseconds(200)
		s.responses = slices.DeleteFunc(s.responses, func(r response) bool {
			if r.arrives <= s.now {
				r.receive()
			}
			return r.arrives <= s.now
		})
		e := rapid.SampledFrom([]string{"a@1", "b@1", "c@1"}).Draw(t, "endpoint")
		switch event := rapid.IntRange(0, 30).Draw(t, "event"); {
		case event == 0 && s.now >= s.closedUntil[e]:
			s.closedUntil[e], s.whileClosed[e] = s.now+milliseconds(9000), 0
			delete(s.rejectedAt, e)
		case event == 1:
			s.hasLeft[e] = e != "c@1"
		case event == 2:
			s.state = s.state.WithoutExpired(func(string) bool { return false }, s.now)
		default:
			s.send(e, milliseconds(400))
		}
	}
	return s
}

// TestReportsAreHeeded guards against requests to an endpoint that has asked for none, against one that is never used again
// although its closure has ended, and against a replay that doesn't tell the policy from the baseline.
func TestReportsAreHeeded(t *testing.T) {
	most, whileLeaving := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := play(t, attester.Heed[string])
		assert.Assert(t, s.most <= 2 && s.whileLeaving == 0, "%d requests in a closure, %d to leaving endpoints", s.most, s.whileLeaving)
		ok, _ := s.state.Availability("c@1", s.now+9400*time.Millisecond)
		assert.Assert(t, ok, "a closure doesn't end")
		ok, _ = s.state.Availability("a@2", s.now)
		assert.Assert(t, ok, "a new incarnation isn't used")
		baseline := play(t, attester.Ignore[string])
		most, whileLeaving = max(most, baseline.most), whileLeaving+baseline.whileLeaving
	})
	assert.Assert(t, most > 2 && whileLeaving > 0, "%d requests in a closure, %d to leaving endpoints", most, whileLeaving)
}

// TestNewestClosureCounts guards against a closure that can't be shortened, lengthened or bounded, and against an end that
// isn't told exactly.
func TestNewestClosureCounts(t *testing.T) {
	a := attester.New[string](attester.Config{})
	for _, c := range []struct{ span, want time.Duration }{
		{2 * time.Second, 2 * time.Second}, {5 * time.Second, 5 * time.Second}, {time.Second, time.Second}, {0, 0}, {-time.Hour, 0},
		{48 * time.Hour, attester.DefaultMaxClosure},
	} {
		a = a.WithClosure("e", c.span, time.Minute, time.Minute)
		ok, after := a.Availability("e", time.Minute)
		assert.Equal(t, ok, c.want == 0)
		assert.Equal(t, after, c.want)
		ok, _ = a.Availability("e", time.Minute+c.want)
		assert.Assert(t, ok)
	}
}

// TestLateAnswerOfAnEarlierClosure guards against a late answer that ends a closure which began after it, and against an
// answer to a later request that doesn't count.
func TestLateAnswerOfAnEarlierClosure(t *testing.T) {
	a := attester.New[string](attester.Config{}).WithClosure("e", 5*time.Second, 2*time.Second, 3*time.Second)
	until := func(a attester.Attester[string]) time.Duration {
		_, after := a.Availability("e", 3*time.Second)
		return after
	}
	assert.Equal(t, until(a.WithClosure("e", 0, time.Second, 3*time.Second)), 5*time.Second)
	assert.Equal(t, until(a.WithClosure("e", 6*time.Second, time.Second, 3*time.Second)), 6*time.Second)
	assert.Equal(t, until(a.WithClosure("e", time.Second, 2500*time.Millisecond, 3*time.Second)), time.Second)
	assert.Equal(t, until(a.WithClosure("e", time.Second, time.Second, 9*time.Second)), 7*time.Second, "the closure had ended")
}

// TestLeavingIsKept guards against a leaving endpoint that is used again because it is listed for long, has been closed, or
// is unlisted for a while, and against reports that are kept forever.
func TestLeavingIsKept(t *testing.T) {
	listed := func(string) bool { return true }
	unlisted := func(string) bool { return false }
	a := attester.New[string](attester.Config{}).WithLeaving(leaving{Endpoint: "e", At: time.Minute}, false)
	assert.Equal(t, len(a.Leaving(0)), 0, "another entry's report is passed on")
	a = a.WithLeaving(leaving{Endpoint: "e", At: 2 * time.Minute}, true).WithLeaving(leaving{Endpoint: "e", At: 3 * time.Minute}, false)
	assert.DeepEqual(t, a.Leaving(time.Minute), []leaving{{Endpoint: "e", At: time.Minute}})
	assert.Equal(t, len(a.Leaving(2*time.Minute)), 0)
	a = a.WithClosure("e", 0, 0, 0).WithoutExpired(unlisted, attester.DefaultRetention).WithoutExpired(listed, 48*time.Hour)
	assert.Assert(t, a.IsLeaving("e"))
	assert.Assert(t, !a.WithoutExpired(unlisted, 48*time.Hour).IsLeaving("e"))
}

// FuzzParseSeconds guards against a header value that ends the process, and against a malformed one that closes an endpoint.
func FuzzParseSeconds(f *testing.F) {
	for _, text := range []string{"", "0", "1.5", " 2 ", "-1", "-0", "NaN", "Inf", "-Inf", "1e400", "9e18", "-1e400", "0e-0", "1,5", "2s", "Sun, 06 Dec 2026 07:28:00 GMT"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		span, err := attester.ParseSeconds(text)
		// ParseFloat also takes hexadecimal numbers.
		if text = strings.TrimSpace(text); strings.HasPrefix(text, "-") || strings.Trim(text, "0123456789abcdefABCDEFxXpP.+-_") != "" {
			assert.Assert(t, err != nil, text)
		}
		assert.Assert(t, span >= 0 && (err == nil || span == 0), "%q: %v, %v", text, span, err)
		ok, after := attester.New[string](attester.Config{}).WithClosure("e", span, time.Hour, time.Hour).Availability("e", time.Hour)
		assert.Equal(t, ok, span == 0)
		assert.Equal(t, after, min(span, attester.DefaultMaxClosure))
	})
}

func BenchmarkAvailability(b *testing.B) {
	for _, closed := range []int{0, 100} {
		b.Run(fmt.Sprint("closed=", closed), func(b *testing.B) {
			keys := make([]string, 1000)
			a := attester.New[string](attester.Config{})
			for i := range keys {
				keys[i] = fmt.Sprintf("engine-%03d@1796361600000", i)
				if i < closed {
					a = a.WithClosure(keys[i], time.Minute, 0, 0)
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				a.Availability(keys[i%len(keys)], time.Second)
			}
		})
	}
}
