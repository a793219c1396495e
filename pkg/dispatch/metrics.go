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

// latencyBuckets are in seconds.
var latencyBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.37, 0.5, 1, 2, 5, 10, 30}

// metrics are those of one dispatcher.
type metrics struct {
	registerer prometheus.Registerer
	requests   *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	recoveries *prometheus.CounterVec
	retries    *prometheus.CounterVec
	wait       *prometheus.HistogramVec
	first      *prometheus.HistogramVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	metrics := &metrics{registerer: registerer}
	metrics.requests = metrics.counter("requests_total", "Requests by how they ended.", "outcome")
	metrics.attempts = metrics.counter("attempts_total", "Attempts by how they ended.", "end")
	metrics.recoveries = metrics.counter("recoveries_total", "Recoveries of broken answers at the same upstream.", "recovery")
	metrics.retries = metrics.counter("retry_verdicts_total", "Decisions after attempts that were given up.", "verdict")
	metrics.wait = metrics.histogram("wait_seconds", "Time that requests waited for an upstream.")
	metrics.first = metrics.histogram("first_part_seconds", "Time from sending an attempt to the first part of its answer.")
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

// watch publishes the state of a service.
func (metrics *metrics) watch(service *service) {
	metrics.gauge(service, "waiting", "Requests that wait for an upstream.", func() float64 {
		return float64(service.gate.Waiting())
	})
	metrics.gauge(service, "pressure", "Running and waiting requests for the room of the upstreams.", service.pressure)
	metrics.gauge(service, "ejected_upstreams", "Upstreams that are ejected.", func() float64 {
		return float64(service.pool.EjectedCount())
	})
}

func (metrics *metrics) gauge(service *service, name, help string, value func() float64) {
	metrics.registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metricNamespace, Subsystem: metricSubsystem, Name: name, Help: help,
		ConstLabels: prometheus.Labels{labelService: service.name},
	}, value))
}

func (metrics *metrics) ended(service string, outcome fault.Outcome) {
	metrics.requests.WithLabelValues(service, string(outcome)).Inc()
}

func (metrics *metrics) waited(service string, wait time.Duration) {
	metrics.wait.WithLabelValues(service).Observe(wait.Seconds())
}

func (metrics *metrics) firstPart(service string, latency time.Duration) {
	metrics.first.WithLabelValues(service).Observe(latency.Seconds())
}
