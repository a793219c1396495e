package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
)

// tabPadding is the number of spaces between two columns.
const tabPadding = 2

// List holds the flags of commands that list entries.
type List struct {
	Connection
	After string `help:"Entry behind which the list begins."`
	Limit int    `help:"Greatest number of entries, at most 1000." default:"100"`
	JSON  bool   `help:"Print JSON."`
}

func (list List) page() operator.Page {
	return operator.Page{After: list.After, Limit: list.Limit}
}

// listOutput is the JSON of a list.
type listOutput[Entry any] struct {
	Entries []Entry `json:"entries"`
	// Next is the --after of the next page; empty on the last one.
	Next string `json:"next"`
}

// table is what people read.
type table struct {
	columns []string
	rows    [][]string
}

func (table table) print(out io.Writer) error {
	writer := tabwriter.NewWriter(out, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(writer, strings.Join(table.columns, "\t"))
	for _, row := range table.rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

// printList prints entries as JSON or as a table, and where the list goes on.
func printList[Entry any](environment Environment, asJSON bool, output listOutput[Entry], columns []string, row func(Entry) []string) error {
	if asJSON {
		return printJSON(environment, output)
	}
	table := table{columns: columns}
	for _, entry := range output.Entries {
		table.rows = append(table.rows, row(entry))
	}
	if err := table.print(environment.Out); err != nil {
		return err
	}
	if output.Next != "" {
		fmt.Fprintf(environment.ErrOut, "more: --after %s\n", output.Next)
	}
	return nil
}

func printJSON(environment Environment, value any) error {
	encoder := json.NewEncoder(environment.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// documentOutput is the JSON of a document.
type documentOutput[Body any] struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Document Body   `json:"document"`
}

// documentOutputOf decodes the body of a document.
func documentOutputOf[Body any](document configuration.StoredDocument) (documentOutput[Body], error) {
	output := documentOutput[Body]{Name: document.Name, Revision: document.Revision}
	err := json.Unmarshal(document.Body, &output.Document)
	return output, err
}

// listDocuments prints a page of documents of one kind.
func listDocuments[Body any](environment Environment, list List, kind documentKind[Body]) error {
	client, err := list.client(environment)
	if err != nil {
		return err
	}
	documents, next, err := client.Documents(environment.Context, kind.kind, list.page())
	if err != nil {
		return err
	}
	output := listOutput[documentOutput[Body]]{Entries: []documentOutput[Body]{}, Next: next}
	for _, document := range documents {
		entry, err := documentOutputOf[Body](document)
		if err != nil {
			return err
		}
		output.Entries = append(output.Entries, entry)
	}
	columns := append([]string{"NAME", "REVISION"}, kind.columns...)
	return printList(environment, list.JSON, output, columns, func(entry documentOutput[Body]) []string {
		return append([]string{entry.Name, formatRevision(entry.Revision)}, kind.row(entry.Document)...)
	})
}

func formatRevision(revision uint64) string {
	return strconv.FormatUint(revision, 10)
}

func formatTokens(tokens int64) string {
	return strconv.FormatInt(tokens, 10)
}
