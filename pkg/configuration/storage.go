package configuration

import (
	"encoding/json"
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// The table partitions of the configuration.
const (
	partitionHead           = "configuration/head"
	partitionRecord         = "configuration/record"
	partitionOperation      = "configuration/operation"
	partitionDocument       = "configuration/document/"
	partitionUniqueValue    = "configuration/unique"
	partitionReferenceCount = "configuration/use"
)

// revisionDigits is the number of decimal digits of a revision in sort keys. All
// revisions are padded with zeros, so their byte order is their numeric order.
const revisionDigits = 20

// headRow stores the newest revision of the configuration.
type headRow struct {
	Revision uint64 `json:"revision"`
}

// operationRow stores the revision that an operation id has published.
type operationRow struct {
	Revision uint64 `json:"revision"`
}

// documentRow is a stored document. A deleted document keeps its row without a
// body, so that the revision of the deletion can be compared with the expected
// one.
type documentRow struct {
	Revision uint64          `json:"revision"`
	Body     json.RawMessage `json:"body,omitempty"`
}

// uniqueValueRow stores the name of the document that holds a unique value.
type uniqueValueRow struct {
	Holder string `json:"holder"`
}

// referenceCountRow stores the number of documents that reference a service or
// caller.
type referenceCountRow struct {
	Count int64 `json:"count"`
}

func headKey() platform.Key {
	return platform.Key{Partition: partitionHead, Sort: "head"}
}

func recordKey(revision uint64) platform.Key {
	return platform.Key{Partition: partitionRecord, Sort: recordSortKey(revision)}
}

func recordSortKey(revision uint64) string {
	return fmt.Sprintf("%0*d", revisionDigits, revision)
}

func operationKey(operationID string) platform.Key {
	return platform.Key{Partition: partitionOperation, Sort: operationID}
}

func documentKey(kind Kind, name string) platform.Key {
	return platform.Key{Partition: partitionDocument + string(kind), Sort: name}
}
