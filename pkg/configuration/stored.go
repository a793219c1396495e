package configuration

import (
	"context"
	"encoding/json"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Stored is a document as the table holds it.
type StoredDocument struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Revision is that of the document's last change.
	Revision uint64 `json:"revision"`
	// Body is the JSON of the document.
	Body json.RawMessage `json:"body"`
}

// Head returns the newest revision, zero before the first change. The errors
// are those of the table.
func (publisher *Publisher) Head(ctx context.Context) (uint64, error) {
	items, err := publisher.table.Get(ctx, headKey())
	if err != nil {
		return 0, err
	}
	head, err := platform.DecodeRow[headRow](items[0])
	return head.Revision, err
}

// Document reads one document. The error is fault.NotFound if there is none, or
// one of the table.
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
		return StoredDocument{}, missing(string(kind) + "/" + name)
	}
	return StoredDocument{Kind: kind, Name: name, Revision: row.Revision, Body: row.Body}, nil
}

// Documents reads documents of a kind behind a name, in the order of their
// names. It returns the name to go on behind, empty at the end. A page can hold
// fewer documents than the limit, because deleted ones are left out.
func (publisher *Publisher) Documents(ctx context.Context, kind Kind, after string, limit int) ([]StoredDocument, string, error) {
	items, err := publisher.table.Query(ctx, platform.Query{
		Partition: documentKey(kind, "").Partition,
		After:     after,
		Limit:     limit,
	})
	if err != nil {
		return nil, "", err
	}
	var stored []StoredDocument
	for _, item := range items {
		row, err := platform.DecodeRow[documentRow](item)
		if err != nil {
			return nil, "", err
		}
		if len(row.Body) > 0 {
			stored = append(stored, StoredDocument{Kind: kind, Name: item.Key.Sort, Revision: row.Revision, Body: row.Body})
		}
	}
	if len(items) < limit {
		return stored, "", nil
	}
	return stored, items[len(items)-1].Key.Sort, nil
}
