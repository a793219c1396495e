package configuration

// The flow of publishing: Publish validates the change, then tries until it is
// accepted or refused. Each try reads head, operation id and document in one
// snapshot (publication), checks references, and commits one transaction on
// the head revision. A conflict or a lost answer leads to another try, which
// finds the operation id if the earlier one was applied.

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Bounds of the tries of one publication.
const (
	publishTries       = 12
	publishPauseFirst  = 5 * time.Millisecond
	publishPauseMax    = 500 * time.Millisecond
	defaultAuditLimit  = 100
	maxAuditLimit      = 1000
	retryAfterConflict = time.Second
)

// PublisherConfig configures a Publisher.
type PublisherConfig struct {
	Table platform.Table
	// Writes returns writes of other packages that belong to a change. They
	// are read afresh for each try. Nil adds none.
	ExtraWrites func(ctx context.Context, change Change) ([]platform.Write, error)
	// Clock gives the time that a record states; nil is time.Now. Nothing
	// depends on it.
	Clock func() time.Time
}

// Publisher accepts changes of the configuration. Any number of publishers may
// work on one table.
type Publisher struct {
	table  platform.Table
	writes func(ctx context.Context, change Change) ([]platform.Write, error)
	clock  func() time.Time
}

// NewPublisher returns a publisher.
func NewPublisher(config PublisherConfig) *Publisher {
	if config.ExtraWrites == nil {
		config.ExtraWrites = func(context.Context, Change) ([]platform.Write, error) { return nil, nil }
	}
	if config.Clock == nil {
		config.Clock = time.Now
	}
	return &Publisher{table: config.Table, writes: config.ExtraWrites, clock: config.Clock}
}

// Publish makes the change the next revision. It is idempotent: a second call
// with the same operation id and content returns the first call's record.
//
// Errors: fault.Invalid names every fault of the change; fault.Conflict names
// the change that came first; fault.NotFound names a missing document;
// fault.Unavailable has the outcome unknown if the change may have been
// accepted, and publishing it again with its operation id settles that.
func (publisher *Publisher) Publish(ctx context.Context, change Change) (Record, error) {
	decoded, err := validateChange(change)
	if err != nil {
		return Record{}, err
	}
	// sent is the last transaction whose answer was lost.
	var sent lostTransaction
	var last error
	try := func() (Record, error) {
		publication := publication{publisher: publisher, change: change, decoded: decoded}
		record, err := publication.run(ctx)
		if err == nil {
			return record, nil
		}
		last = err
		sent = sent.after(publication)
		if publication.retry || retryable(err) {
			return Record{}, err
		}
		return Record{}, backoff.Permanent(err)
	}
	record, err := backoff.Retry(ctx, try, backoff.WithBackOff(publishPauses()), backoff.WithMaxTries(publishTries))
	if err == nil {
		return record, nil
	}
	return Record{}, publishError(last, sent.lost)
}

// lostTransaction is a transaction that may still be applied: its answer was
// lost, and the head is as the transaction requires it.
type lostTransaction struct {
	lost        bool
	headVersion uint64
}

// after returns what may still be applied after a later try. Once the head has
// moved and the operation id is absent, the earlier transaction never will be.
func (lostTransaction lostTransaction) after(publication publication) lostTransaction {
	if publication.lost {
		lostTransaction.lost = true
		lostTransaction.headVersion = publication.head.Version
		return lostTransaction
	}
	if publication.wasRead && publication.head.Version != lostTransaction.headVersion {
		lostTransaction.lost = false
	}
	return lostTransaction
}

func publishPauses() backoff.BackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = publishPauseFirst
	pauses.MaxInterval = publishPauseMax
	return pauses
}

// retryable reports whether a failed read or write may succeed on another try.
func retryable(err error) bool {
	return fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Overloaded)
}

// publishError states the outcome of a publication that was given up.
func publishError(err error, uncertain bool) error {
	if !uncertain && fault.Is(err, fault.Unavailable) {
		return tableSilent(err)
	}
	if !uncertain {
		return fault.WithOutcome(err, fault.NotRun)
	}
	return fault.New(fault.Config{
		Kind:       fault.Unavailable,
		Message:    "the change may have been accepted; the table's answer was lost",
		Remedy:     "publish it again with the same operation id",
		Outcome:    fault.OutcomeUnknown,
		RetryAfter: retryAfterConflict,
		Cause:      err,
	})
}

// tableSilent is the fault of a change that was never sent to the table.
func tableSilent(cause error) error {
	return fault.New(fault.Config{
		Kind:       fault.Unavailable,
		Message:    "the platform's table does not answer; the change was not made",
		Remedy:     "publish it again when the table answers, with the same operation id",
		RetryAfter: retryAfterConflict,
		Cause:      cause,
	})
}

// Audit returns accepted changes behind a revision, the oldest first. A limit
// of zero means 100; the greatest is 1000.
func (publisher *Publisher) Audit(ctx context.Context, after uint64, limit int) ([]Record, error) {
	if limit <= 0 {
		limit = defaultAuditLimit
	}
	return readRecords(ctx, publisher.table, after, min(limit, maxAuditLimit))
}

// readRecords reads records behind a revision in order.
func readRecords(ctx context.Context, table platform.Table, after uint64, limit int) ([]Record, error) {
	items, err := table.Query(ctx, platform.Query{Partition: partitionRecord, After: recordSort(after), Limit: limit})
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(items))
	for _, item := range items {
		record, err := platform.DecodeRow[Record](item)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
