package budgeter_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"geraniumladder/pkg/budgeter"
)

// TestNumberOfCopiesIsLearned plays an engine with seven slots whose number of copies differs from the expected one:
// guards against loads that are expected to be fast and aren't, or the reverse, and against a restart that counts as
// evidence of fewer copies.
func TestNumberOfCopiesIsLearned(t *testing.T) {
	for _, actual := range []int{0, 12, 44, 90} {
		for _, keepsCopies := range []bool{true, false} {
			rng := rand.New(rand.NewPCG(uint64(actual), 2))
			var c budgeter.Copies[int]
			count, wrong := budgeter.CopyCount(44), 0
			var held []int
			for i := range 3000 {
				if i%300 == 299 {
					c = c.WithRestart()
					if !keepsCopies {
						held = nil
					}
				}
				a := int(rng.ExpFloat64() * 30)
				if slot := slices.Index(held, a); slot >= 0 && slot < 7 {
					continue
				}
				place := slices.Index(held, a)
				isWarm := place >= 0 && place < actual
				if i > 1000 && isWarm != c.Includes(a, count) {
					wrong++
				}
				c, count = c.WithLoad(a, isWarm, count)
				held = append([]int{a}, slices.DeleteFunc(held, func(b int) bool { return a == b })...)
				resident := map[int]int64{}
				for _, b := range held[:min(7, len(held))] {
					resident[b] = 1
				}
				c = c.WithHeld(resident)
			}
			t.Logf("%d copies, kept over a restart %t: %.1f, %d of 2000 wrong", actual, keepsCopies, float64(count), wrong)
			assert.Assert(t, wrong < 100, "%d wrong", wrong)
		}
	}
}
