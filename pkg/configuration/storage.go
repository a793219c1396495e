package configuration

import (
	"encoding/json"
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// The partitions of the configuration in the table.
const (
	partitionHead      = "configuration/head"
	partitionRecord    = "configuration/record"
	partitionOperation = "configuration/operation"
	partitionDocument  = "configuration/document/"
	partitionUnique    = "configuration/unique"
	partitionUse       = "configuration/use"
)

// revisionDigits is the width of a revision in sort keys, so that their order
// by bytes is the order of the numbers.
const revisionDigits = 20

// headRow is the newest revision.
type headRow struct {
	Revision uint64 `json:"revision"`
}

// operationRow names the revision that an operation id made.
type operationRow struct {
	Revision uint64 `json:"revision"`
}

// documentRow is a stored document. A deleted one keeps its row without a body,
// so that its last revision stays known.
type documentRow struct {
	Revision uint64          `json:"revision"`
	Body     json.RawMessage `json:"body,omitempty"`
}

// uniqueRow names the document that holds a value which no other may hold.
type uniqueRow struct {
	Holder string `json:"holder"`
}

// useRow counts the documents that name a service or a caller.
type useRow struct {
	Count int64 `json:"count"`
}

func headKey() platform.Key {
	return platform.Key{Partition: partitionHead, Sort: "head"}
}

func recordKey(revision uint64) platform.Key {
	return platform.Key{Partition: partitionRecord, Sort: recordSort(revision)}
}

func recordSort(revision uint64) string {
	return fmt.Sprintf("%0*d", revisionDigits, revision)
}

func operationKey(operationID string) platform.Key {
	return platform.Key{Partition: partitionOperation, Sort: operationID}
}

func documentKey(kind Kind, name string) platform.Key {
	return platform.Key{Partition: partitionDocument + string(kind), Sort: name}
}
