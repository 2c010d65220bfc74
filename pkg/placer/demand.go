package placer

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the exponential decay of demand.
	demandTimeConstant = 30 * time.Second
	// maxDemandEntries bounds the number of adapters whose demand is tracked. When it is reached, the adapters that
	// have been idle longest are pruned.
	maxDemandEntries = 1 << 16
	// demandMaxIdle is the idle time after which demand counts as zero: it has decayed to e^-20 of its value.
	demandMaxIdle = 20 * demandTimeConstant
)

// demand is a persistent (copy-on-write) 16-ary hash trie of decayed counters, keyed by the hash of the adapter's name.
// An update copies the path to one leaf, about 4 nodes for 53,000 adapters.
type demand struct {
	root *demandNode
	size int
}

type demandNode struct {
	// children is set in inner nodes only; key, value and updatedAt are set in leaves only.
	children  *[16]*demandNode
	key       uint64
	value     float64
	updatedAt time.Duration
}

// add returns the demand with tokens added for key at time now.
func (d demand) add(key uint64, tokens float64, now time.Duration) demand {
	if d.size >= maxDemandEntries {
		d = d.pruned(now)
	}
	added := false
	d.root = d.root.add(key, 0, tokens, now, &added)
	if added {
		d.size++
	}
	return d
}

// rate returns the demand for key in tokens per second.
func (d demand) rate(key uint64, now time.Duration) float64 {
	n := d.find(key)
	if n == nil {
		return 0
	}
	return n.decayed(now) / demandTimeConstant.Seconds()
}

func (d demand) find(key uint64) *demandNode {
	n := d.root
	for shift := 0; n != nil && n.children != nil; shift += 4 {
		n = n.children[key>>shift&15]
	}
	if n == nil || n.key != key {
		return nil
	}
	return n
}

// pruned drops the adapters that have been idle longest. It halves the accepted idle time until at most half of
// maxDemandEntries are left.
func (d demand) pruned(now time.Duration) demand {
	for maxIdle := demandMaxIdle; d.size > maxDemandEntries/2; maxIdle /= 2 {
		var next demand
		d.root.each(func(n *demandNode) {
			if now-n.updatedAt >= maxIdle {
				return
			}
			added := false
			next.root = next.root.add(n.key, 0, n.value, n.updatedAt, &added)
			next.size++
		})
		d = next
	}
	return d
}

func (n *demandNode) add(key uint64, shift int, tokens float64, now time.Duration, added *bool) *demandNode {
	switch {
	case n == nil:
		*added = true
		return &demandNode{key: key, value: tokens, updatedAt: now}
	case n.children == nil && n.key == key:
		return &demandNode{key: key, value: n.decayed(now) + tokens, updatedAt: max(n.updatedAt, now)}
	}
	var children [16]*demandNode
	if n.children != nil {
		children = *n.children
	} else {
		children[n.key>>shift&15] = n
	}
	i := key >> shift & 15
	children[i] = children[i].add(key, shift+4, tokens, now, added)
	return &demandNode{children: &children}
}

func (n *demandNode) each(f func(*demandNode)) {
	switch {
	case n == nil:
	case n.children == nil:
		f(n)
	default:
		for _, b := range n.children {
			b.each(f)
		}
	}
}

func (n *demandNode) decayed(now time.Duration) float64 {
	if now <= n.updatedAt {
		return n.value
	}
	return n.value * math.Exp(-(now-n.updatedAt).Seconds()/demandTimeConstant.Seconds())
}
