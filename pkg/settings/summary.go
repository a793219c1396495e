package settings

import (
	"fmt"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// newFaultsError returns one error that lists all faults, or nil if there are none.
func newFaultsError(path string, faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, 0, len(faults))
	for _, entry := range faults {
		lines = append(lines, "  "+entry.String())
	}
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: fmt.Sprintf("%s has %s:\n%s", path, countFaults(len(faults)), strings.Join(lines, "\n")),
		Remedy:  "mend each line named above and run `wisterialb config check` again",
	})
}

func countFaults(n int) string {
	if n == 1 {
		return "1 fault"
	}
	return fmt.Sprintf("%d faults", n)
}
