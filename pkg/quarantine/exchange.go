package quarantine

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

const (
	// reportInterval is the time between two checks whether a report has changed.
	reportInterval = time.Second
	// minReportGap is the minimum time between two writes of a report.
	minReportGap = 250 * time.Millisecond
	// reportTimeout limits one write, and one read.
	reportTimeout = 900 * time.Millisecond
	// reportPageSize is the number of rows that are read at once.
	reportPageSize = 500
)

// ExchangeConfig configures an Exchange.
type ExchangeConfig struct {
	// Router is the name of this router. Its row is replaced, so a name must not be
	// used by two routers at a time.
	Router string
	// Partition holds the rows of all routers.
	Partition string
	Logger    log.Logger
	// Now returns the time of a clock that the routers share.
	Now func() time.Duration
	// Commit applies the writes of one transaction.
	Commit func(ctx context.Context, transaction platform.Transaction) error
	// Query reads rows every PollInterval. If it is nil, the caller passes the rows to
	// ReadAll and ReadChanges.
	Query        func(ctx context.Context, query platform.Query) ([]platform.Item, error)
	PollInterval time.Duration
}

// Exchange shares a router's Register with other routers through a table, in which
// each router has a row with its Report.
type Exchange struct {
	config   ExchangeConfig
	register *Register
	// changed requests a write before the next interval.
	changed chan struct{}
	// started is closed when the rows have been read once. Only then the own row may
	// be replaced, as it has what the router's predecessor knew.
	started chan struct{}
	// outdated are the rows that had nothing that still counts when they were read
	// first; most are of routers that are gone.
	outdated   []platform.Item
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mutex sync.Mutex
	// stored is the report of this process that the table has as far as known, nil
	// before the first write. readCount counts the calls of ReadAll.
	stored    []byte
	readCount int
}

// emptyReport is a report for which there is no row.
const emptyReport = "{}"

// NewExchange returns an exchange with an empty register. Its goroutines end when
// it is closed.
func NewExchange(config ExchangeConfig) *Exchange {
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	exchange := &Exchange{config: config, changed: make(chan struct{}, 1), started: make(chan struct{}), cancel: cancel}
	exchange.register = NewRegister(Config{
		Now: config.Now, Logger: config.Logger,
		OnChange: func() {
			select {
			case exchange.changed <- struct{}{}:
			default:
			}
		},
	})
	exchange.goroutines.Go(func() { exchange.writeReports(ctx) })
	if config.Query != nil {
		exchange.goroutines.Go(func() { exchange.pollReports(ctx) })
	}
	return exchange
}

// Register returns the register that the exchange shares.
func (exchange *Exchange) Register() *Register { return exchange.register }

// Close ends the exchange. The register goes on with what it knows.
func (exchange *Exchange) Close() {
	exchange.cancel()
	exchange.goroutines.Wait()
}

// ReadAll merges the reports of all routers and, at the first call, that of the
// predecessor. It must not be called concurrently with itself, ReadRestored or ReadChanges.
func (exchange *Exchange) ReadAll(rows []platform.Item) {
	select {
	case <-exchange.started:
		exchange.findOwnRow(rows)
		exchange.ReadChanges(rows)
	default:
		reports := exchange.decode(rows)
		exchange.register.Merge(reports)
		for _, row := range rows {
			if report, ok := reports[row.Key.Sort]; ok && exchange.register.IsOutdated(report) {
				exchange.outdated = append(exchange.outdated, row)
			}
		}
		close(exchange.started)
	}
}

// ReadRestored is ReadAll for the rows of a table that came back from an older copy.
func (exchange *Exchange) ReadRestored(rows []platform.Item) {
	select {
	case <-exchange.started:
	default:
		exchange.ReadAll(rows)
		return
	}
	exchange.findOwnRow(rows)
	reports := exchange.decode(rows)
	delete(reports, exchange.config.Router)
	exchange.register.MergeRestored(reports)
	_ = exchange.config.Logger.Log("event", "quarantine_reports_restored", "reports", len(reports))
}

// findOwnRow notes which report of this router the table has. It differs from the last
// one written if the table came back from an older copy or someone deleted the row.
func (exchange *Exchange) findOwnRow(rows []platform.Item) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.readCount++
	if exchange.stored == nil {
		return // a row that is there has what the router's predecessor knew
	}
	exchange.stored = []byte(emptyReport)
	for _, row := range rows {
		if row.Key.Sort == exchange.config.Router {
			exchange.stored = row.Value
		}
	}
}

// ReadChanges merges the reports of other routers.
func (exchange *Exchange) ReadChanges(rows []platform.Item) {
	reports := exchange.decode(rows)
	delete(reports, exchange.config.Router)
	exchange.register.Merge(reports)
}

// decode returns the reports of the rows by router. It leaves out those that can't
// be decoded.
func (exchange *Exchange) decode(rows []platform.Item) map[string]Report {
	reports := make(map[string]Report, len(rows))
	for _, row := range rows {
		var report Report
		if err := json.Unmarshal(row.Value, &report); err != nil {
			_ = exchange.config.Logger.Log("event", "quarantine_report_unreadable", "router", row.Key.Sort, "version", row.Version, "err", err)
			continue
		}
		reports[row.Key.Sort] = report.limited()
	}
	return reports
}

// pollReports reads the rows until the context ends.
func (exchange *Exchange) pollReports(ctx context.Context) {
	ticker := time.NewTicker(exchange.config.PollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		rows, err := exchange.queryAll(ctx)
		if err == nil {
			exchange.ReadAll(rows)
		} else if ctx.Err() == nil {
			_ = exchange.config.Logger.Log("event", "quarantine_reports_not_read", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (exchange *Exchange) queryAll(ctx context.Context) ([]platform.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var rows []platform.Item
	query := platform.Query{Partition: exchange.config.Partition, Limit: reportPageSize}
	for {
		page, err := exchange.config.Query(ctx, query)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < reportPageSize {
			return rows, nil
		}
		query.After = page[len(page)-1].Key.Sort
	}
}

// writeReports writes the router's report when it has changed, until the context
// ends.
func (exchange *Exchange) writeReports(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-exchange.started:
	}
	exchange.deleteOutdated(ctx)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		report := exchange.register.Report()
		content, err := json.Marshal(report)
		if isStored, readCount := exchange.isStored(content); err == nil && !isStored {
			if err = exchange.write(ctx, content, report.IsEmpty()); err == nil {
				exchange.setStored(content, readCount)
			}
		}
		if err != nil && ctx.Err() == nil {
			_ = exchange.config.Logger.Log("event", "quarantine_report_failed", "err", err)
		}
		exchange.waitForChange(ctx, ticker.C)
	}
}

// isStored reports whether the table has the report, and returns the number of reads on
// which that is based.
func (exchange *Exchange) isStored(report []byte) (isStored bool, readCount int) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	if exchange.stored == nil {
		return string(report) == emptyReport, exchange.readCount
	}
	return bytes.Equal(report, exchange.stored), exchange.readCount
}

// setStored records a write, unless the rows were read meanwhile: what was read may be
// newer.
func (exchange *Exchange) setStored(report []byte, readCount int) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	if exchange.stored == nil || exchange.readCount == readCount {
		exchange.stored = report
	}
}

// waitForChange waits until the report may have changed, but at least for
// minReportGap.
func (exchange *Exchange) waitForChange(ctx context.Context, ticks <-chan time.Time) {
	gap := time.NewTimer(minReportGap)
	defer gap.Stop()
	select {
	case <-ctx.Done():
		return
	case <-gap.C:
	}
	select {
	case <-ctx.Done():
	case <-ticks:
	case <-exchange.changed:
	}
}

// write replaces the router's row, or deletes it if the report is empty.
func (exchange *Exchange) write(ctx context.Context, content []byte, isEmpty bool) error {
	write := platform.Write{Key: exchange.rowKey(), Value: content}
	if isEmpty {
		write = platform.Write{Key: write.Key, Action: platform.Delete}
	}
	return exchange.commit(ctx, write)
}

func (exchange *Exchange) rowKey() platform.Key {
	return platform.Key{Partition: exchange.config.Partition, Sort: exchange.config.Router}
}

// deleteOutdated deletes the outdated rows unless they have changed. What is left
// is tried again when the next router starts.
func (exchange *Exchange) deleteOutdated(ctx context.Context) {
	for rows := range slices.Chunk(exchange.outdated, platform.MaxTransactionWrites) {
		writes := make([]platform.Write, 0, len(rows))
		for _, row := range rows {
			writes = append(writes, platform.Write{
				Key: row.Key, Action: platform.Delete, Condition: platform.Condition{Kind: platform.IfVersion, Version: row.Version},
			})
		}
		if err := exchange.commit(ctx, writes...); err != nil {
			_ = exchange.config.Logger.Log("event", "quarantine_reports_not_deleted", "count", len(rows), "err", err)
		}
	}
	exchange.outdated = nil
}

func (exchange *Exchange) commit(ctx context.Context, writes ...platform.Write) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return exchange.config.Commit(ctx, platform.Transaction{Writes: writes})
}
