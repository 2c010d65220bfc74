// Package throttler divides a limit that an endpoint has named among the processes that send it requests.
//
// The load that it answers: an endpoint in need states in its answers how many requests a second it takes from all
// senders together, at times fewer than there are senders. A limit that each sender keeps for itself is exceeded by their
// number; counting what the others send needs a message for each request and is late when messages are.
//
// Each limit therefore has a few users, chosen among the members by rendezvous hashing, so that processes with the same
// view of the members agree without a message. The users share the limit equally, and the other members send nothing. A
// limit stays in force until an answer names another one or none; what the answers say is exchanged among the members.
//
// The package has no clock, no goroutines and uses no store. Times are on the owner's monotonic clock.
package throttler

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"geraniumladder/pkg/placer"
)

// Config holds the parameters of a Throttler. Zero fields take their defaults in New.
type Config struct {
	// JoinTime is the time after the start in which a process uses no limited endpoint, because it doesn't know all
	// members yet.
	JoinTime time.Duration
	// Retention is how long a statement counts that is not repeated.
	Retention time.Duration
	// RefreshTime is the age of a statement from which a request should be sent in order to renew it.
	RefreshTime time.Duration
	// MaxUsers bounds the users of a limit; 0 lets their number grow with the limit.
	MaxUsers int
}

// Defaults of Config.
const (
	DefaultJoinTime    = 3 * time.Second
	DefaultRetention   = time.Minute
	DefaultRefreshTime = 2 * time.Second
)

const (
	// usersPerUnit and extraUsers are the number of users of a limit of one request a second, and the number in
	// addition. A user may send one request at once after a pause, so they bound what the users send beyond the limit.
	usersPerUnit, extraUsers = 2, 2
	// margin is the part of the limit that is used. The rest allows for views of the members that differ for a while.
	margin = 0.9
	// minRate is the least number of requests a second of a user, so that it learns when the limit ends.
	minRate = 0.1
)

// None is the value of Statement.PerSecond if the answer names no limit.
const None = -1

// Statement is what an endpoint has said of its limit in an answer.
type Statement[K ~string] struct {
	// Endpoint identifies the incarnation of the endpoint.
	Endpoint K
	// PerSecond is the limit in requests a second from all senders together, or None.
	PerSecond float64
	// At is the time of the answer.
	At time.Duration
}

// statement is the newest statement of an endpoint.
type statement struct {
	perSecond float64
	at        time.Duration
	// isOwn means that this process received the answer. Others' statements are not passed on, because their ages grow
	// inexact on the way.
	isOwn bool
}

// bucket is this process's share of a limit: a token bucket of one token.
type bucket struct {
	// rate is 0 if the process is not a user of the limit; otherwise it is at least minRate.
	rate float64
	// tokens is at most 1 and was up to date at the given time.
	tokens float64
	at     time.Duration
}

func (b bucket) refill(now time.Duration) bucket {
	if now > b.at {
		b.tokens = min(1, b.tokens+b.rate*(now-b.at).Seconds())
		b.at = now
	}
	return b
}

// withRate changes the rate. A new user begins without a token, because the one that it replaces may just have sent.
func (b bucket) withRate(rate float64, now time.Duration) bucket {
	b = b.refill(now)
	if b.rate == 0 || rate == 0 {
		b.tokens = 0
	}
	b.rate = rate
	return b
}

// Throttler is one process's view of the limits and its share of each. It is an immutable value.
type Throttler[K ~string] struct {
	config Config
	self   string
	// members are sorted and include self.
	members []string
	start   time.Duration
	// statements holds the newest statement of each endpoint that has named a limit.
	statements map[K]statement
	// buckets has an entry for each endpoint with a limit in force.
	buckets map[K]bucket
}

// New returns the Throttler of a process that has just started and knows no other member.
func New[K ~string](c Config, self string, now time.Duration) Throttler[K] {
	c.JoinTime = cmp.Or(c.JoinTime, DefaultJoinTime)
	c.Retention = cmp.Or(c.Retention, DefaultRetention)
	c.RefreshTime = cmp.Or(c.RefreshTime, DefaultRefreshTime)
	return Throttler[K]{config: c, self: self, members: []string{self}, start: now}
}

// WithMembers replaces the members that may send requests, whether they can be reached or not.
func (t Throttler[K]) WithMembers(members []string, now time.Duration) Throttler[K] {
	next := append(slices.Clone(members), t.self)
	slices.Sort(next)
	next = slices.Compact(next)
	if slices.Equal(next, t.members) {
		return t
	}
	t.members = next
	if len(t.buckets) == 0 {
		return t
	}
	t.buckets = maps.Clone(t.buckets)
	for endpoint, b := range t.buckets {
		t.buckets[endpoint] = b.withRate(t.share(endpoint, t.statements[endpoint].perSecond), now)
	}
	return t
}

// WithStatement records what an answer to this process says.
func (t Throttler[K]) WithStatement(s Statement[K]) Throttler[K] {
	return t.withStatement(s, s.At, true)
}

// WithStatements records what answers to another member say.
func (t Throttler[K]) WithStatements(list []Statement[K], now time.Duration) Throttler[K] {
	for _, s := range list {
		t = t.withStatement(s, now, false)
	}
	return t
}

func (t Throttler[K]) withStatement(s Statement[K], now time.Duration, isOwn bool) Throttler[K] {
	known, ok := t.statements[s.Endpoint]
	if !ok && s.PerSecond < 0 || ok && s.At <= known.at {
		return t
	}
	t.statements = clone(t.statements)
	t.statements[s.Endpoint] = statement{perSecond: s.PerSecond, at: s.At, isOwn: isOwn}
	b, isLimited := t.buckets[s.Endpoint]
	switch {
	case s.PerSecond < 0 && isLimited:
		t.buckets = clone(t.buckets)
		delete(t.buckets, s.Endpoint)
	case s.PerSecond >= 0 && !isLimited:
		t.buckets = clone(t.buckets)
		t.buckets[s.Endpoint] = bucket{rate: t.share(s.Endpoint, s.PerSecond), at: now}
	case s.PerSecond >= 0 && s.PerSecond != known.perSecond:
		t.buckets = clone(t.buckets)
		t.buckets[s.Endpoint] = b.withRate(t.share(s.Endpoint, s.PerSecond), now)
	}
	return t
}

func clone[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// share returns the requests a second that this process may send, or 0 if it is not a user of the limit.
func (t Throttler[K]) share(endpoint K, limit float64) float64 {
	users := min(len(t.members), int(min(limit, float64(len(t.members)))*usersPerUnit)+extraUsers)
	if t.config.MaxUsers > 0 {
		users = min(users, t.config.MaxUsers)
	}
	own := weight(endpoint, t.self)
	rank := 0
	for _, m := range t.members {
		if w := weight(endpoint, m); w > own || w == own && m < t.self {
			rank++
		}
	}
	if rank >= users {
		return 0
	}
	return max(minRate, margin*limit/float64(users))
}

func weight[K ~string](endpoint K, member string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(endpoint))
	h.Write([]byte{'/'})
	h.Write([]byte(member))
	return placer.Mix64(h.Sum64())
}

// IsLimited reports whether a limit of the endpoint is in force.
func (t Throttler[K]) IsLimited(endpoint K) bool {
	_, ok := t.buckets[endpoint]
	return ok
}

// HasLimits reports whether any limit is in force.
func (t Throttler[K]) HasLimits() bool { return len(t.buckets) > 0 }

// Allows reports whether a request may be sent to the endpoint now. If not, it returns the time after which one may be, or
// 0 if that isn't known because other members use the limit.
func (t Throttler[K]) Allows(endpoint K, now time.Duration) (ok bool, after time.Duration) {
	b, isLimited := t.buckets[endpoint]
	if !isLimited {
		return true, 0
	}
	if joined := t.start + t.config.JoinTime; now < joined {
		return false, joined - now
	}
	if b = b.refill(now); b.tokens >= 1 {
		return true, 0
	}
	if b.rate == 0 {
		return false, 0
	}
	// Callers are told whole milliseconds.
	return false, time.Duration((1-b.tokens)/b.rate*float64(time.Second)).Truncate(time.Millisecond) + time.Millisecond
}

// WithSend counts a request that is sent to the endpoint.
func (t Throttler[K]) WithSend(endpoint K, now time.Duration) Throttler[K] {
	b, isLimited := t.buckets[endpoint]
	if !isLimited {
		return t
	}
	b = b.refill(now)
	b.tokens--
	t.buckets = maps.Clone(t.buckets)
	t.buckets[endpoint] = b
	return t
}

// IsDue reports whether a request should be sent to the endpoint in order to learn whether its limit is still in force.
func (t Throttler[K]) IsDue(endpoint K, now time.Duration) bool {
	if !t.IsLimited(endpoint) || now-t.statements[endpoint].at < t.config.RefreshTime {
		return false
	}
	ok, _ := t.Allows(endpoint, now)
	return ok
}

// Limit returns the limit of the endpoint that is in force, and this process's share of it; None without a limit.
func (t Throttler[K]) Limit(endpoint K) (perSecond, share float64) {
	b, isLimited := t.buckets[endpoint]
	if !isLimited {
		return None, None
	}
	return t.statements[endpoint].perSecond, b.rate
}

// Statements returns the newest statements that this process has received in answers, for the other members.
func (t Throttler[K]) Statements() []Statement[K] {
	var list []Statement[K]
	for endpoint, s := range t.statements {
		if s.isOwn {
			list = append(list, Statement[K]{Endpoint: endpoint, PerSecond: s.perSecond, At: s.at})
		}
	}
	slices.SortFunc(list, func(a, b Statement[K]) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// WithoutExpired removes the statements that no longer count, and the limits that they name.
func (t Throttler[K]) WithoutExpired(now time.Duration) Throttler[K] {
	oldest := now - t.config.Retention
	isExpired := func(_ K, s statement) bool { return s.at < oldest }
	statements := maps.Clone(t.statements)
	maps.DeleteFunc(statements, isExpired)
	if len(statements) == len(t.statements) {
		return t
	}
	t.statements = statements
	t.buckets = maps.Clone(t.buckets)
	maps.DeleteFunc(t.buckets, func(endpoint K, _ bucket) bool {
		_, ok := statements[endpoint]
		return !ok
	})
	return t
}
