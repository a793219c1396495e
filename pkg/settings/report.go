package settings

import (
	"fmt"
	"sort"
)

// Fault is one thing that is wrong with a settings file.
type Fault struct {
	// Path names the key, from the top of the file.
	Path string
	// Line is where the key stands, or where its parent begins when the key is
	// absent; zero means not known.
	Line int
	// Message says what is wrong.
	Message string
	// Remedy says what to write instead.
	Remedy string
}

// String returns the fault in one line.
func (fault Fault) String() string {
	place := fault.Path
	if place == "" {
		place = "file"
	}
	if fault.Line > 0 {
		place = fmt.Sprintf("line %d: %s", fault.Line, place)
	}
	return fmt.Sprintf("%s: %s; %s", place, fault.Message, fault.Remedy)
}

// report collects faults. The first fault of a path hides the later ones, which
// follow from it.
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

// hide keeps later faults of the path out of the report.
func (report *report) hide(path string) {
	report.paths[path] = true
}

// sorted returns the faults in the order of their lines.
func (report *report) sorted() []Fault {
	sort.SliceStable(report.faults, func(i, j int) bool {
		return report.faults[i].Line < report.faults[j].Line
	})
	return report.faults
}
