package configuration

import (
	"encoding/json"
	"fmt"
	"strings"
	"unicode"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// Limits of a change, so that it fits into a table transaction and a message.
const (
	maxNameBytes         = 128
	maxOperationIDBytes  = 128
	maxReasonBytes       = 1024
	maxBodyBytes         = 32 << 10
	maxProfileReferences = 32
	maxReportedFaults    = 20
)

// document is implemented by all types of stored documents.
type document interface {
	// documentName returns the name in the body, which must equal the change's.
	documentName() string
	// references returns the documents that must exist as long as this one
	// references them.
	references() []reference
	// uniqueValues returns the values that no other document of the same kind may
	// have.
	uniqueValues() []string
}

// reference identifies another document.
type reference struct {
	kind Kind
	name string
}

func (reference reference) String() string { return string(reference.kind) + "/" + reference.name }

func (profile Profile) documentName() string { return profile.Name }

// references returns none for a retired profile, because requests with it are
// refused.
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

func (profile Profile) uniqueValues() []string { return nil }

func (service Service) documentName() string    { return service.Name }
func (service Service) references() []reference { return nil }

func (service Service) uniqueValues() []string {
	if service.Model == "" {
		return nil
	}
	return []string{"model/" + service.Model}
}

func (upstream Upstream) documentName() string { return upstream.Name }

func (upstream Upstream) references() []reference {
	return []reference{{KindService, upstream.Service}}
}

func (upstream Upstream) uniqueValues() []string { return []string{"address/" + upstream.Address} }

func (caller Caller) documentName() string    { return caller.Name }
func (caller Caller) references() []reference { return nil }

func (caller Caller) uniqueValues() []string {
	return []string{"token_hash/" + strings.ToLower(caller.TokenHash)}
}

// documentDecoder decodes documents of one kind.
type documentDecoder struct {
	// decodeStrict decodes and validates the body of a new change. The error names
	// every invalid field.
	decodeStrict func(body []byte) (document, error)
	// decodeStored decodes a stored body without validation, because it may have
	// been accepted under older rules.
	decodeStored func(body []byte) (document, error)
}

// decoders has an entry for each kind of stored document.
var decoders = map[Kind]documentDecoder{
	KindProfile:  {decodeStrict: decodeStrictDocument[Profile], decodeStored: decodeStoredDocument[Profile]},
	KindService:  {decodeStrict: decodeStrictDocument[Service], decodeStored: decodeStoredDocument[Service]},
	KindUpstream: {decodeStrict: decodeStrictDocument[Upstream], decodeStored: decodeStoredDocument[Upstream]},
	KindCaller:   {decodeStrict: decodeStrictDocument[Caller], decodeStored: decodeStoredDocument[Caller]},
}

func decodeStoredDocument[T document](body []byte) (document, error) {
	var decoded T
	if err := json.Unmarshal(body, &decoded); err != nil {
		return nil, unreadableDocument(decoded.documentName(), err)
	}
	return decoded, nil
}

// decodeStrictDocument refuses unknown fields, data after the document and fields
// that violate their validate tags.
func decodeStrictDocument[T document](body []byte) (document, error) {
	var decoded T
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&decoded); err != nil {
		return nil, invalidChange("body is not readable: " + err.Error())
	}
	if decoder.More() {
		return nil, invalidChange("body has data after the document")
	}
	var faults []string
	for _, field := range FieldFaults(decoded) {
		faults = append(faults, fmt.Sprintf("%s fails %s", field.Path, field.Rule))
	}
	if len(faults) > 0 {
		return nil, invalidChange(faults...)
	}
	return decoded, nil
}

// invalidChange returns one fault.Invalid error for all faults.
func invalidChange(faults ...string) error {
	if len(faults) > maxReportedFaults {
		omitted := len(faults) - maxReportedFaults
		faults = append(faults[:maxReportedFaults:maxReportedFaults], fmt.Sprintf("and %d more", omitted))
	}
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: strings.Join(faults, "; "),
		Remedy:  "mend every fault named and publish again",
	})
}

// validateChange makes the checks that need no table and returns the decoded
// document, which is nil for a deletion and for a limit change.
func validateChange(change Change) (document, error) {
	faults := changeFaults(change)
	if len(faults) > 0 {
		return nil, invalidChange(faults...)
	}
	if change.Kind == KindLimit {
		return nil, validateLimit(change)
	}
	if len(change.Body) == 0 {
		return nil, validateDeletion(change)
	}
	decoded, err := decoders[change.Kind].decodeStrict(change.Body)
	if err != nil {
		return nil, err
	}
	if decoded.documentName() != change.Name {
		return nil, invalidChange(fmt.Sprintf("name %q in the body differs from name %q of the change", decoded.documentName(), change.Name))
	}
	if len(decoded.references()) > maxProfileReferences {
		return nil, invalidChange(fmt.Sprintf("callers and services together exceed %d", maxProfileReferences))
	}
	return decoded, nil
}

// changeFaults returns the faults of all fields of the change except the content
// of its body.
func changeFaults(change Change) []string {
	var faults []string
	check := func(ok bool, message string) {
		if !ok {
			faults = append(faults, message)
		}
	}
	check(change.OperationID != "", "operation_id is empty")
	check(len(change.OperationID) <= maxOperationIDBytes, fmt.Sprintf("operation_id exceeds %d bytes", maxOperationIDBytes))
	check(change.Operator != "", "operator is empty")
	check(len(change.Operator) <= maxNameBytes, fmt.Sprintf("operator exceeds %d bytes", maxNameBytes))
	check(change.Reason != "", "reason is empty")
	check(len(change.Reason) <= maxReasonBytes, fmt.Sprintf("reason exceeds %d bytes", maxReasonBytes))
	check(change.Name != "", "name is empty")
	check(len(change.Name) <= maxNameBytes, fmt.Sprintf("name exceeds %d bytes", maxNameBytes))
	check(!strings.ContainsFunc(change.Name, invalidInName), "name has a space, a slash or a character that can't be seen")
	check(len(change.Body) <= maxBodyBytes, fmt.Sprintf("body exceeds %d bytes", maxBodyBytes))
	_, hasDocument := decoders[change.Kind]
	check(hasDocument || change.Kind == KindLimit, fmt.Sprintf("kind %q is unknown", change.Kind))
	return faults
}

// invalidInName reports whether a character is not allowed in a name. Names must
// be readable in logs and usable in paths.
func invalidInName(character rune) bool {
	return character == '/' || unicode.IsSpace(character) || !unicode.IsGraphic(character)
}

func validateLimit(change Change) error {
	var limit Limit
	if err := json.Unmarshal(change.Body, &limit); err != nil {
		return invalidChange("body is not a limit: " + err.Error())
	}
	if limit.AddTokens == 0 {
		return invalidChange("add_tokens is zero")
	}
	return nil
}

// validateDeletion refuses the deletion of profiles, because their ledgers must
// be kept.
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
