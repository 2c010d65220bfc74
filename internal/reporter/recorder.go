// Package reporter records good and total events of the service-level indicators and reports how fast each
// organisation's error budget burns.
//
// It owns the rows burn/BUCKET/ORG/VM of the table service; the entry VM writes its own rows, and expired rows
// may be deleted by any entry. While the store is unavailable an entry keeps up to 12 buckets in memory and
// writes them later; the report fails and says so.
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
	burnPk = "burn"
	// bucketLayout sorts as text in the order of time.
	bucketLayout = "2006-01-02T15:04Z"
	// DefaultEvery is the time between two writes, and what a lost VM loses at most.
	DefaultEvery = time.Minute
	// maxBuckets is what is kept in memory while the store is away: an hour.
	maxBuckets = 12
	queryPage  = 1000
	// foreignGrace is how long an expired row is left to the VM that wrote it, so that entries do not
	// contend for the same deletes.
	foreignGrace = time.Hour
)

// SortKey returns the sort key of a row. The bucket comes first, so that a query from a bucket on reads a window
// of all organisations and VMs, and the rows to be deleted are the first ones.
func SortKey(bucket time.Time, organisation, vm string) string {
	return bucket.UTC().Format(bucketLayout) + "/" + organisation + "/" + vm
}

// Row is the data of one row: what one VM counted for one organisation in one bucket.
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
	// Gather returns the totals by organisation since the process started.
	Gather func() (map[string]meter.Totals, error)
	// Every is DefaultEvery when 0.
	Every time.Duration
	// Now is time.Now when nil.
	Now func() time.Time
	Log zerolog.Logger
}

// pending is a row that is not yet written with its newest counts, or whose bucket is not over.
type pending struct {
	// before is what an earlier process of this VM had counted in the bucket.
	before  Counts
	counts  Counts
	version int64
	// mark is the mark of each write from these counts. A row with another mark holds events that are not among them,
	// also when this process wrote it before its clock was set back.
	mark  string
	dirty bool
}

type pendingKey struct {
	bucket       time.Time
	organisation string
}

// Recorder writes one entry's rows. Its methods are safe for use by several goroutines.
type Recorder struct {
	config RecorderConfig

	mu       sync.Mutex
	sampled  time.Time
	last     map[string]meter.Totals
	rows     map[pendingKey]*pending
	cleaned  time.Time
	reported bool
}

// NewRecorder returns a Recorder.
func NewRecorder(c RecorderConfig) *Recorder {
	if c.Every == 0 {
		c.Every = DefaultEvery
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Recorder{
		config: c, sampled: c.Now(),
		last: map[string]meter.Totals{}, rows: map[pendingKey]*pending{},
	}
}

// Run records until ctx ends. A planned stop calls Record once more after the last request.
func (r *Recorder) Run(ctx context.Context) error {
	ticker := time.NewTicker(r.config.Every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		r.note(r.Record(ctx))
	}
}

// note logs the first error of an outage and its end.
func (r *Recorder) note(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && !r.reported {
		r.config.Log.Warn().Msg("entry: burn rows not written, they are kept for an hour: " + err.Error())
	}
	if err == nil && r.reported {
		r.config.Log.Info().Msg("entry: burn rows are written again")
	}
	r.reported = err != nil
}

// Record counts the events since the last call and writes the rows that changed. The events go to the bucket in which
// the interval between the calls began.
func (r *Recorder) Record(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	totals, err := r.config.Gather()
	if err != nil {
		return errors.Wrap(err, "gather the events; they are counted the next time")
	}
	bucket := r.sampled.UTC().Truncate(BucketTime)
	for organisation, t := range totals {
		delta := difference(t, r.last[organisation])
		counts := counts(delta)
		if counts.Availability.Total == 0 && counts.FirstToken.Total == 0 && counts.BetweenTokens.Total == 0 {
			continue
		}
		key := pendingKey{bucket, organisation}
		if r.rows[key] == nil {
			r.rows[key] = &pending{mark: uuid.NewString()}
		}
		r.rows[key].counts = r.rows[key].counts.Plus(counts)
		r.rows[key].dirty = true
	}
	r.last, r.sampled = totals, now
	current := now.UTC().Truncate(BucketTime)
	r.forget(current)
	if err := r.flush(ctx, current); err != nil {
		return err
	}
	if !r.cleaned.Equal(current) {
		if err := r.clean(ctx, now); err != nil {
			return err
		}
		r.cleaned = current
	}
	return nil
}

// forget drops the buckets beyond those that are kept while the store is away.
func (r *Recorder) forget(current time.Time) {
	for key := range r.rows {
		if key.bucket.Before(current.Add(-(maxBuckets - 1) * BucketTime)) {
			delete(r.rows, key)
		}
	}
}

// flush stops at the first error of the store, so that an outage costs one call and not one for each organisation.
func (r *Recorder) flush(ctx context.Context, current time.Time) error {
	keys := make([]pendingKey, 0, len(r.rows))
	for key := range r.rows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b pendingKey) int {
		if c := a.bucket.Compare(b.bucket); c != 0 {
			return c
		}
		return strings.Compare(a.organisation, b.organisation)
	})
	for _, key := range keys {
		p := r.rows[key]
		if p.dirty {
			if err := r.write(ctx, key, p); err != nil {
				return err
			}
			p.dirty = false
		}
		if key.bucket.Before(current) {
			delete(r.rows, key)
		}
	}
	return nil
}

func (r *Recorder) write(ctx context.Context, key pendingKey, p *pending) error {
	err := r.put(ctx, key, p)
	if !storer.IsKind(err, storer.Conflict) {
		return err
	}
	// Either the answer to an earlier write was lost, or an earlier process of this VM wrote the row.
	stored, err := r.config.Table.Get(ctx, burnPk, SortKey(key.bucket, key.organisation, r.config.VM))
	if err != nil {
		return err
	}
	p.version = stored.Version
	if stored.Mark != p.mark {
		var row Row
		if err := json.Unmarshal(stored.Data, &row); err != nil {
			return errors.Wrapf(err, "decode burn/%s; delete the row", stored.Sk)
		}
		p.before = row.Counts
	}
	return r.put(ctx, key, p)
}

func (r *Recorder) put(ctx context.Context, key pendingKey, p *pending) error {
	data, err := json.Marshal(Row{
		Organisation: key.organisation, VM: r.config.VM, Bucket: key.bucket, Counts: p.before.Plus(p.counts),
	})
	if err != nil {
		return errors.Wrap(err, "encode a burn row")
	}
	err = r.config.Table.Put(ctx, storer.Row{
		Pk: burnPk, Sk: SortKey(key.bucket, key.organisation, r.config.VM), Data: data, Mark: p.mark,
	}, p.version)
	if err == nil {
		p.version++
	}
	return err
}

// clean deletes this VM's expired rows, and those of lost VMs an hour later.
func (r *Recorder) clean(ctx context.Context, now time.Time) error {
	end := SortKey(now.Add(-Retention-BucketTime), "", "")
	foreignEnd := SortKey(now.Add(-Retention-BucketTime-foreignGrace), "", "")
	for from := ""; ; {
		rows, err := r.config.Table.Query(ctx, burnPk, from, queryPage)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if row.Sk >= end {
				return nil
			}
			if !strings.HasSuffix(row.Sk, "/"+r.config.VM) && row.Sk >= foreignEnd {
				continue
			}
			err := r.config.Table.Delete(ctx, row.Pk, row.Sk, row.Version)
			if err != nil && !storer.IsKind(err, storer.Conflict) && !storer.IsKind(err, storer.NotFound) {
				return err
			}
		}
		if len(rows) < queryPage {
			return nil
		}
		from = rows[len(rows)-1].Sk + "\x00"
	}
}

// callerCodes are the codes of docs/callers.md with a status below 500. Every other code counts against availability,
// so that a code missing here shows up in the report.
var callerCodes = []string{
	"bad_json", "bad_request", "bad_field", "no_model", "no_prompt", "no_messages", "bad_max_tokens", "broken_body", "key_in_request",
	"bad_path", "bad_idempotency_key", "rejected_by_endpoint", "invalid_api_key", "key_withdrawn", "route_not_allowed",
	"no_such_route", "no_such_service", "no_target", "no_such_page", "settled_ran", "answer_not_kept", "claim_contended",
	"over_burst", "body_too_large", "idempotency_key_reused", "rate_limit_exceeded", "rate_limit_within_rate", "caller_gone",
}

// limitCodes are the refusals of requests that one bucket for the whole fleet would have admitted.
var limitCodes = []string{"rate_limit_within_rate", "no_limit", "no_load_permit"}

func counts(delta meter.Totals) Counts {
	var requests, refused, byCaller, byLimit int64
	for _, n := range delta.Requests {
		requests += n
	}
	for code, n := range delta.Refusals {
		refused += n
		if slices.Contains(callerCodes, code) {
			byCaller += n
		}
		if slices.Contains(limitCodes, code) {
			byLimit += n
		}
	}
	// A request and its refusal are two counters; a sample between them holds only the refusal.
	return Counts{
		FirstToken: latency(delta.FirstToken), BetweenTokens: latency(delta.BetweenTokens),
		WrongfulRefusals: Events{Total: requests, Good: max(0, requests-byLimit)},
		Availability:     Events{Total: requests, Good: max(0, requests-(refused-byCaller))},
	}
}

func latency(h meter.Histogram) Latency {
	l := Latency{Total: h.Total}
	if h.Total == 0 {
		return l
	}
	for _, b := range h.Buckets {
		l.UpTo = append(l.UpTo, UpTo{Bound: b.Bound, Good: b.Count})
	}
	return l
}

func difference(now, before meter.Totals) meter.Totals {
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
		FirstToken: histogramDifference(now.FirstToken, before.FirstToken), BetweenTokens: histogramDifference(now.BetweenTokens, before.BetweenTokens),
	}
}

func histogramDifference(now, before meter.Histogram) meter.Histogram {
	d := meter.Histogram{Total: now.Total - before.Total, Buckets: slices.Clone(now.Buckets)}
	for i, b := range before.Buckets {
		// The bounds of one process never change.
		d.Buckets[i].Count -= b.Count
	}
	return d
}
