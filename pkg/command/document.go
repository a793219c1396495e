package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// documentKind describes a kind of configuration document: its name and the
// columns of its table, besides name and revision.
type documentKind[Body any] struct {
	kind    configuration.Kind
	name    func(body Body) string
	columns []string
	row     func(body Body) []string
}

// Kinds of configuration documents.
var (
	profileKind = documentKind[configuration.Profile]{
		kind:    configuration.KindProfile,
		name:    func(profile configuration.Profile) string { return profile.Name },
		columns: []string{"PRIORITY", "CALLERS", "SERVICES", "RETIRED"},
		row: func(profile configuration.Profile) []string {
			return []string{
				strconv.Itoa(profile.Priority),
				strings.Join(profile.Callers, ","),
				strings.Join(profile.Services, ","),
				strconv.FormatBool(profile.Retired),
			}
		},
	}
	serviceKind = documentKind[configuration.Service]{
		kind:    configuration.KindService,
		name:    func(service configuration.Service) string { return service.Name },
		columns: []string{"PROTOCOL", "MODEL", "CALL_TOKENS"},
		row: func(service configuration.Service) []string {
			return []string{string(service.Protocol), service.Model, strconv.FormatInt(service.CallTokens, 10)}
		},
	}
	callerKind = documentKind[configuration.Caller]{
		kind:    configuration.KindCaller,
		name:    func(caller configuration.Caller) string { return caller.Name },
		columns: []string{"TEAM", "WEIGHT"},
		row: func(caller configuration.Caller) []string {
			return []string{caller.Team, strconv.FormatFloat(caller.Weight, 'g', -1, 64)}
		},
	}
	upstreamKind = documentKind[configuration.Upstream]{
		kind:    configuration.KindUpstream,
		name:    func(upstream configuration.Upstream) string { return upstream.Name },
		columns: []string{"SERVICE", "ADDRESS", "ZONE", "DRAINING"},
		row: func(upstream configuration.Upstream) []string {
			return []string{upstream.Service, upstream.Address, upstream.Zone, strconv.FormatBool(upstream.Draining)}
		},
	}
)

// newDocument validates the body and returns it as a new document. A body that is
// not valid is a usage error.
func (documentKind documentKind[Body]) newDocument(body Body) (configuration.StoredDocument, error) {
	if err := documentKind.validate(body); err != nil {
		return configuration.StoredDocument{}, usageError{cause: err}
	}
	content, err := json.Marshal(body)
	if err != nil {
		return configuration.StoredDocument{}, err
	}
	return configuration.StoredDocument{Kind: documentKind.kind, Name: documentKind.name(body), Body: content}, nil
}

// newDocuments is newDocument for several bodies.
func (documentKind documentKind[Body]) newDocuments(bodies []Body) ([]configuration.StoredDocument, error) {
	documents := make([]configuration.StoredDocument, 0, len(bodies))
	for _, body := range bodies {
		document, err := documentKind.newDocument(body)
		if err != nil {
			return nil, err
		}
		documents = append(documents, document)
	}
	return documents, nil
}

// validate checks the body against its validate tags. The error lists all invalid
// fields.
func (documentKind documentKind[Body]) validate(body Body) error {
	fieldFaults := configuration.FieldFaults(body)
	if len(fieldFaults) == 0 {
		return nil
	}
	lines := make([]string, 0, len(fieldFaults))
	for _, fieldFault := range fieldFaults {
		lines = append(lines, fmt.Sprintf("  %s: does not meet %s", fieldFault.Path, fieldFault.Rule))
	}
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: fmt.Sprintf("the %s %q is not valid:\n%s", documentKind.kind, documentKind.name(body), strings.Join(lines, "\n")),
		Remedy:  "correct the fields named above; nothing was sent",
	})
}

// readFile reads a YAML file with one or more documents of the kind. Its errors
// are usage errors; unknown fields are one.
func (documentKind documentKind[Body]) readFile(path string) ([]Body, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, usageError{cause: documentKind.fileError(path, err)}
	}
	defer file.Close()
	decoder := yaml.NewDecoder(file)
	decoder.KnownFields(true)
	var bodies []Body
	for {
		var body Body
		err := decoder.Decode(&body)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, usageError{cause: documentKind.fileError(path, err)}
		}
		bodies = append(bodies, body)
	}
	if len(bodies) == 0 {
		return nil, usageError{cause: documentKind.fileError(path, errors.New("no document in the file"))}
	}
	return bodies, nil
}

func (documentKind documentKind[Body]) fileError(path string, err error) error {
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: fmt.Sprintf("%s: %v", path, err),
		Remedy:  fmt.Sprintf("name a YAML file with documents of the kind %s; nothing was sent", documentKind.kind),
		Cause:   err,
	})
}

// fromFileOrFlags returns the bodies in the file, or flagBody if no file is given.
// A file together with a name in flagBody is a usage error.
func (documentKind documentKind[Body]) fromFileOrFlags(file string, flagBody Body) ([]Body, error) {
	if file == "" {
		return []Body{flagBody}, nil
	}
	if documentKind.name(flagBody) != "" {
		return nil, usageError{cause: fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "both a name and a file are given",
			Remedy:  "give one of the two",
		})}
	}
	return documentKind.readFile(file)
}
