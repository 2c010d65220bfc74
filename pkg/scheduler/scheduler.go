// Package scheduler orders the requests that wait for one endpoint, so that organisations share it by their weights. It
// owns the waiting requests and the service counters by organisation of one sidecar, in its memory; only that sidecar
// writes them. It needs no store and is unaffected when the platform's store is unavailable.
package scheduler

import (
	"container/heap"
	"container/list"
	"iter"
	"slices"
	"time"
)

// answerWeight is what a response token costs in prompt tokens: prompts are processed in parallel, and responses
// token by token.
const answerWeight = 2

// Cost returns the service, in weighted tokens, of a request with the given numbers of tokens.
func Cost(promptTokens, answerTokens int) float64 {
	return float64(promptTokens) + answerWeight*float64(answerTokens)
}

// Request is a request that waits for the endpoint.
type Request struct {
	ID           string
	Organisation string
	// Weight is the organisation's share relative to others; 1 when not positive.
	Weight float64
	// Adapter is the engine's name of it, ADAPTER@VERSION; empty for a plain service.
	Adapter      string
	PromptTokens int
	// AnswerTokens is the expected length of the response; the caller's limit when nothing better is known.
	AnswerTokens int
	// Priority orders requests of the same organisation; smaller is served earlier.
	Priority int
	// Deadline is when the caller gives up; 0 for never.
	Deadline time.Duration
	// Arrived is set by WithRequest when it is 0.
	Arrived time.Duration
	// Charged is set by Next to the service that was charged.
	Charged float64
}

// Cost returns the request's expected service.
func (r Request) Cost() float64 { return Cost(r.PromptTokens, r.AnswerTokens) }

// Config configures a Queue.
type Config struct {
	// Policy chooses between organisations; TokenCounter when nil.
	Policy Policy
	// MaxRunning is the number of requests that the engine batches at once; no limit when 0.
	MaxRunning int
	// GroupingTokens bounds the cost of the requests with a resident adapter that may be served before one whose
	// adapter is absent. Without it the order ignores residency.
	GroupingTokens float64
	// CreditTokens is how much service an organisation that returns from idle may have received less than the
	// backlogged ones. Without it, the requests that an organisation sends in quick succession, while it uses less than
	// its share, wait as if it had a long queue. It is the burst of a token bucket whose rate is the share: over any
	// time an organisation gains at most this much from having been idle.
	CreditTokens float64
	// Reserved is how many of MaxRunning are kept from organisations that have had requests waiting for longer than
	// BackloggedFor and run at least their share of MaxRunning, for the others seen within ActiveFor. Without it an
	// organisation with a long queue holds the whole batch, and each request of another one waits for the end of one of
	// its requests. None is kept when there are no others, nor when State.RunningBy is nil.
	Reserved int
	// BackloggedFor is DefaultBackloggedFor when 0.
	BackloggedFor time.Duration
	// ReservedTokens bounds the service by which an organisation gets ahead of others through Reserved.
	ReservedTokens float64
	// ActiveFor is DefaultActiveFor when 0.
	ActiveFor time.Duration
	// MaxLongPrefills bounds how many prompts of at least LongPromptTokens are processed at once; no limit when 0.
	MaxLongPrefills  int
	LongPromptTokens int
	// TokensPerSecond is the speed of the whole endpoint in weighted tokens (see Cost), and PromptTokensPerSecond that
	// of one prompt. They serve to refuse requests that would miss their deadline; 0 refuses only at the deadline.
	TokensPerSecond       float64
	PromptTokensPerSecond float64
}

// DefaultActiveFor is how long after its last arrival an organisation keeps its share of the batch.
const DefaultActiveFor = time.Minute

// DefaultBackloggedFor is how long an organisation's requests may wait, without a break, before it counts as one with
// a long queue. Organisations that send their rate have short queues now and then: with 250 ms they were denied the
// reserved part so often that their p99 at a high load was twice that with 1 s; with 3 s an excess was noticed late.
const DefaultBackloggedFor = time.Second

// State is what the endpoint reports at the time of a pick.
type State struct {
	// Running is the number of requests given to the engine and not ended.
	Running int
	// RunningBy is the part of Running of one organisation.
	RunningBy func(organisation string) int
	// LongPrefills is the number of long prompts given to the engine whose first token has not come.
	LongPrefills int
	// Resident says whether an adapter can be used without a load; all can when nil.
	Resident func(adapter string) bool
}

// lookahead is how many requests of each kind a pick looks at, within one organisation, to find a resident adapter.
// It bounds the cost of a pick.
const lookahead = 16

// Queue holds the waiting requests of one endpoint. A method returns the queue to use from then on. The queue owns its
// structures and changes them in place, because copying 10,000 waiting requests with each pick would cost more than the
// pick: the value that a method was called on must not be used again, and one owner at a time may call methods.
//
// While two organisations both wait, their services, each over its weight, differ by at most
// 2·max(cost of one request, cost of a full batch)/weight + max(GroupingTokens, ReservedTokens)/weight
// + CreditTokens/weight.
type Queue struct {
	config Config
	*state
}

type state struct {
	organisations map[string]*organisation
	// backlogged are the organisations with waiting requests, in no order that matters.
	backlogged []*organisation
	items      map[string]*item
	// deadlines orders the waiting requests by the latest time at which their prompt can start.
	deadlines deadlines
	// hopeless are IDs whose deadline could not be met when they arrived.
	hopeless []string
	arrivals int64
	picks    int64
	// left is the counter of the organisation that last stopped waiting.
	left   float64
	tokens float64
	// charged and used are decaying sums, over completed requests, of the cost charged and the cost found.
	charged, used float64
}

type organisation struct {
	Standing
	weight float64
	// declared and answered are decaying sums, over completed requests, of the expected and the real response tokens.
	declared, answered float64
	// seen is the time of the last arrival, and since that of the last arrival when nothing was waiting.
	seen, since time.Duration
	// floor is the counter that the organisation had when it last returned from idle. A correction for a request
	// from before does not go below it, which would be credit for idle time.
	floor float64
	// classes hold the waiting requests by priority, in rising order of it.
	classes []*class
	cost    float64
	waiting int
	// index is the place in backlogged.
	index int
}

// class holds requests of one priority in the order of arrival, short and long prompts apart, so that long ones that
// must wait for one another can be passed by.
type class struct {
	priority    int
	short, long list.List
}

type item struct {
	Request
	arrival      int64
	organisation *organisation
	list         *list.List
	element      *list.Element
	// bypassed is the cost of the requests served before this one because of grouping.
	bypassed float64
	latest   time.Duration
	// deadline is the place in deadlines; -1 when the request has none.
	deadline int
}

// New returns an empty queue.
func New(c Config) Queue {
	if c.Policy == nil {
		c.Policy = TokenCounter{}
	}
	if c.ActiveFor == 0 {
		c.ActiveFor = DefaultActiveFor
	}
	if c.BackloggedFor == 0 {
		c.BackloggedFor = DefaultBackloggedFor
	}
	return Queue{config: c, state: &state{organisations: map[string]*organisation{}, items: map[string]*item{}}}
}

// WithRequest adds a request. An ID that is waiting already is ignored.
func (q Queue) WithRequest(r Request, now time.Duration) Queue {
	if _, waiting := q.items[r.ID]; waiting {
		return q
	}
	if r.Weight <= 0 {
		r.Weight = 1
	}
	if r.Arrived == 0 {
		r.Arrived = now
	}
	o := q.organisation(r.Organisation)
	// A changed weight applies to the service from now on.
	o.weight, o.seen = r.Weight, now
	if o.waiting == 0 {
		o.since = now
		q.enter(o, q.config.CreditTokens)
	}
	q.arrivals++
	it := &item{Request: r, arrival: q.arrivals, organisation: o, deadline: -1}
	it.list = o.class(r.Priority).list(q.longPrompt(r))
	it.element = it.list.PushBack(it)
	q.items[r.ID] = it
	if r.Deadline > 0 {
		it.latest = r.Deadline - q.prefill(r)
		heap.Push(&q.deadlines, it)
		if now+q.wait(o) > it.latest {
			q.hopeless = append(q.hopeless, r.ID)
		}
	}
	o.waiting++
	o.cost += r.Cost()
	q.tokens += r.Cost()
	o.Head = o.head().arrival
	return q
}

// Next picks the request to give to the engine. When its adapter is absent, the owner starts the load and sets the
// request aside until it is ready.
func (q Queue) Next(s State, now time.Duration) (Queue, Request, bool) {
	if q.config.MaxRunning > 0 && s.Running >= q.config.MaxRunning {
		return q, Request{}, false
	}
	first := q.first(s)
	if first == nil {
		return q, Request{}, false
	}
	if first = q.unreserved(first, s, now); first == nil {
		return q, Request{}, false
	}
	pick := q.grouped(first, s)
	if pick != first {
		first.bypassed += pick.Cost()
	}
	o := pick.organisation
	q.picks++
	o.Turn = q.picks
	pick.Charged = o.expected(pick.Request)
	o.Service += pick.Charged / o.weight
	q.remove(pick)
	return q, pick.Request, true
}

// WithService corrects an organisation's service by tokens, the cost of the tokens that a request used less
// Request.Charged.
func (q Queue) WithService(organisation string, tokens float64) Queue {
	o := q.organisation(organisation)
	corrected := o.Service + tokens/o.weight
	if tokens < 0 {
		corrected = max(corrected, min(o.Service, o.floor))
	}
	o.Service = corrected
	return q
}

// WithCompletion corrects the service of a request's organisation by the tokens that it really used, and learns
// from it how much of the expected cost requests use.
func (q Queue) WithCompletion(r Request, promptTokens, answerTokens int) Queue {
	used := Cost(promptTokens, answerTokens)
	q.charged += r.Cost()
	q.used += used
	if q.charged > usageWindow {
		q.charged /= 2
		q.used /= 2
	}
	o := q.organisation(r.Organisation)
	o.declared += float64(r.AnswerTokens)
	o.answered += float64(answerTokens)
	if o.declared > usageWindow {
		o.declared /= 2
		o.answered /= 2
	}
	return q.WithService(r.Organisation, used-r.Charged)
}

// Without removes a waiting request, as after a void message. An unknown ID is ignored.
func (q Queue) Without(id string) Queue {
	if it, waiting := q.items[id]; waiting {
		q.remove(it)
	}
	return q
}

// Refusals removes and returns the requests that would miss their deadline, to be refused as not run.
func (q Queue) Refusals(now time.Duration) (Queue, []Request) {
	var refused []Request
	for _, id := range q.hopeless {
		if it, waiting := q.items[id]; waiting {
			q.remove(it)
			refused = append(refused, it.Request)
		}
	}
	q.hopeless = nil
	for len(q.deadlines) > 0 && q.deadlines[0].latest < now {
		it := q.deadlines[0]
		q.remove(it)
		refused = append(refused, it.Request)
	}
	return q, refused
}

// Load is what waits.
type Load struct {
	Requests int
	// Tokens is the expected cost of the waiting requests.
	Tokens        float64
	Organisations int
}

// Load returns what waits.
func (q Queue) Load() Load {
	return Load{Requests: len(q.items), Tokens: q.tokens, Organisations: len(q.backlogged)}
}

// FairTokens returns Load.Tokens without the organisations that have had requests waiting for longer than BackloggedFor.
// It is what a request of an organisation without such a queue waits for, and so the figure for choosing between
// endpoints: a neighbour's long queue makes no difference to others.
func (q Queue) FairTokens(now time.Duration) float64 {
	tokens := 0.0
	for _, o := range q.backlogged {
		if !q.long(o, now) {
			tokens += o.cost
		}
	}
	return tokens
}

// long says whether an organisation has had requests waiting without a break for longer than BackloggedFor.
func (q Queue) long(o *organisation, now time.Duration) bool {
	return o.waiting > 0 && now-o.since > q.config.BackloggedFor
}

// Standing returns an organisation's service and turn.
func (q Queue) Standing(name string) Standing {
	if o, known := q.organisations[name]; known {
		return o.Standing
	}
	return Standing{Organisation: name}
}

// heads yields the next request of each organisation that has one which may start now.
func (q Queue) heads(s State) iter.Seq[*item] {
	return func(yield func(*item) bool) {
		for _, o := range q.backlogged {
			it := o.head()
			if q.blocked(it, s) {
				it = o.shortHead()
			}
			if it != nil && !yield(it) {
				return
			}
		}
	}
}

// blocked says whether a request has a long prompt and must wait for another one.
func (q Queue) blocked(it *item, s State) bool {
	return q.config.MaxLongPrefills > 0 && s.LongPrefills >= q.config.MaxLongPrefills && q.longPrompt(it.Request)
}

// first returns the request that the policy puts first among those allowed to start, or nil.
func (q Queue) first(s State) *item {
	var best *item
	for it := range q.heads(s) {
		if best == nil || q.config.Policy.Before(it.standing(), best.standing()) {
			best = it
		}
	}
	return best
}

// unreserved returns first, if the batch has room for its organisation beside the reserved part, else the request that
// comes next among the organisations that may use that part, or nil.
func (q Queue) unreserved(first *item, s State, now time.Duration) *item {
	if s.RunningBy == nil || q.config.Reserved == 0 || s.Running < q.config.MaxRunning-q.config.Reserved {
		return first
	}
	weights, others := 0.0, false
	for _, o := range q.organisations {
		if o.waiting > 0 || now-o.seen < q.config.ActiveFor {
			weights += o.weight
			others = others || !q.long(o, now)
		}
	}
	below := func(o *organisation) bool {
		return !others || !q.long(o, now) || float64(s.RunningBy(o.Organisation)) < float64(q.config.MaxRunning)*o.weight/weights
	}
	if below(first.organisation) {
		return first
	}
	var best *item
	for it := range q.heads(s) {
		if !below(it.organisation) || q.lead(it, first) > q.config.ReservedTokens {
			continue
		}
		if best == nil || q.config.Policy.Before(it.standing(), best.standing()) {
			best = it
		}
	}
	return best
}

func (it *item) standing() Standing {
	standing := it.organisation.Standing
	standing.Head = it.arrival
	return standing
}

// grouped returns a request with a resident adapter to serve before first, if first's adapter is absent and the bound
// allows it: another of the same organisation if there is one, else the head of the organisation that comes next.
func (q Queue) grouped(first *item, s State) *item {
	resident := func(it *item) bool { return it.Adapter == "" || s.Resident == nil || s.Resident(it.Adapter) }
	if resident(first) {
		return first
	}
	may := func(it *item) bool {
		return it != first && first.bypassed+it.Cost() <= q.config.GroupingTokens && !q.blocked(it, s) && resident(it)
	}
	for it := range first.organisation.ahead() {
		if may(it) {
			return it
		}
	}
	var best *item
	for it := range q.heads(s) {
		if !may(it) || q.lead(it, first) > q.config.GroupingTokens {
			continue
		}
		if best == nil || q.config.Policy.Before(it.standing(), best.standing()) {
			best = it
		}
	}
	if best == nil {
		return first
	}
	return best
}

// lead returns by how much service, in tokens of first's organisation, serving it would put its organisation ahead of
// first's. A bound on each request alone would not do: an organisation whose requests all need loads would be bypassed
// again before each of them, and fall behind without limit.
func (q Queue) lead(it, first *item) float64 {
	after := it.organisation.Service + it.Cost()/it.organisation.weight
	return (after - first.organisation.Service) * first.organisation.weight
}

// ahead yields the first waiting requests of the organisation, up to lookahead of each priority and kind.
func (o *organisation) ahead() iter.Seq[*item] {
	return func(yield func(*item) bool) {
		for _, c := range o.classes {
			for _, l := range []*list.List{&c.short, &c.long} {
				element := l.Front()
				for i := 0; element != nil && i < lookahead; i, element = i+1, element.Next() {
					if !yield(element.Value.(*item)) {
						return
					}
				}
			}
		}
	}
}

func (q Queue) longPrompt(r Request) bool {
	return q.config.LongPromptTokens > 0 && r.PromptTokens >= q.config.LongPromptTokens
}

// prefill returns how long a request's prompt takes.
func (q Queue) prefill(r Request) time.Duration {
	if q.config.PromptTokensPerSecond <= 0 {
		return 0
	}
	return seconds(float64(r.PromptTokens) / q.config.PromptTokensPerSecond)
}

// wait estimates how long a new request of o waits for what its organisation has waiting, at the organisation's share
// of the endpoint. The cost charged is often the caller's limit, so it is scaled by what requests used lately.
func (q Queue) wait(o *organisation) time.Duration {
	if q.config.TokensPerSecond <= 0 {
		return 0
	}
	weights := 0.0
	for _, other := range q.backlogged {
		weights += other.weight
	}
	share := 1.0
	if weights > 0 {
		share = o.weight / weights
	}
	return seconds(o.cost * q.usage() / (q.config.TokensPerSecond * share))
}

// usage returns the share of the charged cost that requests used lately. It is 0 before any has completed, when the
// estimate would be a guess and could refuse requests that would have been in time.
func (q Queue) usage() float64 {
	if q.charged <= 0 {
		return 0
	}
	return q.used / q.charged
}

// usageWindow is the charged cost after which older completions count half.
const usageWindow = 1e6

func (s *state) organisation(name string) *organisation {
	o, known := s.organisations[name]
	if !known {
		o = &organisation{Standing: Standing{Organisation: name}, weight: 1}
		s.organisations[name] = o
	}
	return o
}

// enter lifts the counter of an organisation that returns from idle to the smallest of the backlogged ones less the
// credit, so that idle time gives no more than that, and adds it to them.
func (s *state) enter(o *organisation, credit float64) {
	lift := s.left
	for i, other := range s.backlogged {
		if i == 0 || other.Service < lift {
			lift = other.Service
		}
	}
	lift -= credit / o.weight
	o.Service = max(o.Service, lift)
	o.floor = lift
	o.index = len(s.backlogged)
	s.backlogged = append(s.backlogged, o)
}

func (s *state) remove(it *item) {
	o := it.organisation
	it.list.Remove(it.element)
	delete(s.items, it.ID)
	if it.deadline >= 0 {
		heap.Remove(&s.deadlines, it.deadline)
	}
	o.waiting--
	o.cost -= it.Cost()
	s.tokens -= it.Cost()
	if o.waiting > 0 {
		o.Head = o.head().arrival
		return
	}
	o.classes, o.cost = nil, 0
	s.left = o.Service
	last := s.backlogged[len(s.backlogged)-1]
	s.backlogged[o.index], last.index = last, o.index
	s.backlogged = s.backlogged[:len(s.backlogged)-1]
	if len(s.items) == 0 {
		// Sums of floating-point numbers drift.
		s.tokens = 0
	}
}

// expected returns the cost of a request with the response as long as the organisation's were lately. Callers declare
// the longest response that they allow; charging that would delay an organisation's next request until the completion.
func (o *organisation) expected(r Request) float64 {
	if o.declared <= 0 {
		return r.Cost()
	}
	return float64(r.PromptTokens) + answerWeight*float64(r.AnswerTokens)*o.answered/o.declared
}

func (o *organisation) class(priority int) *class {
	at, found := slices.BinarySearchFunc(o.classes, priority, func(c *class, p int) int { return c.priority - p })
	if !found {
		o.classes = slices.Insert(o.classes, at, &class{priority: priority})
	}
	return o.classes[at]
}

func (c *class) list(long bool) *list.List {
	if long {
		return &c.long
	}
	return &c.short
}

// head returns the organisation's next request, or nil.
func (o *organisation) head() *item {
	for _, c := range o.classes {
		short, long := front(&c.short), front(&c.long)
		switch {
		case short != nil && (long == nil || short.arrival < long.arrival):
			return short
		case long != nil:
			return long
		}
	}
	return nil
}

func (o *organisation) shortHead() *item {
	for _, c := range o.classes {
		if it := front(&c.short); it != nil {
			return it
		}
	}
	return nil
}

func front(l *list.List) *item {
	if e := l.Front(); e != nil {
		return e.Value.(*item)
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// deadlines is a heap of waiting requests by latest start.
type deadlines []*item

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].latest < d[j].latest }
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].deadline, d[j].deadline = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	it := x.(*item)
	it.deadline = len(*d)
	*d = append(*d, it)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	it := old[len(old)-1]
	old[len(old)-1] = nil
	it.deadline = -1
	*d = old[:len(old)-1]
	return it
}
