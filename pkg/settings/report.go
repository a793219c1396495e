package settings

import (
	"fmt"
	"sort"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
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
func (found Fault) String() string {
	place := found.Path
	if place == "" {
		place = "file"
	}
	if found.Line > 0 {
		place = fmt.Sprintf("line %d: %s", found.Line, place)
	}
	return fmt.Sprintf("%s: %s; %s", place, found.Message, found.Remedy)
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

func (report *report) add(found Fault) {
	if report.paths[found.Path] && found.Path != "" {
		return
	}
	report.paths[found.Path] = true
	report.faults = append(report.faults, found)
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

// errorOf joins faults into one error; nil when there are none.
func errorOf(path string, faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, 0, len(faults))
	for _, found := range faults {
		lines = append(lines, "  "+found.String())
	}
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: fmt.Sprintf("%s has %s:\n%s", path, count(len(faults)), strings.Join(lines, "\n")),
		Remedy:  "mend each line named above and run `wisterialb config check` again",
	})
}

func count(faults int) string {
	if faults == 1 {
		return "1 fault"
	}
	return fmt.Sprintf("%d faults", faults)
}
