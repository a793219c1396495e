package command

import (
	"errors"
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// The exit codes.
const (
	// exitDone means that the command did what it was asked.
	exitDone = 0
	// exitRefused means that nothing was done, for the reason printed.
	exitRefused = 1
	// exitUsage means that the arguments or the settings are wrong.
	exitUsage = 2
	// exitUnknown means that the command may or may not have taken effect.
	exitUnknown = 3
)

// exitRequest ends the parser early, as after --help.
type exitRequest int

// usageError marks an error in the arguments or the settings.
type usageError struct {
	cause error
}

// Error returns the message of the cause.
func (usageError usageError) Error() string {
	return usageError.cause.Error()
}

// Unwrap returns the cause.
func (usageError usageError) Unwrap() error {
	return usageError.cause
}

// printError prints the error with its remedy and returns the exit code.
func printError(environment Environment, err error) int {
	fmt.Fprintf(environment.ErrOut, "%s: %s\n", programName, fault.MessageOf(err))
	if remedy := fault.RemedyOf(err); remedy != "" {
		fmt.Fprintf(environment.ErrOut, "remedy: %s\n", remedy)
	}
	code := exitCodeOf(err)
	if code == exitUsage && fault.RemedyOf(err) == "" {
		fmt.Fprintf(environment.ErrOut, "remedy: run `%s --help` or `%s COMMAND --help`\n", programName, programName)
	}
	return code
}

func exitCodeOf(err error) int {
	var usage usageError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case fault.OutcomeOf(err) == fault.OutcomeUnknown:
		return exitUnknown
	default:
		return exitRefused
	}
}
