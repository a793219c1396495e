package command

import (
	"encoding/json"
	"strconv"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// AuditCommand holds the commands about the audit trail.
type AuditCommand struct {
	List AuditListCommand `cmd:"" help:"List accepted changes: who, when, from, to and why."`
}

// AuditListCommand lists accepted changes.
type AuditListCommand struct {
	List
}

// auditEntry is the JSON of an accepted change.
type auditEntry struct {
	Revision    uint64             `json:"revision"`
	At          time.Time          `json:"at"`
	Operator    string             `json:"operator"`
	OperationID string             `json:"operation_id"`
	Reason      string             `json:"reason"`
	Kind        configuration.Kind `json:"kind"`
	Name        string             `json:"name"`
	// From and To are the document before and after the change; null means none.
	From json.RawMessage `json:"from"`
	To   json.RawMessage `json:"to"`
}

func auditEntryOf(record configuration.Record) auditEntry {
	return auditEntry{
		Revision:    record.Revision,
		At:          record.PublishedAt,
		Operator:    record.Change.Operator,
		OperationID: record.Change.OperationID,
		Reason:      record.Change.Reason,
		Kind:        record.Change.Kind,
		Name:        record.Change.Name,
		From:        rawOf(record.PreviousBody),
		To:          rawOf(record.Change.Body),
	}
}

func rawOf(body []byte) json.RawMessage {
	if len(body) == 0 {
		return json.RawMessage("null")
	}
	return body
}

// Run runs the command.
func (auditListCommand AuditListCommand) Run(environment Environment) error {
	after, err := auditListCommand.revision()
	if err != nil {
		return err
	}
	client, err := auditListCommand.client(environment)
	if err != nil {
		return err
	}
	records, next, err := client.Audit(environment.Context, after, auditListCommand.Limit)
	if err != nil {
		return err
	}
	output := listOutput[auditEntry]{Entries: make([]auditEntry, 0, len(records))}
	for _, record := range records {
		output.Entries = append(output.Entries, auditEntryOf(record))
	}
	if next > 0 {
		output.Next = formatRevision(next)
	}
	columns := []string{"REVISION", "AT", "OPERATOR", "CHANGE", "NAME", "REASON", "FROM", "TO"}
	return printList(environment, auditListCommand.JSON, output, columns, func(entry auditEntry) []string {
		return []string{
			formatRevision(entry.Revision),
			entry.At.Format(timeFormat),
			entry.Operator,
			string(entry.Kind),
			entry.Name,
			entry.Reason,
			string(entry.From),
			string(entry.To),
		}
	})
}

// revision returns the revision behind which the list begins.
func (auditListCommand AuditListCommand) revision() (uint64, error) {
	if auditListCommand.After == "" {
		return 0, nil
	}
	revision, err := strconv.ParseUint(auditListCommand.After, 10, 64)
	if err != nil {
		return 0, usageError{cause: fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: auditListCommand.After + " is no revision",
			Remedy:  "give a revision, a whole number, to --after",
			Cause:   err,
		})}
	}
	return revision, nil
}
