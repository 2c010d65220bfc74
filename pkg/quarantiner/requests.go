package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// RequestsConfig holds the parameters of Requests. Zero fields take their defaults in NewRequests.
type RequestsConfig struct {
	// Crashes is the number of endpoints that must have ended under a request before it is blocked.
	Crashes int
	// EpisodeTime is the time that must lie between the first and the last of them, because a common cause may end several
	// endpoints at once.
	EpisodeTime time.Duration
	// BlockTime is how long a request is blocked after the last crash. Each further crash doubles it.
	BlockTime time.Duration
	// ProbeTime is the time between two sends of a request whose block has ended, until it is answered.
	ProbeTime time.Duration
	// Retention is how long a crash counts, and SingleRetention how long it does against a request that was in no other.
	Retention, SingleRetention time.Duration
	// MaxCrashes is the number of crashes that are kept.
	MaxCrashes int
}

// DefaultSingleRetention outlasts the restart of an endpoint several times.
const DefaultSingleRetention = time.Minute

// maxDoublings limits the doublings of a block's time.
const maxDoublings = 4

// RequestCrash is the end of one incarnation of an endpoint.
type RequestCrash[P cmp.Ordered] struct {
	// Endpoint identifies the incarnation.
	Endpoint string
	At       time.Duration
	// Requests are those that the endpoint had not answered, sorted and without duplicates.
	Requests []P
}

// Answer states that an endpoint has answered a request.
type Answer[P cmp.Ordered] struct {
	Request P
	At      time.Duration
}

// RequestBlock states that a request is kept from endpoints.
type RequestBlock struct {
	// Crashes is the number of endpoints that have ended under the request.
	Crashes int
	// Until is the end of the block. Sends after that are probes.
	Until time.Duration
}

// Requests is the evidence of one process on whole requests that end the endpoints which run them, and the blocks that follow
// from it. A request stands for all its repetitions.
//
// The load that it answers: a caller repeats such a request at all entries, and each endpoint that runs it ends. The request
// has no part that could be told from those of sound requests, or none at all. It is an immutable value.
type Requests[P cmp.Ordered] struct {
	config RequestsConfig
	// crashes are ordered by time; there is at most one for each incarnation, and each has a request.
	crashes []RequestCrash[P]
	// answers holds the last answers to requests that were suspected.
	answers map[P]acquittal
	// blocks follows from crashes.
	blocks map[P]RequestBlock
	// probes holds the times of this process's last probes.
	probes map[P]time.Duration
}

// NewRequests returns Requests without evidence.
func NewRequests[P cmp.Ordered](c RequestsConfig) Requests[P] {
	c.Crashes = cmp.Or(c.Crashes, DefaultEpisodes)
	c.EpisodeTime = cmp.Or(c.EpisodeTime, DefaultEpisodeTime)
	c.BlockTime = cmp.Or(c.BlockTime, DefaultBlockTime)
	c.ProbeTime = cmp.Or(c.ProbeTime, DefaultProbeTime)
	c.Retention = cmp.Or(c.Retention, DefaultRetention)
	c.SingleRetention = cmp.Or(c.SingleRetention, DefaultSingleRetention)
	c.MaxCrashes = cmp.Or(c.MaxCrashes, DefaultMaxCrashes)
	return Requests[P]{config: c}
}

// IsEmpty reports whether no request is suspected.
func (r Requests[P]) IsEmpty() bool { return len(r.crashes) == 0 }

// IsSuspected reports whether an endpoint has ended under the request.
func (r Requests[P]) IsSuspected(request P) bool {
	return slices.ContainsFunc(r.crashes, func(c RequestCrash[P]) bool { return c.has(request) })
}

func (c RequestCrash[P]) has(request P) bool {
	_, ok := slices.BinarySearch(c.Requests, request)
	return ok
}

// WithEvidence adds what this process has observed, if isOwn is set, or what another one knows.
func (r Requests[P]) WithEvidence(crashes []RequestCrash[P], answers []Answer[P], isOwn bool) Requests[P] {
	hasChanged := false
	for _, a := range answers {
		last, isKnown := r.answers[a.Request]
		if isKnown && a.At <= last.at || !isKnown && !r.IsSuspected(a.Request) {
			continue
		}
		r.answers = maps.Clone(r.answers)
		if r.answers == nil {
			r.answers = map[P]acquittal{}
		}
		r.answers[a.Request], hasChanged = acquittal{at: a.At, isOwn: isOwn}, true
	}
	if hasChanged {
		known := r.crashes
		r.crashes = nil
		for _, c := range known {
			r, _ = r.mergeCrash(c)
		}
	}
	for _, c := range crashes {
		next, isNew := r.mergeCrash(c)
		r, hasChanged = next, hasChanged || isNew
	}
	if !hasChanged {
		return r
	}
	return r.withBlocks()
}

// mergeCrash adds what is new of a crash and reports whether anything is.
func (r Requests[P]) mergeCrash(c RequestCrash[P]) (Requests[P], bool) {
	crashes, known := r.crashes, RequestCrash[P]{}
	i := slices.IndexFunc(crashes, func(other RequestCrash[P]) bool { return other.Endpoint == c.Endpoint })
	if i >= 0 {
		known = crashes[i]
		if c.At > known.At-timeTolerance {
			c.At = known.At
		}
		crashes = slices.Delete(slices.Clone(crashes), i, i+1)
	}
	c.Requests = r.suspects(known.Requests, c)
	if i >= 0 && c.At == known.At && slices.Equal(c.Requests, known.Requests) || i < 0 && len(c.Requests) == 0 {
		return r, false
	}
	if len(c.Requests) > 0 {
		at, _ := slices.BinarySearchFunc(crashes, c, func(a, b RequestCrash[P]) int {
			return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Endpoint, b.Endpoint))
		})
		crashes = slices.Insert(slices.Clone(crashes), at, c)
	}
	r.crashes = crashes[max(0, len(crashes)-r.config.MaxCrashes):]
	return r, true
}

// suspects returns the known requests of a crash and its new ones, without those that were answered since. If there are too
// many, new ones are left out.
func (r Requests[P]) suspects(known []P, c RequestCrash[P]) []P {
	requests := slices.Concat(known, c.Requests)
	slices.Sort(requests)
	requests = slices.DeleteFunc(slices.Compact(requests), func(request P) bool {
		a, ok := r.answers[request]
		return ok && a.at >= c.At
	})
	excess := len(requests) - maxSuspects
	return slices.DeleteFunc(requests, func(request P) bool {
		isExcess := excess > 0 && !slices.Contains(known, request)
		if isExcess {
			excess--
		}
		return isExcess
	})
}

// crashesOf returns the crashes by request, in order.
func (r Requests[P]) crashesOf() map[P][]RequestCrash[P] {
	byRequest := map[P][]RequestCrash[P]{}
	for _, c := range r.crashes {
		for _, request := range c.Requests {
			byRequest[request] = append(byRequest[request], c)
		}
	}
	return byRequest
}

// withBlocks derives the blocks from the crashes. A request that was at all these endpoints by chance is blocked with the one
// that is the cause: that takes longer to tell than the next endpoints would last.
func (r Requests[P]) withBlocks() Requests[P] {
	r.blocks = nil
	for request, crashes := range r.crashesOf() {
		last := crashes[len(crashes)-1].At
		if len(crashes) < r.config.Crashes || last-crashes[0].At < r.config.EpisodeTime {
			continue
		}
		if r.blocks == nil {
			r.blocks = map[P]RequestBlock{}
		}
		doublings := min(len(crashes)-r.config.Crashes, maxDoublings)
		r.blocks[request] = RequestBlock{Crashes: len(crashes), Until: last + r.config.BlockTime<<doublings}
	}
	return r
}

// WithoutExpired removes the evidence that no longer counts.
func (r Requests[P]) WithoutExpired(now time.Duration) Requests[P] {
	if len(r.crashes) == 0 && len(r.answers) == 0 && len(r.probes) == 0 {
		return r
	}
	byRequest := r.crashesOf()
	crashes := make([]RequestCrash[P], 0, len(r.crashes))
	for _, c := range r.crashes {
		c.Requests = slices.DeleteFunc(slices.Clone(c.Requests), func(request P) bool {
			isSingle := len(byRequest[request]) == 1
			return c.At < now-r.config.Retention || isSingle && c.At < now-r.config.SingleRetention
		})
		if len(c.Requests) > 0 {
			crashes = append(crashes, c)
		}
	}
	r.crashes, r.answers, r.probes = crashes, maps.Clone(r.answers), maps.Clone(r.probes)
	maps.DeleteFunc(r.answers, func(_ P, a acquittal) bool { return a.at < now-r.config.Retention })
	maps.DeleteFunc(r.probes, func(_ P, at time.Duration) bool { return at < now-r.config.Retention })
	return r.withBlocks()
}

// Admit decides whether a request may be sent to an endpoint. If not, it returns the time after which it may be. stagger
// delays this process's probes, so that the processes don't all probe at once.
func (r Requests[P]) Admit(request P, now, stagger time.Duration) (next Requests[P], ok bool, after time.Duration) {
	b, isBlocked := r.blocks[request]
	if !isBlocked {
		return r, true, 0
	}
	openAt := b.Until + stagger
	if at, ok := r.probes[request]; ok {
		openAt = max(openAt, at+r.config.ProbeTime)
	}
	if now < openAt {
		return r, false, openAt - now
	}
	r.probes = maps.Clone(r.probes)
	if r.probes == nil {
		r.probes = map[P]time.Duration{}
	}
	r.probes[request] = now
	return r, true, 0
}

// IsBlocked reports whether the request is blocked, regardless of probes.
func (r Requests[P]) IsBlocked(request P) bool {
	_, ok := r.blocks[request]
	return ok
}

// Blocks returns the blocked requests, including those whose time is over and that have not been answered. The map must not
// be modified.
func (r Requests[P]) Blocks() map[P]RequestBlock { return r.blocks }

// Evidence returns what other processes need for the same blocks: crashes with at most limit requests in all, and as many
// answers that this process has observed. Crashes with requests that were in others too come first, then the newest ones.
func (r Requests[P]) Evidence(limit int) ([]RequestCrash[P], []Answer[P]) {
	byRequest := r.crashesOf()
	var repeated, others []RequestCrash[P]
	for _, c := range slices.Backward(r.crashes) {
		if slices.ContainsFunc(c.Requests, func(request P) bool { return len(byRequest[request]) > 1 }) {
			repeated = append(repeated, c)
		} else {
			others = append(others, c)
		}
	}
	crashes := slices.Concat(repeated, others)
	total := 0
	for i := range crashes {
		if total += len(crashes[i].Requests); total > limit {
			crashes = crashes[:i]
			break
		}
	}
	answers := make([]Answer[P], 0, len(r.answers))
	for request, a := range r.answers {
		if a.isOwn {
			answers = append(answers, Answer[P]{Request: request, At: a.at})
		}
	}
	slices.SortFunc(answers, func(a, b Answer[P]) int { return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Request, b.Request)) })
	return crashes, answers[:min(len(answers), limit)]
}
