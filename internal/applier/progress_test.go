package applier_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/internal/applier"
	"geraniumladder/internal/wire"
)

// TestProgressSchedules generates orderings of commits, reads of the head that arrive late, out of order or not at all,
// proofs relayed through a peer, hints, fetches, restarts and outages. It guards against a revision in force that
// decreases, against an isolated entry that accepts requests without a recent proof, and against an entry that accepts
// requests with a revision that was superseded maxProofAge or longer ago while any process can still prove that.
func TestProgressSchedules(t *testing.T) {
	const maxProofAge = 3 * time.Second
	start := time.UnixMilli(1_760_000_000_000)
	rapid.Check(t, func(t *rapid.T) {
		now := start
		committed := []time.Time{start.Add(-time.Hour)}
		newest := func(at time.Time) int64 {
			n := len(committed) - 1
			for n > 0 && committed[n].After(at) {
				n--
			}
			return int64(n)
		}
		type read struct {
			began    time.Time
			revision int64
		}
		var inFlight []read
		var relayed []wire.Freshness
		var relayedAt []time.Time
		nodes := make([]applier.Progress, 2)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "node")
			before := nodes[i]
			restarted := false
			switch rapid.SampledFrom([]string{"commit", "read", "read", "answer", "answer", "fail", "relay", "observe", "hint", "fetch", "fetch", "restart"}).Draw(t, "event") {
			case "commit":
				committed = append(committed, now)
			case "read":
				inFlight = append(inFlight, read{began: now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "slow")) * time.Millisecond), revision: newest(now)})
			case "answer":
				if len(inFlight) > 0 {
					r := inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")]
					nodes[i] = before.WithStoreUnavailable(false).WithProof(r.revision, r.began)
				}
			case "fail":
				nodes[i] = before.WithStoreUnavailable(true)
			case "relay":
				relayed, relayedAt = append(relayed, before.Freshness(now)), append(relayedAt, now)
			case "observe":
				if len(relayed) > 0 {
					k := rapid.IntRange(0, len(relayed)-1).Draw(t, "which")
					// The receiver adds the transit time; here it is known exactly.
					nodes[i] = before.WithKnown(relayed[k].Revision)
					if relayed[k].AgeMs >= 0 {
						nodes[i] = nodes[i].WithProof(relayed[k].Revision, relayedAt[k].Add(-time.Duration(relayed[k].AgeMs)*time.Millisecond))
					}
				}
			case "hint":
				nodes[i] = before.WithKnown(rapid.Int64Range(0, newest(now)).Draw(t, "revision"))
			case "fetch":
				snapshot := rapid.Int64Range(0, newest(now)).Draw(t, "snapshot")
				if step := before.NextFetch(snapshot); step != (applier.FetchStep{}) {
					assert.Assert(t, max(step.Snapshot, step.From) > before.InForce(), "the next fetch does not advance the revision in force")
					nodes[i] = before.WithInForce(max(step.Snapshot, step.From))
				} else {
					// A delta arrives a second time, from the store or a peer.
					nodes[i] = before.WithInForce(rapid.Int64Range(0, newest(now)).Draw(t, "late"))
				}
			case "restart":
				nodes[i], restarted = applier.Progress{}, true
			}
			if !restarted {
				assert.Assert(t, nodes[i].InForce() >= before.InForce(), "the revision in force decreased")
				assert.Assert(t, nodes[i].Known() >= before.Known())
			}
			for _, p := range nodes {
				missing := p.InForce() < newest(now.Add(-maxProofAge))
				for _, o := range []applier.PeerStatus{{}, {Listed: 2}, {Listed: 2, Reachable: 1}, {Listed: 2, StoreUnavailable: true}, {Listed: 2, Reachable: 2, StoreUnavailable: true}} {
					err := p.MayServe(now, maxProofAge, func() applier.PeerStatus { return o })
					var stale *applier.Stale
					assert.Assert(t, err == nil || errors.As(err, &stale) && stale.Reason != "")
					if o.Listed > 0 && o.Reachable == 0 && err == nil {
						proven := p.WithStoreUnavailable(false).MayServe(now, maxProofAge, func() applier.PeerStatus { return applier.PeerStatus{} })
						assert.NilError(t, proven, "an isolated entry accepts requests without a recent proof")
					}
					excused := p.StoreUnavailable() && (o.Reachable > 0 && o.StoreUnavailable || o.Listed == 0) && p.InForce() == p.Known()
					if missing && !excused {
						assert.Assert(t, err != nil, "accepts requests with revision %d although %d was committed at least maxProofAge ago", p.InForce(), newest(now.Add(-maxProofAge)))
					}
				}
			}
		}
	})
}

// Checks MayServe in each case of the freshness rule.
func TestMayServe(t *testing.T) {
	now := time.UnixMilli(1_760_000_000_000)
	fresh := applier.Progress{}.WithKnown(7).WithInForce(7).WithProof(7, now.Add(-2900*time.Millisecond))
	old := applier.Progress{}.WithKnown(7).WithInForce(7).WithProof(7, now.Add(-3*time.Second))
	unavailable := old.WithStoreUnavailable(true)
	cases := []struct {
		name   string
		p      applier.Progress
		others applier.PeerStatus
		ok     bool
	}{
		{"new process", applier.Progress{}, applier.PeerStatus{}, false},
		{"new process, store unavailable to all", applier.Progress{}.WithStoreUnavailable(true), applier.PeerStatus{Listed: 1, Reachable: 1, StoreUnavailable: true}, false},
		{"empty configuration, proven", applier.Progress{}.WithProof(0, now), applier.PeerStatus{}, true},
		{"fresh", fresh, applier.PeerStatus{Listed: 2}, true},
		{"paused and resumed", old, applier.PeerStatus{Listed: 2, Reachable: 2}, false},
		{"alone", unavailable, applier.PeerStatus{Listed: 2}, false},
		{"alone, with an old report of a peer", unavailable, applier.PeerStatus{Listed: 2, StoreUnavailable: true}, false},
		{"the only entry", unavailable, applier.PeerStatus{}, true},
		{"store unavailable to a peer too", unavailable, applier.PeerStatus{Listed: 2, Reachable: 1, StoreUnavailable: true}, true},
		{"a peer reads the store", unavailable, applier.PeerStatus{Listed: 2, Reachable: 1}, false},
		{"a newer revision is known", unavailable.WithKnown(8), applier.PeerStatus{Listed: 2, Reachable: 1, StoreUnavailable: true}, false},
		{"a newer revision is known, still fresh", fresh.WithKnown(8), applier.PeerStatus{}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := c.p.MayServe(now, 3*time.Second, func() applier.PeerStatus { return c.others })
			assert.Equal(t, err == nil, c.ok, "%v", err)
		})
	}
}
