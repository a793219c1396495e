package logbook

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/go-logfmt/logfmt"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// maxLineBytes is the maximum length of a line in a collected log.
const maxLineBytes = 1 << 20

// Entry is one log line of a request.
type Entry struct {
	// Prefix is the text that the log collector put before the line, such as a
	// time or the name of a VM.
	Prefix string            `json:"before,omitempty"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
	// fieldNames are the keys of Fields in the order of the line.
	fieldNames []string
}

// Explain returns the log lines with the request id, sorted by their prefixes as
// text; lines with the same prefix keep their order. Its error is fault.NotFound
// when there is no such line. Other errors are those of reading, for example
// bufio.ErrTooLong for a line of 1 MiB or more.
func Explain(requestID string, logs ...io.Reader) ([]Entry, error) {
	var entries []Entry
	for _, reader := range logs {
		scanner := bufio.NewScanner(reader)
		scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
		for scanner.Scan() {
			if !strings.Contains(scanner.Text(), requestID) {
				continue
			}
			if entry := parseLine(scanner.Text()); entry.Fields["request_id"] == requestID {
				entries = append(entries, entry)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	if len(entries) == 0 {
		return nil, fault.New(fault.Config{
			Kind:    fault.NotFound,
			Message: fmt.Sprintf("no log line has the request id %q", requestID),
			Remedy:  "give the logs of all routers for the time of the request; under load some lines are left out",
		})
	}
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].Prefix < entries[j].Prefix })
	return entries, nil
}

// parseLine parses a logfmt line. The words before the first key=value pair are its
// prefix.
func parseLine(line string) Entry {
	words := strings.Fields(line)
	prefixWords := 0
	for prefixWords < len(words) && !strings.Contains(words[prefixWords], "=") {
		prefixWords++
	}
	entry := Entry{Prefix: strings.Join(words[:prefixWords], " "), Fields: make(map[string]string)}
	record := strings.Join(words[prefixWords:], " ")
	decoder := logfmt.NewDecoder(strings.NewReader(record))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			name, value := string(decoder.Key()), string(decoder.Value())
			if name == "event" {
				entry.Event = value
				continue
			}
			entry.Fields[name] = value
			entry.fieldNames = append(entry.fieldNames, name)
		}
	}
	return entry
}

// Text returns the entry for people: a line with the prefix and the event, then
// one line for each non-empty field besides request_id and node.
func (entry Entry) Text() string {
	var text strings.Builder
	if entry.Prefix != "" {
		text.WriteString(entry.Prefix + "  ")
	}
	text.WriteString(entry.Event)
	for _, name := range entry.fieldNames {
		if value := entry.Fields[name]; value != "" && name != "request_id" && name != "node" {
			fmt.Fprintf(&text, "\n    %-14s %s", name, value)
		}
	}
	return text.String()
}
