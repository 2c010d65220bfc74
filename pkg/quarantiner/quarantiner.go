// Package quarantiner finds the part of a prompt that ends the endpoints which answer it, and decides which requests are
// kept from endpoints.
//
// The load that it answers: requests with one part in common arrive at all entries, and each ends the endpoint that begins
// to answer it, together with everything else that the endpoint was answering. Each is sent to a fresh endpoint, because
// nothing but the part connects it with the earlier ones.
//
// When an endpoint ends, each request that had not been answered there is a suspect. A part is acquitted by any request
// that contains it and is answered. What remains is counted: the part that is suspected in the most crashes explains them,
// and the other suspects of these crashes are no longer counted for them. Entries exchange crashes and acquittals, not
// verdicts, so that entries with the same evidence agree without a coordinator.
//
// The package has no clock, no goroutines and uses no store. Times are on the owner's monotonic clock.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Config holds the parameters of a Quarantiner. Zero fields take their defaults in New.
type Config struct {
	// Episodes is the number of separate crashes that a part must explain before it is blocked; twice as many if the
	// endpoints had begun to answer none of the suspects.
	Episodes int
	// EpisodeTime is the time within which several crashes count as one, because a common cause may end several
	// endpoints at once.
	EpisodeTime time.Duration
	// BlockTime is how long a part is blocked after the last crash that it explains.
	BlockTime time.Duration
	// ProbeTime is the time between two requests with a part whose block has ended, until the part is acquitted.
	ProbeTime time.Duration
	// Retention is how long a crash counts.
	Retention time.Duration
	// MaxCrashes is the number of crashes that are kept.
	MaxCrashes int
}

// Defaults of Config.
const (
	DefaultEpisodes    = 3
	DefaultEpisodeTime = 100 * time.Millisecond
	DefaultBlockTime   = time.Minute
	DefaultProbeTime   = 5 * time.Second
	// DefaultRetention outlasts several blocks, so that a part whose block has ended is blocked again by one crash.
	DefaultRetention  = 10 * time.Minute
	DefaultMaxCrashes = 256
)

const (
	// decisiveEpisodes is the weight of evidence from which parts that it can't tell apart are all blocked.
	decisiveEpisodes = 5
	// queuedWeight is the weight of a crash that hit no request whose answer had begun.
	queuedWeight = 0.5
	// maxSuspects limits the suspects of one crash.
	maxSuspects = 32
	// acquittalInterval is the time within which the next acquittal of a part that isn't suspected is not recorded.
	acquittalInterval = time.Second
	// timeTolerance is the difference up to which two reported times of one crash are the same.
	timeTolerance = 20 * time.Millisecond
)

// Suspect is a request that an endpoint had when it ended.
type Suspect[P cmp.Ordered] struct {
	// Parts are the parts that may be the cause, sorted and without duplicates.
	Parts []P
	// HasBegun means that the endpoint had begun to answer. It has the same value for all suspects of a crash that a
	// Quarantiner keeps: others are dropped if there is one for which it is true.
	HasBegun bool
}

// Crash is the end of one incarnation of an endpoint.
type Crash[P cmp.Ordered] struct {
	// Endpoint identifies the incarnation.
	Endpoint string
	At       time.Duration
	// Suspects is not empty. None of their parts has been acquitted since At.
	Suspects []Suspect[P]
}

// Acquittal states that a request with the part was answered.
type Acquittal[P cmp.Ordered] struct {
	Part P
	At   time.Duration
}

// Block states which requests are kept from endpoints.
type Block[P cmp.Ordered] struct {
	// Parts are not empty. A request is blocked if it contains all of them; there are several if each suspect that
	// contains one of them contains the others.
	Parts []P
	// Crashes is the number of crashes that the parts explain.
	Crashes int
	// Until is the end of the block. Requests after that are probes.
	Until time.Duration
}

// acquittal is the last time when a request with a part was answered.
type acquittal struct {
	at time.Duration
	// isOwn means that this process has observed it. Others' acquittals are not passed on, because their ages grow
	// inexact on the way.
	isOwn bool
}

// Quarantiner is the evidence of one process and the blocks that follow from it. It is an immutable value.
type Quarantiner[P cmp.Ordered] struct {
	config Config
	// crashes are ordered by time; there is at most one for each incarnation.
	crashes []Crash[P]
	// acquittals holds the last acquittals of parts that were suspected.
	acquittals map[P]acquittal
	// blocks follows from crashes.
	blocks []Block[P]
	// probes holds the times of this process's last probes, by the first part of the block.
	probes map[P]time.Duration
}

// New returns a Quarantiner without evidence.
func New[P cmp.Ordered](c Config) Quarantiner[P] {
	c.Episodes = cmp.Or(c.Episodes, DefaultEpisodes)
	c.EpisodeTime = cmp.Or(c.EpisodeTime, DefaultEpisodeTime)
	c.BlockTime = cmp.Or(c.BlockTime, DefaultBlockTime)
	c.ProbeTime = cmp.Or(c.ProbeTime, DefaultProbeTime)
	c.Retention = cmp.Or(c.Retention, DefaultRetention)
	c.MaxCrashes = cmp.Or(c.MaxCrashes, DefaultMaxCrashes)
	return Quarantiner[P]{config: c}
}

// WithCrash adds a crash that this process has observed.
func (q Quarantiner[P]) WithCrash(c Crash[P]) Quarantiner[P] {
	q, changed := q.mergeCrash(c)
	if !changed {
		return q
	}
	return q.withBlocks()
}

// WithAcquittal records that a request with the part was answered, as this process has observed. It has no effect on a
// part that was never suspected.
func (q Quarantiner[P]) WithAcquittal(part P, at time.Duration) Quarantiner[P] {
	q, wasSuspected := q.mergeAcquittal(part, at, true)
	if !wasSuspected {
		return q
	}
	return q.withoutAcquittedCrashes().withBlocks()
}

// WithEvidence adds what another process knows.
func (q Quarantiner[P]) WithEvidence(crashes []Crash[P], acquittals []Acquittal[P]) Quarantiner[P] {
	hasNewCrash, wasSuspected := false, false
	for _, c := range crashes {
		next, changed := q.mergeCrash(c)
		q, hasNewCrash = next, hasNewCrash || changed
	}
	for _, a := range acquittals {
		next, suspected := q.mergeAcquittal(a.Part, a.At, false)
		q, wasSuspected = next, wasSuspected || suspected
	}
	if wasSuspected {
		q = q.withoutAcquittedCrashes()
	}
	if !hasNewCrash && !wasSuspected {
		return q
	}
	return q.withBlocks()
}

// mergeCrash adds a crash, or what is new of a crash that is known already, and reports whether anything is new.
func (q Quarantiner[P]) mergeCrash(c Crash[P]) (Quarantiner[P], bool) {
	crashes := q.crashes
	i := slices.IndexFunc(crashes, func(known Crash[P]) bool { return known.Endpoint == c.Endpoint })
	if i >= 0 {
		known := crashes[i]
		if c.At > known.At-timeTolerance && q.isCovered(known, c.Suspects) {
			return q, false
		}
		c.Suspects = slices.Concat(known.Suspects, c.Suspects)
		if c.At > known.At-timeTolerance {
			c.At = known.At
		}
		merged, hasSuspects := q.withoutAcquitted(c)
		if !hasSuspects {
			// The crash is older than it seemed, and all of its parts have been acquitted since.
			q.crashes = slices.Delete(slices.Clone(crashes), i, i+1)
			return q, true
		}
		if c.At == known.At && slices.EqualFunc(merged.Suspects, known.Suspects, equalSuspects) {
			return q, false
		}
		c, crashes = merged, slices.Delete(slices.Clone(crashes), i, i+1)
	} else {
		var ok bool
		if c, ok = q.withoutAcquitted(c); !ok {
			return q, false
		}
	}
	i, _ = slices.BinarySearchFunc(crashes, c, compareCrashes)
	q.crashes = slices.Insert(slices.Clone(crashes), i, c)
	if excess := len(q.crashes) - q.config.MaxCrashes; excess > 0 {
		q.crashes = q.crashes[excess:]
	}
	return q, true
}

func equalSuspects[P cmp.Ordered](a, b Suspect[P]) bool {
	return a.HasBegun == b.HasBegun && slices.Equal(a.Parts, b.Parts)
}

// isCovered reports whether the suspects bring nothing new to a crash that is known.
func (q Quarantiner[P]) isCovered(known Crash[P], suspects []Suspect[P]) bool {
	for _, s := range suspects {
		isWeaker := !s.HasBegun && known.Suspects[0].HasBegun
		isKnown := slices.ContainsFunc(known.Suspects, func(k Suspect[P]) bool { return equalSuspects(k, s) })
		isAcquitted := !slices.ContainsFunc(s.Parts, func(p P) bool { return !q.isAcquitted(p, known.At) })
		if !isWeaker && !isKnown && !isAcquitted {
			return false
		}
	}
	return true
}

// isAcquitted reports whether the part was acquitted after the time.
func (q Quarantiner[P]) isAcquitted(part P, since time.Duration) bool {
	a, ok := q.acquittals[part]
	return ok && a.at >= since
}

func compareCrashes[P cmp.Ordered](a, b Crash[P]) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Endpoint, b.Endpoint))
}

// mergeAcquittal adds an acquittal and reports whether the part is suspected, so that the crashes must be looked at again.
func (q Quarantiner[P]) mergeAcquittal(part P, at time.Duration, isOwn bool) (next Quarantiner[P], isSuspected bool) {
	last, isAcquitted := q.acquittals[part]
	if isAcquitted && at <= last.at {
		return q, false
	}
	isSuspected = q.IsSuspected(part)
	if !isSuspected && (!isAcquitted || at-last.at < acquittalInterval) {
		return q, false
	}
	acquittals := maps.Clone(q.acquittals)
	if acquittals == nil {
		acquittals = map[P]acquittal{}
	}
	acquittals[part] = acquittal{at: at, isOwn: isOwn}
	q.acquittals = acquittals
	return q, isSuspected
}

func (q Quarantiner[P]) withoutAcquittedCrashes() Quarantiner[P] {
	crashes := make([]Crash[P], 0, len(q.crashes))
	for _, c := range q.crashes {
		if c, ok := q.withoutAcquitted(c); ok {
			crashes = append(crashes, c)
		}
	}
	q.crashes = crashes
	return q
}

// withoutAcquitted removes the parts that were acquitted after the crash, duplicate suspects, and those whose answer had
// not begun if there are others. It returns false if no suspect remains.
func (q Quarantiner[P]) withoutAcquitted(c Crash[P]) (Crash[P], bool) {
	suspects := make([]Suspect[P], 0, len(c.Suspects))
	for _, s := range c.Suspects {
		s.Parts = slices.Clone(s.Parts)
		slices.Sort(s.Parts)
		s.Parts = slices.DeleteFunc(slices.Compact(s.Parts), func(p P) bool { return q.isAcquitted(p, c.At) })
		isKnown := slices.ContainsFunc(suspects, func(other Suspect[P]) bool { return equalSuspects(other, s) })
		if len(s.Parts) > 0 && !isKnown {
			suspects = append(suspects, s)
		}
	}
	if slices.ContainsFunc(suspects, func(s Suspect[P]) bool { return s.HasBegun }) {
		suspects = slices.DeleteFunc(suspects, func(s Suspect[P]) bool { return !s.HasBegun })
	}
	c.Suspects = suspects[:min(len(suspects), maxSuspects)]
	return c, len(c.Suspects) > 0
}

// WithoutExpired removes the evidence that no longer counts.
func (q Quarantiner[P]) WithoutExpired(now time.Duration) Quarantiner[P] {
	if len(q.crashes) == 0 && len(q.acquittals) == 0 && len(q.probes) == 0 {
		return q
	}
	oldest := now - q.config.Retention
	crashes := slices.DeleteFunc(slices.Clone(q.crashes), func(c Crash[P]) bool { return c.At < oldest })
	q.acquittals, q.probes = maps.Clone(q.acquittals), maps.Clone(q.probes)
	maps.DeleteFunc(q.acquittals, func(_ P, a acquittal) bool { return a.at < oldest })
	maps.DeleteFunc(q.probes, func(_ P, at time.Duration) bool { return at < oldest })
	q.crashes = crashes
	return q.withBlocks()
}

// IsSuspected reports whether the part is suspected.
func (q Quarantiner[P]) IsSuspected(part P) bool {
	for _, c := range q.crashes {
		for _, s := range c.Suspects {
			if slices.Contains(s.Parts, part) {
				return true
			}
		}
	}
	return false
}

// Admit decides whether a request with the parts may be sent to an endpoint. If not, it returns the time after which it
// may be. stagger delays this process's probes, so that the processes don't all probe at once.
func (q Quarantiner[P]) Admit(parts []P, now, stagger time.Duration) (next Quarantiner[P], ok bool, after time.Duration) {
	for _, b := range q.blocks {
		if !b.matches(parts) {
			continue
		}
		openAt := b.Until + stagger
		if at, ok := q.probes[b.Parts[0]]; ok {
			openAt = max(openAt, at+q.config.ProbeTime)
		}
		if now < openAt {
			return q, false, openAt - now
		}
		probes := maps.Clone(q.probes)
		if probes == nil {
			probes = map[P]time.Duration{}
		}
		probes[b.Parts[0]] = now
		q.probes = probes
	}
	return q, true, 0
}

// IsBlocked reports whether a request with the parts is blocked, regardless of probes.
func (q Quarantiner[P]) IsBlocked(parts []P) bool {
	return slices.ContainsFunc(q.blocks, func(b Block[P]) bool { return b.matches(parts) })
}

func (b Block[P]) matches(parts []P) bool {
	for _, p := range b.Parts {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// Blocks returns the current blocks, including those whose time is over and whose parts are not acquitted.
func (q Quarantiner[P]) Blocks() []Block[P] { return slices.Clone(q.blocks) }

// Evidence returns what other processes need for the same blocks: crashes with at most limit suspects in all, and as many of this process's acquittals. Crashes that a block explains come first, then the newest ones.
func (q Quarantiner[P]) Evidence(limit int) ([]Crash[P], []Acquittal[P]) {
	var explained, others []Crash[P]
	for _, c := range slices.Backward(q.crashes) {
		if slices.ContainsFunc(c.Suspects, func(s Suspect[P]) bool { return q.IsBlocked(s.Parts) }) {
			explained = append(explained, c)
		} else {
			others = append(others, c)
		}
	}
	crashes := slices.Concat(explained, others)
	suspects := 0
	for i := range crashes {
		if suspects += len(crashes[i].Suspects); suspects > limit {
			crashes = crashes[:i]
			break
		}
	}
	acquittals := make([]Acquittal[P], 0, len(q.acquittals))
	for part, a := range q.acquittals {
		if a.isOwn {
			acquittals = append(acquittals, Acquittal[P]{Part: part, At: a.at})
		}
	}
	slices.SortFunc(acquittals, func(a, b Acquittal[P]) int {
		return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Part, b.Part))
	})
	return crashes, acquittals[:min(len(acquittals), limit)]
}
