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

// ListFlags holds the flags of commands that print one page of a list.
type ListFlags struct {
	ConnectionFlags
	After string `help:"Start after this entry."`
	Limit int    `help:"Maximum number of entries, up to 1000." default:"100"`
	JSON  bool   `help:"Print JSON."`
}

func (listFlags ListFlags) page() operator.Page {
	return operator.Page{After: listFlags.After, Limit: listFlags.Limit}
}

// listOutput is the JSON output for one page of a list.
type listOutput[Entry any] struct {
	Entries []Entry `json:"entries"`
	// Next is the value of --after for the next page; empty on the last page.
	Next string `json:"next"`
}

// table is the output for people: rows in aligned columns.
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

// printList prints entries as JSON or as a table. With a table it prints the
// --after of the next page, if there is one, to ErrOut.
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

// documentOutput is the JSON output for a document.
type documentOutput[Body any] struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Document Body   `json:"document"`
}

// documentOutputOf decodes the body of a stored document.
func documentOutputOf[Body any](document configuration.StoredDocument) (documentOutput[Body], error) {
	output := documentOutput[Body]{Name: document.Name, Revision: document.Revision}
	err := json.Unmarshal(document.Body, &output.Document)
	return output, err
}

// listDocuments prints one page of documents of the kind.
func listDocuments[Body any](environment Environment, listFlags ListFlags, kind documentKind[Body]) error {
	client, err := listFlags.newClient(environment)
	if err != nil {
		return err
	}
	documents, nextAfter, err := client.Documents(environment.Context, kind.kind, listFlags.page())
	if err != nil {
		return err
	}
	output := listOutput[documentOutput[Body]]{Entries: []documentOutput[Body]{}, Next: nextAfter}
	for _, document := range documents {
		entry, err := documentOutputOf[Body](document)
		if err != nil {
			return err
		}
		output.Entries = append(output.Entries, entry)
	}
	columns := append([]string{"NAME", "REVISION"}, kind.columns...)
	return printList(environment, listFlags.JSON, output, columns, func(entry documentOutput[Body]) []string {
		return append([]string{entry.Name, formatRevision(entry.Revision)}, kind.row(entry.Document)...)
	})
}

func formatRevision(revision uint64) string {
	return strconv.FormatUint(revision, 10)
}

func formatTokens(tokens int64) string {
	return strconv.FormatInt(tokens, 10)
}
