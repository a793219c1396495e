package platform

import (
	json "github.com/goccy/go-json"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// EncodeRow encodes a row as JSON. It panics on an encoding error, as rows have
// only types that JSON can represent.
func EncodeRow[Row any](row Row) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return value
}

// DecodeRow decodes the row of an item; an item that does not exist gives the zero
// value. The error is fault.Internal.
func DecodeRow[Row any](item Item) (Row, error) {
	var row Row
	if item.Version == 0 {
		return row, nil
	}
	if err := json.Unmarshal(item.Value, &row); err != nil {
		return row, fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "row " + item.Key.Partition + "/" + item.Key.Sort + " cannot be decoded",
			Remedy:  "compare the versions of the routers that write to this table",
			Cause:   err,
		})
	}
	return row, nil
}

// Unchanged returns the condition that the item has not changed since it was read.
func Unchanged(item Item) Condition {
	if item.Version == 0 {
		return Condition{Kind: IfAbsent}
	}
	return Condition{Kind: IfVersion, Version: item.Version}
}

// PutIfUnchanged returns a write that stores a row if the item has not changed
// since it was read.
func PutIfUnchanged[Row any](item Item, row Row) Write {
	return Write{Key: item.Key, Action: Put, Value: EncodeRow(row), Condition: Unchanged(item)}
}

// Insert returns a write that stores a row if the item does not exist.
func Insert[Row any](key Key, row Row) Write {
	return Write{Key: key, Action: Put, Value: EncodeRow(row), Condition: Condition{Kind: IfAbsent}}
}
