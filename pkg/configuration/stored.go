package configuration

import (
	"context"
	"encoding/json"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// StoredDocument is a document in the table.
type StoredDocument struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Revision is the revision that last changed the document.
	Revision uint64 `json:"revision"`
	// Body is the document as JSON.
	Body json.RawMessage `json:"body"`
}

// Head returns the newest revision of the configuration; zero before the first
// change. Errors are those of the table.
func (publisher *Publisher) Head(ctx context.Context) (uint64, error) {
	items, err := publisher.table.Get(ctx, headKey())
	if err != nil {
		return 0, err
	}
	head, err := platform.DecodeRow[headRow](items[0])
	return head.Revision, err
}

// Document reads one document. Errors: fault.NotFound if it does not exist, or
// those of the table.
func (publisher *Publisher) Document(ctx context.Context, kind Kind, name string) (StoredDocument, error) {
	items, err := publisher.table.Get(ctx, documentKey(kind, name))
	if err != nil {
		return StoredDocument{}, err
	}
	row, err := platform.DecodeRow[documentRow](items[0])
	if err != nil {
		return StoredDocument{}, err
	}
	if len(row.Body) == 0 {
		return StoredDocument{}, notFound(string(kind) + "/" + name)
	}
	return StoredDocument{Kind: kind, Name: name, Revision: row.Revision, Body: row.Body}, nil
}

// Documents reads a page of documents of a kind whose names come after a name, in
// the order of their names. It also returns the name after which the next page
// starts; empty if this is the last page. A page may have fewer documents than
// the limit, because deleted ones are left out. Errors are those of the table.
func (publisher *Publisher) Documents(ctx context.Context, kind Kind, after string, limit int) ([]StoredDocument, string, error) {
	items, err := publisher.table.Query(ctx, platform.Query{
		Partition: documentKey(kind, "").Partition,
		After:     after,
		Limit:     limit,
	})
	if err != nil {
		return nil, "", err
	}
	var documents []StoredDocument
	for _, item := range items {
		row, err := platform.DecodeRow[documentRow](item)
		if err != nil {
			return nil, "", err
		}
		if len(row.Body) > 0 {
			documents = append(documents, StoredDocument{Kind: kind, Name: item.Key.Sort, Revision: row.Revision, Body: row.Body})
		}
	}
	if len(items) < limit {
		return documents, "", nil
	}
	return documents, items[len(items)-1].Key.Sort, nil
}
