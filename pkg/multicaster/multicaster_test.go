package multicaster_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/detector"
	"geraniumladder/pkg/multicaster"
)

const (
	// messageSize, interval and hop are a typical size of a state, the time between two states of a busy engine with 28
	// entries, and the time of one hop of a busy process.
	messageSize  = 120
	interval     = 430 * time.Millisecond
	announced    = interval + 100*time.Millisecond
	hop          = 20 * time.Millisecond
	messageCount = 2000
)

// group returns members of four domains.
func group(perDomain int) (members []multicaster.Member) {
	for n := range 4 * perDomain {
		name := fmt.Sprintf("e%d", n)
		members = append(members, multicaster.Member{Name: name, Address: name + ":1", Domain: fmt.Sprint("z", n/perDomain), CanRelay: true})
	}
	return members
}

// faults are the members that neither receive nor forward, and a pair of members without a link.
type faults struct{ dead, cut []string }

// delivery is the result of a replay.
type delivery struct {
	borderBytes, lostChanges int
	// staleness is the longest time between two receptions at a member, and liveness the worst that one thought of the sender.
	staleness time.Duration
	liveness  detector.Liveness
	missed    map[string]int
}

// replay sends messages in virtual time, each fifth of them a change, and delivers them to the members.
func replay(members []multicaster.Member, f faults, choose func(multicaster.Message) multicaster.Recipients) delivery {
	d := delivery{missed: map[string]int{}, liveness: detector.Heard}
	heartbeats := map[string]detector.Heartbeats{}
	for n := range messageCount {
		message := multicaster.Message{IsChange: n%5 == 0}
		r := choose(message)
		hops := map[string]time.Duration{}
		for _, m := range members {
			isRelay := slices.Contains(r.Relays, m.Address)
			if isRelay || slices.Contains(r.Direct, m.Address) {
				hops[m.Name] = 1
				if m.Domain != "z0" {
					d.borderBytes += messageSize
				}
			}
			for _, to := range members {
				isCut := slices.Contains(f.cut, m.Name) && slices.Contains(f.cut, to.Name)
				if isRelay && !slices.Contains(f.dead, m.Name) && !isCut && to.Domain == m.Domain && hops[to.Name] == 0 {
					hops[to.Name] = 2
				}
			}
		}
		for _, m := range members {
			if slices.Contains(f.dead, m.Name) {
				continue
			}
			if hops[m.Name] == 0 {
				d.missed[m.Name]++
				if message.IsChange {
					d.lostChanges++
				}
				continue
			}
			at := time.Unix(0, 0).Add(time.Duration(n)*interval + hops[m.Name]*hop)
			if h := heartbeats[m.Name]; n > 0 {
				d.staleness = max(d.staleness, at.Sub(h.LastHeartbeat()))
				d.liveness = max(d.liveness, detector.Config{}.WithDefaults().Liveness(h, at))
			}
			heartbeats[m.Name] = heartbeats[m.Name].WithHeartbeat(at, announced)
		}
	}
	return d
}

// TestStatesCrossEachBorderOnce guards against messages that cross a border more often than once (twice with a change),
// and against members that lose more than the turns of a dead or cut off member, lose two in a row, miss a change, or take
// the sender for silent because of it. A paused member is as one that is dead.
func TestStatesCrossEachBorderOnce(t *testing.T) {
	const perDomain = 7
	members := group(perDomain)
	baseline := replay(members, faults{}, func(multicaster.Message) multicaster.Recipients { return multicaster.ToAll(members) })
	assert.Equal(t, baseline.borderBytes, messageCount*messageSize*3*perDomain)
	for name, f := range map[string]faults{
		"none": {}, "dead": {dead: []string{"e10"}}, "dead in two domains": {dead: []string{"e10", "e14"}}, "link cut": {cut: []string{"e22", "e23"}},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		m := multicaster.New(multicaster.Config{Domain: "z0"})
		turns := map[string]int{}
		d := replay(members, f, func(message multicaster.Message) (r multicaster.Recipients) {
			m, r = m.WithMessage(members, message, rng)
			for _, address := range r.Relays {
				turns[address]++
			}
			return r
		})
		t.Logf("%s: %d bytes over borders (to all: %d), staleness %v, missed %v", name, d.borderBytes, baseline.borderBytes, d.staleness, d.missed)
		assert.Equal(t, d.borderBytes, messageCount*messageSize*3*6/5, name)
		for address, n := range turns {
			// Changes, which are a fifth of the messages, take two turns.
			assert.Assert(t, n >= messageCount*6/5/perDomain && n <= messageCount*6/5/perDomain+1, "%s: %d turns", address, n)
		}
		assert.Equal(t, d.lostChanges, 0, name)
		assert.Assert(t, d.staleness <= 2*interval+hop, "%s: %v", name, d.staleness)
		assert.Equal(t, d.liveness, detector.Heard, name)
		for member, missed := range d.missed {
			assert.Assert(t, missed <= messageCount/perDomain, "%s: %s missed %d", name, member, missed)
		}
	}
}

// TestEachMemberIsReached guards against members that get no message or two direct ones, whichever members join, leave or
// can't forward, and against a named member that depends on a forwarding one.
func TestEachMemberIsReached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := multicaster.New(multicaster.Config{Domain: rapid.SampledFrom([]string{"z0", "z1", ""}).Draw(t, "domain")})
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range 20 {
			members := slices.DeleteFunc(group(4), func(multicaster.Member) bool { return rapid.IntRange(0, 4).Draw(t, "away") == 0 })
			for i := range members {
				members[i].CanRelay = rapid.IntRange(0, 4).Draw(t, "mute") > 0
				if rapid.IntRange(0, 4).Draw(t, "unknown") == 0 {
					members[i].Domain = ""
				}
			}
			var r multicaster.Recipients
			m, r = m.WithMessage(members, multicaster.Message{IsChange: rapid.Bool().Draw(t, "change"), Named: []string{"e5", "e9"}}, rng)
			reached, relayed := map[string]int{}, map[string]bool{}
			for _, member := range members {
				isRelay := slices.Contains(r.Relays, member.Address)
				assert.Assert(t, !isRelay || member.CanRelay && member.Domain != "")
				relayed[member.Domain] = relayed[member.Domain] || isRelay
			}
			for _, address := range append(slices.Clone(r.Direct), r.Relays...) {
				reached[address]++
			}
			for _, member := range members {
				isSpared := relayed[member.Domain] && member.Name != "e5" && member.Name != "e9"
				assert.Assert(t, reached[member.Address] == 1 || isSpared && reached[member.Address] == 0, "%v %v", member, r)
			}
		}
	})
}

// TestPausedMemberForwardsNothingOld guards against a member that forwards, after a pause, what has waited in its socket.
func TestPausedMemberForwardsNothingOld(t *testing.T) {
	g, gap := multicaster.Gate{}, time.Duration(0)
	at := func(now time.Duration) bool {
		g, gap = g.WithRun(now * time.Millisecond)
		return g.IsOpen(now * time.Millisecond)
	}
	assert.Assert(t, at(100) && at(600))
	assert.Assert(t, !at(3000) && gap == 2400*time.Millisecond)
	assert.Assert(t, !at(3200) && at(3250))
}
