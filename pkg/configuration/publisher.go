package configuration

// Publish validates the change and then makes attempts until it is accepted or
// refused. Each attempt (publishAttempt) reads the head, operation and document
// rows in one snapshot, checks the references, and commits one transaction that
// requires an unchanged head. A conflict or a lost response is followed by another
// attempt, which finds the operation id if the earlier transaction was applied.

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Limits of publishing and of reads of the audit trail.
const (
	maxPublishAttempts  = 12
	initialPublishDelay = 5 * time.Millisecond
	maxPublishDelay     = 500 * time.Millisecond
	defaultAuditLimit   = 100
	maxAuditLimit       = 1000
	publishRetryAfter   = time.Second
)

// PublisherConfig configures a Publisher.
type PublisherConfig struct {
	Table platform.Table
	// ExtraWrites returns writes of other packages that must be applied in the
	// transaction of a change. It is called in each attempt. Nil adds none.
	ExtraWrites func(ctx context.Context, change Change) ([]platform.Write, error)
	// Clock returns the time for records; nil means time.Now. The time is only
	// for people to read: no decision depends on it.
	Clock func() time.Time
}

// Publisher publishes changes of the configuration. Any number of publishers may
// use the same table at the same time.
type Publisher struct {
	table       platform.Table
	extraWrites func(ctx context.Context, change Change) ([]platform.Write, error)
	clock       func() time.Time
}

// NewPublisher returns a publisher.
func NewPublisher(config PublisherConfig) *Publisher {
	if config.ExtraWrites == nil {
		config.ExtraWrites = func(context.Context, Change) ([]platform.Write, error) { return nil, nil }
	}
	if config.Clock == nil {
		config.Clock = time.Now
	}
	return &Publisher{table: config.Table, extraWrites: config.ExtraWrites, clock: config.Clock}
}

// Publish publishes the change as the next revision. It is idempotent: a second
// call with the same operation id and content returns the first call's record.
//
// Errors: fault.Invalid names every fault of the change; fault.Conflict names
// the conflicting change, document or value; fault.NotFound names a missing
// document; fault.Unavailable has the outcome fault.OutcomeUnknown if the change
// may have been accepted: publish it again with the same operation id to find
// out.
func (publisher *Publisher) Publish(ctx context.Context, change Change) (Record, error) {
	decoded, err := validateChange(change)
	if err != nil {
		return Record{}, err
	}
	// unconfirmed is the last transaction whose response was lost.
	var unconfirmed unconfirmedTransaction
	var lastErr error
	attempt := func() (Record, error) {
		publishAttempt := publishAttempt{publisher: publisher, change: change, newDocument: decoded}
		record, err := publishAttempt.run(ctx)
		if err == nil {
			return record, nil
		}
		lastErr = err
		unconfirmed = unconfirmed.afterAttempt(publishAttempt)
		if publishAttempt.canRetry || retryable(err) {
			return Record{}, err
		}
		return Record{}, backoff.Permanent(err)
	}
	record, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(newPublishBackOff()), backoff.WithMaxTries(maxPublishAttempts))
	if err == nil {
		return record, nil
	}
	return Record{}, publishError(lastErr, unconfirmed.mayBeApplied)
}

// unconfirmedTransaction is a transaction whose response was lost. It may still
// be applied as long as the head has the version that the transaction requires.
type unconfirmedTransaction struct {
	mayBeApplied bool
	headVersion  uint64
}

// afterAttempt returns the state after a later attempt. If that attempt found
// another head version and no operation id, the earlier transaction was not
// applied and never will be.
func (unconfirmedTransaction unconfirmedTransaction) afterAttempt(publishAttempt publishAttempt) unconfirmedTransaction {
	if publishAttempt.outcomeUnknown {
		unconfirmedTransaction.mayBeApplied = true
		unconfirmedTransaction.headVersion = publishAttempt.headItem.Version
		return unconfirmedTransaction
	}
	if publishAttempt.snapshotRead && publishAttempt.headItem.Version != unconfirmedTransaction.headVersion {
		unconfirmedTransaction.mayBeApplied = false
	}
	return unconfirmedTransaction
}

func newPublishBackOff() backoff.BackOff {
	exponential := backoff.NewExponentialBackOff()
	exponential.InitialInterval = initialPublishDelay
	exponential.MaxInterval = maxPublishDelay
	return exponential
}

// retryable reports whether a failed read or write may succeed when repeated.
func retryable(err error) bool {
	return fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Overloaded)
}

// publishError returns the error of a failed publication with its outcome.
func publishError(err error, outcomeUnknown bool) error {
	if !outcomeUnknown && fault.Is(err, fault.Unavailable) {
		return tableUnavailable(err)
	}
	if !outcomeUnknown {
		return fault.WithOutcome(err, fault.NotRun)
	}
	return fault.New(fault.Config{
		Kind:       fault.Unavailable,
		Message:    "the change may have been accepted; the table's answer was lost",
		Remedy:     "publish it again with the same operation id",
		Outcome:    fault.OutcomeUnknown,
		RetryAfter: publishRetryAfter,
		Cause:      err,
	})
}

// tableUnavailable is the error for a change that was certainly not accepted
// because the table did not respond.
func tableUnavailable(cause error) error {
	return fault.New(fault.Config{
		Kind:       fault.Unavailable,
		Message:    "the platform's table does not answer; the change was not made",
		Remedy:     "publish it again when the table answers, with the same operation id",
		RetryAfter: publishRetryAfter,
		Cause:      cause,
	})
}

// Audit returns accepted changes after a revision, the oldest first. A limit of
// zero means 100 records; the maximum is 1000. Errors are those of the table.
func (publisher *Publisher) Audit(ctx context.Context, after uint64, limit int) ([]Record, error) {
	if limit <= 0 {
		limit = defaultAuditLimit
	}
	return readRecords(ctx, publisher.table, after, min(limit, maxAuditLimit))
}

// readRecords reads records after a revision in order.
func readRecords(ctx context.Context, table platform.Table, after uint64, limit int) ([]Record, error) {
	items, err := table.Query(ctx, platform.Query{Partition: partitionRecord, After: recordSortKey(after), Limit: limit})
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
