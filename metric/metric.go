// Package metric defines the OpenTelemetry instruments of an entry and serves them in the Prometheus format.
package metric

import (
	"context"
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	otelmetric "go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/timer"
)

const scope = "hibiscuslane"

// Sample is one value of a gauge and the label of the object that it applies to.
type Sample struct {
	// Label and LabelValue identify what is measured, for example the label pool with the name of a pool.
	// Label is empty for a value of the whole entry.
	Label, LabelValue string
	Value             float64
}

// Instruments holds the instruments of one entry.
type Instruments struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider
	meter    otelmetric.Meter
	requests otelmetric.Int64Counter
	duration otelmetric.Float64Histogram
}

// InstrumentError reports an instrument that cannot be created.
type InstrumentError struct {
	Name  string
	Cause error
}

func (e *InstrumentError) Error() string {
	return "metric " + e.Name + " cannot be created: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *InstrumentError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *InstrumentError) Code() failure.Code { return failure.CodeInternal }

// Outcome implements failure.Coded.
func (e *InstrumentError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// New returns the instruments of an entry.
func New() (*Instruments, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo(), otelprometheus.WithoutTargetInfo())
	if err != nil {
		return nil, &InstrumentError{Name: "exporter", Cause: err}
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	s := &Instruments{registry: registry, provider: provider, meter: provider.Meter(scope)}
	s.requests, err = s.meter.Int64Counter("hibiscuslane_requests", otelmetric.WithDescription("answered requests of callers by outcome and status"))
	if err != nil {
		return nil, &InstrumentError{Name: "requests", Cause: err}
	}
	s.duration, err = s.meter.Float64Histogram("hibiscuslane_request_duration", otelmetric.WithUnit("s"),
		otelmetric.WithDescription("time from the arrival of a request to its answer"),
		otelmetric.WithExplicitBucketBoundaries(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30))
	if err != nil {
		return nil, &InstrumentError{Name: "duration", Cause: err}
	}
	return s, nil
}

// RegisterGauge registers a gauge under the name with the prefix hibiscuslane_. Each scrape calls read for the values.
func (s *Instruments) RegisterGauge(name, description string, read func() []Sample) error {
	_, err := s.meter.Float64ObservableGauge("hibiscuslane_"+name, otelmetric.WithDescription(description),
		otelmetric.WithFloat64Callback(func(_ context.Context, o otelmetric.Float64Observer) error {
			for _, sample := range read() {
				if sample.Label == "" {
					o.Observe(sample.Value)
					continue
				}
				o.Observe(sample.Value, otelmetric.WithAttributes(attribute.String(sample.Label, sample.LabelValue)))
			}
			return nil
		}))
	if err != nil {
		return &InstrumentError{Name: name, Cause: err}
	}
	return nil
}

// Handler returns the handler that serves the metrics to scrapers in the Prometheus text format.
func (s *Instruments) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// Close stops the collection of metrics.
func (s *Instruments) Close(ctx context.Context) error {
	return s.provider.Shutdown(ctx)
}

// CountResponses wraps a handler and records the number and the duration of its responses by outcome and
// status.
func (s *Instruments) CountResponses(next http.Handler, clock *timer.Service) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := clock.Now()
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, r)
		labels := otelmetric.WithAttributes(
			attribute.String("outcome", w.Header().Get(failure.HeaderOutcome)),
			attribute.String("status", strconv.Itoa(recorder.status)),
		)
		s.requests.Add(r.Context(), 1, labels)
		s.duration.Record(r.Context(), clock.Since(start).Seconds(), labels)
	})
}

// statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the connection.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
