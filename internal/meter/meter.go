// Package meter defines the OpenTelemetry instruments of a process and exports them in the Prometheus format.
// The counters are kept in memory and are lost when the process ends. Labels have low cardinality: keys, prompts,
// requests and adapters are never used as label values.
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

// Bucket boundaries of the latency histograms, in seconds. The planned service-level objectives have
// the thresholds 0.45 s to the first token and 71 ms between tokens. Both are boundaries, because a histogram counts
// the events up to a threshold exactly only if the threshold is a boundary.
var (
	firstTokenBuckets    = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.7, 1, 1.5, 2.5, 5, 10, 30}
	betweenTokensBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.071, 0.1, 0.2, 0.5, 1, 5}
)

// estimateBuckets are the bucket boundaries of the ratio of actual to expected time. The target is that 80 of 100 requests
// are between 0.6 and 1.5.
var estimateBuckets = []float64{0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.2, 1.5, 2, 3, 5, 10}

// Meter holds the instruments of one process. It is safe for concurrent use.
type Meter struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider

	requests      metric.Int64Counter
	refusals      metric.Int64Counter
	retries       metric.Int64Counter
	reports       metric.Int64Counter
	states        metric.Int64Counter
	stateBytes    metric.Int64Counter
	admissions    metric.Int64Counter
	tokens        metric.Int64Counter
	loads         metric.Int64Counter
	stalls        metric.Int64Counter
	controlBytes  metric.Int64Counter
	firstToken    metric.Float64Histogram
	betweenTokens metric.Float64Histogram
	queueWait     metric.Float64Histogram
	loadTime      metric.Float64Histogram
	delay         metric.Float64Histogram
	estimate      metric.Float64Histogram
	otelMeter     metric.Meter
	// organisationOptions caches the measurement options of each organisation, which would otherwise be rebuilt for
	// each token.
	organisationOptions sync.Map
}

// Config configures a Meter.
type Config struct {
	// Role and VM set the resource attributes service.name (geraniumladder-ROLE) and service.instance.id.
	Role string
	VM   string
}

// New returns a Meter with its own Prometheus registry.
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
	m := &Meter{registry: registry, provider: provider, otelMeter: provider.Meter("geraniumladder")}
	return m, m.createInstruments()
}

func (m *Meter) createInstruments() error {
	var errs []error
	counter := func(name, unit, description string) metric.Int64Counter {
		c, err := m.otelMeter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
		errs = append(errs, err)
		return c
	}
	histogram := func(name, description string, bounds []float64) metric.Float64Histogram {
		h, err := m.otelMeter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
			metric.WithExplicitBucketBoundaries(bounds...))
		errs = append(errs, err)
		return h
	}
	m.requests = counter("geraniumladder.requests", "{request}", "Requests answered, by outcome.")
	m.refusals = counter("geraniumladder.refusals", "{request}", "Requests refused before they ran, by reason.")
	m.retries = counter("geraniumladder.retries", "{request}", "Second and later dispatches.")
	m.reports = counter("geraniumladder.endpoint.reports", "{report}", "Reports of endpoints in responses, by kind.")
	m.states = counter("geraniumladder.states", "{datagram}", "Datagrams with engine states sent, by path.")
	m.stateBytes = counter("geraniumladder.states.size", "By", "Bytes of datagrams with engine states sent, by path.")
	m.admissions = counter("geraniumladder.admissions", "{decision}", "Early rejections and admissions despite them, by kind.")
	m.tokens = counter("geraniumladder.tokens", "{token}", "Tokens, by kind prompt or answer.")
	m.loads = counter("geraniumladder.adapter.loads", "{load}", "Adapter loads, by result.")
	m.stalls = counter("geraniumladder.load.stalls", "{request}", "Requests that waited for an adapter load.")
	m.controlBytes = counter("geraniumladder.control.bytes", "By", "Bytes of messages between processes other than requests.")
	m.firstToken = histogram("geraniumladder.first.token", "Time from a request's arrival to its first token.", firstTokenBuckets)
	m.betweenTokens = histogram("geraniumladder.between.tokens", "Time between two tokens of an answer.", betweenTokensBuckets)
	m.queueWait = histogram("geraniumladder.queue.wait", "Time in the queue of an endpoint.", firstTokenBuckets)
	m.loadTime = histogram("geraniumladder.adapter.load", "Time of an adapter load.", firstTokenBuckets)
	m.delay = histogram("geraniumladder.process.delay", "How far the process is behind, sampled.", betweenTokensBuckets)
	var err error
	m.estimate, err = m.otelMeter.Float64Histogram("geraniumladder.estimate.ratio", metric.WithUnit("1"),
		metric.WithDescription("Actual to expected time to the first event, by cause of the wait."), metric.WithExplicitBucketBoundaries(estimateBuckets...))
	errs = append(errs, err)
	return errors.Join(errs...)
}

// Gauge registers a gauge. The function read is called at each collection.
func (m *Meter) Gauge(name, unit, description string, read func() float64) error {
	_, err := m.otelMeter.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Wrap(err, "register the gauge")
}

// EvacuatedDomains registers the gauge of the evacuated failure domains. count is called at each collection.
func (m *Meter) EvacuatedDomains(count func() int) error {
	return m.Gauge("geraniumladder.evacuated.domains", "{domain}", "Failure domains that are evacuated as far as the process knows.",
		func() float64 { return float64(count()) })
}

// optionsFor returns the options that label a measurement with the organisation. They are slices, so that passing them
// to a variadic parameter does not allocate.
func (m *Meter) optionsFor(organisation string) measurementOptions {
	if cached, ok := m.organisationOptions.Load(organisation); ok {
		return cached.(measurementOptions)
	}
	option := metric.WithAttributeSet(attribute.NewSet(attribute.String("Organisation", organisation)))
	created := measurementOptions{add: []metric.AddOption{option}, record: []metric.RecordOption{option}}
	cached, _ := m.organisationOptions.LoadOrStore(organisation, created)
	return cached.(measurementOptions)
}

type measurementOptions struct {
	add    []metric.AddOption
	record []metric.RecordOption
}

func organisationAttributes(organisation, key, value string) metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(
		attribute.String("Organisation", organisation), attribute.String(key, value)))
}

// Request counts a completed request; outcome is ok, not-run, ran or unknown.
func (m *Meter) Request(organisation, outcome string) {
	m.requests.Add(context.Background(), 1, organisationAttributes(organisation, "Outcome", outcome))
}

// Refusal counts a request that was rejected before it ran.
func (m *Meter) Refusal(organisation, reason string) {
	m.refusals.Add(context.Background(), 1, organisationAttributes(organisation, "Reason", reason))
}

// Retry counts a repeated dispatch of a request.
func (m *Meter) Retry(organisation string) {
	m.retries.Add(context.Background(), 1, m.optionsFor(organisation).add...)
}

// EndpointReport counts a report of an endpoint in a response; kind is leaving, closed or malformed.
func (m *Meter) EndpointReport(kind string) {
	m.reports.Add(context.Background(), 1, metric.WithAttributes(attribute.String("Kind", kind)))
}

// States counts sent datagrams with engine states and their bytes; path is direct, relay, forwarded or dropped.
func (m *Meter) States(path string, datagrams, bytes int) {
	option := metric.WithAttributes(attribute.String("Path", path))
	m.states.Add(context.Background(), int64(datagrams), option)
	m.stateBytes.Add(context.Background(), int64(bytes), option)
}

// Tokens adds n tokens; kind is prompt or answer.
func (m *Meter) Tokens(organisation, kind string, n int) {
	m.tokens.Add(context.Background(), int64(n), organisationAttributes(organisation, "Kind", kind))
}

// Load counts an adapter load and records its duration; result is ok or failed.
func (m *Meter) Load(result string, took time.Duration) {
	m.loads.Add(context.Background(), 1, metric.WithAttributes(attribute.String("Result", result)))
	m.loadTime.Record(context.Background(), took.Seconds())
}

// Stall counts a request that was delayed by an adapter load.
func (m *Meter) Stall(organisation string) {
	m.stalls.Add(context.Background(), 1, m.optionsFor(organisation).add...)
}

// ControlBytes adds n bytes of control traffic between processes; direction is in or out.
func (m *Meter) ControlBytes(direction string, n int) {
	m.controlBytes.Add(context.Background(), int64(n), metric.WithAttributes(attribute.String("Direction", direction)))
}

// Delay records by how much the process is behind.
func (m *Meter) Delay(d time.Duration) { m.delay.Record(context.Background(), d.Seconds()) }

// Estimate records the ratio of actual to expected time to the first event; cause is resident, loading, absent or warm.
func (m *Meter) Estimate(cause string, ratio float64) {
	m.estimate.Record(context.Background(), ratio, metric.WithAttributes(attribute.String("Cause", cause)))
}

// Admission counts a decision on a request other than plain admission.
func (m *Meter) Admission(organisation, kind string) {
	m.admissions.Add(context.Background(), 1, organisationAttributes(organisation, "Kind", kind))
}

// FirstToken records the time from a request's arrival to its first token.
func (m *Meter) FirstToken(organisation string, took time.Duration) {
	m.firstToken.Record(context.Background(), took.Seconds(), m.optionsFor(organisation).record...)
}

// BetweenTokens records the time between two consecutive tokens of a response.
func (m *Meter) BetweenTokens(organisation string, took time.Duration) {
	m.betweenTokens.Record(context.Background(), took.Seconds(), m.optionsFor(organisation).record...)
}

// QueueWait records the time a request spent in an endpoint's queue.
func (m *Meter) QueueWait(organisation string, took time.Duration) {
	m.queueWait.Record(context.Background(), took.Seconds(), m.optionsFor(organisation).record...)
}

// Handler returns an HTTP handler that serves the metrics in the Prometheus format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Totals are the counter values of one organisation since the process started.
type Totals struct {
	// Requests is keyed by outcome, Refusals by reason.
	Requests map[string]int64
	Refusals map[string]int64
	// Tokens is the sum of prompt and response tokens, as counted for rate limits.
	Tokens        int64
	FirstToken    Histogram
	BetweenTokens Histogram
}

// Histogram is a latency histogram with cumulative counts.
type Histogram struct {
	Total int64
	// Buckets is sorted by upper bound. The +Inf bucket is omitted; its count is Total.
	Buckets []Bucket
}

// Bucket counts the events that took at most UpperBound.
type Bucket struct {
	UpperBound time.Duration
	Count      int64
}

// Totals reads the counters by organisation. Requests without a known organisation are omitted.
func (m *Meter) Totals() (map[string]Totals, error) {
	families, err := m.registry.Gather()
	if err != nil {
		return nil, errors.Wrap(err, "gather the metrics")
	}
	totals := map[string]Totals{}
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
			t, known := totals[organisation]
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
				t.FirstToken = convertHistogram(sample.GetHistogram())
			case "geraniumladder_between_tokens_seconds":
				t.BetweenTokens = convertHistogram(sample.GetHistogram())
			}
			totals[organisation] = t
		}
	}
	return totals, nil
}

// convertHistogram converts a *dto.Histogram of client_model. It is generic over the accessors, so that client_model
// need not be imported.
func convertHistogram[B interface {
	GetUpperBound() float64
	GetCumulativeCount() uint64
}](h interface {
	GetSampleCount() uint64
	GetBucket() []B
}) Histogram {
	converted := Histogram{Total: int64(h.GetSampleCount())}
	for _, b := range h.GetBucket() {
		if !math.IsInf(b.GetUpperBound(), 1) {
			bound := time.Duration(math.Round(b.GetUpperBound() * float64(time.Second)))
			converted.Buckets = append(converted.Buckets, Bucket{UpperBound: bound, Count: int64(b.GetCumulativeCount())})
		}
	}
	return converted
}
