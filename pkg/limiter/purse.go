package limiter

import (
	"slices"
	"time"
)

// Borrowed is a grant as its borrower sees it.
type Borrowed struct {
	ID     string
	Lender string
	// End is when the grant stops being usable, on the borrower's clock, counted from before it was asked for.
	End time.Duration
	// Tokens is what was granted, 0 until the answer arrives.
	Tokens float64
	Spent  float64
	// Received says that the answer has arrived; a second answer is ignored.
	Received bool
}

// Left returns the tokens that are not spent.
func (g Borrowed) Left() float64 { return g.Tokens - g.Spent }

// Purse holds the grants that one entry has borrowed for one organisation. It is an immutable value; the zero
// value is empty. A grant can be spent only before its end, and not after Close: the end is earlier than the
// lender's, and Close comes before the report, so the lender always holds what can still be spent.
type Purse struct {
	// grants are ordered by their end.
	grants []Borrowed
}

// WithAsked opens a grant that is about to be asked for. now is read before the message is sent.
func (p Purse) WithAsked(id, lender string, now, life time.Duration) Purse {
	grants := append(slices.Clone(p.grants), Borrowed{ID: id, Lender: lender, End: now + life})
	slices.SortStableFunc(grants, func(a, b Borrowed) int { return int(min(1, max(-1, a.End-b.End))) })
	return Purse{grants}
}

// WithGranted records the answer. It is ignored when the grant is not open, has ended, or was answered before.
func (p Purse) WithGranted(id string, tokens float64, now time.Duration) (Purse, bool) {
	i := slices.IndexFunc(p.grants, func(g Borrowed) bool { return g.ID == id })
	if i < 0 || p.grants[i].Received || now >= p.grants[i].End || !(tokens >= 0) {
		return p, false
	}
	grants := slices.Clone(p.grants)
	grants[i].Tokens, grants[i].Received = tokens, true
	return Purse{grants}, true
}

// Available returns the tokens that can be spent at now.
func (p Purse) Available(now time.Duration) float64 {
	var sum float64
	for _, g := range p.grants {
		if now < g.End {
			sum += g.Left()
		}
	}
	return sum
}

// Part is what an admission has spent of one grant.
type Part struct {
	Grant  string
	Tokens float64
}

// Spend takes tokens from the usable grants, the earliest end first, or says that they do not cover them.
func (p Purse) Spend(tokens float64, now time.Duration) (Purse, []Part, bool) {
	if tokens <= 0 {
		return p, nil, true
	}
	if tokens > p.Available(now) {
		return p, nil, false
	}
	var parts []Part
	grants := slices.Clone(p.grants)
	for i := range grants {
		if g := &grants[i]; now < g.End && g.Left() > 0 && tokens > 0 {
			take := min(tokens, g.Left())
			g.Spent += take
			tokens -= take
			parts = append(parts, Part{g.ID, take})
		}
	}
	return Purse{grants}, parts, true
}

// Take spends up to tokens of one grant and returns the amount.
func (p Purse) Take(id string, tokens float64, now time.Duration) (Purse, float64) {
	for i, g := range p.grants {
		if g.ID == id && now < g.End {
			amount := max(0, min(tokens, g.Left()))
			grants := slices.Clone(p.grants)
			grants[i].Spent += amount
			return Purse{grants}, amount
		}
	}
	return p, 0
}

// Close removes a grant, for a report to its lender. Nothing can be spent from it afterwards.
func (p Purse) Close(id string) (Purse, Borrowed, bool) {
	i := slices.IndexFunc(p.grants, func(g Borrowed) bool { return g.ID == id })
	if i < 0 {
		return p, Borrowed{}, false
	}
	closed := p.grants[i]
	return Purse{slices.Delete(slices.Clone(p.grants), i, i+1)}, closed, true
}

// Expire removes the grants that have ended.
func (p Purse) Expire(now time.Duration) (Purse, []Borrowed) {
	i := 0
	for i < len(p.grants) && p.grants[i].End <= now {
		i++
	}
	if i == 0 {
		return p, nil
	}
	return Purse{slices.Clone(p.grants[i:])}, slices.Clone(p.grants[:i])
}

// Grants returns the open grants, earliest end first.
func (p Purse) Grants() []Borrowed { return slices.Clone(p.grants) }

func (p Purse) lender(id string) string {
	for _, g := range p.grants {
		if g.ID == id {
			return g.Lender
		}
	}
	return ""
}
