package arbiter

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// usageHalfLife is the time after which use has half of its weight. It is a few times the objectives, so that some long
	// requests in a row don't count as more than a share.
	usageHalfLife = 5 * time.Second
	// minUsage is the part of the largest use below which an organisation is forgotten.
	minUsage = 1e-3
	// shareExcess is the factor by which an organisation must exceed its share, because an entry sees only its own requests.
	shareExcess = 1.5
)

// Usage is the recent use of a service by organisation, in tokens. It is an immutable value; the zero value has no use.
type Usage struct {
	// offered is the use that the organisations' requests ask for, whether they are admitted or not.
	offered map[string]organisationUse
	// admitted is the use of all admitted requests.
	admitted decayed
}

type organisationUse struct {
	decayed
	weight float64
}

// WithRequest returns the Usage after a request of an organisation. Weights are relative to those of the others; 0 stands
// for the mean of theirs.
func (u Usage) WithRequest(now time.Duration, organisation string, weight, tokens float64, isAdmitted bool) Usage {
	next := Usage{offered: maps.Clone(u.offered), admitted: u.admitted}
	if next.offered == nil {
		next.offered = map[string]organisationUse{}
	}
	use := next.offered[organisation].with(now, usageHalfLife, tokens)
	next.offered[organisation] = organisationUse{decayed: use, weight: weight}
	maps.DeleteFunc(next.offered, func(_ string, o organisationUse) bool { return o.value(now, usageHalfLife) < minUsage*use.total })
	if isAdmitted {
		next.admitted = next.admitted.with(now, usageHalfLife, tokens)
	}
	return next
}

// IsOverShare reports whether the organisation asks for clearly more than its share: its weighted max-min fair share of
// what is admitted at present. What others leave of their shares is distributed, so that nobody is over its share while
// everything is admitted.
func (u *Usage) IsOverShare(now time.Duration, organisation string) bool {
	own, ok := u.offered[organisation]
	if !ok {
		return false
	}
	type use struct{ tokens, weight float64 }
	uses := make([]use, 0, len(u.offered))
	mean := u.meanWeight()
	weights, left := 0.0, u.admitted.value(now, usageHalfLife)
	for _, o := range u.offered {
		uses = append(uses, use{o.value(now, usageHalfLife), cmp.Or(o.weight, mean)})
		weights += cmp.Or(o.weight, mean)
	}
	slices.SortFunc(uses, func(a, b use) int { return cmp.Compare(a.tokens/a.weight, b.tokens/b.weight) })
	for _, o := range uses {
		if level := left / weights; o.tokens > level*o.weight {
			return own.value(now, usageHalfLife) > shareExcess*level*cmp.Or(own.weight, mean)
		}
		left -= o.tokens
		weights -= o.weight
	}
	return false
}

// meanWeight returns the mean of the known weights, 1 without any.
func (u *Usage) meanWeight() float64 {
	sum, n := 0.0, 0
	for _, o := range u.offered {
		if o.weight > 0 {
			sum += o.weight
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
