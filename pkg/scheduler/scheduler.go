// Package scheduler implements weighted fair queueing of the requests that wait for one endpoint, so that organisations
// share the endpoint in proportion to their weights.
//
// The state consists of the waiting requests and the service counters of the organisations. It is held in the memory of
// one sidecar, which is its only writer. The package uses no store and thus works unchanged while the platform's store
// is unavailable.
package scheduler

import (
	"container/heap"
	"container/list"
	"iter"
	"slices"
	"time"
)

// outputTokenWeight is the cost of a response token in prompt tokens. It is higher because prompts are processed in
// parallel and responses token by token.
const outputTokenWeight = 2

// Cost returns the cost, in weighted tokens, of a request with the given numbers of tokens.
func Cost(promptTokens, answerTokens int) float64 {
	return float64(promptTokens) + outputTokenWeight*float64(answerTokens)
}

// Request is a request waiting for the endpoint.
type Request struct {
	ID           string
	Organisation string
	// Weight is the organisation's share relative to others. It defaults to 1 if it is not positive.
	Weight float64
	// Adapter is the engine's name of the adapter, ADAPTER@VERSION. It is empty for a plain service.
	Adapter      string
	PromptTokens int
	// AnswerTokens is the expected length of the response, or the caller's limit if there is no better estimate.
	AnswerTokens int
	// Priority orders requests of the same organisation. Lower values are served first.
	Priority int
	// Deadline is the time at which the caller gives up, or 0 if there is none.
	Deadline time.Duration
	// Arrived is the time of arrival. WithRequest sets it if it is 0.
	Arrived time.Duration
	// Charged is the cost that Next charged to the organisation. Next sets it.
	Charged float64
}

// Cost returns the request's expected cost.
func (r Request) Cost() float64 { return Cost(r.PromptTokens, r.AnswerTokens) }

// Config configures a Queue.
type Config struct {
	// Policy defines the order of organisations. It defaults to VirtualTokenCounter.
	Policy Policy
	// MaxRunning is the maximum number of requests in the engine's batch; 0 means no limit.
	MaxRunning int
	// GroupingTokens bounds the total cost of requests with a resident adapter that may be served before one whose
	// adapter is absent. If it is 0, the order ignores residency.
	GroupingTokens float64
	// CreditTokens is how far below the lowest counter of the backlogged organisations the counter of an organisation
	// returning from idle may be, in tokens. Without it, requests that an organisation sends in quick succession, while
	// using less than its share, wait as if it had a long backlog. It corresponds to the burst size of a token bucket
	// whose rate is the share: over any period, an organisation gains at most this much from having been idle.
	CreditTokens float64
	// ReservedSlots is the number of the MaxRunning batch slots that are withheld from organisations which have had a
	// backlog for longer than LongBacklogAfter and run at least their share of MaxRunning. The slots are kept for the
	// other organisations that sent a request within ActiveWindow. Without it, an organisation with a long backlog
	// holds the whole batch, and each request of another one waits for one of its requests to end. No slots are
	// withheld if there are no other organisations or State.RunningBy is nil.
	ReservedSlots int
	// LongBacklogAfter is the duration after which a backlog counts as long. It defaults to DefaultLongBacklogAfter.
	LongBacklogAfter time.Duration
	// ReservedTokens bounds, in tokens, how far an organisation's service may get ahead of that of others through
	// ReservedSlots.
	ReservedTokens float64
	// ActiveWindow is the time after its last arrival during which an organisation counts as active. It defaults to
	// DefaultActiveWindow.
	ActiveWindow time.Duration
	// MaxLongPrefills bounds the number of prompts of at least LongPromptTokens that are processed at once; 0 means no
	// limit.
	MaxLongPrefills  int
	LongPromptTokens int
	// TokensPerSecond is the throughput of the whole endpoint in weighted tokens (see Cost), and PromptTokensPerSecond
	// that of processing one prompt. They are used to refuse requests that would miss their deadline. If they are 0,
	// requests are refused only once the deadline has passed.
	TokensPerSecond       float64
	PromptTokensPerSecond float64
}

// DefaultActiveWindow is the time after its last arrival during which an organisation keeps its share of the batch.
const DefaultActiveWindow = time.Minute

// DefaultLongBacklogAfter is the duration of an uninterrupted backlog after which it counts as long. Organisations that
// stay within their rate have short backlogs from time to time: with 250 ms they were denied the reserved slots so
// often that their p99 at high load was twice that with 1 s. With 3 s, organisations exceeding their rate were detected
// late.
const DefaultLongBacklogAfter = time.Second

// State is the endpoint's state at the time of a pick.
type State struct {
	// Running is the number of requests that were given to the engine and have not ended.
	Running int
	// RunningBy returns the number of running requests of one organisation.
	RunningBy func(organisation string) int
	// LongPrefills is the number of long prompts that were given to the engine and have not produced a first token.
	LongPrefills int
	// Resident reports whether an adapter can be used without a load. If it is nil, every adapter can.
	Resident func(adapter string) bool
}

// lookahead bounds the number of requests per priority and prompt kind (short or long) that a pick examines within one
// organisation to find a resident adapter, and thereby the cost of a pick.
const lookahead = 16

// Queue holds the waiting requests of one endpoint. Methods that change it return the queue to use from then on; the
// value that they were called on must not be used again. The data is modified in place, because copying 10,000 waiting
// requests for each pick would cost more than the pick itself. A Queue is not safe for concurrent use.
//
// While two organisations are both backlogged, their services, each divided by the weight, differ by at most
// 2·max(cost of one request, cost of a full batch)/weight + max(GroupingTokens, ReservedTokens)/weight
// + CreditTokens/weight.
type Queue struct {
	config Config
	*state
}

type state struct {
	organisations map[string]*organisation
	// backlogged holds the organisations with waiting requests, in arbitrary order.
	backlogged []*organisation
	items      map[string]*item
	// deadlines is a heap of the waiting requests by the latest time at which processing of the prompt must start.
	deadlines deadlines
	// unmeetable holds the IDs of requests that were estimated at arrival to miss their deadline.
	unmeetable []string
	arrivals   int64
	picks      int64
	// lastIdleService is the service counter of the organisation that last became idle.
	lastIdleService  float64
	totalWaitingCost float64
	// charged and used are decaying sums, over completed requests, of the expected and the actual cost.
	charged, used float64
}

type organisation struct {
	OrganisationState
	weight float64
	// declaredTokens and generatedTokens are decaying sums, over completed requests, of the expected and the actual
	// numbers of response tokens.
	declaredTokens, generatedTokens float64
	// lastArrival is the time of the last arrival, and backloggedSince that of the last arrival while no request was
	// waiting.
	lastArrival, backloggedSince time.Duration
	// serviceFloor is the lower bound that was applied to the counter when the organisation last returned from idle. A
	// negative correction for an earlier request does not lower the counter below it, because that would give credit
	// for idle time.
	serviceFloor float64
	// classes holds the waiting requests by priority, in ascending order.
	classes     []*class
	waitingCost float64
	waiting     int
	// backlogIndex is the organisation's index in state.backlogged.
	backlogIndex int
}

// class holds the requests of one priority in order of arrival. Short and long prompts have separate lists, so that
// short ones can be served while long ones are limited by MaxLongPrefills.
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
	// bypassedCost is the total cost of the requests that were served before this one because of GroupingTokens.
	bypassedCost float64
	latestStart  time.Duration
	// heapIndex is the index in state.deadlines, or -1 if the request has no deadline.
	heapIndex int
}

// New returns an empty queue.
func New(c Config) Queue {
	if c.Policy == nil {
		c.Policy = VirtualTokenCounter{}
	}
	if c.ActiveWindow == 0 {
		c.ActiveWindow = DefaultActiveWindow
	}
	if c.LongBacklogAfter == 0 {
		c.LongBacklogAfter = DefaultLongBacklogAfter
	}
	return Queue{config: c, state: &state{organisations: map[string]*organisation{}, items: map[string]*item{}}}
}

// WithRequest adds a request. A request whose ID is already waiting is ignored.
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
	// A changed weight applies only to service from now on.
	o.weight, o.lastArrival = r.Weight, now
	if o.waiting == 0 {
		o.backloggedSince = now
		q.activate(o, q.config.CreditTokens)
	}
	q.arrivals++
	it := &item{Request: r, arrival: q.arrivals, organisation: o, heapIndex: -1}
	it.list = o.class(r.Priority).list(q.isLongPrompt(r))
	it.element = it.list.PushBack(it)
	q.items[r.ID] = it
	if r.Deadline > 0 {
		it.latestStart = r.Deadline - q.prefillTime(r)
		heap.Push(&q.deadlines, it)
		if now+q.estimatedWait(o) > it.latestStart {
			q.unmeetable = append(q.unmeetable, r.ID)
		}
	}
	o.waiting++
	o.waitingCost += r.Cost()
	q.totalWaitingCost += r.Cost()
	o.Head = o.head().arrival
	return q
}

// Next removes and returns the request to give to the engine, or false if none may start. If its adapter is absent, the
// caller starts the load and holds the request until the adapter is ready.
func (q Queue) Next(s State, now time.Duration) (Queue, Request, bool) {
	if q.config.MaxRunning > 0 && s.Running >= q.config.MaxRunning {
		return q, Request{}, false
	}
	first := q.first(s)
	if first == nil {
		return q, Request{}, false
	}
	if first = q.applyReservation(first, s, now); first == nil {
		return q, Request{}, false
	}
	pick := q.preferResident(first, s)
	if pick != first {
		first.bypassedCost += pick.Cost()
	}
	o := pick.organisation
	q.picks++
	o.LastPick = q.picks
	pick.Charged = o.expectedCost(pick.Request)
	o.Service += pick.Charged / o.weight
	q.remove(pick)
	return q, pick.Request, true
}

// WithServiceCorrection corrects an organisation's service by tokens, which is the cost of the tokens that a request
// used minus Request.Charged.
func (q Queue) WithServiceCorrection(organisation string, tokens float64) Queue {
	o := q.organisation(organisation)
	corrected := o.Service + tokens/o.weight
	if tokens < 0 {
		corrected = max(corrected, min(o.Service, o.serviceFloor))
	}
	o.Service = corrected
	return q
}

// WithCompletion corrects the service of the request's organisation by the tokens that were actually used, and updates
// the averages of actual to expected cost.
func (q Queue) WithCompletion(r Request, promptTokens, answerTokens int) Queue {
	used := Cost(promptTokens, answerTokens)
	q.charged += r.Cost()
	q.used += used
	if q.charged > usageWindow {
		q.charged /= 2
		q.used /= 2
	}
	o := q.organisation(r.Organisation)
	o.declaredTokens += float64(r.AnswerTokens)
	o.generatedTokens += float64(answerTokens)
	if o.declaredTokens > usageWindow {
		o.declaredTokens /= 2
		o.generatedTokens /= 2
	}
	return q.WithServiceCorrection(r.Organisation, used-r.Charged)
}

// Without removes a waiting request, for example after a void message. An unknown ID is ignored.
func (q Queue) Without(id string) Queue {
	if it, waiting := q.items[id]; waiting {
		q.remove(it)
	}
	return q
}

// RemoveUnmeetable removes and returns the requests that would miss their deadline. The caller refuses them as not run.
func (q Queue) RemoveUnmeetable(now time.Duration) (Queue, []Request) {
	var refused []Request
	for _, id := range q.unmeetable {
		if it, waiting := q.items[id]; waiting {
			q.remove(it)
			refused = append(refused, it.Request)
		}
	}
	q.unmeetable = nil
	for len(q.deadlines) > 0 && q.deadlines[0].latestStart < now {
		it := q.deadlines[0]
		q.remove(it)
		refused = append(refused, it.Request)
	}
	return q, refused
}

// Load summarises the waiting requests.
type Load struct {
	Requests int
	// Tokens is the total expected cost of the waiting requests.
	Tokens        float64
	Organisations int
}

// Load returns the number and the expected cost of the waiting requests, and the number of their organisations.
func (q Queue) Load() Load {
	return Load{Requests: len(q.items), Tokens: q.totalWaitingCost, Organisations: len(q.backlogged)}
}

// ShortBacklogTokens returns Load.Tokens without the organisations whose backlog is longer than LongBacklogAfter. This
// is the amount of work that a request of an organisation without such a backlog waits for, and thus the right measure
// for choosing between endpoints: the long backlog of one organisation doesn't delay the others.
func (q Queue) ShortBacklogTokens(now time.Duration) float64 {
	tokens := 0.0
	for _, o := range q.backlogged {
		if !q.hasLongBacklog(o, now) {
			tokens += o.waitingCost
		}
	}
	return tokens
}

// hasLongBacklog reports whether an organisation has been backlogged without interruption for longer than
// LongBacklogAfter.
func (q Queue) hasLongBacklog(o *organisation, now time.Duration) bool {
	return o.waiting > 0 && now-o.backloggedSince > q.config.LongBacklogAfter
}

// OrganisationState returns the state of an organisation. An unknown organisation has received no service.
func (q Queue) OrganisationState(name string) OrganisationState {
	if o, known := q.organisations[name]; known {
		return o.OrganisationState
	}
	return OrganisationState{Organisation: name}
}

// heads yields, for each organisation, its next request that may start now, if any.
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

// blocked reports whether a request has a long prompt and must wait because of MaxLongPrefills.
func (q Queue) blocked(it *item, s State) bool {
	return q.config.MaxLongPrefills > 0 && s.LongPrefills >= q.config.MaxLongPrefills && q.isLongPrompt(it.Request)
}

// first returns the request that the policy orders first among those that may start now, or nil.
func (q Queue) first(s State) *item {
	var best *item
	for it := range q.heads(s) {
		if best == nil || q.config.Policy.Before(it.organisationState(), best.organisationState()) {
			best = it
		}
	}
	return best
}

// applyReservation enforces Config.ReservedSlots. It returns first if its organisation may take a batch slot, else the
// request that the policy orders first among the organisations that may use the reserved slots, or nil.
func (q Queue) applyReservation(first *item, s State, now time.Duration) *item {
	if s.RunningBy == nil || q.config.ReservedSlots == 0 || s.Running < q.config.MaxRunning-q.config.ReservedSlots {
		return first
	}
	totalWeight, hasOthers := 0.0, false
	for _, o := range q.organisations {
		if o.waiting > 0 || now-o.lastArrival < q.config.ActiveWindow {
			totalWeight += o.weight
			hasOthers = hasOthers || !q.hasLongBacklog(o, now)
		}
	}
	allowed := func(o *organisation) bool {
		return !hasOthers || !q.hasLongBacklog(o, now) || float64(s.RunningBy(o.Organisation)) < float64(q.config.MaxRunning)*o.weight/totalWeight
	}
	if allowed(first.organisation) {
		return first
	}
	var best *item
	for it := range q.heads(s) {
		if !allowed(it.organisation) || q.serviceLead(it, first) > q.config.ReservedTokens {
			continue
		}
		if best == nil || q.config.Policy.Before(it.organisationState(), best.organisationState()) {
			best = it
		}
	}
	return best
}

func (it *item) organisationState() OrganisationState {
	organisationState := it.organisation.OrganisationState
	organisationState.Head = it.arrival
	return organisationState
}

// preferResident enforces Config.GroupingTokens. If first's adapter is absent and the bound allows it, it returns a
// request with a resident adapter to serve before first: one of the same organisation if there is one, else the head of
// the organisation that the policy orders next. Otherwise it returns first.
func (q Queue) preferResident(first *item, s State) *item {
	resident := func(it *item) bool { return it.Adapter == "" || s.Resident == nil || s.Resident(it.Adapter) }
	if resident(first) {
		return first
	}
	canBypass := func(it *item) bool {
		return it != first && first.bypassedCost+it.Cost() <= q.config.GroupingTokens && !q.blocked(it, s) && resident(it)
	}
	for it := range first.organisation.upcoming() {
		if canBypass(it) {
			return it
		}
	}
	var best *item
	for it := range q.heads(s) {
		if !canBypass(it) || q.serviceLead(it, first) > q.config.GroupingTokens {
			continue
		}
		if best == nil || q.config.Policy.Before(it.organisationState(), best.organisationState()) {
			best = it
		}
	}
	if best == nil {
		return first
	}
	return best
}

// serviceLead returns how far, in tokens of first's organisation, serving it would put its organisation's service ahead
// of that of first's. Bounding the bypassed cost of each request is not enough: an organisation whose requests all need
// loads would be bypassed again before each of them, and would fall behind without limit.
func (q Queue) serviceLead(it, first *item) float64 {
	after := it.organisation.Service + it.Cost()/it.organisation.weight
	return (after - first.organisation.Service) * first.organisation.weight
}

// upcoming yields the first waiting requests of the organisation, up to lookahead per priority and prompt kind.
func (o *organisation) upcoming() iter.Seq[*item] {
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

func (q Queue) isLongPrompt(r Request) bool {
	return q.config.LongPromptTokens > 0 && r.PromptTokens >= q.config.LongPromptTokens
}

// prefillTime returns the estimated time to process the request's prompt.
func (q Queue) prefillTime(r Request) time.Duration {
	if q.config.PromptTokensPerSecond <= 0 {
		return 0
	}
	return seconds(float64(r.PromptTokens) / q.config.PromptTokensPerSecond)
}

// estimatedWait estimates how long a new request of o waits for those of its organisation that are waiting already, at
// the organisation's share of the endpoint. The expected cost is often the caller's limit, so it is scaled by
// usageRatio.
func (q Queue) estimatedWait(o *organisation) time.Duration {
	if q.config.TokensPerSecond <= 0 {
		return 0
	}
	totalWeight := 0.0
	for _, other := range q.backlogged {
		totalWeight += other.weight
	}
	share := 1.0
	if totalWeight > 0 {
		share = o.weight / totalWeight
	}
	return seconds(o.waitingCost * q.usageRatio() / (q.config.TokensPerSecond * share))
}

// usageRatio returns the ratio of actual to expected cost of recently completed requests. It is 0 until a request has
// completed: without data, a wrong estimate could refuse requests that would have met their deadline.
func (q Queue) usageRatio() float64 {
	if q.charged <= 0 {
		return 0
	}
	return q.used / q.charged
}

// usageWindow is the expected cost, or number of response tokens, after which the weight of older completions is
// halved.
const usageWindow = 1e6

func (s *state) organisation(name string) *organisation {
	o, known := s.organisations[name]
	if !known {
		o = &organisation{OrganisationState: OrganisationState{Organisation: name}, weight: 1}
		s.organisations[name] = o
	}
	return o
}

// activate adds an organisation that returns from idle to the backlogged ones. Its service counter is raised to at
// least the lowest one of those, minus the credit, so that it gains no more than the credit from having been idle. If
// none is backlogged, the counter of the organisation that last became idle is used.
func (s *state) activate(o *organisation, credit float64) {
	minService := s.lastIdleService
	for i, other := range s.backlogged {
		if i == 0 || other.Service < minService {
			minService = other.Service
		}
	}
	minService -= credit / o.weight
	o.Service = max(o.Service, minService)
	o.serviceFloor = minService
	o.backlogIndex = len(s.backlogged)
	s.backlogged = append(s.backlogged, o)
}

func (s *state) remove(it *item) {
	o := it.organisation
	it.list.Remove(it.element)
	delete(s.items, it.ID)
	if it.heapIndex >= 0 {
		heap.Remove(&s.deadlines, it.heapIndex)
	}
	o.waiting--
	o.waitingCost -= it.Cost()
	s.totalWaitingCost -= it.Cost()
	if o.waiting > 0 {
		o.Head = o.head().arrival
		return
	}
	o.classes, o.waitingCost = nil, 0
	s.lastIdleService = o.Service
	last := s.backlogged[len(s.backlogged)-1]
	s.backlogged[o.backlogIndex], last.backlogIndex = last, o.backlogIndex
	s.backlogged = s.backlogged[:len(s.backlogged)-1]
	if len(s.items) == 0 {
		// Repeated floating-point additions and subtractions accumulate rounding errors.
		s.totalWaitingCost = 0
	}
}

// expectedCost returns the request's cost with the response length scaled by the organisation's recent ratio of actual
// to expected response tokens. Callers often declare the longest response that they allow; charging that in full would
// delay the organisation's next request until the completion corrects it.
func (o *organisation) expectedCost(r Request) float64 {
	if o.declaredTokens <= 0 {
		return r.Cost()
	}
	return float64(r.PromptTokens) + outputTokenWeight*float64(r.AnswerTokens)*o.generatedTokens/o.declaredTokens
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

// head returns the organisation's next request by priority and arrival, or nil.
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

// shortHead returns the organisation's next request with a short prompt, or nil.
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

// deadlines is a min-heap of waiting requests by latestStart. It implements heap.Interface.
type deadlines []*item

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].latestStart < d[j].latestStart }
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	it := x.(*item)
	it.heapIndex = len(*d)
	*d = append(*d, it)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	it := old[len(old)-1]
	old[len(old)-1] = nil
	it.heapIndex = -1
	*d = old[:len(old)-1]
	return it
}
