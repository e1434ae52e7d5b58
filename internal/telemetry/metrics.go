package telemetry

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// maxSeries limits the label sets of one instrument, so that undeclared callers can't exhaust memory.
const maxSeries = 2000

// Bucket boundaries of histograms, in seconds.
var (
	firstTokenBounds    = []float64{.01, .02, .05, .1, .15, .2, .3, .37, .5, .75, 1, 2, 5, 10, 30}
	betweenTokensBounds = []float64{.005, .01, .02, .03, .04, .05, .061, .08, .1, .15, .2, .5, 1}
)

// Metrics are the instruments of a process. All durations are exported in seconds.
type Metrics struct {
	provider      *sdk.MeterProvider
	handler       http.Handler
	meter         metric.Meter
	firstToken    metric.Float64Histogram
	betweenTokens metric.Float64Histogram
	queueTime     metric.Float64Histogram
	requests      metric.Int64Counter
	retries       metric.Int64Counter
	resumes       metric.Int64Counter
}

// NewMetrics returns the instruments of one process and registers them with a Prometheus exporter of its own.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Annotate(err, "metrics exporter")
	}
	m := &Metrics{
		provider: sdk.NewMeterProvider(sdk.WithReader(exporter), sdk.WithCardinalityLimit(maxSeries)),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	m.meter = m.provider.Meter("sycamoredeal")
	var errs [6]error
	m.firstToken, errs[0] = m.newDurationHistogram("sycamore.first.token", "Time from the arrival of a request to its first token.", firstTokenBounds)
	m.betweenTokens, errs[1] = m.newDurationHistogram("sycamore.between.tokens", "Time between two tokens of a stream.", betweenTokensBounds)
	m.queueTime, errs[2] = m.newDurationHistogram("sycamore.queue", "Time that a request waited for an endpoint.", firstTokenBounds)
	m.requests, errs[3] = m.meter.Int64Counter("sycamore.requests", metric.WithDescription("Requests by final result."))
	m.retries, errs[4] = m.meter.Int64Counter("sycamore.retries", metric.WithDescription("Attempts after the first."))
	m.resumes, errs[5] = m.meter.Int64Counter("sycamore.resumes", metric.WithDescription("Streams continued after a break."))
	for _, err := range errs {
		if err != nil {
			return nil, errors.Annotate(err, "metrics instrument")
		}
	}
	return m, nil
}

// newDurationHistogram registers a histogram of durations in seconds.
func (m *Metrics) newDurationHistogram(name, help string, bounds []float64) (metric.Float64Histogram, error) {
	return m.meter.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(bounds...))
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Shutdown stops the collection of the instruments.
func (m *Metrics) Shutdown(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// Gauge registers a gauge whose value is read at each collection.
func (m *Metrics) Gauge(name, help string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(help),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Annotate(err, name)
}

// MustNewMetrics is like NewMetrics but panics on an error, which only an invalid name of an instrument can cause.
func MustNewMetrics() *Metrics {
	m, err := NewMetrics()
	if err != nil {
		panic(err)
	}
	return m
}

// Counter registers a counter whose value is read at each collection. The value must never decrease.
func (m *Metrics) Counter(name, help string, read func() uint64) error {
	_, err := m.meter.Int64ObservableCounter(name, metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(read()))
			return nil
		}))
	return errors.Annotate(err, name)
}

// AttributedCount is the value of a counter for one set of attributes.
type AttributedCount struct {
	Attributes map[string]string
	Count      uint64
}

// AttributedCounter registers a counter with one value for each set of attributes, read at each collection. The values
// must never decrease, and the number of sets must be limited by the code.
func (m *Metrics) AttributedCounter(name, help string, read func() []AttributedCount) error {
	_, err := m.meter.Int64ObservableCounter(name, metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, c := range read() {
				attrs := make([]attribute.KeyValue, 0, len(c.Attributes))
				for k, v := range c.Attributes {
					attrs = append(attrs, attribute.String(k, v))
				}
				o.Observe(int64(c.Count), metric.WithAttributes(attrs...))
			}
			return nil
		}))
	return errors.Annotate(err, name)
}

// LabeledGauge registers a gauge with one value for each value of a label, read at each collection. The label's values must
// come from the declarations, so that their number is limited.
func (m *Metrics) LabeledGauge(name, help, label string, read func() map[string]int) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(help),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for k, v := range read() {
				o.Observe(float64(v), metric.WithAttributes(attribute.String(label, k)))
			}
			return nil
		}))
	return errors.Annotate(err, name)
}

// Series records the measurements of one caller and rank. It should be created once for each pair and reused.
type Series struct {
	metrics       *Metrics
	attrs         attribute.Set
	recordOptions []metric.RecordOption // allocated once, because BetweenTokens is called for every token
	addOptions    []metric.AddOption
}

// Series returns the series of a declared caller and rank.
func (m *Metrics) Series(caller, rank string) *Series {
	attrs := attribute.NewSet(attribute.String("caller", caller), attribute.String("rank", rank))
	opt := metric.WithAttributeSet(attrs)
	return &Series{metrics: m, attrs: attrs, recordOptions: []metric.RecordOption{opt}, addOptions: []metric.AddOption{opt}}
}

// FirstToken records the time to the first token.
func (s *Series) FirstToken(d time.Duration) {
	s.metrics.firstToken.Record(context.Background(), d.Seconds(), s.recordOptions...)
}

// BetweenTokens records the time between two tokens.
func (s *Series) BetweenTokens(d time.Duration) {
	s.metrics.betweenTokens.Record(context.Background(), d.Seconds(), s.recordOptions...)
}

// QueueTime records the time that a request waited for an endpoint.
func (s *Series) QueueTime(d time.Duration) {
	s.metrics.queueTime.Record(context.Background(), d.Seconds(), s.recordOptions...)
}

// Request counts a request by its final result, for example "answered", "refused" or "unknown".
func (s *Series) Request(result string) {
	s.metrics.requests.Add(context.Background(), 1, metric.WithAttributeSet(s.attrs), metric.WithAttributes(attribute.String("result", result)))
}

// Retry counts an attempt after the first one.
func (s *Series) Retry() {
	s.metrics.retries.Add(context.Background(), 1, s.addOptions...)
}

// Resume counts a stream that continued after an interruption.
func (s *Series) Resume() {
	s.metrics.resumes.Add(context.Background(), 1, s.addOptions...)
}
