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
	// DefaultDetachTimeout is how long a request without a connection continues to run.
	DefaultDetachTimeout = 5 * time.Second
	// DefaultStreamRetention is how long a stream can be resumed after its end.
	DefaultStreamRetention = time.Minute
	// defaultMaxTokens applies to requests without max_tokens, as in vLLM.
	defaultMaxTokens = 16
	// prefixBlockTokens is the block size of the prefix cache in tokens.
	prefixBlockTokens = 16
	// maxCatchUpSteps limits how far, in steps, the loop may be behind schedule and still catch up after a pause of the
	// process. Beyond it, the schedule restarts at the current time.
	maxCatchUpSteps = 10
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	// BaseModel is the name of the base model, which is always resident and takes no slot; DefaultBaseModel if empty.
	BaseModel string
	// Resident lists the adapters that are loaded at the start. A crash unloads them too.
	Resident []string
	// Slots is the maximum number of resident adapters; DefaultSlots if 0.
	Slots int
	// MaxRunning is the maximum batch size; DefaultMaxRunning if 0.
	MaxRunning int
	// StepTime is the duration of a step, which generates a token for each running request; DefaultStepTime if 0.
	StepTime time.Duration
	// AdapterCost is the fraction of StepTime that each additional adapter in the batch adds; DefaultAdapterCost if 0.
	AdapterCost float64
	// PrefillTokenTime is the prefill time of an uncached prompt token; DefaultPrefillTokenTime if 0.
	PrefillTokenTime time.Duration
	// PrefillChunk is the maximum number of prompt tokens processed in one step; DefaultPrefillChunk if 0.
	PrefillChunk int
	// CacheTokens is the capacity of the prefix cache in tokens; DefaultCacheTokens if 0.
	CacheTokens int
	// WeightsURL is the platform's URL. A load fetches /weights/PATH from it, or takes LoadTime if WeightsURL is empty.
	WeightsURL string
	// LoadTime is the duration of a load without WeightsURL.
	LoadTime time.Duration
	// ChecksFence makes the engine reject adapter requests whose fencing token is below the highest one received.
	ChecksFence bool
	// DetachTimeout is how long a request without a connection continues to run; DefaultDetachTimeout if 0.
	DetachTimeout time.Duration
	// StreamRetention is how long a stream can be resumed after its end; DefaultStreamRetention if 0.
	StreamRetention time.Duration
	// ColdStart is how long the engine is cold after its start and after a crash. A cold engine's steps take ColdFactor
	// times as long, DefaultColdFactor if 0, and it crashes if it gets well above ColdPerSecond requests a second, unless
	// that is 0.
	ColdStart     time.Duration
	ColdPerSecond float64
	ColdFactor    float64
	// Seed of the random numbers for faults with a rate.
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
	setDefault(&c.ColdFactor, DefaultColdFactor)
	return c
}

type sequenceState int

const (
	sequenceWaiting sequenceState = iota
	sequenceRunning
	sequenceFinished
	// sequenceAborted means that the sequence ended early: it was cancelled, had no connection for too long, lost its
	// adapter, or the engine crashed or was closed.
	sequenceAborted
)

// completionParams holds the parameters of a completion request.
type completionParams struct {
	id        string
	model     string
	prompt    string
	chat      bool
	priority  int
	maxTokens int
}

// sequence is a completion request in the engine. All fields except completionParams are guarded by Engine.state.
type sequence struct {
	completionParams

	state sequenceState
	// reason is the error message of an aborted sequence.
	reason       string
	arrivalOrder int
	created      time.Time
	promptTokens int
	cachedTokens int
	// prefill is the number of prompt tokens still to be processed.
	prefill      int
	prefixHashes []uint64
	// contextHash is the hash of the model, the prompt and the tokens generated so far.
	contextHash uint64
	tokens      []string
	// connections is the number of connections that wait for the response.
	connections int
	// detachedAt is the time when the last connection was closed. It is valid while connections is 0.
	detachedAt time.Time
	endedAt    time.Time
	// changed is closed and replaced when tokens or state changes.
	changed chan struct{}
	// done is closed when the sequence ends.
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

// EngineStats holds counters of an engine. A crash does not reset them.
type EngineStats struct {
	// Loads and Unloads count the completed loads and unloads.
	Loads       int
	Unloads     int
	LoadsFailed int
	// UnloadedInUse counts unloads of an adapter that waiting or running requests used. Those requests fail.
	UnloadedInUse int
	// FenceRefused counts adapter requests rejected because of a stale fencing token, FenceIgnored those accepted
	// despite one.
	FenceRefused int
	FenceIgnored int
	// Requests counts the accepted completion requests, Tokens the generated tokens.
	Requests int
	Tokens   int
	// PromptTokens counts the prompt tokens, CachedTokens those of them found in the prefix cache.
	PromptTokens int
	CachedTokens int
	// Steps counts the steps, AdapterSteps sums up the number of distinct models in the batch of each step.
	Steps        int
	AdapterSteps int
	// ColdCrashes counts the crashes because of too many requests to the cold engine.
	ColdCrashes int
}

// Engine emulates a model engine with the API of vLLM's OpenAI-compatible server. A crash loses its resident adapters,
// prefix cache, requests and fencing token.
type Engine struct {
	*faultInjector

	config EngineConfig
	client *http.Client

	// state guards the fields below.
	state        sync.Mutex
	resident     map[string]adapter
	highestFence int64
	waiting      []*sequence
	running      []*sequence
	sequences    map[string]*sequence
	// ended holds the ended sequences in the order of their ends.
	ended       []*sequence
	cache       *lru.Cache[uint64, struct{}]
	nextArrival int
	stats       EngineStats
	// crashCount is the number of crashes. A load that was in progress during a crash has no effect.
	crashCount int
	cold       coldState
	// loopDone is closed when the step loop ends. It is nil before the first request.
	loopDone      chan struct{}
	loopRunning   bool
	closed        chan struct{}
	cachedMetrics engineMetrics
}

// NewEngine returns an Engine with the adapters of c.Resident loaded. Close stops its step loop.
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
	e.SetCold(c.ColdStart)
	return e
}

// Stats returns a snapshot of the counters.
func (e *Engine) Stats() EngineStats {
	e.state.Lock()
	defer e.state.Unlock()
	return e.stats
}

// Resident returns the sorted names of the loaded adapters.
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

// Close stops the step loop and waits for its end. Waiting and running requests are aborted.
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

// resetState drops the state that does not survive a crash.
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
	e.cold = coldState{until: time.Now().Add(e.config.ColdStart)}
}

// abortSequence ends a sequence early. The caller removes it from waiting and running.
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

// enqueue adds a request to the waiting queue, with one connection attached, and starts the step loop if needed.
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

// evictEnded removes the sequences that ended more than StreamRetention ago.
func (e *Engine) evictEnded(now time.Time) {
	for len(e.ended) > 0 && now.Sub(e.ended[0].endedAt) > e.config.StreamRetention {
		r := e.ended[0]
		e.ended = e.ended[1:]
		if e.sequences[r.id] == r {
			delete(e.sequences, r.id)
		}
	}
}

// runLoop executes steps until no request is left or the engine is closed, and then closes done.
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

// stopIfIdle reports whether the loop must end, because no request is left. Once the engine is closed it aborts all
// requests.
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

// schedule aborts requests that have had no connection for longer than DetachTimeout and then fills the batch with
// waiting requests.
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
		// At least the last prompt token must be processed, because that yields the first generated token.
		r.prefill = max(1, r.promptTokens-cached)
		e.running = append(e.running, r)
	}
}

// plan returns the number of prompt tokens to process for each request in prefill, and the duration of the step.
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
	cost := time.Duration(float64(e.config.StepTime)*factor) + prefill
	if e.cold.isCold(time.Now()) {
		cost = time.Duration(float64(cost) * e.config.ColdFactor)
	}
	return plan, cost
}

// runStep executes a planned step: each request whose prefill is complete gets a token.
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

// attach adds a connection to a sequence.
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

// cancel aborts a sequence. found is false if the ID is unknown, and stopped is false if the sequence has ended already.
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

// sequenceView is a snapshot of the part of a sequence that connections read.
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

// acceptFence records the fencing token of an adapter request, or returns false if the request must be rejected because
// its token is stale.
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

// load loads an adapter, which takes a slot from the start of the load. The load continues if the client disconnects.
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

// unload unloads an adapter, or returns false if it is not loaded. Requests that use the adapter are aborted.
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

// Parameters of FNV-1a. It is computed incrementally, so the hash of a prompt followed by the first generated tokens
// equals the running hash after these tokens, and a continuation on another engine generates the same tokens.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

const (
	consonants = "bdfgklmnprstvz"
	vowels     = "aeiou"
	syllables  = 3
)
