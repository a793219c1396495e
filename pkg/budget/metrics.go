package budget

import (
	"github.com/prometheus/client_golang/prometheus"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// metrics are the Prometheus metrics of an Escrow.
type metrics struct {
	reservations       *prometheus.CounterVec
	refusals           *prometheus.CounterVec
	grantedTokens      prometheus.Counter
	returnedTokens     prometheus.Counter
	lentTokens         prometheus.Counter
	settledTokens      *prometheus.CounterVec
	batches            prometheus.Counter
	clampedSettlements prometheus.Counter
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
		reservations:       newCounterVec("reservations_total", "Reservations by the source of their tokens.", "source"),
		refusals:           newCounterVec("refusals_total", "Refused reservations by the kind of the error.", "kind"),
		grantedTokens:      newCounter("granted_tokens_total", "Tokens taken from budgets."),
		returnedTokens:     newCounter("returned_tokens_total", "Tokens returned to budgets."),
		lentTokens:         newCounter("lent_tokens_total", "Tokens lent to other routers."),
		settledTokens:      newCounterVec("settled_tokens_total", "Settled tokens by the kind of the line.", "kind"),
		batches:            newCounter("settlement_batches_total", "Settlement batches written to the table."),
		clampedSettlements: newCounter("clamped_settlements_total", "Settlements that exceeded their reservation."),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.reservations, metrics.refusals, metrics.grantedTokens, metrics.returnedTokens,
			metrics.lentTokens, metrics.settledTokens, metrics.batches, metrics.clampedSettlements)
	}
	return metrics
}

func (metrics metrics) countReservation(source string) {
	metrics.reservations.WithLabelValues(source).Inc()
}

func (metrics metrics) countRefusal(kind fault.Kind) {
	metrics.refusals.WithLabelValues(string(kind)).Inc()
}

func (metrics metrics) countLentTokens(tokens int64) {
	metrics.lentTokens.Add(float64(tokens))
}
