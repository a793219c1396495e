// Package command is the command line of wisterialb.
package command

import (
	"fmt"
	"io"
)

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	fmt.Fprintln(errOut, "no command yet")
	return 2
}
