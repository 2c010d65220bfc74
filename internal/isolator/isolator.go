// Package isolator keeps requests from endpoints that end the endpoints which run them. It owns one entry's evidence: which
// requests endpoints had not answered when they ended. Entries exchange that evidence. It uses no store; evidence that an
// entry hasn't told the others is lost with its process.
package isolator

import (
	"hash/fnv"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"geraniumladder/internal/wire"
	"geraniumladder/pkg/placer"
	"geraniumladder/pkg/quarantiner"
)

const (
	// maxEvidence limits the requests and the answers in one message.
	maxEvidence = 64
	// probeStagger is the time between the probes of two entries for a request whose block has ended.
	probeStagger = 2 * time.Second
)

// Config configures an Isolator.
type Config struct {
	Now func() time.Time
	Log zerolog.Logger
	// Part begins the log lines.
	Part string
}

// Isolator decides which requests may be sent. Requests are named by digests that their repetitions have in common. It is safe
// for concurrent use.
type Isolator struct {
	config Config
	start  time.Time
	// hasSuspects is set while a request is suspected. Otherwise no request's digest is needed.
	hasSuspects atomic.Bool

	mu       sync.Mutex
	requests quarantiner.Requests[string]
	// logged holds the blocks that were logged last.
	logged map[string]bool
}

// New returns an Isolator without evidence.
func New(c Config) *Isolator {
	return &Isolator{
		config: c, start: c.Now(), requests: quarantiner.NewRequests[string](quarantiner.RequestsConfig{}), logged: map[string]bool{},
	}
}

// End is the end of one incarnation of an endpoint.
type End struct {
	// Endpoint identifies the incarnation among all entries.
	Endpoint string
	At       time.Time
	// Requests are those that it had not answered.
	Requests []string
}

func (i *Isolator) elapsed() time.Duration { return i.config.Now().Sub(i.start) }

// Admit decides whether the request may be sent to an endpoint. If not, it returns the time after which it may be. isProbe
// means that it was blocked until now. stagger returns that of Stagger.
func (i *Isolator) Admit(digest func() string, stagger func() time.Duration) (ok, isProbe bool, after time.Duration) {
	if !i.IsBlocked(digest) {
		return true, false, 0
	}
	request, delay := digest(), stagger()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.requests, ok, after = i.requests.Admit(request, i.elapsed(), delay)
	return ok, ok, after
}

// IsBlocked reports whether the request is blocked. It asks for the digest only if a request is suspected.
func (i *Isolator) IsBlocked(digest func() string) bool {
	if !i.hasSuspects.Load() {
		return false
	}
	request := digest()
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.requests.IsBlocked(request)
}

// RecordAnswer records that an endpoint has answered the request.
func (i *Isolator) RecordAnswer(digest func() string) {
	if !i.hasSuspects.Load() {
		return
	}
	request := digest()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.add(nil, []quarantiner.Answer[string]{{Request: request, At: i.elapsed()}}, true)
}

// RecordEnds records ends of endpoints that this entry has observed, and reports whether a request is blocked since then.
func (i *Isolator) RecordEnds(ends []End) bool {
	crashes := make([]quarantiner.RequestCrash[string], len(ends))
	for n, e := range ends {
		crashes[n] = quarantiner.RequestCrash[string]{Endpoint: e.Endpoint, At: e.At.Sub(i.start), Requests: e.Requests}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.add(crashes, nil, true)
}

// Merge adds what another entry knows and reports whether a request is blocked since then.
func (i *Isolator) Merge(crashes []wire.EndpointCrash, answers []wire.RequestAnswer) bool {
	now := i.elapsed()
	at := func(ageMilliseconds int64) time.Duration {
		return now - time.Duration(ageMilliseconds)*time.Millisecond
	}
	var knownCrashes []quarantiner.RequestCrash[string]
	for _, c := range crashes {
		if len(c.Requests) > 0 {
			knownCrashes = append(knownCrashes, quarantiner.RequestCrash[string]{Endpoint: c.Incarnation, At: at(c.AgeMilliseconds), Requests: c.Requests})
		}
	}
	if len(knownCrashes) == 0 && len(answers) == 0 {
		return false
	}
	knownAnswers := make([]quarantiner.Answer[string], len(answers))
	for n, a := range answers {
		knownAnswers[n] = quarantiner.Answer[string]{Request: a.Digest, At: at(a.AgeMilliseconds)}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.add(knownCrashes, knownAnswers, false)
}

// add adds evidence, logs the blocks that have begun or ended, and reports whether one has begun. The caller holds mu.
func (i *Isolator) add(crashes []quarantiner.RequestCrash[string], answers []quarantiner.Answer[string], isOwn bool) bool {
	i.requests = i.requests.WithEvidence(crashes, answers, isOwn)
	return i.logBlocks()
}

func (i *Isolator) logBlocks() bool {
	i.hasSuspects.Store(!i.requests.IsEmpty())
	blocks, isNew := i.requests.Blocks(), false
	for digest, b := range blocks {
		if !i.logged[digest] {
			isNew, i.logged[digest] = true, true
			i.config.Log.Warn().Str("Digest", digest).Int("Crashes", b.Crashes).Dur("For", b.Until-i.elapsed()).Msg(i.config.Part + ": request blocked")
		}
	}
	for digest := range i.logged {
		if _, isBlocked := blocks[digest]; !isBlocked {
			delete(i.logged, digest)
			i.config.Log.Info().Str("Digest", digest).Msg(i.config.Part + ": request no longer blocked")
		}
	}
	return isNew
}

// Evidence returns what the other entries need to know.
func (i *Isolator) Evidence() ([]wire.EndpointCrash, []wire.RequestAnswer) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.elapsed()
	known, answered := i.requests.Evidence(maxEvidence)
	crashes := make([]wire.EndpointCrash, len(known))
	for n, c := range known {
		crashes[n] = wire.EndpointCrash{
			Incarnation: c.Endpoint, AgeMilliseconds: (now - c.At).Milliseconds(), Suspects: []wire.CrashSuspect{}, Requests: c.Requests,
		}
	}
	answers := make([]wire.RequestAnswer, len(answered))
	for n, a := range answered {
		answers[n] = wire.RequestAnswer{Digest: a.Request, AgeMilliseconds: (now - a.At).Milliseconds()}
	}
	return crashes, answers
}

// Prune removes the evidence that no longer counts. It must be called periodically.
func (i *Isolator) Prune() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.requests = i.requests.WithoutExpired(i.elapsed())
	i.logBlocks()
}

// Stagger spreads the probes of the entries over probeStagger for each of them.
func Stagger(vm string, entries int) time.Duration {
	h := fnv.New64a()
	h.Write([]byte(vm))
	share := float64(placer.Mix64(h.Sum64())) / math.MaxUint64
	return time.Duration(share * float64(max(1, entries)) * float64(probeStagger))
}
