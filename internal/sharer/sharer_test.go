package sharer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/internal/registrar"
	"geraniumladder/internal/sharer"
)

// entries plays entries whose messages pass over links that can be cut one way.
type entries struct {
	now     time.Time
	list    []*sharer.Sharer
	numbers []int64
	cut     map[[2]int]bool
}

var organisation = &registrar.Organisation{Name: "o", Rate: 10000, Burst: 10000, CountsTokens: true}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func newEntries(n int) *entries {
	e := &entries{now: time.Unix(1000, 0), cut: map[[2]int]bool{}, numbers: make([]int64, n)}
	for i := range n {
		s := sharer.New(sharer.Config{
			VM: fmt.Sprint(i), Address: address(i), Seeds: []string{address(0)}, Now: func() time.Time { return e.now }, Log: zerolog.Nop(),
		})
		s.SetOrganisations(map[string]*registrar.Organisation{"o": organisation})
		e.list = append(e.list, s)
	}
	return e
}

func (e *entries) exchange() {
	for i, s := range e.list {
		e.numbers[i]++
		m, to := s.Message(fmt.Sprint("boot", i), e.numbers[i], map[string]int64{"t": int64(i)})
		for j := range e.list {
			for _, a := range to {
				if a == address(j) && j != i && !e.cut[[2]int{i, j}] {
					e.list[j].Hear(m)
				}
			}
		}
	}
}

func (e *entries) play(d time.Duration, each func()) {
	for end := e.now.Add(d); e.now.Before(end); e.now = e.now.Add(20 * time.Millisecond) {
		each()
		if e.now.UnixMilli()%200 == 0 {
			e.exchange()
		}
	}
}

// TestEntriesFindOneAnother guards against entries that know only their seeds.
func TestEntriesFindOneAnother(t *testing.T) {
	e := newEntries(4)
	e.play(4*time.Second, func() {})
	for _, s := range e.list {
		assert.Equal(t, s.Entries(), 4)
	}
	assert.DeepEqual(t, e.list[0].Newer("t", 1), []string{address(3), address(2)})
}

// TestCutsDivideTheLimit guards against an organisation that gets its whole limit on both sides of a cut, also when the
// cut lets messages pass one way.
func TestCutsDivideTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEntries(4)
		e.play(4*time.Second, func() {})
		for i := range 4 {
			for j := range 4 {
				if i != j && rapid.Bool().Draw(t, "cut") {
					e.cut[[2]int{i, j}] = true
				}
			}
		}
		// The entries learn of the cut within this time.
		e.play(2*time.Second, func() {})
		total := 0.0
		begin := e.now
		e.play(8*time.Second, func() {
			for _, s := range e.list {
				if ok, _ := s.Admit(organisation, 400); ok {
					total += 400
				}
			}
		})
		length := e.now.Sub(begin).Seconds()
		// Each entry may admit one request between two messages, and the level is full at the beginning.
		if most := organisation.Rate*length + 2*organisation.Burst + 4*400; total > most {
			t.Fatalf("%.0f tokens in %.1f s, at most %.0f; cuts %v", total, length, most, e.cut)
		}
	})
}

// TestLossOfAnEntryGivesItsPartBack guards against a limit that stays smaller after an entry is gone for good.
func TestLossOfAnEntryGivesItsPartBack(t *testing.T) {
	e := newEntries(3)
	e.play(4*time.Second, func() {})
	for j := range 3 {
		e.cut[[2]int{2, j}], e.cut[[2]int{j, 2}] = true, true
	}
	e.play(30*time.Second, func() {})
	assert.Equal(t, e.list[0].Entries(), 2)
}

// TestLeavingEntryIsForgottenSoon guards against limits and budgets divided by entries that have stopped as planned.
func TestLeavingEntryIsForgottenSoon(t *testing.T) {
	e := newEntries(3)
	e.play(4*time.Second, func() {})
	e.list[2].Leave()
	e.exchange()
	e.list = e.list[:2]
	e.play(3*time.Second, func() {})
	assert.Equal(t, e.list[0].Entries(), 2)
}
