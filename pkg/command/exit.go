package command

import (
	"errors"
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// Exit codes.
const (
	// exitSuccess means that the command succeeded.
	exitSuccess = 0
	// exitFailure means that the failed step had no effect, or that the load
	// command found violations. The reason is printed.
	exitFailure = 1
	// exitUsage means that the arguments or the settings are invalid.
	exitUsage = 2
	// exitUnknown means that the command may have taken effect.
	exitUnknown = 3
)

// exitRequest is the exit code that kong asks for, as after --help. The exit hook
// panics with it to leave the parser, and Run recovers it.
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

// printError prints the error and its remedy, and returns the exit code.
func printError(environment Environment, err error) int {
	fmt.Fprintf(environment.ErrOut, "%s: %s\n", programName, fault.MessageOf(err))
	if remedy := fault.RemedyOf(err); remedy != "" {
		fmt.Fprintf(environment.ErrOut, "remedy: %s\n", remedy)
	}
	exitCode := exitCodeOf(err)
	if exitCode == exitUsage && fault.RemedyOf(err) == "" {
		fmt.Fprintf(environment.ErrOut, "remedy: run `%s --help` or `%s COMMAND --help`\n", programName, programName)
	}
	return exitCode
}

func exitCodeOf(err error) int {
	var usageErr usageError
	switch {
	case errors.As(err, &usageErr):
		return exitUsage
	case fault.OutcomeOf(err) == fault.OutcomeUnknown:
		return exitUnknown
	default:
		return exitFailure
	}
}
