package configuration

import (
	"encoding/json"
	"fmt"
	"strings"
	"unicode"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// Bounds of a change, so that it fits a table transaction and a message.
const (
	maxNameBytes     = 128
	maxOperationID   = 128
	maxReasonBytes   = 1024
	maxBodyBytes     = 32 << 10
	maxProfileLinks  = 32
	maxReportedFault = 20
)

// document is what all stored documents have in common.
type document interface {
	// documentName is the name inside the body, which must equal the change's.
	documentName() string
	// references are the documents that must exist as long as this one names
	// them.
	references() []reference
	// uniques are the values that no other document of the kind may hold.
	uniques() []string
}

// reference names another document.
type reference struct {
	kind Kind
	name string
}

func (reference reference) String() string { return string(reference.kind) + "/" + reference.name }

func (profile Profile) documentName() string { return profile.Name }

// references of a retired profile are none: nothing runs under it.
func (profile Profile) references() []reference {
	if profile.Retired {
		return nil
	}
	var references []reference
	for _, caller := range profile.Callers {
		references = append(references, reference{KindCaller, caller})
	}
	for _, service := range profile.Services {
		references = append(references, reference{KindService, service})
	}
	return references
}

func (profile Profile) uniques() []string { return nil }

func (service Service) documentName() string    { return service.Name }
func (service Service) references() []reference { return nil }

func (service Service) uniques() []string {
	if service.Model == "" {
		return nil
	}
	return []string{"model/" + service.Model}
}

func (upstream Upstream) documentName() string { return upstream.Name }

func (upstream Upstream) references() []reference {
	return []reference{{KindService, upstream.Service}}
}

func (upstream Upstream) uniques() []string { return []string{"address/" + upstream.Address} }

func (caller Caller) documentName() string    { return caller.Name }
func (caller Caller) references() []reference { return nil }

func (caller Caller) uniques() []string {
	return []string{"token_hash/" + strings.ToLower(caller.TokenHash)}
}

// kindRow says how the documents of one kind are decoded.
type kindRow struct {
	// check decodes an operator's body and names every fault.
	check func(body []byte) (document, error)
	// read decodes a body that was accepted earlier, by older rules perhaps.
	read func(body []byte) (document, error)
}

// kinds is the one table of stored kinds; a new kind is one row.
var kinds = map[Kind]kindRow{
	KindProfile:  {check: checkDocument[Profile], read: readDocument[Profile]},
	KindService:  {check: checkDocument[Service], read: readDocument[Service]},
	KindUpstream: {check: checkDocument[Upstream], read: readDocument[Upstream]},
	KindCaller:   {check: checkDocument[Caller], read: readDocument[Caller]},
}

// readDocument reads a stored body.
func readDocument[T document](body []byte) (document, error) {
	var decoded T
	if err := json.Unmarshal(body, &decoded); err != nil {
		return nil, unreadableDocument(decoded.documentName(), err)
	}
	return decoded, nil
}

// checkDocument reads a body and checks each field by itself.
func checkDocument[T document](body []byte) (document, error) {
	var decoded T
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&decoded); err != nil {
		return nil, invalid("body is not readable: " + err.Error())
	}
	if decoder.More() {
		return nil, invalid("body has data behind the document")
	}
	var faults []string
	for _, field := range FieldFaults(decoded) {
		faults = append(faults, fmt.Sprintf("%s fails %s", field.Path, field.Rule))
	}
	if len(faults) > 0 {
		return nil, invalid(faults...)
	}
	return decoded, nil
}

// invalid makes one error of all faults.
func invalid(faults ...string) error {
	if len(faults) > maxReportedFault {
		more := len(faults) - maxReportedFault
		faults = append(faults[:maxReportedFault:maxReportedFault], fmt.Sprintf("and %d more", more))
	}
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: strings.Join(faults, "; "),
		Remedy:  "mend every fault named and publish again",
	})
}

// validateChange checks what can be checked without the table and returns the
// decoded document, which is nil for a deletion and for a limit.
func validateChange(change Change) (document, error) {
	faults := changeFaults(change)
	if len(faults) > 0 {
		return nil, invalid(faults...)
	}
	if change.Kind == KindLimit {
		return nil, validateLimit(change)
	}
	if len(change.Body) == 0 {
		return nil, validateDeletion(change)
	}
	decoded, err := kinds[change.Kind].check(change.Body)
	if err != nil {
		return nil, err
	}
	if decoded.documentName() != change.Name {
		return nil, invalid(fmt.Sprintf("name %q in the body differs from name %q of the change", decoded.documentName(), change.Name))
	}
	if len(decoded.references()) > maxProfileLinks {
		return nil, invalid(fmt.Sprintf("callers and services together exceed %d", maxProfileLinks))
	}
	return decoded, nil
}

// changeFaults returns all faults of the envelope.
func changeFaults(change Change) []string {
	var faults []string
	check := func(ok bool, message string) {
		if !ok {
			faults = append(faults, message)
		}
	}
	check(change.OperationID != "", "operation_id is empty")
	check(len(change.OperationID) <= maxOperationID, fmt.Sprintf("operation_id exceeds %d bytes", maxOperationID))
	check(change.Operator != "", "operator is empty")
	check(len(change.Operator) <= maxNameBytes, fmt.Sprintf("operator exceeds %d bytes", maxNameBytes))
	check(change.Reason != "", "reason is empty")
	check(len(change.Reason) <= maxReasonBytes, fmt.Sprintf("reason exceeds %d bytes", maxReasonBytes))
	check(change.Name != "", "name is empty")
	check(len(change.Name) <= maxNameBytes, fmt.Sprintf("name exceeds %d bytes", maxNameBytes))
	check(!strings.ContainsFunc(change.Name, unfitForName), "name has a space, a slash or a character that can't be seen")
	check(len(change.Body) <= maxBodyBytes, fmt.Sprintf("body exceeds %d bytes", maxBodyBytes))
	_, stored := kinds[change.Kind]
	check(stored || change.Kind == KindLimit, fmt.Sprintf("kind %q is unknown", change.Kind))
	return faults
}

// unfitForName keeps names readable in logs and usable in paths.
func unfitForName(character rune) bool {
	return character == '/' || unicode.IsSpace(character) || !unicode.IsGraphic(character)
}

func validateLimit(change Change) error {
	var limit Limit
	if err := json.Unmarshal(change.Body, &limit); err != nil {
		return invalid("body is not a limit: " + err.Error())
	}
	if limit.AddTokens == 0 {
		return invalid("add_tokens is zero")
	}
	return nil
}

// validateDeletion refuses to delete profiles, whose ledger must stay.
func validateDeletion(change Change) error {
	if change.Kind != KindProfile {
		return nil
	}
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "a profile can't be deleted, because its budget and ledger stay",
		Remedy:  "publish it with retired set",
	})
}
