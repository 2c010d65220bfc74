// Package meter holds the OpenTelemetry instruments of the processes and their page in the Prometheus format.
// It owns the counters of one process, which are lost with it. Labels have few values: no key, prompt,
// request or adapter is ever one.
package meter

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
)

// Bounds of the latency histograms, in seconds. The service-level objectives of the plan, 0.45 s to the first token
// and 71 ms between tokens, are bounds of their own, so that good events are counted exactly.
var (
	firstTokenBounds    = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.7, 1, 1.5, 2.5, 5, 10, 30}
	betweenTokensBounds = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.071, 0.1, 0.2, 0.5, 1, 5}
)

// Meter holds the instruments of one process. It is safe for use by several goroutines.
type Meter struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider

	requests      metric.Int64Counter
	refusals      metric.Int64Counter
	retries       metric.Int64Counter
	tokens        metric.Int64Counter
	loads         metric.Int64Counter
	stalls        metric.Int64Counter
	controlBytes  metric.Int64Counter
	firstToken    metric.Float64Histogram
	betweenTokens metric.Float64Histogram
	queueWait     metric.Float64Histogram
	loadTime      metric.Float64Histogram
	otel          metric.Meter
	// options caches the labels of each organisation, which would else be built anew for each token.
	options sync.Map
}

// Config configures a Meter.
type Config struct {
	// Role and VM are attributes of the resource.
	Role string
	VM   string
}

// New returns a Meter.
func New(c Config) (*Meter, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "create the Prometheus exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "geraniumladder-"+c.Role),
		attribute.String("service.instance.id", c.VM),
	)))
	m := &Meter{registry: registry, provider: provider, otel: provider.Meter("geraniumladder")}
	return m, m.createInstruments()
}

func (m *Meter) createInstruments() error {
	var errs []error
	counter := func(name, unit, description string) metric.Int64Counter {
		c, err := m.otel.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
		errs = append(errs, err)
		return c
	}
	histogram := func(name, description string, bounds []float64) metric.Float64Histogram {
		h, err := m.otel.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
			metric.WithExplicitBucketBoundaries(bounds...))
		errs = append(errs, err)
		return h
	}
	m.requests = counter("geraniumladder.requests", "{request}", "Requests answered, by outcome.")
	m.refusals = counter("geraniumladder.refusals", "{request}", "Requests refused before they ran, by reason.")
	m.retries = counter("geraniumladder.retries", "{request}", "Second and later dispatches.")
	m.tokens = counter("geraniumladder.tokens", "{token}", "Tokens, by kind prompt or answer.")
	m.loads = counter("geraniumladder.adapter.loads", "{load}", "Adapter loads, by result.")
	m.stalls = counter("geraniumladder.load.stalls", "{request}", "Requests that waited for an adapter load.")
	m.controlBytes = counter("geraniumladder.control.bytes", "By", "Bytes of messages between processes other than requests.")
	m.firstToken = histogram("geraniumladder.first.token", "Time from a request's arrival to its first token.", firstTokenBounds)
	m.betweenTokens = histogram("geraniumladder.between.tokens", "Time between two tokens of an answer.", betweenTokensBounds)
	m.queueWait = histogram("geraniumladder.queue.wait", "Time in the queue of an endpoint.", firstTokenBounds)
	m.loadTime = histogram("geraniumladder.adapter.load", "Time of an adapter load.", firstTokenBounds)
	return errors.Join(errs...)
}

// Gauge registers a value that is read at each scrape.
func (m *Meter) Gauge(name, unit, description string, read func() float64) error {
	_, err := m.otel.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Wrap(err, "register the gauge")
}

// organisationLabel returns the label as a slice, so that a call with it allocates nothing.
func (m *Meter) organisationLabel(organisation string) cachedOptions {
	if cached, ok := m.options.Load(organisation); ok {
		return cached.(cachedOptions)
	}
	option := metric.WithAttributeSet(attribute.NewSet(attribute.String("Organisation", organisation)))
	made := cachedOptions{add: []metric.AddOption{option}, record: []metric.RecordOption{option}}
	cached, _ := m.options.LoadOrStore(organisation, made)
	return cached.(cachedOptions)
}

type cachedOptions struct {
	add    []metric.AddOption
	record []metric.RecordOption
}

func labels(organisation, key, value string) metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(
		attribute.String("Organisation", organisation), attribute.String(key, value)))
}

// Request counts an answered request; outcome is ok, not-run, ran or unknown.
func (m *Meter) Request(organisation, outcome string) {
	m.requests.Add(context.Background(), 1, labels(organisation, "Outcome", outcome))
}

// Refusal counts a request that was refused before it ran.
func (m *Meter) Refusal(organisation, reason string) {
	m.refusals.Add(context.Background(), 1, labels(organisation, "Reason", reason))
}

// Retry counts a second or later dispatch.
func (m *Meter) Retry(organisation string) {
	m.retries.Add(context.Background(), 1, m.organisationLabel(organisation).add...)
}

// Tokens counts tokens; kind is prompt or answer.
func (m *Meter) Tokens(organisation, kind string, n int) {
	m.tokens.Add(context.Background(), int64(n), labels(organisation, "Kind", kind))
}

// Load counts an adapter load; result is ok or failed.
func (m *Meter) Load(result string, took time.Duration) {
	m.loads.Add(context.Background(), 1, metric.WithAttributes(attribute.String("Result", result)))
	m.loadTime.Record(context.Background(), took.Seconds())
}

// Stall counts a request that waited for an adapter load.
func (m *Meter) Stall(organisation string) {
	m.stalls.Add(context.Background(), 1, m.organisationLabel(organisation).add...)
}

// ControlBytes counts bytes of messages between processes; direction is in or out.
func (m *Meter) ControlBytes(direction string, n int) {
	m.controlBytes.Add(context.Background(), int64(n), metric.WithAttributes(attribute.String("Direction", direction)))
}

// FirstToken records the time to the first token.
func (m *Meter) FirstToken(organisation string, took time.Duration) {
	m.firstToken.Record(context.Background(), took.Seconds(), m.organisationLabel(organisation).record...)
}

// BetweenTokens records the time between two tokens.
func (m *Meter) BetweenTokens(organisation string, took time.Duration) {
	m.betweenTokens.Record(context.Background(), took.Seconds(), m.organisationLabel(organisation).record...)
}

// QueueWait records the time in an endpoint's queue.
func (m *Meter) QueueWait(organisation string, took time.Duration) {
	m.queueWait.Record(context.Background(), took.Seconds(), m.organisationLabel(organisation).record...)
}

// Handler returns the page in the Prometheus format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Totals are what the instruments counted for one organisation since the process started.
type Totals struct {
	// Requests are by outcome, and Refusals by reason.
	Requests map[string]int64
	Refusals map[string]int64
	// Tokens are prompt and answer tokens as counted for limits.
	Tokens        int64
	FirstToken    Histogram
	BetweenTokens Histogram
}

// Histogram holds the cumulative counts of a latency histogram.
type Histogram struct {
	Total int64
	// Buckets are in the order of their bounds; the one without a bound is left out, its count is Total.
	Buckets []Bucket
}

// Bucket counts the events that took at most Bound.
type Bucket struct {
	Bound time.Duration
	Count int64
}

// Totals reads the counters by organisation. Requests of no known organisation are left out.
func (m *Meter) Totals() (map[string]Totals, error) {
	families, err := m.registry.Gather()
	if err != nil {
		return nil, errors.Wrap(err, "read the instruments")
	}
	all := map[string]Totals{}
	for _, family := range families {
		for _, sample := range family.GetMetric() {
			label := map[string]string{}
			for _, l := range sample.GetLabel() {
				label[l.GetName()] = l.GetValue()
			}
			organisation := label["Organisation"]
			if organisation == "" {
				continue
			}
			t, known := all[organisation]
			if !known {
				t = Totals{Requests: map[string]int64{}, Refusals: map[string]int64{}}
			}
			count := int64(sample.GetCounter().GetValue())
			switch family.GetName() {
			case "geraniumladder_requests_total":
				t.Requests[label["Outcome"]] += count
			case "geraniumladder_refusals_total":
				t.Refusals[label["Reason"]] += count
			case "geraniumladder_tokens_total":
				t.Tokens += count
			case "geraniumladder_first_token_seconds":
				t.FirstToken = readHistogram(sample.GetHistogram())
			case "geraniumladder_between_tokens_seconds":
				t.BetweenTokens = readHistogram(sample.GetHistogram())
			}
			all[organisation] = t
		}
	}
	return all, nil
}

// readHistogram takes *dto.Histogram of client_model and its buckets.
func readHistogram[B interface {
	GetUpperBound() float64
	GetCumulativeCount() uint64
}](h interface {
	GetSampleCount() uint64
	GetBucket() []B
}) Histogram {
	read := Histogram{Total: int64(h.GetSampleCount())}
	for _, b := range h.GetBucket() {
		if !math.IsInf(b.GetUpperBound(), 1) {
			bound := time.Duration(math.Round(b.GetUpperBound() * float64(time.Second)))
			read.Buckets = append(read.Buckets, Bucket{Bound: bound, Count: int64(b.GetCumulativeCount())})
		}
	}
	return read
}
