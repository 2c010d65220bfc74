package limiter

import (
	"cmp"
	"hash/maphash"
)

// tree is an ordered map whose entries have weights, implemented as a persistent treap: updates copy the path from the
// root and return a new tree, so operations take O(log n) expected time and leave older values valid.
type tree[K cmp.Ordered, V any] struct{ root *node[K, V] }

type node[K cmp.Ordered, V any] struct {
	key         K
	value       V
	weight      float64
	sum         float64 // of the weights in the subtree
	size        int
	priority    uint64
	left, right *node[K, V]
}

// prioritySeed is random so that clients, who may choose request IDs, cannot unbalance the trees.
var prioritySeed = maphash.MakeSeed()

func (n *node[K, V]) total() float64 {
	if n == nil {
		return 0
	}
	return n.sum
}

func (n *node[K, V]) count() int {
	if n == nil {
		return 0
	}
	return n.size
}

// withChildren returns a copy of n with the given children. The sum is recomputed from the children, so rounding errors
// do not accumulate.
func (n *node[K, V]) withChildren(left, right *node[K, V]) *node[K, V] {
	c := *n
	c.left, c.right = left, right
	c.sum = left.total() + c.weight + right.total()
	c.size = left.count() + 1 + right.count()
	return &c
}

func (t tree[K, V]) sum() float64 { return t.root.total() }
func (t tree[K, V]) len() int     { return t.root.count() }

func (t tree[K, V]) find(key K) *node[K, V] {
	n := t.root
	for n != nil && n.key != key {
		if key < n.key {
			n = n.left
		} else {
			n = n.right
		}
	}
	return n
}

func (t tree[K, V]) get(key K) (value V, ok bool) {
	if n := t.find(key); n != nil {
		return n.value, true
	}
	return value, false
}

func (t tree[K, V]) weight(key K) float64 {
	if n := t.find(key); n != nil {
		return n.weight
	}
	return 0
}

// after returns the entry with the smallest key greater than key.
func (t tree[K, V]) after(key K) (next K, value V, ok bool) {
	for n := t.root; n != nil; {
		if n.key > key {
			next, value, ok = n.key, n.value, true
			n = n.left
		} else {
			n = n.right
		}
	}
	return next, value, ok
}

// first returns the entry with the smallest key.
func (t tree[K, V]) first() (key K, value V, ok bool) {
	for n := t.root; n != nil; n = n.left {
		key, value, ok = n.key, n.value, true
	}
	return key, value, ok
}

// set inserts or replaces the entry for key.
func (t tree[K, V]) set(key K, value V, weight float64) tree[K, V] {
	t = t.remove(key)
	left, right := split(t.root, key)
	n := &node[K, V]{key: key, value: value, weight: weight, priority: maphash.Comparable(prioritySeed, key)}
	return tree[K, V]{merge(merge(left, n.withChildren(nil, nil)), right)}
}

func (t tree[K, V]) remove(key K) tree[K, V] {
	if t.find(key) == nil {
		return t
	}
	return tree[K, V]{removeNode(t.root, key)}
}

func removeNode[K cmp.Ordered, V any](n *node[K, V], key K) *node[K, V] {
	switch {
	case key < n.key:
		return n.withChildren(removeNode(n.left, key), n.right)
	case key > n.key:
		return n.withChildren(n.left, removeNode(n.right, key))
	default:
		return merge(n.left, n.right)
	}
}

// split divides n into the keys below key and those above it. n must not contain key.
func split[K cmp.Ordered, V any](n *node[K, V], key K) (below, above *node[K, V]) {
	if n == nil {
		return nil, nil
	}
	if n.key < key {
		below, above = split(n.right, key)
		return n.withChildren(n.left, below), above
	}
	below, above = split(n.left, key)
	return below, n.withChildren(above, n.right)
}

// merge joins two trees. All keys of below must be smaller than those of above.
func merge[K cmp.Ordered, V any](below, above *node[K, V]) *node[K, V] {
	switch {
	case below == nil:
		return above
	case above == nil:
		return below
	case below.priority > above.priority:
		return below.withChildren(below.left, merge(below.right, above))
	default:
		return above.withChildren(merge(below, above.left), above.right)
	}
}

// drain subtracts up to amount in total from the weights of the keys up to limit, starting at the largest, and returns
// the amount subtracted.
func (t tree[K, V]) drain(limit K, amount float64) (tree[K, V], float64) {
	root, drained := drainNode(t.root, limit, amount)
	return tree[K, V]{root}, drained
}

func drainNode[K cmp.Ordered, V any](n *node[K, V], limit K, amount float64) (*node[K, V], float64) {
	if n == nil || amount <= 0 || n.sum <= 0 {
		return n, 0
	}
	if n.key > limit {
		left, drained := drainNode(n.left, limit, amount)
		if drained == 0 {
			return n, 0
		}
		return n.withChildren(left, n.right), drained
	}
	right, drained := drainNode(n.right, limit, amount)
	own := min(n.weight, amount-drained)
	left, fromLeft := drainNode(n.left, limit, amount-drained-own)
	c := *n
	c.weight -= own
	return c.withChildren(left, right), drained + own + fromLeft
}
