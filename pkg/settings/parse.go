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

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// document is a settings file with the lines of its keys.
type document struct {
	// directory is where relative paths of the file start.
	directory string
	// lines holds the keys of the file, decoded those of the content that is
	// decoded. They differ when the file sets a key twice.
	lines   lineIndex
	decoded lineIndex
}

// Load reads and checks the settings file. The one error lists every fault with
// its path, its line and its remedy.
func Load(path string) (Settings, error) {
	settings, faults, err := Check(path)
	if err != nil {
		return Settings{}, err
	}
	if err := errorOf(path, faults); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// Check reads the settings file and returns every fault in it. The error is for
// a file that can't be read.
func Check(path string) (Settings, []Fault, error) {
	content, err := readBounded(path)
	if err != nil {
		return Settings{}, nil, err
	}
	settings, faults := Parse(content, filepath.Dir(path))
	return settings, faults, nil
}

// Parse reads settings out of YAML and returns every fault in it. Relative paths
// of files in it start at the directory.
func Parse(content []byte, directory string) (Settings, []Fault) {
	report := newReport()
	var root yaml.Node
	if err := yaml.Unmarshal(content, &root); err != nil {
		report.add(syntaxFault(err))
		return Settings{}, report.sorted()
	}
	document := document{directory: directory, lines: newLineIndex(&root)}
	content = document.withoutDuplicates(content, &root, report)
	document.decoded = newLineIndex(&root)
	settings := document.decode(content, report)
	settings = document.readSecrets(settings, report)
	document.validate(settings, report)
	document.relate(settings, report)
	return settings, report.sorted()
}

// withoutDuplicates reports keys that are set twice and returns content that
// keeps the first of each. The library decodes no mapping with such a key.
func (document document) withoutDuplicates(content []byte, root *yaml.Node, report *report) []byte {
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

func readBounded(path string) ([]byte, error) {
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

// decode applies the file over the defaults.
func (document document) decode(content []byte, report *report) Settings {
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
			report.add(document.decodeFault(message))
		}
		return settings
	}
	if err != nil {
		report.add(syntaxFault(err))
	}
	return settings
}

var (
	linePattern    = regexp.MustCompile(`(?s)^(?:yaml: )?line (\d+): (.*)$`)
	unknownPattern = regexp.MustCompile(`^field (.*) not found in type `)
	valuePattern   = regexp.MustCompile("(?s)^cannot unmarshal (\\S+)(?: `(.*)`)? into (.*)$")
)

// typeRemedies say what to write for a value of a Go type.
var typeRemedies = map[string]string{
	"time.Duration": "write a duration such as 500ms, 10s or 24h",
	"int":           "write a whole number",
	"int64":         "write a whole number",
	"string":        "write a text",
}

// decodeFault turns a message of the YAML library into a fault.
func (document document) decodeFault(message string) Fault {
	line := 0
	if match := linePattern.FindStringSubmatch(message); match != nil {
		line, _ = strconv.Atoi(match[1])
		message = match[2]
	}
	if match := unknownPattern.FindStringSubmatch(message); match != nil {
		path := document.decoded.pathOfKey(line, match[1])
		return document.faultAt(path, "unknown key", "remove it or correct its spelling; docs/examples/router.yaml lists all keys")
	}
	if match := valuePattern.FindStringSubmatch(message); match != nil {
		return document.valueFault(line, match[1], match[2], match[3])
	}
	return document.faultAt(document.decoded.pathOfValue(line, "", ""), message, "correct the value")
}

func (document document) valueFault(line int, tag, value, goType string) Fault {
	remedy, ok := typeRemedies[goType]
	if !ok {
		remedy = "write it as in docs/examples/router.yaml"
	}
	message := "has the wrong form"
	if value != "" {
		message = fmt.Sprintf("%q has the wrong form", value)
	}
	path := document.decoded.pathOfValue(line, tag, strings.TrimSuffix(value, "..."))
	return document.faultAt(path, message, remedy)
}

func syntaxFault(err error) Fault {
	line := 0
	message := err.Error()
	if match := linePattern.FindStringSubmatch(message); match != nil {
		line, _ = strconv.Atoi(match[1])
		message = match[2]
	}
	return Fault{Line: line, Message: "no valid YAML: " + message, Remedy: "correct the syntax"}
}

// faultAt makes a fault of a key, with the line that the key stands in.
func (document document) faultAt(path, message, remedy string) Fault {
	return Fault{Path: path, Line: document.lines.lineOf(path), Message: message, Remedy: remedy}
}
