package settings

import (
	"fmt"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

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
