package claim

import "github.com/prometheus/client_golang/prometheus"

// metrics count what the registry does.
type metrics struct {
	claims    prometheus.Counter
	groups    prometheus.Counter
	undecided prometheus.Counter
	removed   prometheus.Counter
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "wisterialb", Subsystem: "claim", Name: name, Help: help,
	})
}

func newMetrics(registerer prometheus.Registerer) metrics {
	metrics := metrics{
		claims:    newCounter("owned_total", "Claims that this router wrote."),
		groups:    newCounter("groups_total", "Transactions with claims or their ends."),
		undecided: newCounter("undecided_total", "Entries that the table did not decide."),
		removed:   newCounter("removed_total", "Old claims that were removed."),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.claims, metrics.groups, metrics.undecided, metrics.removed)
	}
	return metrics
}
