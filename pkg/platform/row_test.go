package platform

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

type testRow struct {
	Count uint64            `json:"count"`
	Name  string            `json:"name"`
	Parts map[string][]int  `json:"parts"`
	Next  *testRow          `json:"next"`
	Any   any               `json:"any"`
	Texts map[string]string `json:"texts"`
}

// TestOddRowsAreErrors guards against rows of other writers that end the process, or
// are taken for rows with zeros.
func TestOddRowsAreErrors(t *testing.T) {
	const depth = 1_000_000
	for name, odd := range map[string]string{
		"empty": "", "bytes": "\xff\x00", "half": `{"count":1`, "two": `{}{}`, "list": `[]`, "text": `"x"`,
		"below zero": `{"count":-1}`, "fraction": `{"count":1.5}`, "too large": `{"count":1e300}`, "65 bits": `{"count":18446744073709551616}`,
		"another type": `{"name":7}`, "arrays": strings.Repeat("[", depth), "closed arrays": strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"known field":   `{"next":` + strings.Repeat(`{"next":`, depth) + "1" + strings.Repeat("}", depth+1),
		"any field":     `{"any":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + "}",
		"unknown field": `{"other":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + "}",
		"map":           `{"parts":{"a":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + "}}",
	} {
		_, err := DecodeRow[testRow](Item{Value: []byte(odd), Version: 1})
		require.Truef(t, fault.Is(err, fault.Internal), "%s: %v", name, err)
	}
}
