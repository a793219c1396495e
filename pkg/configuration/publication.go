package configuration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// publishAttempt is one attempt to publish a change.
type publishAttempt struct {
	publisher   *Publisher
	change      Change
	newDocument document

	headItem      platform.Item
	operationItem platform.Item
	documentItem  platform.Item
	headRow       headRow
	documentRow   documentRow

	// snapshotRead is set once the head, operation and document rows have been
	// read and decoded.
	snapshotRead bool
	// canRetry is set if another attempt may succeed.
	canRetry bool
	// outcomeUnknown is set if the attempt failed although the change may have
	// been accepted: the transaction's response was lost, or the operation id
	// exists and its record could not be read.
	outcomeUnknown bool
}

// run reads the stored state, checks the change and commits it. If the operation
// id already exists, it returns that operation's record instead.
func (publishAttempt *publishAttempt) run(ctx context.Context) (Record, error) {
	if err := publishAttempt.read(ctx); err != nil {
		return Record{}, err
	}
	if publishAttempt.operationItem.Version != 0 {
		return publishAttempt.recordOfOperation(ctx)
	}
	if err := publishAttempt.checkExpectedRevision(ctx); err != nil {
		return Record{}, err
	}
	if err := publishAttempt.checkLimitUnchanged(); err != nil {
		return Record{}, err
	}
	record := publishAttempt.newRecord()
	writes, err := publishAttempt.transactionWrites(ctx, record)
	if err != nil {
		return Record{}, err
	}
	if err := publishAttempt.commit(ctx, writes); err != nil {
		return Record{}, err
	}
	return record, nil
}

// documentKind returns the kind of the stored document that the change refers to.
func (publishAttempt *publishAttempt) documentKind() Kind {
	if publishAttempt.change.Kind == KindLimit {
		return KindProfile
	}
	return publishAttempt.change.Kind
}

// read reads the head, operation and document rows in one snapshot.
func (publishAttempt *publishAttempt) read(ctx context.Context) error {
	change := publishAttempt.change
	items, err := publishAttempt.publisher.table.Get(ctx,
		headKey(),
		operationKey(change.OperationID),
		documentKey(publishAttempt.documentKind(), change.Name),
	)
	if err != nil {
		return err
	}
	publishAttempt.headItem, publishAttempt.operationItem, publishAttempt.documentItem = items[0], items[1], items[2]
	if publishAttempt.headRow, err = platform.DecodeRow[headRow](publishAttempt.headItem); err != nil {
		return err
	}
	if publishAttempt.documentRow, err = platform.DecodeRow[documentRow](publishAttempt.documentItem); err != nil {
		return err
	}
	publishAttempt.snapshotRead = true
	return nil
}

// recordOfOperation returns the record that an earlier attempt or call with the
// operation id has published. The error is fault.Conflict if it was another
// change.
func (publishAttempt *publishAttempt) recordOfOperation(ctx context.Context) (Record, error) {
	row, err := platform.DecodeRow[operationRow](publishAttempt.operationItem)
	if err != nil {
		return Record{}, err
	}
	record, err := publishAttempt.readRecord(ctx, row.Revision)
	if err != nil {
		publishAttempt.outcomeUnknown = true
		return Record{}, err
	}
	if !sameChange(record.Change, publishAttempt.change) {
		return Record{}, fault.New(fault.Config{
			Kind:    fault.Conflict,
			Message: fmt.Sprintf("operation id %q made revision %d with another content", publishAttempt.change.OperationID, row.Revision),
			Remedy:  "use a fresh operation id for a new change",
		})
	}
	return record, nil
}

func (publishAttempt *publishAttempt) readRecord(ctx context.Context, revision uint64) (Record, error) {
	items, err := publishAttempt.publisher.table.Get(ctx, recordKey(revision))
	if err != nil {
		return Record{}, err
	}
	return platform.DecodeRow[Record](items[0])
}

// sameChange compares two changes without their expected revisions: an operator
// who reads the document again before a retry gets the revision that the first
// attempt published.
func sameChange(a, b Change) bool {
	return a.Kind == b.Kind && a.Name == b.Name && a.Operator == b.Operator &&
		a.Reason == b.Reason && bytes.Equal(a.Body, b.Body)
}

// checkExpectedRevision requires that the document still has the revision that
// the operator last read. A limit change adds to any limit, so it only requires
// that the profile exists.
func (publishAttempt *publishAttempt) checkExpectedRevision(ctx context.Context) error {
	exists := len(publishAttempt.documentRow.Body) > 0
	if publishAttempt.change.Kind == KindLimit || len(publishAttempt.change.Body) == 0 {
		if !exists {
			return notFound(string(publishAttempt.documentKind()) + "/" + publishAttempt.change.Name)
		}
	}
	if publishAttempt.change.Kind == KindLimit {
		return nil
	}
	if publishAttempt.change.ExpectedRevision == publishAttempt.documentRow.Revision {
		return nil
	}
	if publishAttempt.change.ExpectedRevision == 0 && !exists {
		return nil
	}
	return publishAttempt.revisionConflict(ctx)
}

func notFound(name string) error {
	return fault.New(fault.Config{
		Kind:    fault.NotFound,
		Message: name + " does not exist",
		Remedy:  "publish it first, or check the name",
	})
}

// revisionConflict returns a fault.Conflict error that names the change which
// published the document's current revision.
func (publishAttempt *publishAttempt) revisionConflict(ctx context.Context) error {
	change := publishAttempt.change
	name := string(change.Kind) + "/" + change.Name
	if publishAttempt.documentRow.Revision == 0 {
		return fault.New(fault.Config{
			Kind:    fault.Conflict,
			Message: fmt.Sprintf("%s does not exist, but revision %d was expected", name, change.ExpectedRevision),
			Remedy:  "publish it with expected 0",
		})
	}
	currentRecord, err := publishAttempt.readRecord(ctx, publishAttempt.documentRow.Revision)
	if err != nil {
		return err
	}
	return fault.New(fault.Config{
		Kind: fault.Conflict,
		Message: fmt.Sprintf("%s is at revision %d, published by %s at %s (%s); revision %d was expected", name,
			currentRecord.Revision, currentRecord.Change.Operator, currentRecord.PublishedAt.UTC().Format(time.RFC3339), currentRecord.Change.Reason, change.ExpectedRevision),
		Remedy: fmt.Sprintf("read revision %d, decide whether your change still holds, and publish with expected %d and a fresh operation id",
			currentRecord.Revision, currentRecord.Revision),
	})
}

// checkLimitUnchanged requires that limit_tokens of a stored profile stays as it
// was first published; only limit changes adjust the limit.
func (publishAttempt *publishAttempt) checkLimitUnchanged() error {
	newProfile, ok := publishAttempt.newDocument.(Profile)
	if !ok || len(publishAttempt.documentRow.Body) == 0 {
		return nil
	}
	var storedProfile Profile
	if err := json.Unmarshal(publishAttempt.documentRow.Body, &storedProfile); err != nil {
		return unreadableDocument(publishAttempt.change.Name, err)
	}
	if storedProfile.LimitTokens == newProfile.LimitTokens {
		return nil
	}
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: fmt.Sprintf("limit_tokens differs from the first limit of %d", storedProfile.LimitTokens),
		Remedy:  fmt.Sprintf("keep limit_tokens at %d and publish a limit change that adds or lowers", storedProfile.LimitTokens),
	})
}

// newRecord returns the record of the change. A limit change stores no document,
// so its record has no previous body.
func (publishAttempt *publishAttempt) newRecord() Record {
	record := Record{
		Revision:    publishAttempt.headRow.Revision + 1,
		Change:      publishAttempt.change,
		PublishedAt: publishAttempt.publisher.clock().UTC(),
	}
	if publishAttempt.change.Kind != KindLimit {
		record.PreviousBody = publishAttempt.documentRow.Body
	}
	return record
}

// transactionWrites returns all writes of the transaction.
func (publishAttempt *publishAttempt) transactionWrites(ctx context.Context, record Record) ([]platform.Write, error) {
	writes := []platform.Write{
		platform.PutIfUnchanged(publishAttempt.headItem, headRow{Revision: record.Revision}),
		{
			Key:       recordKey(record.Revision),
			Action:    platform.Put,
			Value:     platform.EncodeRow(record),
			Condition: platform.Condition{Kind: platform.IfAbsent},
		},
		platform.PutIfUnchanged(publishAttempt.operationItem, operationRow{Revision: record.Revision}),
	}
	if publishAttempt.change.Kind != KindLimit {
		row := documentRow{Revision: record.Revision, Body: publishAttempt.change.Body}
		writes = append(writes, platform.PutIfUnchanged(publishAttempt.documentItem, row))
		linkWrites, err := publishAttempt.linkWrites(ctx)
		if err != nil {
			return nil, err
		}
		writes = append(writes, linkWrites...)
	}
	extraWrites, err := publishAttempt.publisher.extraWrites(ctx, publishAttempt.change)
	if err != nil {
		return nil, err
	}
	return append(writes, extraWrites...), nil
}

// commit sends the transaction. A conflict means that a row has changed since it
// was read, so another attempt reads and checks the new state.
func (publishAttempt *publishAttempt) commit(ctx context.Context, writes []platform.Write) error {
	err := publishAttempt.publisher.table.Transact(ctx, platform.Transaction{Writes: writes})
	if err == nil {
		return nil
	}
	if fault.Is(err, fault.Conflict) {
		publishAttempt.canRetry = true
		return fault.New(fault.Config{
			Kind:       fault.Conflict,
			Message:    "other changes were published at the same time on every attempt",
			Remedy:     "publish again with the same operation id",
			RetryAfter: publishRetryAfter,
			Cause:      err,
		})
	}
	if !fault.Is(err, fault.Overloaded) && !fault.Is(err, fault.Invalid) {
		publishAttempt.outcomeUnknown = true
		publishAttempt.canRetry = true
	}
	return err
}
