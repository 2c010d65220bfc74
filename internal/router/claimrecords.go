package router

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"geraniumladder/internal/wire"
)

const (
	// claimMemory is how long a written claim is kept. It is longer than a copy from which the table is restored is old.
	claimMemory = time.Minute
	// maxClaimMemory bounds the kept answers. The oldest claims are forgotten first.
	maxClaimMemory = 64 << 20
	// claimCheckInterval is the interval at which an entry checks that the table still has the claims that it wrote.
	claimCheckInterval = 500 * time.Millisecond
	// claimReturnTime is how long after an outage of the table calls wait for the entries to write lost claims again.
	claimReturnTime = 2 * time.Second
	// maxClaimRewrites is the number of claims that are written again at the same time.
	maxClaimRewrites = 16
)

// claimRecord is a claim as this entry wrote it last.
type claimRecord struct {
	sk       string
	sequence int64
	row      wire.ClaimRow
	at       time.Time
}

func (c claimRecord) size() int {
	const overhead = 512
	if c.row.Body == nil {
		return overhead
	}
	return overhead + len(*c.row.Body)
}

// claimRecords are the claims that this entry has written lately. It is safe for use by several goroutines.
type claimRecords struct {
	mu sync.Mutex
	// written holds claimRecords in the order in which they were written, and bySk their elements by sort key.
	written *list.List
	bySk    map[string]*list.Element
	size    int
	// isRestored is set when the table was found to lack a claim, until all have been checked.
	isRestored bool
	// awayAt is the last time at which the table was found not to answer.
	awayAt time.Time
}

func newClaimRecords() *claimRecords {
	return &claimRecords{written: list.New(), bySk: map[string]*list.Element{}}
}

func (c *claimRecords) put(r claimRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.bySk[r.sk]; e != nil {
		if e.Value.(claimRecord).sequence > r.sequence { //nolint:forcetypeassert // The list holds nothing else.
			return
		}
		c.remove(e)
	}
	c.bySk[r.sk] = c.written.PushBack(r)
	c.size += r.size()
	for c.size > maxClaimMemory {
		c.remove(c.written.Front())
	}
}

// remove removes a record. The caller holds mu.
func (c *claimRecords) remove(e *list.Element) {
	r := c.written.Remove(e).(claimRecord) //nolint:forcetypeassert // As above.
	delete(c.bySk, r.sk)
	c.size -= r.size()
}

// get returns the claim with the sort key, if this entry has written it lately.
func (c *claimRecords) get(sk string) (claimRecord, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.bySk[sk]
	if !ok {
		return claimRecord{}, false
	}
	return e.Value.(claimRecord), true //nolint:forcetypeassert // As above.
}

// recent forgets the claims that are older than claimMemory and returns the others, the latest first.
func (c *claimRecords) recent(now time.Time) []claimRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	var recent []claimRecord
	for e := c.written.Back(); e != nil; {
		r, previous := e.Value.(claimRecord), e.Prev() //nolint:forcetypeassert // As above.
		if now.Sub(r.at) < claimMemory {
			recent = append(recent, r)
		} else {
			c.remove(e)
		}
		e = previous
	}
	return recent
}

func (c *claimRecords) setRestored(isRestored bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isRestored = isRestored
}

func (c *claimRecords) wasRestored() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isRestored
}

func (c *claimRecords) noteAway(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awayAt = now
}

// waitAfterOutage returns how long a claim can't be relied on, because the table may have been restored in an outage that has
// just ended.
func (c *claimRecords) waitAfterOutage(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awayAt.IsZero() {
		return 0
	}
	return max(0, claimReturnTime-now.Sub(c.awayAt))
}

// checkClaims writes the claims of this entry again that a restore of the table has taken back. The table is taken for
// restored if it lacks the latest one.
func (r *Router) checkClaims(ctx context.Context) {
	if r.config.Follower.Progress().StoreUnavailable() {
		r.claims.noteAway(r.now())
	}
	recent := r.claims.recent(r.now())
	if len(recent) == 0 {
		return
	}
	if !r.claims.wasRestored() {
		if _, failure := r.readClaim(ctx, recent[0].sk); failure != nil || !r.claims.wasRestored() {
			return
		}
	}
	r.claims.setRestored(false)
	var rewriting sync.WaitGroup
	var isIncomplete atomic.Bool
	slots := make(chan struct{}, maxClaimRewrites)
	for _, record := range recent {
		slots <- struct{}{}
		rewriting.Go(func() {
			defer func() { <-slots }()
			if _, failure := r.readClaim(ctx, record.sk); failure != nil {
				isIncomplete.Store(true)
			}
		})
	}
	rewriting.Wait()
	if isIncomplete.Load() {
		r.claims.setRestored(true)
	}
}
