package budgeter

import (
	"math"
	"slices"
)

// maxCopies bounds the adapters that Copies remembers, and with it the copies that an engine is expected to have.
const maxCopies = 256

// Copies is the order in which an engine has held its adapters. The engine has copies of the last ones in its own memory
// or on its disk, from which it loads them without the weight store. Copies is an immutable value.
type Copies[A comparable] struct {
	// list has the adapter that was held last in front. All adapters in one report are equally recent.
	list []A
	// isCarried means that the engine has restarted since, and that no load has shown yet if it kept its copies.
	isCarried bool
}

// rank returns the number of adapters that the engine has held since it last held this one, and false if it is not known
// to have held it.
func (c Copies[A]) rank(adapter A) (int, bool) {
	i := slices.Index(c.list, adapter)
	return i, i >= 0
}

// Includes reports whether the engine is expected to have a copy of the adapter, given the number of its copies.
func (c Copies[A]) Includes(adapter A, n CopyCount) bool {
	return slices.Contains(c.list[:min(len(c.list), int(math.Ceil(float64(n))))], adapter)
}

// WithHeld records the adapters that the engine holds.
func (c Copies[A]) WithHeld(held map[A]int64) Copies[A] {
	front := 0
	for front < len(c.list) && front < len(held) {
		if _, ok := held[c.list[front]]; !ok {
			break
		}
		front++
	}
	if front == len(held) {
		return c
	}
	next := make([]A, 0, len(c.list)+len(held))
	for adapter := range held {
		next = append(next, adapter)
	}
	for _, adapter := range c.list {
		if _, ok := held[adapter]; !ok {
			next = append(next, adapter)
		}
	}
	c.list = next[:min(len(next), maxCopies)]
	return c
}

// WithRestart returns the copies of the engine's next run, which has those on disk.
func (c Copies[A]) WithRestart() Copies[A] {
	c.isCarried = true
	return c
}

// WithLoad records whether a load used a copy, and returns the changed number of copies. It must be called before
// WithHeld with the loaded adapter.
func (c Copies[A]) WithLoad(adapter A, isWarm bool, n CopyCount) (Copies[A], CopyCount) {
	rank, ok := c.rank(adapter)
	switch {
	case !ok:
		return c, n
	case c.isCarried && !isWarm:
		// The engine has lost its copies by the restart.
		return Copies[A]{}, n
	}
	c.isCarried = false
	return c, n.with(rank, isWarm)
}

// CopyCount is the number of adapters, those in slots included, of which an engine has copies. Engines of one service
// share it.
type CopyCount float64

// includes reports whether an adapter of the rank is among the copies.
func (n CopyCount) includes(rank int) bool { return float64(rank) < float64(n) }

// countGain is the weight of a load that contradicts the number. A single wrong one, as after an engine has lost its
// copies, changes it by an eighth.
const countGain = 0.125

func (n CopyCount) with(rank int, isWarm bool) CopyCount {
	difference := CopyCount(rank) - n
	switch {
	case isWarm && !n.includes(rank):
		return min(maxCopies, n+max(1, countGain*difference))
	case !isWarm && n.includes(rank):
		return max(0, n+min(-1, countGain*difference))
	}
	return n
}
