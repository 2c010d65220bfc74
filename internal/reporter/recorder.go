// Package reporter counts good and total events of the service-level indicators and reports how fast each organisation
// consumes its error budgets.
//
// It owns the rows burn/BUCKET/ORG/VM of the table service. Each entry writes the rows of its own VM; any entry may
// delete expired rows. While the store is unavailable, an entry keeps up to 12 buckets in memory and writes them later.
// The report fails with an error during that time.
package reporter

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"geraniumladder/internal/meter"
	"geraniumladder/internal/storer"
)

const (
	burnPartitionKey = "burn"
	// bucketLayout formats times so that their lexical order is the order of time.
	bucketLayout = "2006-01-02T15:04Z"
	// DefaultInterval is the default time between two writes, and so the longest period whose events are lost when a VM
	// fails.
	DefaultInterval = time.Minute
	// maxPendingBuckets limits the buckets kept in memory while the store is unavailable, to an hour.
	maxPendingBuckets = 12
	queryPageSize     = 1000
	// otherVMGracePeriod is the time that a VM has to delete its own expired rows before other entries delete them, so
	// that entries do not contend for the same rows.
	otherVMGracePeriod = time.Hour
)

// SortKey returns the sort key of a row. It starts with the bucket, so that a query from a given bucket returns a time
// window of all organisations and VMs, and expired rows come first.
func SortKey(bucket time.Time, organisation, vm string) string {
	return bucket.UTC().Format(bucketLayout) + "/" + organisation + "/" + vm
}

// Row is the data of a stored row: the events that one VM counted for one organisation in one bucket.
type Row struct {
	Organisation string
	VM           string
	Bucket       time.Time
	Counts       Counts
}

// RecorderConfig configures a Recorder.
type RecorderConfig struct {
	Table storer.Table
	VM    string
	// Gather returns the counter values by organisation since the process started.
	Gather func() (map[string]meter.Totals, error)
	// Interval is the time between two writes; it defaults to DefaultInterval.
	Interval time.Duration
	// Now defaults to time.Now.
	Now func() time.Time
	Log zerolog.Logger
}

// pendingRow is a row whose latest counts are not yet written, or whose bucket has not ended.
type pendingRow struct {
	// storedCounts are the counts in the stored row that are not part of counts, such as those of an earlier process of
	// this VM.
	storedCounts Counts
	counts       Counts
	version      int64
	// mark is stored with each write of these counts. A stored row with another mark holds events that are not in
	// counts, even if this process wrote it, before its clock was set back.
	mark  string
	dirty bool
}

type pendingKey struct {
	bucket       time.Time
	organisation string
}

// Recorder writes the rows of one entry. Its methods are safe for concurrent use.
type Recorder struct {
	config RecorderConfig

	mu           sync.Mutex
	lastSampled  time.Time
	lastTotals   map[string]meter.Totals
	pendingRows  map[pendingKey]*pendingRow
	lastCleanup  time.Time
	outageLogged bool
}

// NewRecorder returns a Recorder. Its first call of Record counts all events since the process started.
func NewRecorder(c RecorderConfig) *Recorder {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Recorder{
		config: c, lastSampled: c.Now(),
		lastTotals: map[string]meter.Totals{}, pendingRows: map[pendingKey]*pendingRow{},
	}
}

// Run calls Record periodically until ctx is done. On a planned shutdown the caller calls Record once more after the
// last request has ended.
func (r *Recorder) Run(ctx context.Context) error {
	ticker := time.NewTicker(r.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		r.logOutage(r.Record(ctx))
	}
}

// logOutage logs the first error of an outage and the end of the outage.
func (r *Recorder) logOutage(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && !r.outageLogged {
		r.config.Log.Warn().Msg("entry: burn rows not written, kept in memory for up to an hour: " + err.Error())
	}
	if err == nil && r.outageLogged {
		r.config.Log.Info().Msg("entry: burn rows are written again")
	}
	r.outageLogged = err != nil
}

// Record counts the events since the previous call and writes the rows that changed. The events are assigned to the
// bucket in which the previous call was made, or in which the Recorder was created.
func (r *Recorder) Record(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	totals, err := r.config.Gather()
	if err != nil {
		return errors.Wrap(err, "gather the counters; the events are counted at the next attempt")
	}
	bucket := r.lastSampled.UTC().Truncate(BucketDuration)
	for organisation, t := range totals {
		delta := subtractTotals(t, r.lastTotals[organisation])
		counts := counts(delta)
		if counts.Availability.Total == 0 && counts.FirstToken.Total == 0 && counts.BetweenTokens.Total == 0 {
			continue
		}
		key := pendingKey{bucket, organisation}
		if r.pendingRows[key] == nil {
			r.pendingRows[key] = &pendingRow{mark: uuid.NewString()}
		}
		r.pendingRows[key].counts = r.pendingRows[key].counts.Plus(counts)
		r.pendingRows[key].dirty = true
	}
	r.lastTotals, r.lastSampled = totals, now
	current := now.UTC().Truncate(BucketDuration)
	r.dropOldBuckets(current)
	if err := r.flush(ctx, current); err != nil {
		return err
	}
	if !r.lastCleanup.Equal(current) {
		if err := r.deleteExpiredRows(ctx, now); err != nil {
			return err
		}
		r.lastCleanup = current
	}
	return nil
}

// dropOldBuckets discards the oldest buckets beyond maxPendingBuckets, so that memory stays bounded while the store is
// unavailable.
func (r *Recorder) dropOldBuckets(current time.Time) {
	for key := range r.pendingRows {
		if key.bucket.Before(current.Add(-(maxPendingBuckets - 1) * BucketDuration)) {
			delete(r.pendingRows, key)
		}
	}
}

// flush writes the changed rows and removes those whose bucket has ended. It stops at the first error, so that an
// outage costs one failed call and not one for each organisation.
func (r *Recorder) flush(ctx context.Context, current time.Time) error {
	keys := make([]pendingKey, 0, len(r.pendingRows))
	for key := range r.pendingRows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b pendingKey) int {
		if c := a.bucket.Compare(b.bucket); c != 0 {
			return c
		}
		return strings.Compare(a.organisation, b.organisation)
	})
	for _, key := range keys {
		p := r.pendingRows[key]
		if p.dirty {
			if err := r.writeRow(ctx, key, p); err != nil {
				return err
			}
			p.dirty = false
		}
		if key.bucket.Before(current) {
			delete(r.pendingRows, key)
		}
	}
	return nil
}

func (r *Recorder) writeRow(ctx context.Context, key pendingKey, p *pendingRow) error {
	err := r.putRow(ctx, key, p)
	if !storer.IsKind(err, storer.Conflict) {
		return err
	}
	// Either the response to an earlier write was lost, or an earlier process of this VM wrote the row.
	stored, err := r.config.Table.Get(ctx, burnPartitionKey, SortKey(key.bucket, key.organisation, r.config.VM))
	if err != nil {
		return err
	}
	p.version = stored.Version
	if stored.Mark != p.mark {
		var row Row
		if err := json.Unmarshal(stored.Data, &row); err != nil {
			return errors.Wrapf(err, "decode row burn/%s; delete the row if it is corrupt", stored.Sk)
		}
		p.storedCounts = row.Counts
	}
	return r.putRow(ctx, key, p)
}

func (r *Recorder) putRow(ctx context.Context, key pendingKey, p *pendingRow) error {
	data, err := json.Marshal(Row{
		Organisation: key.organisation, VM: r.config.VM, Bucket: key.bucket, Counts: p.storedCounts.Plus(p.counts),
	})
	if err != nil {
		return errors.Wrap(err, "encode a burn row")
	}
	err = r.config.Table.Put(ctx, storer.Row{
		Pk: burnPartitionKey, Sk: SortKey(key.bucket, key.organisation, r.config.VM), Data: data, Mark: p.mark,
	}, p.version)
	if err == nil {
		p.version++
	}
	return err
}

// deleteExpiredRows deletes the expired rows of this VM, and after otherVMGracePeriod also those of other VMs, which
// may have been lost.
func (r *Recorder) deleteExpiredRows(ctx context.Context, now time.Time) error {
	end := SortKey(now.Add(-Retention-BucketDuration), "", "")
	otherVMsEnd := SortKey(now.Add(-Retention-BucketDuration-otherVMGracePeriod), "", "")
	for from := ""; ; {
		rows, err := r.config.Table.Query(ctx, burnPartitionKey, from, queryPageSize)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if row.Sk >= end {
				return nil
			}
			if !strings.HasSuffix(row.Sk, "/"+r.config.VM) && row.Sk >= otherVMsEnd {
				continue
			}
			err := r.config.Table.Delete(ctx, row.Pk, row.Sk, row.Version)
			if err != nil && !storer.IsKind(err, storer.Conflict) && !storer.IsKind(err, storer.NotFound) {
				return err
			}
		}
		if len(rows) < queryPageSize {
			return nil
		}
		from = rows[len(rows)-1].Sk + "\x00"
	}
}

// callerErrorCodes are the codes in docs/callers.md with a status below 500. All other codes count against
// availability, so that a code missing from this list shows in the report.
var callerErrorCodes = []string{
	"bad_json", "bad_request", "bad_field", "no_model", "no_prompt", "no_messages", "bad_max_tokens", "broken_body", "key_in_request",
	"bad_path", "bad_idempotency_key", "rejected_by_endpoint", "invalid_api_key", "key_withdrawn", "route_not_allowed",
	"no_such_route", "no_such_service", "no_target", "no_such_page", "settled_ran", "answer_not_kept", "claim_contended",
	"over_burst", "body_too_large", "idempotency_key_reused", "rate_limit_exceeded", "rate_limit_within_rate", "caller_gone",
}

// wrongfulRefusalCodes are the codes of refusals that a single token bucket for the whole fleet would have admitted.
var wrongfulRefusalCodes = []string{"rate_limit_within_rate", "no_limit", "no_load_permit"}

func counts(delta meter.Totals) Counts {
	var requests, refused, callerErrors, wrongfulRefusals int64
	for _, n := range delta.Requests {
		requests += n
	}
	for code, n := range delta.Refusals {
		refused += n
		if slices.Contains(callerErrorCodes, code) {
			callerErrors += n
		}
		if slices.Contains(wrongfulRefusalCodes, code) {
			wrongfulRefusals += n
		}
	}
	// A request and its refusal are counted one after the other. A sample taken in between contains only the refusal.
	return Counts{
		FirstToken: toLatency(delta.FirstToken), BetweenTokens: toLatency(delta.BetweenTokens),
		WrongfulRefusals: Events{Total: requests, Good: max(0, requests-wrongfulRefusals)},
		Availability:     Events{Total: requests, Good: max(0, requests-(refused-callerErrors))},
	}
}

func toLatency(h meter.Histogram) Latency {
	l := Latency{Total: h.Total}
	if h.Total == 0 {
		return l
	}
	for _, b := range h.Buckets {
		l.UpTo = append(l.UpTo, UpTo{UpperBound: b.UpperBound, Good: b.Count})
	}
	return l
}

func subtractTotals(now, before meter.Totals) meter.Totals {
	minus := func(a, b map[string]int64) map[string]int64 {
		d := make(map[string]int64, len(a))
		for k, v := range a {
			d[k] = v - b[k]
		}
		return d
	}
	return meter.Totals{
		Requests: minus(now.Requests, before.Requests), Refusals: minus(now.Refusals, before.Refusals),
		Tokens:     now.Tokens - before.Tokens,
		FirstToken: subtractHistogram(now.FirstToken, before.FirstToken), BetweenTokens: subtractHistogram(now.BetweenTokens, before.BetweenTokens),
	}
}

func subtractHistogram(now, before meter.Histogram) meter.Histogram {
	d := meter.Histogram{Total: now.Total - before.Total, Buckets: slices.Clone(now.Buckets)}
	for i, b := range before.Buckets {
		// The bucket bounds are constant within a process.
		d.Buckets[i].Count -= b.Count
	}
	return d
}
