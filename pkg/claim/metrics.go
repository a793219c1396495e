package claim

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	ownedClaims      prometheus.Counter
	groupCommits     prometheus.Counter
	undecidedEntries prometheus.Counter
	removedClaims    prometheus.Counter
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "wisterialb", Subsystem: "claim", Name: name, Help: help,
	})
}

func newMetrics(registerer prometheus.Registerer) metrics {
	metrics := metrics{
		ownedClaims:      newCounter("owned_total", "Claims that this router wrote."),
		groupCommits:     newCounter("groups_total", "Transactions that wrote claims or their final states."),
		undecidedEntries: newCounter("undecided_total", "Operations on claims whose outcome the table did not return within the retries."),
		removedClaims:    newCounter("removed_total", "Expired claims that were removed."),
	}
	if registerer != nil {
		registerer.MustRegister(metrics.ownedClaims, metrics.groupCommits, metrics.undecidedEntries, metrics.removedClaims)
	}
	return metrics
}
