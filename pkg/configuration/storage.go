package configuration

import (
	"encoding/json"
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
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

// decodeItem reads the JSON of an item; the zero value stands for no item.
func decodeItem[T any](item platform.Item) (T, error) {
	var row T
	if item.Version == 0 {
		return row, nil
	}
	if err := json.Unmarshal(item.Value, &row); err != nil {
		return row, fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "table item " + item.Key.Partition + "/" + item.Key.Sort + " is not readable",
			Remedy:  "compare the versions of the routers that write to this table",
			Cause:   err,
		})
	}
	return row, nil
}

// encodeRow writes a row as JSON. Rows hold nothing that JSON can't express.
func encodeRow(row any) []byte {
	encoded, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return encoded
}

// conditionOf requires that the item is still as it was read.
func conditionOf(item platform.Item) platform.Condition {
	if item.Version == 0 {
		return platform.Condition{Kind: platform.IfAbsent}
	}
	return platform.Condition{Kind: platform.IfVersion, Version: item.Version}
}

// putIfUnchanged stores the row when the item is still as it was read.
func putIfUnchanged(item platform.Item, row any) platform.Write {
	return platform.Write{Key: item.Key, Action: platform.Put, Value: encodeRow(row), Condition: conditionOf(item)}
}
