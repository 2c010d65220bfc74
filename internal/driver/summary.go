package driver

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/tw"
)

// Summary summarises the results of a run.
type Summary struct {
	Seconds       float64
	Sent          int
	OK            int `json:"Ok"`
	Wrong         int
	Broken        int
	Organisations []Organisation
	Bookings      Bookings
	// Faults describes the first wrong and broken responses, up to maxFaults.
	Faults []string `json:",omitempty"`
}

// Organisation summarises the results of one organisation.
type Organisation struct {
	Name   string
	Sent   int
	OK     int `json:"Ok"`
	Wrong  int
	Broken int
	Tokens int
	// Refused counts responses stating that the request did not run, by status and code.
	Refused map[string]int
	// Failed counts other failures by status and code.
	Failed   map[string]int
	Outcomes map[string]int
	// FirstToken and BetweenTokens cover streams only. FirstToken and Total are measured from the intended start.
	FirstToken    Percentiles
	BetweenTokens Percentiles
	Total         Percentiles
}

// Percentiles holds percentiles of a latency in milliseconds.
type Percentiles struct {
	Count         int64
	P50, P95, P99 float64
}

// Bookings compares the bookings sent with those stored by the ledger.
type Bookings struct {
	Sent         int
	Acknowledged int
	Run          int
	// Doubled counts bookings that ran more than once.
	Doubled int
	// LostAcknowledgements counts bookings that ran without the caller being told.
	LostAcknowledgements int
	// FalseNotRun counts bookings that ran although the caller was told that they did not and never will.
	FalseNotRun int
	// Missing counts acknowledged bookings that the ledger does not have.
	Missing int
}

// Failure returns an error if a response was wrong or broken, or a booking was doubled, missing, or run although the
// caller was told that it did not and never will. A stream that ends because its key was withdrawn is expected and does
// not count as broken.
func (s Summary) Failure() error {
	b := s.Bookings
	if s.Wrong+s.Broken+b.Doubled+b.FalseNotRun+b.Missing == 0 {
		return nil
	}
	return errors.Newf("%d wrong and %d broken answers; of the bookings %d doubled, %d run after not-run, %d missing; see Faults with --output json",
		s.Wrong, s.Broken, b.Doubled, b.FalseNotRun, b.Missing)
}

const (
	codeKeyWithdrawn = "key_withdrawn"
	maxFaults        = 10
	// maxLatencyMicros is the upper limit of the histograms; longer latencies are recorded as this value.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
)

type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram { return histogram{hdrhistogram.New(1, maxLatencyMicros, 3)} }

func (h histogram) add(d time.Duration) {
	// RecordValue fails only for values out of range, and the value is clamped.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

func (h histogram) percentiles() Percentiles {
	ms := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	return Percentiles{Count: h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99)}
}

type organisationStats struct {
	Organisation
	firstToken, betweenTokens, total histogram
}

type collector struct {
	byName   map[string]*organisationStats
	faults   []string
	bookings map[string]Result
}

func newCollector() *collector {
	return &collector{byName: map[string]*organisationStats{}, bookings: map[string]Result{}}
}

func (c *collector) add(r Result) {
	o := c.byName[r.Organisation]
	if o == nil {
		o = &organisationStats{
			Organisation: Organisation{Name: r.Organisation, Refused: map[string]int{}, Failed: map[string]int{}, Outcomes: map[string]int{}},
			firstToken:   newHistogram(), betweenTokens: newHistogram(), total: newHistogram(),
		}
		c.byName[r.Organisation] = o
	}
	o.Sent++
	o.Tokens += r.Tokens
	if r.Kind == Booking {
		c.bookings[r.Body] = r
	}
	for _, gap := range r.betweenTokens {
		o.betweenTokens.add(gap)
	}
	if r.Wrong != "" {
		o.Wrong++
		c.addFault(r, r.Wrong)
	}
	if r.Broken != "" && r.Code != codeKeyWithdrawn {
		o.Broken++
		c.addFault(r, r.Broken)
	}
	name := fmt.Sprintf("%d %s", r.Status, r.Code)
	switch {
	case r.OK:
		o.OK++
		o.Outcomes["ok"]++
		o.total.add(r.Total)
		if r.Stream {
			o.firstToken.add(r.FirstToken)
		}
		return
	case r.Refused():
		o.Refused[name]++
	case r.Wrong == "":
		o.Failed[name]++
	}
	outcome := r.Outcome
	if outcome == "" {
		outcome = "none"
	}
	o.Outcomes[outcome]++
}

func (c *collector) addFault(r Result, reason string) {
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, fmt.Sprintf("%s of %s on %s after %s: %s", r.Kind, r.Organisation, r.Route, r.Sent.Round(time.Millisecond), reason))
	}
}

func (c *collector) summary(elapsed time.Duration) Summary {
	s := Summary{Seconds: elapsed.Seconds(), Faults: c.faults, Organisations: []Organisation{}}
	for _, name := range slices.Sorted(maps.Keys(c.byName)) {
		o := c.byName[name]
		o.FirstToken, o.BetweenTokens, o.Total = o.firstToken.percentiles(), o.betweenTokens.percentiles(), o.total.percentiles()
		s.Sent, s.OK, s.Wrong, s.Broken = s.Sent+o.Sent, s.OK+o.OK, s.Wrong+o.Wrong, s.Broken+o.Broken
		s.Organisations = append(s.Organisations, o.Organisation)
	}
	// Without the ledger, only Sent and Acknowledged are counted.
	s.Bookings = c.compareWithLedger(nil)
	return s
}

// compareWithLedger looks up the run's bookings among those stored by the ledger; nil means that the ledger was not
// read.
func (c *collector) compareWithLedger(ledgerBookings []ledgerBooking) Bookings {
	runs := make(map[string]int, len(ledgerBookings))
	for _, b := range ledgerBookings {
		runs[string(b.Body)] += b.TimesRun
	}
	var totals Bookings
	for body, r := range c.bookings {
		totals.Sent++
		ran := runs[body]
		if ran > 0 {
			totals.Run++
		}
		if ran > 1 {
			totals.Doubled++
		}
		switch {
		case r.OK:
			totals.Acknowledged++
			if ran == 0 && ledgerBookings != nil {
				totals.Missing++
			}
		case ran > 0 && r.Outcome == outcomeNotRun:
			totals.FalseNotRun++
		case ran > 0:
			totals.LostAcknowledgements++
		}
	}
	return totals
}

// WriteText writes the summary as a table and totals.
func (s Summary) WriteText(out io.Writer) error {
	table := tablewriter.NewTable(out, tablewriter.WithHeaderAutoFormat(tw.Off))
	table.Header("Organisation", "Sent", "Ok", "Refused", "Failed", "Wrong", "Broken", "Tokens",
		"First token ms p50/p95/p99", "Between tokens ms p50/p95/p99", "Total ms p50/p95/p99")
	for _, o := range s.Organisations {
		err := table.Append(o.Name, o.Sent, o.OK, formatCounts(o.Refused), formatCounts(o.Failed), o.Wrong, o.Broken, o.Tokens,
			o.FirstToken.format(), o.BetweenTokens.format(), o.Total.format())
		if err != nil {
			return errors.Wrap(err, "add a row to the table")
		}
	}
	if err := table.Render(); err != nil {
		return errors.Wrap(err, "write the table")
	}
	b := s.Bookings
	_, err := fmt.Fprintf(out, "%d requests in %.1f s: %d ok, %d wrong, %d broken.\n"+
		"Bookings: %d sent, %d acknowledged, %d run, %d doubled, %d lost acknowledgements, %d run after not-run, %d missing.\n",
		s.Sent, s.Seconds, s.OK, s.Wrong, s.Broken, b.Sent, b.Acknowledged, b.Run, b.Doubled, b.LostAcknowledgements, b.FalseNotRun, b.Missing)
	for _, fault := range s.Faults {
		if err == nil {
			_, err = fmt.Fprintln(out, fault)
		}
	}
	return errors.Wrap(err, "write the summary")
}

func (p Percentiles) format() string {
	if p.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f / %.1f / %.1f", p.P50, p.P95, p.P99)
}

func formatCounts(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d × %s", counts[name], name))
	}
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, ", ")
}
