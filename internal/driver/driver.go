// Package driver is an open-loop load generator: it sends each request at its intended time regardless of earlier
// responses, verifies every response and summarises the results. Its histograms and counters are in memory and belong
// to one run. It does not use the platform's store; while the store is unavailable it keeps sending and counts the
// refusals.
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

const (
	// Completion is POST /v1/completions.
	Completion Kind = "Completion"
	// Booking is POST /services/ROUTE/bookings, not repeatable, sent with an idempotency key.
	Booking Kind = "Booking"
	// Balance is GET /services/ROUTE/balances/NAME, which is repeatable.
	Balance Kind = "Balance"
)

// Request is a request to send.
type Request struct {
	// Offset is the intended start time, relative to the start of the run.
	Offset       time.Duration
	Kind         Kind
	Organisation string
	Route        string
	// Key is the caller's API key; without one, no Authorization header is sent.
	Key string
	// Prompt, MaxTokens and Stream are set for completions.
	Prompt    string
	MaxTokens int
	Stream    bool
	// Body is the JSON body of a booking, which must be unique in the ledger, and Name the account of a balance.
	Body string
	Name string
	// Adapters lists the expected adapters as ADAPTER@VERSION, the engine's names for them; empty means any.
	Adapters []string
	// Tag is returned with the result.
	Tag string
}

// Result is the result of a request.
type Result struct {
	Request

	// Sent is the actual start of the first attempt and Ended the end of the response, relative to the start of the
	// run.
	Sent, Ended time.Duration
	// Status is the HTTP status; 0 if there was no response.
	Status int
	// Code and Outcome are the error code and outcome of a refusal or failure.
	Code, Outcome string
	// OK is true for a complete, correct response with a status below 300.
	OK bool
	// Wrong describes why a response does not match the request, Broken why a response is incomplete or malformed.
	Wrong, Broken string
	// Tokens is the number of tokens in the response.
	Tokens int
	// FirstToken (streams only) and Total are latencies from the intended start, so that sending late is included.
	// betweenTokens holds the gaps between consecutive tokens of a stream.
	FirstToken, Total time.Duration
	betweenTokens     []time.Duration
	// Attempts counts all attempts, including retries of a booking under the same idempotency key.
	Attempts int
}

// Refused reports whether the response states that the request did not run.
func (r Result) Refused() bool {
	return r.Status >= http.StatusBadRequest && r.Outcome == outcomeNotRun
}

const outcomeNotRun = "not-run"

// Limits of every run, which keep a mistyped flag from starting unbounded load.
const (
	MaxCount    = 100_000
	MaxDuration = 10 * time.Minute
	// maxInFlight limits concurrent requests. The latency of a delayed request still counts from its intended start.
	maxInFlight = 1_000
	// requestTimeout limits one attempt, including reading the response.
	requestTimeout = 2 * time.Minute
)

// Config configures Run.
type Config struct {
	// Entries are the URLs of the entries, used round-robin.
	Entries []string
	// AllowRemote permits targets other than loopback.
	AllowRemote bool
	// Verify checks responses against those of the stand-ins, emulator.GenerateText for completions. It requires a
	// fleet whose endpoints are stand-ins.
	Verify bool
	// Ledger is the URL of a ledger stand-in, whose bookings are read at the end and compared with those sent. If it is
	// empty, there is no comparison.
	Ledger string
	// BookingRetries is the maximum number of retries of a booking without a definite response.
	BookingRetries int
	// Report is called for each result from a single goroutine; it may be nil.
	Report func(Result)
}

// Run sends the requests, which must be ordered by offset, waits for all responses and returns the summary. If ctx
// ends, no further requests are sent and those in flight are cancelled.
func Run(ctx context.Context, c Config, requests iter.Seq[Request]) (Summary, error) {
	if len(c.Entries) == 0 {
		return Summary{}, errors.New("no entry URL configured; set --entries or --demo")
	}
	for _, target := range append(append([]string{}, c.Entries...), c.Ledger) {
		if err := validateTarget(target, c.AllowRemote); err != nil {
			return Summary{}, err
		}
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}
	defer transport.CloseIdleConnections()
	sender := &sender{config: c, client: &http.Client{Transport: transport, Timeout: requestTimeout}, started: time.Now()}
	collector := newCollector()
	results, collected := make(chan Result), make(chan struct{})
	go func() {
		defer close(collected)
		for r := range results {
			collector.add(r)
			if c.Report != nil {
				c.Report(r)
			}
		}
	}()
	err := sender.sendAll(ctx, requests, results)
	close(results)
	<-collected
	summary := collector.summary(time.Since(sender.started))
	if c.Ledger == "" {
		return summary, err
	}
	ledgerBookings, ledgerErr := sender.ledgerBookings(context.WithoutCancel(ctx))
	summary.Bookings = collector.compareWithLedger(ledgerBookings)
	return summary, errors.CombineErrors(err, ledgerErr)
}

// sendAll sends each request at its offset and returns when all have completed.
func (s *sender) sendAll(ctx context.Context, requests iter.Seq[Request], results chan<- Result) error {
	done := make(chan struct{})
	sent, running := 0, 0
	defer func() {
		for ; running > 0; running-- {
			<-done
		}
	}()
	for r := range requests {
		if sent == MaxCount || r.Offset > MaxDuration {
			return errors.Newf("the load exceeds %d requests or %s; use a smaller one", MaxCount, MaxDuration)
		}
		timer := time.NewTimer(r.Offset - time.Since(s.started))
		// Wait until the request is due and fewer than maxInFlight are running. The timer fires once, so a request that is
		// due waits only for another to complete.
		for due := false; !due || running == maxInFlight; {
			select {
			case <-timer.C:
				due = true
			case <-done:
				running--
			case <-ctx.Done():
				timer.Stop()
				return ctx.Err()
			}
		}
		number := sent
		sent, running = sent+1, running+1
		go func() {
			results <- s.send(ctx, r, number)
			done <- struct{}{}
		}()
	}
	return nil
}
