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

// documentKind says how documents of a kind are named and shown.
type documentKind[Body any] struct {
	kind    configuration.Kind
	name    func(body Body) string
	columns []string
	row     func(body Body) []string
}

// The kinds of documents as the command line shows them.
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

// document checks a body and returns it as a new document.
func (documentKind documentKind[Body]) document(body Body) (configuration.StoredDocument, error) {
	if err := documentKind.check(body); err != nil {
		return configuration.StoredDocument{}, usageError{cause: err}
	}
	content, err := json.Marshal(body)
	if err != nil {
		return configuration.StoredDocument{}, err
	}
	return configuration.StoredDocument{Kind: documentKind.kind, Name: documentKind.name(body), Body: content}, nil
}

// documents checks bodies and returns them as new documents.
func (documentKind documentKind[Body]) documents(bodies []Body) ([]configuration.StoredDocument, error) {
	documents := make([]configuration.StoredDocument, 0, len(bodies))
	for _, body := range bodies {
		document, err := documentKind.document(body)
		if err != nil {
			return nil, err
		}
		documents = append(documents, document)
	}
	return documents, nil
}

// check names every field of the body that breaks its validate tag.
func (documentKind documentKind[Body]) check(body Body) error {
	fields := configuration.FieldFaults(body)
	if len(fields) == 0 {
		return nil
	}
	lines := make([]string, 0, len(fields))
	for _, field := range fields {
		lines = append(lines, fmt.Sprintf("  %s: does not meet %s", field.Path, field.Rule))
	}
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: fmt.Sprintf("the %s %q is not valid:\n%s", documentKind.kind, documentKind.name(body), strings.Join(lines, "\n")),
		Remedy:  "correct the fields named above; nothing was sent",
	})
}

// read reads documents of the kind out of a YAML file, which may hold several.
func (documentKind documentKind[Body]) read(path string) ([]Body, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, usageError{cause: documentKind.fileFault(path, err)}
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
			return nil, usageError{cause: documentKind.fileFault(path, err)}
		}
		bodies = append(bodies, body)
	}
	if len(bodies) == 0 {
		return nil, usageError{cause: documentKind.fileFault(path, errors.New("no document in the file"))}
	}
	return bodies, nil
}

func (documentKind documentKind[Body]) fileFault(path string, err error) error {
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: fmt.Sprintf("%s: %v", path, err),
		Remedy:  fmt.Sprintf("name a YAML file with documents of the kind %s; nothing was sent", documentKind.kind),
		Cause:   err,
	})
}

// choose returns the documents of the file, or the one that flags describe.
func (documentKind documentKind[Body]) choose(file string, described Body) ([]Body, error) {
	if file == "" {
		return []Body{described}, nil
	}
	if documentKind.name(described) != "" {
		return nil, usageError{cause: fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "both a name and a file are given",
			Remedy:  "give one of the two",
		})}
	}
	return documentKind.read(file)
}
