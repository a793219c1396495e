package command

import (
	"fmt"
	"runtime/debug"
)

// VersionCommand prints the version of the program.
type VersionCommand struct{}

// Run runs the command.
func (VersionCommand) Run(environment Environment) error {
	version, goVersion := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version, goVersion = info.Main.Version, info.GoVersion
	}
	_, err := fmt.Fprintf(environment.Out, "%s %s %s\n", programName, version, goVersion)
	return err
}
