package allowance

// The encoding of the rows.
//
// A row may have at most 64 KB, and every router reads the rows of the pool again
// and again, so they are CBOR, and what is stated of each team is an array without
// names. Rows of earlier releases are JSON and are still read.

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// jsonStart is the first byte of a row in JSON. No row in CBOR starts with it.
const jsonStart = '{'

func decode[T any](value []byte) (T, error) {
	var decoded T
	if len(value) == 0 {
		return decoded, nil
	}
	unmarshal, format := cbor.Unmarshal, "CBOR"
	if value[0] == jsonStart {
		unmarshal, format = json.Unmarshal, "JSON"
	}
	if err := unmarshal(value, &decoded); err != nil {
		return decoded, fault.New(fault.Config{
			Kind:    fault.Internal,
			Message: "a row of the budget table is not valid " + format,
			Remedy:  "remove the row that another program wrote to the budget table",
			Cause:   err,
		})
	}
	return decoded, nil
}

func encode(row any) []byte {
	value, err := cbor.Marshal(row)
	if err != nil {
		panic(err) // rows hold only numbers, texts and flags, which can be encoded
	}
	return value
}
