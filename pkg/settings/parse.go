package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// settingsFile holds what is needed to resolve paths in a settings file and to
// report faults with their lines.
type settingsFile struct {
	// directory is the base of relative paths in the file.
	directory string
	// keys indexes the file as it was read, and decodedKeys the content that is
	// decoded. They differ if the file sets a key twice, because duplicates are
	// removed before decoding and the lines change.
	keys        keyIndex
	decodedKeys keyIndex
}

// Load reads and validates the settings file. If it has faults, the error lists
// each of them with its line, path, message and remedy.
func Load(path string) (Settings, error) {
	settings, faults, err := Check(path)
	if err != nil {
		return Settings{}, err
	}
	if err := newFaultsError(path, faults); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// Check reads the settings file and returns every fault in it. It returns an error
// only if the file can't be read or is larger than 1 MiB.
func Check(path string) (Settings, []Fault, error) {
	content, err := readSettingsFile(path)
	if err != nil {
		return Settings{}, nil, err
	}
	settings, faults := Parse(content, filepath.Dir(path))
	return settings, faults, nil
}

// Parse parses settings in YAML and returns every fault in them. Relative file
// paths are resolved against the directory.
func Parse(content []byte, directory string) (Settings, []Fault) {
	report := newReport()
	var root yaml.Node
	if err := yaml.Unmarshal(content, &root); err != nil {
		report.add(syntaxFault(err))
		return Settings{}, report.sortedFaults()
	}
	settingsFile := settingsFile{directory: directory, keys: newKeyIndex(&root)}
	content = settingsFile.withoutDuplicates(content, &root, report)
	settingsFile.decodedKeys = newKeyIndex(&root)
	settings := settingsFile.decode(content, report)
	settings = settingsFile.readSecrets(settings, report)
	settingsFile.validateValues(settings, report)
	settingsFile.validateRules(settings, report)
	return settings, report.sortedFaults()
}

// withoutDuplicates reports keys that are set more than once and returns the
// content with only the first of each. The YAML library doesn't decode a mapping
// that has a duplicate key, so its other faults would stay unreported.
func (settingsFile settingsFile) withoutDuplicates(content []byte, root *yaml.Node, report *report) []byte {
	duplicates := removeDuplicates("", root)
	if len(duplicates) == 0 {
		return content
	}
	for _, duplicate := range duplicates {
		report.add(duplicate)
	}
	unique, err := yaml.Marshal(root)
	if err != nil {
		return content
	}
	if err := yaml.Unmarshal(unique, root); err != nil {
		return content
	}
	return unique
}

func readSettingsFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.New(fault.Config{
			Kind:    fault.NotFound,
			Message: err.Error(),
			Remedy:  "name a settings file that exists and can be read",
			Cause:   err,
		})
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: err.Error(),
			Remedy:  "name a regular file",
			Cause:   err,
		})
	}
	if len(content) > maxFileBytes {
		return nil, fault.New(fault.Config{
			Kind:    fault.TooLarge,
			Message: fmt.Sprintf("%s is larger than %d bytes", path, maxFileBytes),
			Remedy:  "name a settings file",
		})
	}
	return content, nil
}

// decode decodes the content over the defaults.
func (settingsFile settingsFile) decode(content []byte, report *report) Settings {
	settings := Defaults()
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	err := decoder.Decode(&settings)
	if errors.Is(err, io.EOF) {
		return settings
	}
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		for _, message := range typeError.Errors {
			report.add(settingsFile.decodeFault(message))
		}
		return settings
	}
	if err != nil {
		report.add(syntaxFault(err))
	}
	return settings
}

var (
	linePrefixPattern   = regexp.MustCompile(`(?s)^(?:yaml: )?line (\d+): (.*)$`)
	unknownKeyPattern   = regexp.MustCompile(`^field (.*) not found in type `)
	typeMismatchPattern = regexp.MustCompile("(?s)^cannot unmarshal (\\S+)(?: `(.*)`)? into (.*)$")
)

// typeMismatchRemedies are the remedies for values that don't decode to the Go
// type of the setting.
var typeMismatchRemedies = map[string]string{
	"time.Duration": "write a duration such as 500ms, 10s or 24h",
	"int":           "write a whole number",
	"int64":         "write a whole number",
	"string":        "write a text",
}

// decodeFault converts an error message of the YAML library to a fault.
func (settingsFile settingsFile) decodeFault(message string) Fault {
	line := 0
	if match := linePrefixPattern.FindStringSubmatch(message); match != nil {
		line, _ = strconv.Atoi(match[1])
		message = match[2]
	}
	if match := unknownKeyPattern.FindStringSubmatch(message); match != nil {
		path := settingsFile.decodedKeys.pathOfKey(line, match[1])
		return settingsFile.faultAt(path, "unknown key", "remove it or correct its spelling; docs/examples/router.yaml lists all keys")
	}
	if match := typeMismatchPattern.FindStringSubmatch(message); match != nil {
		return settingsFile.typeMismatchFault(line, match[1], match[2], match[3])
	}
	return settingsFile.faultAt(settingsFile.decodedKeys.pathOfValue(line, "", ""), message, "correct the value")
}

func (settingsFile settingsFile) typeMismatchFault(line int, tag, value, goType string) Fault {
	remedy, ok := typeMismatchRemedies[goType]
	if !ok {
		remedy = "write it as in docs/examples/router.yaml"
	}
	message := "has the wrong form"
	if value != "" {
		message = fmt.Sprintf("%q has the wrong form", value)
	}
	// The YAML library truncates long values and appends "...".
	path := settingsFile.decodedKeys.pathOfValue(line, tag, strings.TrimSuffix(value, "..."))
	return settingsFile.faultAt(path, message, remedy)
}

func syntaxFault(err error) Fault {
	line := 0
	message := err.Error()
	if match := linePrefixPattern.FindStringSubmatch(message); match != nil {
		line, _ = strconv.Atoi(match[1])
		message = match[2]
	}
	return Fault{Line: line, Message: "no valid YAML: " + message, Remedy: "correct the syntax"}
}

// faultAt returns a fault of the key at the path, with the line of the key.
func (settingsFile settingsFile) faultAt(path, message, remedy string) Fault {
	return Fault{Path: path, Line: settingsFile.keys.lineOf(path), Message: message, Remedy: remedy}
}
