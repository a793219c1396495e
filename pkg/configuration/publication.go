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

// publication is one try to publish a change.
type publication struct {
	publisher *Publisher
	change    Change
	decoded   document

	head      platform.Item
	operation platform.Item
	stored    platform.Item
	headRow   headRow
	storedRow documentRow

	// wasRead is set once head and operation id were read.
	wasRead bool
	// retry is set when another try can succeed.
	retry bool
	// lost is set when the change may have been accepted, or was: the
	// transaction was sent and its answer was lost, or the operation id exists.
	lost bool
}

// run reads, checks and commits.
func (publication *publication) run(ctx context.Context) (Record, error) {
	if err := publication.read(ctx); err != nil {
		return Record{}, err
	}
	if publication.operation.Version != 0 {
		return publication.accepted(ctx)
	}
	if err := publication.checkExpected(ctx); err != nil {
		return Record{}, err
	}
	if err := publication.checkLimit(); err != nil {
		return Record{}, err
	}
	record := publication.record()
	writes, err := publication.allWrites(ctx, record)
	if err != nil {
		return Record{}, err
	}
	if err := publication.commit(ctx, writes); err != nil {
		return Record{}, err
	}
	return record, nil
}

// documentKind is the kind of the document that the change is about.
func (publication *publication) documentKind() Kind {
	if publication.change.Kind == KindLimit {
		return KindProfile
	}
	return publication.change.Kind
}

// read takes head, operation id and document in one snapshot.
func (publication *publication) read(ctx context.Context) error {
	change := publication.change
	items, err := publication.publisher.table.Get(ctx,
		headKey(),
		operationKey(change.OperationID),
		documentKey(publication.documentKind(), change.Name),
	)
	if err != nil {
		return err
	}
	publication.head, publication.operation, publication.stored = items[0], items[1], items[2]
	if publication.headRow, err = platform.DecodeRow[headRow](publication.head); err != nil {
		return err
	}
	if publication.storedRow, err = platform.DecodeRow[documentRow](publication.stored); err != nil {
		return err
	}
	publication.wasRead = true
	return nil
}

// accepted returns the record that the operation id has made before.
func (publication *publication) accepted(ctx context.Context) (Record, error) {
	row, err := platform.DecodeRow[operationRow](publication.operation)
	if err != nil {
		return Record{}, err
	}
	record, err := publication.readRecord(ctx, row.Revision)
	if err != nil {
		publication.lost = true
		return Record{}, err
	}
	if !sameChange(record.Change, publication.change) {
		return Record{}, fault.New(fault.Config{
			Kind:    fault.Conflict,
			Message: fmt.Sprintf("operation id %q made revision %d with another content", publication.change.OperationID, row.Revision),
			Remedy:  "use a fresh operation id for a new change",
		})
	}
	return record, nil
}

func (publication *publication) readRecord(ctx context.Context, revision uint64) (Record, error) {
	items, err := publication.publisher.table.Get(ctx, recordKey(revision))
	if err != nil {
		return Record{}, err
	}
	return platform.DecodeRow[Record](items[0])
}

// sameChange leaves out the expected revision: an operator who reads the
// document again before a retry sees the revision that the first try made.
func sameChange(a, b Change) bool {
	return a.Kind == b.Kind && a.Name == b.Name && a.Operator == b.Operator &&
		a.Reason == b.Reason && bytes.Equal(a.Body, b.Body)
}

// checkExpected requires that the document is as the operator saw it. A limit
// adds to what is there, so it only requires that the profile exists.
func (publication *publication) checkExpected(ctx context.Context) error {
	exists := len(publication.storedRow.Body) > 0
	if publication.change.Kind == KindLimit || len(publication.change.Body) == 0 {
		if !exists {
			return missing(string(publication.documentKind()) + "/" + publication.change.Name)
		}
	}
	if publication.change.Kind == KindLimit {
		return nil
	}
	if publication.change.ExpectedRevision == publication.storedRow.Revision {
		return nil
	}
	if publication.change.ExpectedRevision == 0 && !exists {
		return nil
	}
	return publication.lostRace(ctx)
}

func missing(name string) error {
	return fault.New(fault.Config{
		Kind:    fault.NotFound,
		Message: name + " does not exist",
		Remedy:  "publish it first, or check the name",
	})
}

// lostRace names the change that came first.
func (publication *publication) lostRace(ctx context.Context) error {
	change := publication.change
	name := string(change.Kind) + "/" + change.Name
	if publication.storedRow.Revision == 0 {
		return fault.New(fault.Config{
			Kind:    fault.Conflict,
			Message: fmt.Sprintf("%s does not exist, but revision %d was expected", name, change.ExpectedRevision),
			Remedy:  "publish it with expected 0",
		})
	}
	winner, err := publication.readRecord(ctx, publication.storedRow.Revision)
	if err != nil {
		return err
	}
	return fault.New(fault.Config{
		Kind: fault.Conflict,
		Message: fmt.Sprintf("%s is at revision %d, published by %s at %s (%s); revision %d was expected", name,
			winner.Revision, winner.Change.Operator, winner.PublishedAt.UTC().Format(time.RFC3339), winner.Change.Reason, change.ExpectedRevision),
		Remedy: fmt.Sprintf("read revision %d, decide whether your change still holds, and publish with expected %d and a fresh operation id",
			winner.Revision, winner.Revision),
	})
}

// checkLimit keeps the first limit of a profile as it is; only top-ups move it.
func (publication *publication) checkLimit() error {
	profile, ok := publication.decoded.(Profile)
	if !ok || len(publication.storedRow.Body) == 0 {
		return nil
	}
	var stored Profile
	if err := json.Unmarshal(publication.storedRow.Body, &stored); err != nil {
		return unreadableDocument(publication.change.Name, err)
	}
	if stored.LimitTokens == profile.LimitTokens {
		return nil
	}
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: fmt.Sprintf("limit_tokens differs from the first limit of %d", stored.LimitTokens),
		Remedy:  fmt.Sprintf("keep limit_tokens at %d and publish a limit change that adds or lowers", stored.LimitTokens),
	})
}

// record is the audit line of the change. For a limit, which stores no
// document, there is no previous body.
func (publication *publication) record() Record {
	record := Record{
		Revision:    publication.headRow.Revision + 1,
		Change:      publication.change,
		PublishedAt: publication.publisher.clock().UTC(),
	}
	if publication.change.Kind != KindLimit {
		record.PreviousBody = publication.storedRow.Body
	}
	return record
}

// allWrites gathers the writes of the transaction.
func (publication *publication) allWrites(ctx context.Context, record Record) ([]platform.Write, error) {
	writes := []platform.Write{
		platform.PutIfUnchanged(publication.head, headRow{Revision: record.Revision}),
		{
			Key:       recordKey(record.Revision),
			Action:    platform.Put,
			Value:     platform.EncodeRow(record),
			Condition: platform.Condition{Kind: platform.IfAbsent},
		},
		platform.PutIfUnchanged(publication.operation, operationRow{Revision: record.Revision}),
	}
	if publication.change.Kind != KindLimit {
		row := documentRow{Revision: record.Revision, Body: publication.change.Body}
		writes = append(writes, platform.PutIfUnchanged(publication.stored, row))
		linkWrites, err := publication.linkWrites(ctx)
		if err != nil {
			return nil, err
		}
		writes = append(writes, linkWrites...)
	}
	others, err := publication.publisher.writes(ctx, publication.change)
	if err != nil {
		return nil, err
	}
	return append(writes, others...), nil
}

// commit sends the transaction. A conflict means that something that was read
// has changed, so that another try decides on the new state.
func (publication *publication) commit(ctx context.Context, writes []platform.Write) error {
	err := publication.publisher.table.Transact(ctx, platform.Transaction{Writes: writes})
	if err == nil {
		return nil
	}
	if fault.Is(err, fault.Conflict) {
		publication.retry = true
		return fault.New(fault.Config{
			Kind:       fault.Conflict,
			Message:    "other changes were published at the same time, on every try",
			Remedy:     "publish again with the same operation id",
			RetryAfter: retryAfterConflict,
			Cause:      err,
		})
	}
	if !fault.Is(err, fault.Overloaded) && !fault.Is(err, fault.Invalid) {
		publication.lost = true
		publication.retry = true
	}
	return err
}
