package relayer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/relayer"
)

const (
	interval = time.Second
	step     = 20 * time.Millisecond
)

// member is a process that follows the source. fresh is the time of the read that its copy stems from.
type member struct {
	relayer.Relayer
	name         string
	isDown       bool
	fresh        time.Duration
	reads        int
	wasStaleFor  time.Duration
	hasReadOnce  bool
	lastReadTime time.Duration
}

type group struct {
	members []*member
	now     time.Duration
	// isLost decides whether a relayed read is lost on its way.
	isLost func() bool
}

func newGroup(n int, isLost func() bool) *group {
	g := &group{isLost: isLost}
	for i := range n {
		name := fmt.Sprintf("entry-%02d", i)
		g.members = append(g.members, &member{name: name, Relayer: relayer.New(relayer.Config{Name: name, Interval: interval})})
	}
	return g
}

func (g *group) simulate(d time.Duration) {
	for end := g.now + d; g.now < end; g.now += step {
		for _, m := range g.members {
			if m.isDown || m.ReadIn(g.now) > 0 || m.hasReadOnce && g.now < m.lastReadTime+interval {
				continue
			}
			m.Relayer = m.WithOwnRead()
			m.reads, m.fresh, m.hasReadOnce, m.lastReadTime = m.reads+1, g.now, true, g.now
			for _, other := range g.members {
				if other != m && !other.isDown && !g.isLost() {
					other.Relayer, other.fresh = other.WithRelayed(m.name, g.now), g.now
				}
			}
		}
		for _, m := range g.members {
			if !m.isDown {
				m.wasStaleFor = max(m.wasStaleFor, g.now-m.fresh)
			}
		}
	}
}

func (g *group) reads() int {
	n := 0
	for _, m := range g.members {
		n += m.reads
	}
	return n
}

// TestOneMemberReads guards against members that all read the source although they hear of one another's reads.
func TestOneMemberReads(t *testing.T) {
	g := newGroup(13, func() bool { return false })
	g.simulate(5 * time.Second)
	before := g.reads()
	g.simulate(30 * time.Second)
	assert.Assert(t, g.reads()-before <= 31, g.reads()-before)
}

// TestStalenessIsBounded guards against a member that relies on reads which have stopped: whichever members fail and
// whatever is lost, a running member's copy is never older than twice the interval.
func TestStalenessIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loss := rapid.Float64Range(0, 1).Draw(t, "loss")
		draw := rapid.Uint64().Draw(t, "seed")
		g := newGroup(rapid.IntRange(1, 8).Draw(t, "members"), func() bool {
			draw = draw*6364136223846793005 + 1442695040888963407
			return float64(draw>>11)/(1<<53) < loss
		})
		for range rapid.IntRange(1, 10).Draw(t, "changes") {
			g.simulate(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			m := g.members[rapid.IntRange(0, len(g.members)-1).Draw(t, "member")]
			if m.isDown = !m.isDown; !m.isDown {
				*m = member{name: m.name, fresh: g.now, Relayer: relayer.New(relayer.Config{Name: m.name, Interval: interval})}
			}
		}
		for _, m := range g.members {
			assert.Assert(t, m.wasStaleFor <= 2*interval+step, "%s was stale for %s", m.name, m.wasStaleFor)
		}
	})
}

// TestWithoutIntervalEachReads is the baseline: members that don't rely on one another.
func TestWithoutIntervalEachReads(t *testing.T) {
	r := relayer.New(relayer.Config{Name: "b"}).WithRelayed("a", time.Second)
	assert.Equal(t, r.ReadIn(time.Second), time.Duration(0))
	r = relayer.New(relayer.Config{Name: "b", Interval: interval}).WithRelayed("a", time.Second)
	assert.Assert(t, r.ReadIn(time.Second) > interval)
	assert.Equal(t, r.WithInterval(0).ReadIn(time.Second), time.Duration(0))
}

// TestSharedIntervalPays guards against a reader that makes more calls than the members on their own would.
func TestSharedIntervalPays(t *testing.T) {
	assert.Equal(t, relayer.SharedInterval(2, 2*time.Second, 500*time.Millisecond), time.Duration(0))
	assert.Equal(t, relayer.SharedInterval(13, 2*time.Second, time.Second), time.Second)
	assert.Equal(t, relayer.SharedInterval(1, time.Second, time.Second), time.Duration(0))
	assert.Equal(t, relayer.SharedInterval(2, time.Second, time.Second), time.Second)
	assert.Equal(t, relayer.SharedInterval(9, time.Second, 0), time.Duration(0))
}
