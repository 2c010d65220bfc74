package placer

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the decay of demand.
	demandTime = 30 * time.Second
	// demandLimit bounds the adapters whose demand is kept; beyond it those with the least demand are dropped.
	demandLimit = 1 << 16
	// demandIdle is the age at which demand counts as none: e^-20 of it is left.
	demandIdle = 20 * demandTime
)

// demand is an immutable tree of decayed counters with 16 branches a level, by the hash of the adapter's name.
// A change copies one path: about 4 nodes at 53,000 adapters.
type demand struct {
	root *demandNode
	size int
}

type demandNode struct {
	// branch is used by inner nodes; a leaf has key, value and at.
	branch *[16]*demandNode
	key    uint64
	value  float64
	at     time.Duration
}

// with adds tokens of demand at now.
func (d demand) with(key uint64, tokens float64, now time.Duration) demand {
	if d.size >= demandLimit {
		d = d.pruned(now)
	}
	added := false
	d.root = d.root.with(key, 0, tokens, now, &added)
	if added {
		d.size++
	}
	return d
}

// rate is the demand in tokens a second.
func (d demand) rate(key uint64, now time.Duration) float64 {
	n := d.find(key)
	if n == nil {
		return 0
	}
	return n.decayed(now) / demandTime.Seconds()
}

func (d demand) find(key uint64) *demandNode {
	n := d.root
	for shift := 0; n != nil && n.branch != nil; shift += 4 {
		n = n.branch[key>>shift&15]
	}
	if n == nil || n.key != key {
		return nil
	}
	return n
}

// pruned keeps the adapters that were used lately, halving the accepted age until half of the limit is left.
func (d demand) pruned(now time.Duration) demand {
	for idle := demandIdle; d.size > demandLimit/2; idle /= 2 {
		var next demand
		d.root.each(func(n *demandNode) {
			if now-n.at >= idle {
				return
			}
			added := false
			next.root = next.root.with(n.key, 0, n.value, n.at, &added)
			next.size++
		})
		d = next
	}
	return d
}

func (n *demandNode) with(key uint64, shift int, tokens float64, now time.Duration, added *bool) *demandNode {
	switch {
	case n == nil:
		*added = true
		return &demandNode{key: key, value: tokens, at: now}
	case n.branch == nil && n.key == key:
		return &demandNode{key: key, value: n.decayed(now) + tokens, at: max(n.at, now)}
	}
	var branch [16]*demandNode
	if n.branch != nil {
		branch = *n.branch
	} else {
		branch[n.key>>shift&15] = n
	}
	i := key >> shift & 15
	branch[i] = branch[i].with(key, shift+4, tokens, now, added)
	return &demandNode{branch: &branch}
}

func (n *demandNode) each(f func(*demandNode)) {
	switch {
	case n == nil:
	case n.branch == nil:
		f(n)
	default:
		for _, b := range n.branch {
			b.each(f)
		}
	}
}

func (n *demandNode) decayed(now time.Duration) float64 {
	if now <= n.at {
		return n.value
	}
	return n.value * math.Exp(-(now-n.at).Seconds()/demandTime.Seconds())
}
