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
	// DefaultDetached is how long a request goes on without a connection.
	DefaultDetached = 5 * time.Second
	// DefaultKeep is how long an ended stream can be resumed.
	DefaultKeep = time.Minute
	// defaultMaxTokens is the length of an answer to a request without max_tokens, as in vLLM.
	defaultMaxTokens = 16
	// blockTokens is the size of the units in which prefixes are cached.
	blockTokens = 16
	// maxBehind bounds by how many steps the loop catches up after a pause of the process.
	maxBehind = 10
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
	// Detached is DefaultDetached when 0.
	Detached time.Duration
	// Keep is DefaultKeep when 0.
	Keep time.Duration
	// Seed of the faults with a rate.
	Seed uint64
}

func orDefault[T comparable](value *T, byDefault T) {
	var zero T
	if *value == zero {
		*value = byDefault
	}
}

func (c EngineConfig) withDefaults() EngineConfig {
	orDefault(&c.BaseModel, DefaultBaseModel)
	orDefault(&c.Slots, DefaultSlots)
	orDefault(&c.MaxRunning, DefaultMaxRunning)
	orDefault(&c.StepTime, DefaultStepTime)
	orDefault(&c.AdapterCost, DefaultAdapterCost)
	orDefault(&c.PrefillTokenTime, DefaultPrefillTokenTime)
	orDefault(&c.PrefillChunk, DefaultPrefillChunk)
	orDefault(&c.CacheTokens, DefaultCacheTokens)
	orDefault(&c.Detached, DefaultDetached)
	orDefault(&c.Keep, DefaultKeep)
	return c
}

// runState is the state of a request at the engine.
type runState int

const (
	runWaiting runState = iota
	runRunning
	runFinished
	// runStopped ended without a full answer: it was cancelled, abandoned, or lost its adapter.
	runStopped
)

// completion is what a request asks for.
type completion struct {
	id       string
	model    string
	prompt   string
	chat     bool
	priority int
	max      int
}

// sequence is a request at the engine. All fields but the completion are guarded by the engine's lock.
type sequence struct {
	completion

	state    runState
	reason   string
	arrived  int
	created  time.Time
	promptN  int
	cachedN  int
	prefill  int
	blocks   []uint64
	hash     uint64
	tokens   []string
	attached int
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

func (r *sequence) ended() bool { return r.state == runFinished || r.state == runStopped }

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
	*control

	config EngineConfig
	client *http.Client

	state    sync.Mutex
	resident map[string]adapter
	fence    int64
	waiting  []*sequence
	running  []*sequence
	runs     map[string]*sequence
	// kept holds the ended runs, oldest first.
	kept     []*sequence
	cache    *lru.Cache[uint64, struct{}]
	arrivals int
	stats    EngineStats
	// crashes numbers the lives of the engine; a load of an earlier life has no effect.
	crashes int
	// loop is closed when the step loop has ended; it is nil before the first request.
	loop    chan struct{}
	looping bool
	closed  chan struct{}
	shown   engineMetrics
}

// NewEngine returns an Engine with the configured adapters resident.
func NewEngine(c EngineConfig) *Engine {
	c = c.withDefaults()
	cache, err := lru.New[uint64, struct{}](max(1, c.CacheTokens/blockTokens))
	if err != nil {
		panic(err) // Only a size below 1 is an error.
	}
	e := &Engine{
		config: c, client: &http.Client{Transport: &http.Transport{}}, resident: map[string]adapter{},
		runs: map[string]*sequence{}, cache: cache, closed: make(chan struct{}),
	}
	for _, name := range c.Resident {
		e.resident[name] = adapter{path: name}
	}
	e.control = newControl(c.Seed, writesByMethod, e.forget)
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
	loop := e.loop
	select {
	case <-e.closed:
	default:
		close(e.closed)
	}
	e.state.Unlock()
	if loop != nil {
		<-loop
	}
	e.client.CloseIdleConnections()
}

// forget drops what the engine loses in a crash.
func (e *Engine) forget() {
	e.state.Lock()
	defer e.state.Unlock()
	e.crashes++
	for _, r := range slices.Concat(e.waiting, e.running) {
		e.stop(r, "the engine restarted")
	}
	e.waiting, e.running, e.kept = nil, nil, nil
	e.runs = map[string]*sequence{}
	e.resident = map[string]adapter{}
	e.cache.Purge()
	e.fence = 0
}

// stop ends a run without a full answer. The caller takes it out of waiting and running.
func (e *Engine) stop(r *sequence, reason string) {
	r.state, r.reason = runStopped, reason
	e.keep(r)
}

func (e *Engine) keep(r *sequence) {
	r.endedAt = time.Now()
	e.kept = append(e.kept, r)
	close(r.done)
	r.notify()
}

var errNotResident = errors.New("the model does not exist")

// begin takes on a request, with its first connection attached.
func (e *Engine) begin(c completion) (*sequence, error) {
	e.state.Lock()
	defer e.state.Unlock()
	if a, ok := e.resident[c.model]; c.model != e.config.BaseModel && (!ok || a.loading) {
		return nil, errNotResident
	}
	words := strings.Fields(c.prompt)
	r := &sequence{
		completion: c, arrived: e.arrivals, created: time.Now(), promptN: len(words), attached: 1,
		blocks: prefixBlocks(c.model, words), hash: extendHash(textHash(c.model+"\x00"), c.prompt), changed: make(chan struct{}),
		done: make(chan struct{}),
	}
	e.arrivals++
	e.stats.Requests++
	e.stats.PromptTokens += r.promptN
	e.runs[r.id] = r
	at, _ := slices.BinarySearchFunc(e.waiting, r, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrived, b.arrived))
	})
	e.waiting = slices.Insert(e.waiting, at, r)
	e.expire(r.created)
	if !e.looping {
		e.looping = true
		e.loop = make(chan struct{})
		go e.steps(e.loop)
	}
	return r, nil
}

// expire forgets the streams that ended too long ago to be resumed.
func (e *Engine) expire(now time.Time) {
	for len(e.kept) > 0 && now.Sub(e.kept[0].endedAt) > e.config.Keep {
		r := e.kept[0]
		e.kept = e.kept[1:]
		if e.runs[r.id] == r {
			delete(e.runs, r.id)
		}
	}
}

// steps runs batches until no request is left, and reports its end on done.
func (e *Engine) steps(done chan struct{}) {
	defer close(done)
	next := time.Now()
	for {
		e.state.Lock()
		e.admit()
		if e.stopLoop() {
			e.state.Unlock()
			return
		}
		plan, cost := e.plan()
		e.state.Unlock()
		now := time.Now()
		if now.Sub(next) > maxBehind*e.config.StepTime {
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
		e.step(plan)
		e.state.Unlock()
	}
}

// stopLoop tells that the loop has nothing left to do.
func (e *Engine) stopLoop() bool {
	select {
	case <-e.closed:
		for _, r := range slices.Concat(e.waiting, e.running) {
			e.stop(r, "the engine is closed")
		}
		e.waiting, e.running = nil, nil
	default:
	}
	if len(e.running) == 0 && len(e.waiting) == 0 {
		e.looping = false
		return true
	}
	return false
}

// admit moves waiting requests into the batch and drops those abandoned.
func (e *Engine) admit() {
	now := time.Now()
	abandoned := func(r *sequence) bool {
		if r.ended() {
			return true
		}
		if r.attached == 0 && now.Sub(r.detachedAt) > e.config.Detached {
			e.stop(r, "no connection was left for "+e.config.Detached.String())
			return true
		}
		return false
	}
	e.running = slices.DeleteFunc(e.running, abandoned)
	e.waiting = slices.DeleteFunc(e.waiting, abandoned)
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxRunning {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.state = runRunning
		cached := 0
		for _, block := range r.blocks {
			if _, ok := e.cache.Get(block); !ok {
				break
			}
			cached += blockTokens
		}
		r.cachedN = cached
		e.stats.CachedTokens += cached
		// The last prompt token is always worked on, because it yields the first token of the answer.
		r.prefill = max(1, r.promptN-cached)
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

// step carries out a planned batch: each request past its prefill gets a token.
func (e *Engine) step(plan map[*sequence]int) {
	for _, r := range e.running {
		if r.ended() {
			continue
		}
		if r.prefill > 0 {
			if r.prefill -= plan[r]; r.prefill > 0 {
				continue
			}
			for _, block := range r.blocks {
				e.cache.Add(block, struct{}{})
			}
		}
		e.emit(r)
	}
}

func (e *Engine) emit(r *sequence) {
	token := tokenOf(r.hash)
	r.hash = extendHash(r.hash, token)
	r.tokens = append(r.tokens, token)
	e.stats.Tokens++
	if len(r.tokens) < r.max {
		r.notify()
		return
	}
	r.state = runFinished
	e.keep(r)
}

// attach adds a connection to a stream.
func (e *Engine) attach(id string) (*sequence, bool) {
	e.state.Lock()
	defer e.state.Unlock()
	e.expire(time.Now())
	r, ok := e.runs[id]
	if ok {
		r.attached++
	}
	return r, ok
}

func (e *Engine) detach(r *sequence) {
	e.state.Lock()
	defer e.state.Unlock()
	r.attached--
	r.detachedAt = time.Now()
}

// cancel stops a stream; found is false for an unknown one, and stopped for one that has ended.
func (e *Engine) cancel(id string) (found, stopped bool) {
	e.state.Lock()
	defer e.state.Unlock()
	r, ok := e.runs[id]
	if !ok || r.ended() {
		return ok, false
	}
	e.stop(r, "cancelled")
	return true, true
}

// view is what a connection sees of a sequence.
type view struct {
	tokens  []string
	state   runState
	reason  string
	changed chan struct{}
}

func (e *Engine) look(r *sequence) view {
	e.state.Lock()
	defer e.state.Unlock()
	return view{tokens: r.tokens, state: r.state, reason: r.reason, changed: r.changed}
}

// await waits until r has more than n tokens or has ended.
func (e *Engine) await(ctx context.Context, r *sequence, n int) (view, error) {
	for {
		v := e.look(r)
		if len(v.tokens) > n || v.state == runFinished || v.state == runStopped {
			return v, nil
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return v, ctx.Err()
		}
	}
}

// checkFence applies the fencing number of an order; it returns false for one to be refused.
func (e *Engine) checkFence(number int64) bool {
	ignored := e.Faults().IgnoreFence
	e.state.Lock()
	defer e.state.Unlock()
	if number >= e.fence {
		e.fence = number
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
	crashes := e.crashes
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

	err := e.fetch(ctx, path)
	if err == nil && e.chance(e.Faults().LoadFailRate) {
		err = errInjected
	}
	e.state.Lock()
	defer e.state.Unlock()
	if e.crashes != crashes {
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

func (e *Engine) fetch(ctx context.Context, path string) error {
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
			e.stop(r, "adapter "+name+" was unloaded while in use")
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
