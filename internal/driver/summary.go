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

// Summary is what callers got in a run.
type Summary struct {
	Seconds       float64
	Sent          int
	OK            int `json:"Ok"`
	Wrong         int
	Broken        int
	Organisations []Organisation
	Bookings      Bookings
	// Faults are the first wrong and broken answers in words.
	Faults []string `json:",omitempty"`
}

// Organisation is what the callers of one organisation got.
type Organisation struct {
	Name   string
	Sent   int
	OK     int `json:"Ok"`
	Wrong  int
	Broken int
	Tokens int
	// Refused counts answers that say that the request did not run, by status and code.
	Refused map[string]int
	// Failed counts other failures by status and code.
	Failed   map[string]int
	Outcomes map[string]int
	// Latencies in milliseconds, those to the first token and between tokens of streams only. Those to the first token and in total count from the intended start.
	FirstToken    Percentiles
	BetweenTokens Percentiles
	Total         Percentiles
}

// Percentiles are of a latency in milliseconds.
type Percentiles struct {
	Count         int64
	P50, P95, P99 float64
}

// Bookings compares the acknowledged bookings with those in the ledger's book.
type Bookings struct {
	Sent         int
	Acknowledged int
	Run          int
	// Doubled bookings ran more than once.
	Doubled int
	// LostAcknowledgements ran, but their caller got no answer that says so.
	LostAcknowledgements int
	// FalseNotRun ran, although the caller was told that they did not and never will.
	FalseNotRun int
	// Missing were acknowledged, but are not in the book.
	Missing int
}

// Failure returns an error when an answer was wrong or broken, or a booking doubled, missing or falsely refused.
// Streams that end because their key was withdrawn end as promised and are not broken.
func (s Summary) Failure() error {
	b := s.Bookings
	if s.Wrong+s.Broken+b.Doubled+b.FalseNotRun+b.Missing == 0 {
		return nil
	}
	return errors.Newf("%d wrong and %d broken answers; of the bookings %d doubled, %d run after not-run, %d missing; see Faults with --output json",
		s.Wrong, s.Broken, b.Doubled, b.FalseNotRun, b.Missing)
}

const (
	codeWithdrawn = "key_withdrawn"
	maxFaults     = 10
	// highestMicros is the longest latency that the histograms tell apart.
	highestMicros = int64(10 * time.Minute / time.Microsecond)
)

type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram { return histogram{hdrhistogram.New(1, highestMicros, 3)} }

func (h histogram) add(d time.Duration) {
	// The value is within the bounds, so there is no error.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highestMicros))
}

func (h histogram) percentiles() Percentiles {
	ms := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	return Percentiles{Count: h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99)}
}

type organisationCount struct {
	Organisation
	first, between, total histogram
}

type collector struct {
	byName   map[string]*organisationCount
	faults   []string
	bookings map[string]Result
}

func newCollector() *collector {
	return &collector{byName: map[string]*organisationCount{}, bookings: map[string]Result{}}
}

func (c *collector) add(r Result) {
	o := c.byName[r.Organisation]
	if o == nil {
		o = &organisationCount{
			Organisation: Organisation{Name: r.Organisation, Refused: map[string]int{}, Failed: map[string]int{}, Outcomes: map[string]int{}},
			first:        newHistogram(), between: newHistogram(), total: newHistogram(),
		}
		c.byName[r.Organisation] = o
	}
	o.Sent++
	o.Tokens += r.Tokens
	if r.Kind == Booking {
		c.bookings[r.Body] = r
	}
	for _, gap := range r.between {
		o.between.add(gap)
	}
	if r.Wrong != "" {
		o.Wrong++
		c.fault(r, r.Wrong)
	}
	if r.Broken != "" && r.Code != codeWithdrawn {
		o.Broken++
		c.fault(r, r.Broken)
	}
	name := fmt.Sprintf("%d %s", r.Status, r.Code)
	switch {
	case r.OK:
		o.OK++
		o.Outcomes["ok"]++
		o.total.add(r.Total)
		if r.Stream {
			o.first.add(r.FirstToken)
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

func (c *collector) fault(r Result, why string) {
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, fmt.Sprintf("%s of %s on %s after %s: %s", r.Kind, r.Organisation, r.Route, r.Sent.Round(time.Millisecond), why))
	}
}

func (c *collector) summary(took time.Duration) Summary {
	s := Summary{Seconds: took.Seconds(), Faults: c.faults, Organisations: []Organisation{}}
	for _, name := range slices.Sorted(maps.Keys(c.byName)) {
		o := c.byName[name]
		o.FirstToken, o.BetweenTokens, o.Total = o.first.percentiles(), o.between.percentiles(), o.total.percentiles()
		s.Sent, s.OK, s.Wrong, s.Broken = s.Sent+o.Sent, s.OK+o.OK, s.Wrong+o.Wrong, s.Broken+o.Broken
		s.Organisations = append(s.Organisations, o.Organisation)
	}
	s.Bookings = c.compare(nil)
	return s
}

// compare finds the run's own bookings in the ledger's book.
func (c *collector) compare(book []booked) Bookings {
	times := make(map[string]int, len(book))
	for _, b := range book {
		times[string(b.Body)] += b.TimesRun
	}
	var all Bookings
	for body, r := range c.bookings {
		all.Sent++
		ran := times[body]
		if ran > 0 {
			all.Run++
		}
		if ran > 1 {
			all.Doubled++
		}
		switch {
		case r.OK:
			all.Acknowledged++
			if ran == 0 && book != nil {
				all.Missing++
			}
		case ran > 0 && r.Outcome == outcomeNotRun:
			all.FalseNotRun++
		case ran > 0:
			all.LostAcknowledgements++
		}
	}
	return all
}

// WriteText writes the summary as tables.
func (s Summary) WriteText(out io.Writer) error {
	table := tablewriter.NewTable(out, tablewriter.WithHeaderAutoFormat(tw.Off))
	table.Header("Organisation", "Sent", "Ok", "Refused", "Failed", "Wrong", "Broken", "Tokens",
		"First token ms p50/p95/p99", "Between tokens ms p50/p95/p99", "Total ms p50/p95/p99")
	for _, o := range s.Organisations {
		err := table.Append(o.Name, o.Sent, o.OK, counts(o.Refused), counts(o.Failed), o.Wrong, o.Broken, o.Tokens,
			o.FirstToken.text(), o.BetweenTokens.text(), o.Total.text())
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

func (p Percentiles) text() string {
	if p.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f / %.1f / %.1f", p.P50, p.P95, p.P99)
}

func counts(all map[string]int) string {
	parts := make([]string, 0, len(all))
	for _, name := range slices.Sorted(maps.Keys(all)) {
		parts = append(parts, fmt.Sprintf("%d × %s", all[name], name))
	}
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, ", ")
}
