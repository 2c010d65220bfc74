package emulator

import (
	"cmp"
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Defaults of EngineConfig.
const (
	DefaultBaseModel        = "base"
	DefaultSlots            = 4
	DefaultMaxRunning       = 16
	DefaultStepTime         = 2 * time.Millisecond
	DefaultAdapterCost      = 0.03
	DefaultPrefillTokenTime = 10 * time.Microsecond
	DefaultPrefillChunk     = 256
	DefaultCacheTokens      = 64 << 10
	// DefaultDetachTimeout is how long a request goes on without a connection.
	DefaultDetachTimeout = 5 * time.Second
	// DefaultStreamRetention is how long an ended stream can be resumed.
	DefaultStreamRetention = time.Minute
	// defaultMaxTokens is the length of an answer to a request without max_tokens, as in vLLM.
	defaultMaxTokens = 16
	// prefixBlockTokens is the size of the units in which prefixes are cached.
	prefixBlockTokens = 16
	// maxCatchUpSteps bounds by how many steps the loop catches up after a pause of the process.
	maxCatchUpSteps = 10
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	// BaseModel is DefaultBaseModel when empty. It is always resident and takes no slot.
	BaseModel string
	// Resident adapters at the start; a crash unloads them as well.
	Resident []string
	// Slots for adapters; DefaultSlots when 0.
	Slots int
	// MaxRunning bounds the requests in a batch; DefaultMaxRunning when 0.
	MaxRunning int
	// StepTime is the time in which each running request gets a token; DefaultStepTime when 0.
	StepTime time.Duration
	// AdapterCost is the share of StepTime that each further adapter in the batch adds; DefaultAdapterCost when 0.
	AdapterCost float64
	// PrefillTokenTime is the cost of a prompt token that is not cached; DefaultPrefillTokenTime when 0.
	PrefillTokenTime time.Duration
	// PrefillChunk bounds the prompt tokens that one step works on; DefaultPrefillChunk when 0.
	PrefillChunk int
	// CacheTokens bounds the prompt tokens whose prefixes are cached; DefaultCacheTokens when 0.
	CacheTokens int
	// WeightsURL is the platform's URL, whose /weights/PATH is fetched on a load. Without it a load takes LoadTime.
	WeightsURL string
	// LoadTime is how long a load takes without WeightsURL.
	LoadTime time.Duration
	// ChecksFence makes the engine refuse orders with a fencing number below the highest seen.
	ChecksFence bool
	// DetachTimeout is DefaultDetached when 0.
	DetachTimeout time.Duration
	// StreamRetention is DefaultKeep when 0.
	StreamRetention time.Duration
	// Seed of the faults with a rate.
	Seed uint64
}

func setDefault[T comparable](value *T, byDefault T) {
	var zero T
	if *value == zero {
		*value = byDefault
	}
}

func (c EngineConfig) withDefaults() EngineConfig {
	setDefault(&c.BaseModel, DefaultBaseModel)
	setDefault(&c.Slots, DefaultSlots)
	setDefault(&c.MaxRunning, DefaultMaxRunning)
	setDefault(&c.StepTime, DefaultStepTime)
	setDefault(&c.AdapterCost, DefaultAdapterCost)
	setDefault(&c.PrefillTokenTime, DefaultPrefillTokenTime)
	setDefault(&c.PrefillChunk, DefaultPrefillChunk)
	setDefault(&c.CacheTokens, DefaultCacheTokens)
	setDefault(&c.DetachTimeout, DefaultDetachTimeout)
	setDefault(&c.StreamRetention, DefaultStreamRetention)
	return c
}

// sequenceState is the state of a request at the engine.
type sequenceState int

const (
	sequenceWaiting sequenceState = iota
	sequenceRunning
	sequenceFinished
	// sequenceAborted ended without a full answer: it was cancelled, abandoned, or lost its adapter.
	sequenceAborted
)

// completionParams is what a request asks for.
type completionParams struct {
	id        string
	model     string
	prompt    string
	chat      bool
	priority  int
	maxTokens int
}

// sequence is a request at the engine. All fields but the completion are guarded by the engine's lock.
type sequence struct {
	completionParams

	state        sequenceState
	reason       string
	arrivalOrder int
	created      time.Time
	promptTokens int
	cachedTokens int
	prefill      int
	prefixHashes []uint64
	contextHash  uint64
	tokens       []string
	connections  int
	// detachedAt is when the last connection left, while attached is 0.
	detachedAt time.Time
	endedAt    time.Time
	// changed is closed and replaced when tokens or state change.
	changed chan struct{}
	// done is closed at the end.
	done chan struct{}
}

func (r *sequence) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *sequence) ended() bool { return r.state == sequenceFinished || r.state == sequenceAborted }

type adapter struct {
	path    string
	loading bool
}

// EngineStats counts what an engine did since it was made; a crash does not reset it.
type EngineStats struct {
	// Loads and Unloads count the orders that were carried out.
	Loads       int
	Unloads     int
	LoadsFailed int
	// UnloadedInUse counts unloads of an adapter with requests waiting or running; those requests fail.
	UnloadedInUse int
	// FenceRefused counts orders refused for a stale fencing number, FenceIgnored those accepted in spite of it.
	FenceRefused int
	FenceIgnored int
	// Requests counts the requests taken on, Tokens the tokens of their answers.
	Requests int
	Tokens   int
	// PromptTokens counts the prompt tokens, CachedTokens the part of them found in the cache.
	PromptTokens int
	CachedTokens int
	// Steps counts the batches, AdapterSteps the sum of the different adapters in them.
	Steps        int
	AdapterSteps int
}

// Engine is a model engine that speaks the API of vLLM's OpenAI-compatible server. It owns its slots, prefix cache and
// running requests, and loses all of them when it crashes.
type Engine struct {
	*faultInjector

	config EngineConfig
	client *http.Client

	state        sync.Mutex
	resident     map[string]adapter
	highestFence int64
	waiting      []*sequence
	running      []*sequence
	sequences    map[string]*sequence
	// ended holds the ended runs, oldest first.
	ended       []*sequence
	cache       *lru.Cache[uint64, struct{}]
	nextArrival int
	stats       EngineStats
	// crashCount numbers the lives of the engine; a load of an earlier life has no effect.
	crashCount int
	// loopDone is closed when the step loopDone has ended; it is nil before the first request.
	loopDone      chan struct{}
	loopRunning   bool
	closed        chan struct{}
	cachedMetrics engineMetrics
}

// NewEngine returns an Engine with the configured adapters resident.
func NewEngine(c EngineConfig) *Engine {
	c = c.withDefaults()
	cache, err := lru.New[uint64, struct{}](max(1, c.CacheTokens/prefixBlockTokens))
	if err != nil {
		panic(err) // Only a size below 1 is an error.
	}
	e := &Engine{
		config: c, client: &http.Client{Transport: &http.Transport{}}, resident: map[string]adapter{},
		sequences: map[string]*sequence{}, cache: cache, closed: make(chan struct{}),
	}
	for _, name := range c.Resident {
		e.resident[name] = adapter{path: name}
	}
	e.faultInjector = newFaultInjector(c.Seed, isWriteMethod, e.resetState)
	return e
}

// Stats returns the counts so far.
func (e *Engine) Stats() EngineStats {
	e.state.Lock()
	defer e.state.Unlock()
	return e.stats
}

// Resident returns the names of the adapters loaded, sorted.
func (e *Engine) Resident() []string {
	e.state.Lock()
	defer e.state.Unlock()
	return e.residentNames()
}

func (e *Engine) residentNames() []string {
	names := []string{}
	for _, name := range slices.Sorted(maps.Keys(e.resident)) {
		if !e.resident[name].loading {
			names = append(names, name)
		}
	}
	return names
}

// Close ends the step loop and waits for it. Requests that run are stopped.
func (e *Engine) Close() {
	e.state.Lock()
	loopDone := e.loopDone
	select {
	case <-e.closed:
	default:
		close(e.closed)
	}
	e.state.Unlock()
	if loopDone != nil {
		<-loopDone
	}
	e.client.CloseIdleConnections()
}

// resetState drops what the engine loses in a crash.
func (e *Engine) resetState() {
	e.state.Lock()
	defer e.state.Unlock()
	e.crashCount++
	for _, r := range slices.Concat(e.waiting, e.running) {
		e.abortSequence(r, "the engine restarted")
	}
	e.waiting, e.running, e.ended = nil, nil, nil
	e.sequences = map[string]*sequence{}
	e.resident = map[string]adapter{}
	e.cache.Purge()
	e.highestFence = 0
}

// abortSequence ends a run without a full answer. The caller takes it out of waiting and running.
func (e *Engine) abortSequence(r *sequence, reason string) {
	r.state, r.reason = sequenceAborted, reason
	e.markEnded(r)
}

func (e *Engine) markEnded(r *sequence) {
	r.endedAt = time.Now()
	e.ended = append(e.ended, r)
	close(r.done)
	r.notify()
}

var errNotResident = errors.New("the model does not exist")

// enqueue takes on a request, with its first connection attached.
func (e *Engine) enqueue(c completionParams) (*sequence, error) {
	e.state.Lock()
	defer e.state.Unlock()
	if a, ok := e.resident[c.model]; c.model != e.config.BaseModel && (!ok || a.loading) {
		return nil, errNotResident
	}
	words := strings.Fields(c.prompt)
	r := &sequence{
		completionParams: c, arrivalOrder: e.nextArrival, created: time.Now(), promptTokens: len(words), connections: 1,
		prefixHashes: prefixBlockHashes(c.model, words), contextHash: extendHash(textHash(c.model+"\x00"), c.prompt), changed: make(chan struct{}),
		done: make(chan struct{}),
	}
	e.nextArrival++
	e.stats.Requests++
	e.stats.PromptTokens += r.promptTokens
	e.sequences[r.id] = r
	at, _ := slices.BinarySearchFunc(e.waiting, r, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrivalOrder, b.arrivalOrder))
	})
	e.waiting = slices.Insert(e.waiting, at, r)
	e.evictEnded(r.created)
	if !e.loopRunning {
		e.loopRunning = true
		e.loopDone = make(chan struct{})
		go e.runLoop(e.loopDone)
	}
	return r, nil
}

// evictEnded forgets the streams that ended too long ago to be resumed.
func (e *Engine) evictEnded(now time.Time) {
	for len(e.ended) > 0 && now.Sub(e.ended[0].endedAt) > e.config.StreamRetention {
		r := e.ended[0]
		e.ended = e.ended[1:]
		if e.sequences[r.id] == r {
			delete(e.sequences, r.id)
		}
	}
}

// runLoop runs batches until no request is left, and reports its end on done.
func (e *Engine) runLoop(done chan struct{}) {
	defer close(done)
	next := time.Now()
	for {
		e.state.Lock()
		e.schedule()
		if e.stopIfIdle() {
			e.state.Unlock()
			return
		}
		plan, cost := e.plan()
		e.state.Unlock()
		now := time.Now()
		if now.Sub(next) > maxCatchUpSteps*e.config.StepTime {
			next = now
		}
		next = next.Add(cost)
		timer := time.NewTimer(next.Sub(now))
		select {
		case <-timer.C:
		case <-e.closed:
			timer.Stop()
		}
		e.state.Lock()
		e.runStep(plan)
		e.state.Unlock()
	}
}

// stopIfIdle tells that the loop has nothing left to do.
func (e *Engine) stopIfIdle() bool {
	select {
	case <-e.closed:
		for _, r := range slices.Concat(e.waiting, e.running) {
			e.abortSequence(r, "the engine is closed")
		}
		e.waiting, e.running = nil, nil
	default:
	}
	if len(e.running) == 0 && len(e.waiting) == 0 {
		e.loopRunning = false
		return true
	}
	return false
}

// schedule moves waiting requests into the batch and drops those abandoned.
func (e *Engine) schedule() {
	now := time.Now()
	abandoned := func(r *sequence) bool {
		if r.ended() {
			return true
		}
		if r.connections == 0 && now.Sub(r.detachedAt) > e.config.DetachTimeout {
			e.abortSequence(r, "no connection was left for "+e.config.DetachTimeout.String())
			return true
		}
		return false
	}
	e.running = slices.DeleteFunc(e.running, abandoned)
	e.waiting = slices.DeleteFunc(e.waiting, abandoned)
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxRunning {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.state = sequenceRunning
		cached := 0
		for _, block := range r.prefixHashes {
			if _, ok := e.cache.Get(block); !ok {
				break
			}
			cached += prefixBlockTokens
		}
		r.cachedTokens = cached
		e.stats.CachedTokens += cached
		// The last prompt token is always worked on, because it yields the first token of the answer.
		r.prefill = max(1, r.promptTokens-cached)
		e.running = append(e.running, r)
	}
}

// plan returns the prompt tokens to work on for each request in prefill, and how long the step takes.
func (e *Engine) plan() (map[*sequence]int, time.Duration) {
	plan := map[*sequence]int{}
	budget := e.config.PrefillChunk
	models := map[string]bool{}
	for _, r := range e.running {
		models[r.model] = true
		if n := min(r.prefill, budget); n > 0 {
			plan[r] = n
			budget -= n
		}
	}
	e.stats.Steps++
	e.stats.AdapterSteps += len(models)
	factor := 1 + e.config.AdapterCost*float64(max(0, len(models)-1))
	prefill := time.Duration(e.config.PrefillChunk-budget) * e.config.PrefillTokenTime
	return plan, time.Duration(float64(e.config.StepTime)*factor) + prefill
}

// runStep carries out a planned batch: each request past its prefill gets a token.
func (e *Engine) runStep(plan map[*sequence]int) {
	for _, r := range e.running {
		if r.ended() {
			continue
		}
		if r.prefill > 0 {
			if r.prefill -= plan[r]; r.prefill > 0 {
				continue
			}
			for _, block := range r.prefixHashes {
				e.cache.Add(block, struct{}{})
			}
		}
		e.appendToken(r)
	}
}

func (e *Engine) appendToken(r *sequence) {
	token := nextToken(r.contextHash)
	r.contextHash = extendHash(r.contextHash, token)
	r.tokens = append(r.tokens, token)
	e.stats.Tokens++
	if len(r.tokens) < r.maxTokens {
		r.notify()
		return
	}
	r.state = sequenceFinished
	e.markEnded(r)
}

// attach adds a connection to a stream.
func (e *Engine) attach(id string) (*sequence, bool) {
	e.state.Lock()
	defer e.state.Unlock()
	e.evictEnded(time.Now())
	r, ok := e.sequences[id]
	if ok {
		r.connections++
	}
	return r, ok
}

func (e *Engine) detach(r *sequence) {
	e.state.Lock()
	defer e.state.Unlock()
	r.connections--
	r.detachedAt = time.Now()
}

// cancel stops a stream; found is false for an unknown one, and stopped for one that has ended.
func (e *Engine) cancel(id string) (found, stopped bool) {
	e.state.Lock()
	defer e.state.Unlock()
	r, ok := e.sequences[id]
	if !ok || r.ended() {
		return ok, false
	}
	e.abortSequence(r, "cancelled")
	return true, true
}

// sequenceView is what a connection sees of a sequence.
type sequenceView struct {
	tokens  []string
	state   sequenceState
	reason  string
	changed chan struct{}
}

func (e *Engine) snapshot(r *sequence) sequenceView {
	e.state.Lock()
	defer e.state.Unlock()
	return sequenceView{tokens: r.tokens, state: r.state, reason: r.reason, changed: r.changed}
}

// waitForTokens waits until r has more than n tokens or has ended.
func (e *Engine) waitForTokens(ctx context.Context, r *sequence, n int) (sequenceView, error) {
	for {
		v := e.snapshot(r)
		if len(v.tokens) > n || v.state == sequenceFinished || v.state == sequenceAborted {
			return v, nil
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return v, ctx.Err()
		}
	}
}

// acceptFence applies the fencing number of an order; it returns false for one to be refused.
func (e *Engine) acceptFence(number int64) bool {
	ignored := e.Faults().IgnoreFence
	e.state.Lock()
	defer e.state.Unlock()
	if number >= e.highestFence {
		e.highestFence = number
		return true
	}
	if e.config.ChecksFence && !ignored {
		e.stats.FenceRefused++
		return false
	}
	e.stats.FenceIgnored++
	return true
}

var (
	errLoaded   = errors.New("has already been loaded")
	errNoSlot   = errors.New("cannot be loaded: all slots are taken; unload another adapter first")
	errCrashed  = errors.New("the engine restarted")
	errInjected = errors.New("a set fault makes this load fail")
)

// load loads an adapter. It goes on when its client has closed the connection.
func (e *Engine) load(ctx context.Context, name, path string) error {
	e.state.Lock()
	crashCount := e.crashCount
	_, present := e.resident[name]
	switch {
	case present || name == e.config.BaseModel:
		e.state.Unlock()
		return errLoaded
	case len(e.resident) >= e.config.Slots:
		e.state.Unlock()
		return errNoSlot
	}
	e.resident[name] = adapter{path: path, loading: true}
	e.state.Unlock()

	err := e.fetchWeights(ctx, path)
	if err == nil && e.bernoulli(e.Faults().LoadFailRate) {
		err = errInjected
	}
	e.state.Lock()
	defer e.state.Unlock()
	if e.crashCount != crashCount {
		return errCrashed
	}
	if err != nil {
		e.stats.LoadsFailed++
		delete(e.resident, name)
		return err
	}
	e.stats.Loads++
	e.resident[name] = adapter{path: path}
	return nil
}

func (e *Engine) fetchWeights(ctx context.Context, path string) error {
	if e.config.WeightsURL == "" {
		return sleep(ctx, e.config.LoadTime)
	}
	url := strings.TrimRight(e.config.WeightsURL, "/") + "/weights/" + strings.TrimLeft(path, "/")
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("the weight store answered %s for %s", resp.Status, path)
	}
	return nil
}

// unload frees a slot; it returns false for an adapter that is not loaded. Requests that use the adapter fail.
func (e *Engine) unload(name string) bool {
	e.state.Lock()
	defer e.state.Unlock()
	if a, ok := e.resident[name]; !ok || a.loading {
		return false
	}
	delete(e.resident, name)
	e.stats.Unloads++
	inUse := false
	for _, r := range slices.Concat(e.waiting, e.running) {
		if r.model == name && !r.ended() {
			inUse = true
			e.abortSequence(r, "adapter "+name+" was unloaded while in use")
		}
	}
	if inUse {
		e.stats.UnloadedInUse++
	}
	return true
}

// The hash is FNV-1a, which can be continued from any point: the hash of a prompt with the first part of its answer
// equals the running hash at that point of the answer.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

const (
	consonants = "bdfgklmnprstvz"
	vowels     = "aeiou"
	syllables  = 3
)
