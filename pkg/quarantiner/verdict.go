package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// withBlocks derives the blocks from the crashes. The part with the heaviest evidence explains all crashes in
// which it is suspected; the rest of the crashes are judged without them.
func (q Quarantiner[P]) withBlocks() Quarantiner[P] {
	q.blocks = nil
	remaining := q.crashes
	for {
		part, ok := mostSuspected(remaining, q.config)
		if !ok {
			return q
		}
		var explained, others []Crash[P]
		for _, c := range remaining {
			if c.isSuspected(part) {
				explained = append(explained, c)
			} else {
				others = append(others, c)
			}
		}
		remaining = others
		group := companions(explained, part)
		if hasRival(explained, group) && weigh(explained, q.config.EpisodeTime) < decisiveEpisodes {
			continue
		}
		q.blocks = append(q.blocks, Block[P]{
			Parts: group, Crashes: len(explained), Until: explained[len(explained)-1].At + q.config.BlockTime,
		})
	}
}

// mostSuspected returns the part with the heaviest evidence, if it suffices for a block. Among equals it is the one with
// the most crashes, then the smallest.
func mostSuspected[P cmp.Ordered](crashes []Crash[P], config Config) (best P, ok bool) {
	byPart := map[P][]Crash[P]{}
	for _, c := range crashes {
		for _, s := range c.Suspects {
			for _, p := range s.Parts {
				if list := byPart[p]; len(list) == 0 || list[len(list)-1].Endpoint != c.Endpoint {
					byPart[p] = append(list, c)
				}
			}
		}
	}
	bestWeight := 0.0
	for p, list := range byPart {
		weight := weigh(list, config.EpisodeTime)
		if weight < float64(config.Episodes) {
			continue
		}
		if order := cmp.Or(cmp.Compare(weight, bestWeight), cmp.Compare(len(list), len(byPart[best])), cmp.Compare(best, p)); !ok || order > 0 {
			best, bestWeight, ok = p, weight, true
		}
	}
	return best, ok
}

// weigh returns the weight of the crashes, which are ordered by time, as evidence against a part that is suspected in all
// of them. Those within episodeTime of the first one of an episode belong to that episode and weigh as much as the
// heaviest of them.
func weigh[P cmp.Ordered](crashes []Crash[P], episodeTime time.Duration) float64 {
	total, current := 0.0, 0.0
	begin := crashes[0].At
	for _, c := range crashes {
		if c.At-begin >= episodeTime {
			total += current
			begin, current = c.At, 0
		}
		current = max(current, c.weight())
	}
	return total + current
}

// weight returns the weight of one crash. Requests that merely waited may have been hit by a crash of any cause.
func (c Crash[P]) weight() float64 {
	if c.Suspects[0].HasBegun {
		return 1
	}
	return queuedWeight
}

func (c Crash[P]) isSuspected(part P) bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect[P]) bool { return slices.Contains(s.Parts, part) })
}

// companions returns the part and those that each suspect with the part contains.
func companions[P cmp.Ordered](crashes []Crash[P], part P) []P {
	var group []P
	for _, c := range crashes {
		for _, s := range c.Suspects {
			switch {
			case !slices.Contains(s.Parts, part):
			case group == nil:
				group = slices.Clone(s.Parts)
			default:
				group = slices.DeleteFunc(group, func(p P) bool { return !slices.Contains(s.Parts, p) })
			}
		}
	}
	return group
}

// hasRival reports whether a part outside of the group is suspected in all of the crashes too.
func hasRival[P cmp.Ordered](crashes []Crash[P], group []P) bool {
	for _, s := range crashes[0].Suspects {
		for _, p := range s.Parts {
			if slices.Contains(group, p) {
				continue
			}
			if !slices.ContainsFunc(crashes, func(c Crash[P]) bool { return !c.isSuspected(p) }) {
				return true
			}
		}
	}
	return false
}
