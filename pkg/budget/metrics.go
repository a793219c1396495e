package budget

import (
	"github.com/prometheus/client_golang/prometheus"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// metrics count what the escrow does.
type metrics struct {
	reservations *prometheus.CounterVec
	refusals     *prometheus.CounterVec
	granted      prometheus.Counter
	returned     prometheus.Counter
	lentTokens   prometheus.Counter
	settled      *prometheus.CounterVec
	batches      prometheus.Counter
	clamped      prometheus.Counter
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "wisterialb", Subsystem: "budget", Name: name, Help: help,
	})
}

func newCounterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "wisterialb", Subsystem: "budget", Name: name, Help: help,
	}, []string{label})
}

func newMetrics(registerer prometheus.Registerer) metrics {
	metrics := metrics{
		reservations: newCounterVec("reservations_total", "Reservations by the source of their tokens.", "source"),
		refusals:     newCounterVec("refusals_total", "Refused reservations by the kind of the error.", "kind"),
		granted:      newCounter("granted_tokens_total", "Tokens taken from budgets."),
		returned:     newCounter("returned_tokens_total", "Tokens returned to budgets."),
		lentTokens:   newCounter("lent_tokens_total", "Tokens lent to other routers."),
		settled:      newCounterVec("settled_tokens_total", "Settled tokens by the kind of the line.", "kind"),
		batches:      newCounter("settlement_batches_total", "Settlement batches that the table has."),
		clamped:      newCounter("clamped_settlements_total", "Settlements above their reservation."),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.reservations, metrics.refusals, metrics.granted, metrics.returned,
			metrics.lentTokens, metrics.settled, metrics.batches, metrics.clamped)
	}
	return metrics
}

func (metrics metrics) reserved(source string) {
	metrics.reservations.WithLabelValues(source).Inc()
}

func (metrics metrics) refused(kind fault.Kind) {
	metrics.refusals.WithLabelValues(string(kind)).Inc()
}

func (metrics metrics) lent(tokens int64) {
	metrics.lentTokens.Add(float64(tokens))
}
