package dispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	metricNamespace = "wisterialb"
	metricSubsystem = "dispatch"
	labelService    = "service"
)

// latencyBuckets are in seconds. They include 0.37, the default latency target of
// pkg/upstream.
var latencyBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.37, 0.5, 1, 2, 5, 10, 30}

// metrics are the metrics of one dispatcher.
type metrics struct {
	registerer       prometheus.Registerer
	requests         *prometheus.CounterVec
	attempts         *prometheus.CounterVec
	recoveries       *prometheus.CounterVec
	retries          *prometheus.CounterVec
	notices          *prometheus.CounterVec
	wait             *prometheus.HistogramVec
	firstPartLatency *prometheus.HistogramVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	metrics := &metrics{registerer: registerer}
	metrics.requests = metrics.counter("requests_total", "Requests by outcome.", "outcome")
	metrics.attempts = metrics.counter("attempts_total", "Attempts by result.", "end")
	metrics.recoveries = metrics.counter("recoveries_total", "Recoveries of interrupted answers at the same upstream.", "recovery")
	metrics.retries = metrics.counter("retry_verdicts_total", "Retry decisions after failed attempts.", "verdict")
	metrics.notices = metrics.counter("upstream_notices_total", "Upstreams that said that they are leaving, and pauses that they asked for.", "notice")
	metrics.wait = metrics.histogram("wait_seconds", "Time that requests waited for an upstream, in seconds.")
	metrics.firstPartLatency = metrics.histogram("first_part_seconds", "Time from sending an attempt to the first part of its answer, in seconds.")
	return metrics
}

func (metrics *metrics) counter(name, help, label string) *prometheus.CounterVec {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: metricNamespace, Subsystem: metricSubsystem, Name: name, Help: help,
	}, []string{labelService, label})
	metrics.registerer.MustRegister(counter)
	return counter
}

func (metrics *metrics) histogram(name, help string) *prometheus.HistogramVec {
	histogram := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: metricNamespace, Subsystem: metricSubsystem, Name: name, Help: help, Buckets: latencyBuckets,
	}, []string{labelService})
	metrics.registerer.MustRegister(histogram)
	return histogram
}

// registerService registers the gauges of a service.
func (metrics *metrics) registerService(service *service) {
	metrics.gauge(service, "waiting", "Requests waiting for an upstream.", func() float64 {
		return float64(service.gate.Waiting())
	})
	metrics.gauge(service, "pressure", "Running and waiting requests divided by the concurrency limits of the upstreams.", service.pressure)
	metrics.gauge(service, "ejected_upstreams", "Ejected upstreams.", func() float64 {
		return float64(service.pool.EjectedCount())
	})
}

func (metrics *metrics) gauge(service *service, name, help string, value func() float64) {
	metrics.registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metricNamespace, Subsystem: metricSubsystem, Name: name, Help: help,
		ConstLabels: prometheus.Labels{labelService: service.name},
	}, value))
}

func (metrics *metrics) observeOutcome(service string, outcome fault.Outcome) {
	metrics.requests.WithLabelValues(service, string(outcome)).Inc()
}

func (metrics *metrics) observeWait(service string, wait time.Duration) {
	metrics.wait.WithLabelValues(service).Observe(wait.Seconds())
}

func (metrics *metrics) observeFirstPart(service string, latency time.Duration) {
	metrics.firstPartLatency.WithLabelValues(service).Observe(latency.Seconds())
}
