package settings

import (
	"fmt"
	"sort"
)

// Fault is one error in a settings file.
type Fault struct {
	// Path is the full path of the key; empty means the whole file.
	Path string
	// Line is the line of the key, or of its closest parent if the file doesn't
	// have the key; zero means unknown.
	Line int
	// Message describes the error.
	Message string
	// Remedy tells the operator what to write instead.
	Remedy string
}

// String returns the fault as one line of text.
func (fault Fault) String() string {
	location := fault.Path
	if location == "" {
		location = "file"
	}
	if fault.Line > 0 {
		location = fmt.Sprintf("line %d: %s", fault.Line, location)
	}
	return fmt.Sprintf("%s: %s; %s", location, fault.Message, fault.Remedy)
}

// report collects faults. Only the first fault of each path is kept, because the
// later ones usually follow from it.
type report struct {
	faults []Fault
	paths  map[string]bool
}

func newReport() *report {
	return &report{paths: make(map[string]bool)}
}

func (report *report) add(fault Fault) {
	if report.paths[fault.Path] && fault.Path != "" {
		return
	}
	report.paths[fault.Path] = true
	report.faults = append(report.faults, fault)
}

// suppress drops later faults of the path.
func (report *report) suppress(path string) {
	report.paths[path] = true
}

// sortedFaults returns the faults sorted by line.
func (report *report) sortedFaults() []Fault {
	sort.SliceStable(report.faults, func(i, j int) bool {
		return report.faults[i].Line < report.faults[j].Line
	})
	return report.faults
}
