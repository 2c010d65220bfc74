package reporter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"

	"geraniumladder/internal/merger"
	"geraniumladder/internal/meter"
	"geraniumladder/internal/reporter"
	"geraniumladder/internal/storer"
)

var start = time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)

var available = merger.Objective{Name: "available", Indicator: "Availability", Target: 0.99}

func row(organisation, vm string, bucket time.Time, good, total int64) reporter.Row {
	return reporter.Row{
		Organisation: organisation, VM: vm, Bucket: bucket,
		Counts: reporter.Counts{Availability: reporter.Events{Good: good, Total: total}},
	}
}

// Guards against an alarm when only one of its two windows exceeds the threshold, against a window that includes older
// buckets, and against a report that presents a shorter period as the whole window.
func TestEvaluate(t *testing.T) {
	now := start.Add(72 * time.Hour)
	for _, c := range []struct {
		name    string
		rows    []reporter.Row
		state   reporter.State
		burns   [4]float64
		budget  float64
		covered time.Duration
	}{
		{"none", nil, reporter.NoAlarm, [4]float64{}, 1, 0},
		{"good", []reporter.Row{row("a", "1", start, 100, 100)}, reporter.NoAlarm, [4]float64{}, 1, 72 * time.Hour},
		{"exactly on target", []reporter.Row{row("a", "1", now.Add(-3*time.Hour), 99, 100)}, reporter.NoAlarm, [4]float64{0, 0, 1, 1}, 0, 3 * time.Hour},
		{"long and low", []reporter.Row{row("a", "1", now.Add(-3*time.Hour), 98, 100)}, reporter.Ticket, [4]float64{0, 0, 2, 2}, -1, 3 * time.Hour},
		{"long ago", []reporter.Row{row("a", "1", start, 50, 100)}, reporter.NoAlarm, [4]float64{0, 0, 0, 50}, -49, 72 * time.Hour},
		{"an hour ago, over now", []reporter.Row{row("a", "1", now.Add(-30*time.Minute), 80, 100)}, reporter.Ticket, [4]float64{0, 20, 20, 20}, -19, 30 * time.Minute},
		{
			"now, but short in the hour", []reporter.Row{row("a", "1", now.Add(-30*time.Minute), 1900, 1900), row("a", "2", now, 50, 100)},
			reporter.Ticket, [4]float64{50, 2.5, 2.5, 2.5}, -1.5, 30 * time.Minute,
		},
		{"now", []reporter.Row{row("a", "1", now, 40, 50), row("a", "2", now, 40, 50)}, reporter.Page, [4]float64{20, 20, 20, 20}, -19, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			line := reporter.Aggregate(c.rows)["a"].Evaluate("a", available, now)
			assert.Equal(t, line.State, c.state)
			for i, want := range c.burns {
				assert.Check(t, near(line.Windows[i].Burn, want), "window %d: %g", i, line.Windows[i].Burn)
			}
			assert.Check(t, near(line.Budget, c.budget), "budget %g", line.Budget)
			assert.Equal(t, line.Windows[3].Covered, c.covered)
		})
	}
}

func near(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }

// Guards against counting events as good that may have exceeded the threshold.
func TestLatencyWithin(t *testing.T) {
	l := reporter.Latency{Total: 10, UpTo: []reporter.UpTo{{UpperBound: 450 * time.Millisecond, Good: 6}, {UpperBound: time.Second, Good: 9}}}
	for threshold, want := range map[time.Duration]int64{
		100 * time.Millisecond: 0, 450 * time.Millisecond: 6, 999 * time.Millisecond: 6, time.Minute: 9,
	} {
		assert.DeepEqual(t, l.Within(threshold), reporter.Events{Good: want, Total: 10})
	}
	other := reporter.Latency{Total: 2, UpTo: []reporter.UpTo{{UpperBound: 700 * time.Millisecond, Good: 2}}}
	assert.DeepEqual(t, l.Plus(other).Within(700*time.Millisecond), reporter.Events{Good: 8, Total: 12})
}

// Guards against rows that are dropped or counted twice when rows of several VMs and buckets are summed, and against a
// budget above 1 caused by corrupt rows.
func TestEventTotalsAndBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start.Add(72 * time.Hour)
		var rows []reporter.Row
		want := map[string]reporter.Events{}
		for range rapid.IntRange(0, 40).Draw(t, "rows") {
			organisation := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation")
			total := rapid.Int64Range(0, 100).Draw(t, "total")
			good := rapid.Int64Range(0, 110).Draw(t, "good")
			bucket := now.Add(-time.Duration(rapid.IntRange(0, 863).Draw(t, "age")) * reporter.BucketDuration)
			rows = append(rows, row(organisation, rapid.SampledFrom([]string{"1", "2"}).Draw(t, "vm"), bucket, good, total))
			want[organisation] = want[organisation].Plus(reporter.Events{Good: good, Total: total})
		}
		report := reporter.NewReport([]merger.Objective{available}, reporter.Aggregate(rows), now)
		assert.Equal(t, len(report.Lines), len(want))
		for _, line := range report.Lines {
			assert.DeepEqual(t, line.Windows[3].Events, want[line.Organisation])
			assert.Assert(t, line.Budget <= 1)
		}
	})
}

// Guards against a report that lists an organisation without an alarm above one with an alarm.
func TestReportListsWorstOrganisationFirst(t *testing.T) {
	series := reporter.Aggregate([]reporter.Row{row("a", "1", start, 100, 100), row("b", "1", start, 0, 100), row("c", "1", start, 90, 100)})
	var names []string
	for _, l := range reporter.NewReport([]merger.Objective{available}, series, start).Lines {
		names = append(names, l.Organisation)
	}
	assert.DeepEqual(t, names, []string{"b", "c", "a"})
}

func decode(t *testing.T, data []byte) reporter.Row {
	t.Helper()
	var r reporter.Row
	assert.NilError(t, json.Unmarshal(data, &r))
	return r
}

type fixture struct {
	table  *storer.MemoryPlatform
	now    time.Time
	totals map[string]meter.Totals
}

func newFixture() *fixture {
	return &fixture{table: storer.NewMemoryPlatform(), now: start, totals: map[string]meter.Totals{}}
}

func (f *fixture) recorder() *reporter.Recorder {
	return reporter.NewRecorder(reporter.RecorderConfig{
		Table: f.table, VM: "vm1", Now: func() time.Time { return f.now },
		Gather: func() (map[string]meter.Totals, error) { return f.totals, nil },
	})
}

func (f *fixture) setTotals(ok, refused int64, code string) {
	f.totals = map[string]meter.Totals{"a": {
		Requests: map[string]int64{"ok": ok, "not-run": refused}, Refusals: map[string]int64{code: refused}, Tokens: ok,
	}}
}

func (f *fixture) rows(t *testing.T) map[string]reporter.Events {
	t.Helper()
	rows, err := f.table.Query(context.Background(), "burn", "", 0)
	assert.NilError(t, err)
	events := map[string]reporter.Events{}
	for _, r := range rows {
		series := reporter.Aggregate([]reporter.Row{decode(t, r.Data)})
		for _, p := range series["a"].Points(available, 72*time.Hour, f.now) {
			events[r.Sk] = p.Events
		}
	}
	return events
}

// Guards against counting events twice after a lost response, a restart of the process or a clock set back, and against
// writes without traffic.
func TestRecorderWritesEachEventOnce(t *testing.T) {
	ctx, f := context.Background(), newFixture()
	r := f.recorder()
	key := reporter.SortKey(start, "a", "vm1")
	f.setTotals(5, 1, "no_endpoint")
	f.table.SetFault(storer.Fault{LoseAnswerNext: 1})
	assert.Check(t, storer.IsKind(r.Record(ctx), storer.Unavailable))
	f.setTotals(7, 1, "no_endpoint")
	assert.NilError(t, r.Record(ctx))
	assert.DeepEqual(t, f.rows(t), map[string]reporter.Events{key: {Good: 7, Total: 8}})

	before := f.table.Counts().Writes
	assert.NilError(t, r.Record(ctx))
	assert.Equal(t, f.table.Counts().Writes, before)

	f.setTotals(2, 0, "no_endpoint")
	r = f.recorder()
	assert.NilError(t, r.Record(ctx))
	assert.DeepEqual(t, f.rows(t), map[string]reporter.Events{key: {Good: 9, Total: 10}})

	for _, now := range []time.Time{start.Add(reporter.BucketDuration), start} {
		f.now = now
		assert.NilError(t, r.Record(ctx))
	}
	f.setTotals(3, 0, "no_endpoint")
	assert.NilError(t, r.Record(ctx))
	assert.DeepEqual(t, f.rows(t), map[string]reporter.Events{key: {Good: 10, Total: 11}})
}

// Guards against an outage of the store that loses buckets of the last hour, and against memory that grows without
// bound during one.
func TestRecorderKeepsBucketsThroughAnOutage(t *testing.T) {
	ctx, f := context.Background(), newFixture()
	r := f.recorder()
	f.table.SetFault(storer.Fault{Down: true})
	for i := range 20 {
		f.setTotals(int64(i+1), 0, "")
		assert.Check(t, storer.IsKind(r.Record(ctx), storer.Unavailable))
		f.now = f.now.Add(reporter.BucketDuration)
	}
	f.table.SetFault(storer.Fault{})
	// The first iteration is counted in the bucket that has just ended, the second in the current bucket.
	for i := range int64(2) {
		f.setTotals(21+i, 0, "")
		assert.NilError(t, r.Record(ctx))
	}
	rows := f.rows(t)
	assert.Equal(t, len(rows), 12)
	for sk := range rows {
		assert.Check(t, sk >= reporter.SortKey(start.Add(9*reporter.BucketDuration), "a", "vm1"), sk)
	}
}

// Guards against expired rows that are never deleted, including those of a lost VM; against entries that contend for
// the deletion of each other's rows; and against deleting rows that are still within the window.
func TestRecorderDeletesExpiredRows(t *testing.T) {
	ctx, f := context.Background(), newFixture()
	for _, key := range []string{
		reporter.SortKey(start.Add(-73*time.Hour), "a", "vm1"), reporter.SortKey(start.Add(-80*time.Hour), "a", "lost"),
		reporter.SortKey(start.Add(-73*time.Hour), "a", "vm2"), reporter.SortKey(start.Add(-72*time.Hour), "a", "vm1"),
	} {
		assert.NilError(t, f.table.Put(ctx, storer.Row{Pk: "burn", Sk: key, Data: []byte("{}")}, 0))
	}
	assert.NilError(t, f.recorder().Record(ctx))
	rows, err := f.table.Query(ctx, "burn", "", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 2)
	assert.Equal(t, rows[0].Sk, reporter.SortKey(start.Add(-73*time.Hour), "a", "vm2"))
	assert.Equal(t, rows[1].Sk, reporter.SortKey(start.Add(-72*time.Hour), "a", "vm1"))
}

// Guards against counting a refusal above the rate limit as wrongful, and against counting a caller's error against
// availability.
func TestRecorderClassifiesRefusals(t *testing.T) {
	for _, c := range []struct {
		code                    string
		wrongfulGood, available int64
	}{
		{"rate_limit_within_rate", 60, 61},
		{"rate_limit_exceeded", 61, 61},
		{"no_load_permit", 60, 60},
		{"bad_json", 61, 61},
		{"caller_gone", 61, 61},
		{"deadline_exceeded", 61, 60},
		{"a_code_of_a_later_version", 61, 60},
	} {
		f := newFixture()
		r := f.recorder()
		f.now = f.now.Add(time.Minute)
		f.setTotals(60, 1, c.code)
		assert.NilError(t, r.Record(context.Background()))
		rows, err := f.table.Query(context.Background(), "burn", "", 0)
		assert.NilError(t, err)
		counts := decode(t, rows[0].Data).Counts
		assert.Equal(t, counts.WrongfulRefusals, reporter.Events{Good: c.wrongfulGood, Total: 61}, c.code)
		assert.Equal(t, counts.Availability, reporter.Events{Good: c.available, Total: 61}, c.code)
	}
}

// Guards against an HTML report that refers to external files, and against a plot that fails without events.
func TestHTMLIsSelfContained(t *testing.T) {
	series := reporter.Aggregate([]reporter.Row{row("a", "1", start, 90, 100)})
	other := available
	other.Organisation = "without events"
	report := reporter.NewReport([]merger.Objective{available, other}, series, start.Add(time.Minute))
	page, err := report.HTML()
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(page), "<svg"), 4)
	for _, outside := range []string{"<script", "src=", "<link", "<?xml"} {
		assert.Check(t, !strings.Contains(string(page), outside), outside)
	}
	var text strings.Builder
	assert.NilError(t, report.Write(&text))
	assert.Check(t, cmp.Contains(text.String(), fmt.Sprintf("%.2f (1m0s only)", 10.0)))
}
