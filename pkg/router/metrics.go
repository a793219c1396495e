package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/memory"
)

const metricsNamespace = "wisterialb"

// metrics are the Prometheus metrics of callers' requests.
type metrics struct {
	requests         *prometheus.CounterVec
	requestDurations *prometheus.HistogramVec
	lateBills        prometheus.Counter
	answers          *prometheus.CounterVec
	unanswered       *prometheus.CounterVec
	connectionsEnded *prometheus.CounterVec
	clientsEvicted   *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer, running func() float64, answers func() memory.Statistics) *metrics {
	factory := promauto.With(registerer)
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metricsNamespace,
		Name:      "requests_running",
		Help:      "Requests of callers that are running.",
	}, running)
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metricsNamespace,
		Name:      "answer_bytes",
		Help:      "Bytes held of the answers of all upstreams.",
	}, func() float64 { return float64(answers().Held) })
	factory.NewCounterFunc(prometheus.CounterOpts{
		Namespace: metricsNamespace,
		Name:      "answer_waits_total",
		Help:      "Waits of answers until there was memory for more of them.",
	}, func() float64 { return float64(answers().Waits) })
	factory.NewCounterFunc(prometheus.CounterOpts{
		Namespace: metricsNamespace,
		Name:      "answers_given_up_total",
		Help:      "Answers given up because their upstream sent more than such answers ever had.",
	}, func() float64 { return float64(answers().GivenUp) })
	return &metrics{
		requests: factory.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace,
			Name:      "requests_total",
			Help:      "Requests of callers by service, outcome and kind of error.",
		}, []string{"service", "outcome", "kind"}),
		requestDurations: factory.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsNamespace,
			Name:      "request_duration_seconds",
			Help:      "Time from a request's arrival to the end of its answer.",
			Buckets:   prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"service", "outcome"}),
		lateBills: factory.NewCounter(prometheus.CounterOpts{
			Namespace: metricsNamespace,
			Name:      "bills_late_total",
			Help:      "Answers that were completed before their bill was stored in the table or copied to a backup router.",
		}),
		answers: factory.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace,
			Name:      "answers_total",
			Help:      "Complete answers by the status that callers were sent.",
		}, []string{"status"}),
		unanswered: factory.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace,
			Name:      "requests_unanswered_total",
			Help:      "Requests whose connection was closed before their answer was complete, by reason.",
		}, []string{"reason"}),
		connectionsEnded: factory.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace,
			Name:      "connections_ended_total",
			Help:      "Connections of callers that ended.",
		}, ConnectionEndLabels()),
		clientsEvicted: factory.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace,
			Name:      "clients_evicted_total",
			Help:      "Connections closed because their client was outside the limits, by reason.",
		}, []string{"reason"}),
	}
}

func newRestoreCounter(registerer prometheus.Registerer) prometheus.Counter {
	return promauto.With(registerer).NewCounter(prometheus.CounterOpts{
		Namespace: metricsNamespace,
		Name:      "platform_restores_total",
		Help:      "Times the platform's table and objects came back from an older copy.",
	})
}

// countRequest counts a request that ended with err; nil means that its answer
// was complete.
func (metrics *metrics) countRequest(service string, err error) {
	outcome, kind := outcomeAndKind(err)
	metrics.requests.WithLabelValues(service, outcome, kind).Inc()
}

func (metrics *metrics) observeDuration(service string, err error, duration time.Duration) {
	outcome, _ := outcomeAndKind(err)
	metrics.requestDurations.WithLabelValues(service, outcome).Observe(duration.Seconds())
}

func outcomeAndKind(err error) (outcome, kind string) {
	if err == nil {
		return string(fault.Answered), ""
	}
	return string(fault.OutcomeOf(err)), string(fault.KindOf(err))
}
