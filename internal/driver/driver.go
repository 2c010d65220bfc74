// Package driver is the open-loop load tool: it sends requests at their intended times whatever the answers do, checks
// each answer, and sums up what callers got. It owns its histograms and counters, in memory, and only its own run writes
// them. It uses no store; while the platform's store is unavailable it goes on and counts the refusals.
package driver

import (
	"context"
	"iter"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	// Completion is POST /v1/completions.
	Completion Kind = "Completion"
	// Booking is POST /services/ROUTE/bookings with an idempotency key; it may not be repeated.
	Booking Kind = "Booking"
	// Balance is GET /services/ROUTE/balances/NAME, which may be repeated.
	Balance Kind = "Balance"
)

// Request is one request to send.
type Request struct {
	// Offset is the intended start, counted from the start of the run.
	Offset       time.Duration
	Kind         Kind
	Organisation string
	Route        string
	// Key is the caller's key; none is sent when it is empty.
	Key string
	// Prompt, MaxTokens and Stream belong to a completion.
	Prompt    string
	MaxTokens int
	Stream    bool
	// Body is a booking's JSON, and Name the account of a balance. A body must be unique in the ledger's book.
	Body string
	Name string
	// Adapters are the names at the engine, ADAPTER@VERSION, that may answer; any when empty.
	Adapters []string
	// Tag is handed back with the result.
	Tag string
}

// Result is what came of a request.
type Result struct {
	Request

	// Sent is the time from the start of the run to the actual first attempt, and Ended to the end of the answer.
	Sent, Ended time.Duration
	// Status is 0 when no answer came.
	Status int
	// Code and Outcome are those of a refusal or failure.
	Code, Outcome string
	// OK is true for a whole answer with a status below 300.
	OK bool
	// Wrong says why an answer is not this request's, Broken why an answer that began is not whole.
	Wrong, Broken string
	// Tokens counts the tokens of the answer.
	Tokens int
	// FirstToken, of a stream, and Total are counted from the intended start; between are the gaps between tokens.
	FirstToken, Total time.Duration
	between           []time.Duration
	// Attempts counts the sends; a booking without an answer is sent again under its idempotency key.
	Attempts int
}

// Refused is true for an answer that says that the request did not run.
func (r Result) Refused() bool {
	return r.Status >= http.StatusBadRequest && r.Outcome == outcomeNotRun
}

const outcomeNotRun = "not-run"

// Bounds that no run exceeds, so that a mistyped flag cannot start unbounded load.
const (
	MaxCount    = 100_000
	MaxDuration = 10 * time.Minute
	// maxInFlight bounds open requests. One that must wait for a place is still counted from its intended start.
	maxInFlight = 1_000
	// requestTimeout ends a request that gets no answer.
	requestTimeout = 2 * time.Minute
)

// Config configures a Run.
type Config struct {
	// Entries are the entries' URLs; requests go to them in turn.
	Entries []string
	// AllowRemote permits targets other than loopback.
	AllowRemote bool
	// Verify compares each completion with emulator.Answer, for fleets whose endpoints are the stand-ins.
	Verify bool
	// Ledger is the URL of a ledger stand-in, whose book is read at the end; no bookings are counted when empty.
	Ledger string
	// BookingRetries is how often a booking without a definite answer is sent again under its idempotency key.
	BookingRetries int
	// Report is called for each result, by one goroutine at a time; it may be nil.
	Report func(Result)
}

// Run sends the requests in the order of their offsets, waits for all answers and returns the summary. When ctx ends,
// no further request is sent and the open ones are given up.
func Run(ctx context.Context, c Config, requests iter.Seq[Request]) (Summary, error) {
	if len(c.Entries) == 0 {
		return Summary{}, errors.New("there is no entry to send to; give --entries or --demo")
	}
	for _, target := range append(append([]string{}, c.Entries...), c.Ledger) {
		if err := checkTarget(target, c.AllowRemote); err != nil {
			return Summary{}, err
		}
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}
	defer transport.CloseIdleConnections()
	caller := &caller{config: c, client: &http.Client{Transport: transport, Timeout: requestTimeout}, started: time.Now()}
	collected := newCollector()
	results, ended := make(chan Result), make(chan struct{})
	go func() {
		defer close(ended)
		for r := range results {
			collected.add(r)
			if c.Report != nil {
				c.Report(r)
			}
		}
	}()
	err := caller.sendAll(ctx, requests, results)
	close(results)
	<-ended
	summary := collected.summary(time.Since(caller.started))
	if c.Ledger == "" {
		return summary, err
	}
	book, bookErr := caller.book(context.WithoutCancel(ctx))
	summary.Bookings = collected.compare(book)
	return summary, errors.CombineErrors(err, bookErr)
}

// sendAll sends each request at its offset and returns when all have ended.
func (c *caller) sendAll(ctx context.Context, requests iter.Seq[Request], results chan<- Result) error {
	ends := make(chan struct{})
	sent, running := 0, 0
	defer func() {
		for ; running > 0; running-- {
			<-ends
		}
	}()
	for r := range requests {
		if sent == MaxCount || r.Offset > MaxDuration {
			return errors.Newf("the load exceeds %d requests or %s; use a smaller one", MaxCount, MaxDuration)
		}
		timer := time.NewTimer(r.Offset - time.Since(c.started))
		for due := false; !due || running == maxInFlight; {
			select {
			case <-timer.C:
				due = true
			case <-ends:
				running--
			case <-ctx.Done():
				timer.Stop()
				return ctx.Err()
			}
		}
		number := sent
		sent, running = sent+1, running+1
		go func() {
			results <- c.do(ctx, r, number)
			ends <- struct{}{}
		}()
	}
	return nil
}
