package limiter

import (
	"cmp"
	"hash/maphash"
)

// tree is an ordered map whose entries carry a weight. It is a treap with shared structure: changes return a new
// tree and copy the path from the root, so an operation costs O(log n) expected and leaves old values intact.
type tree[K cmp.Ordered, V any] struct{ root *node[K, V] }

type node[K cmp.Ordered, V any] struct {
	key         K
	value       V
	weight      float64
	sum         float64 // of the weights of the subtree
	size        int
	priority    uint64
	left, right *node[K, V]
}

// prioritySeed makes the shape of trees unpredictable to callers, who may choose request IDs.
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

// with returns a copy of n with other children. Sums are added up anew, so rounding errors do not accumulate.
func (n *node[K, V]) with(left, right *node[K, V]) *node[K, V] {
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

// after returns the entry with the smallest key above key.
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

// set inserts or replaces the entry of key.
func (t tree[K, V]) set(key K, value V, weight float64) tree[K, V] {
	t = t.remove(key)
	left, right := split(t.root, key)
	n := &node[K, V]{key: key, value: value, weight: weight, priority: maphash.Comparable(prioritySeed, key)}
	return tree[K, V]{merge(merge(left, n.with(nil, nil)), right)}
}

func (t tree[K, V]) remove(key K) tree[K, V] {
	if t.find(key) == nil {
		return t
	}
	return tree[K, V]{removed(t.root, key)}
}

func removed[K cmp.Ordered, V any](n *node[K, V], key K) *node[K, V] {
	switch {
	case key < n.key:
		return n.with(removed(n.left, key), n.right)
	case key > n.key:
		return n.with(n.left, removed(n.right, key))
	default:
		return merge(n.left, n.right)
	}
}

// split parts n into the keys below key and those above; key itself is not in n.
func split[K cmp.Ordered, V any](n *node[K, V], key K) (below, above *node[K, V]) {
	if n == nil {
		return nil, nil
	}
	if n.key < key {
		below, above = split(n.right, key)
		return n.with(n.left, below), above
	}
	below, above = split(n.left, key)
	return below, n.with(above, n.right)
}

func merge[K cmp.Ordered, V any](below, above *node[K, V]) *node[K, V] {
	switch {
	case below == nil:
		return above
	case above == nil:
		return below
	case below.priority > above.priority:
		return below.with(below.left, merge(below.right, above))
	default:
		return above.with(merge(below, above.left), above.right)
	}
}

// drain takes amount from the weights of the keys up to limit, largest key first, and returns what it got.
func (t tree[K, V]) drain(limit K, amount float64) (tree[K, V], float64) {
	root, got := drained(t.root, limit, amount)
	return tree[K, V]{root}, got
}

func drained[K cmp.Ordered, V any](n *node[K, V], limit K, amount float64) (*node[K, V], float64) {
	if n == nil || amount <= 0 || n.sum <= 0 {
		return n, 0
	}
	if n.key > limit {
		left, got := drained(n.left, limit, amount)
		if got == 0 {
			return n, 0
		}
		return n.with(left, n.right), got
	}
	right, got := drained(n.right, limit, amount)
	own := min(n.weight, amount-got)
	left, fromLeft := drained(n.left, limit, amount-got-own)
	c := *n
	c.weight -= own
	return c.with(left, right), got + own + fromLeft
}
