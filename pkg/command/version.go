package command

import (
	"fmt"
	"runtime/debug"
)

// VersionCommand prints the versions of the program and of Go.
type VersionCommand struct{}

// Run prints the version, which is "unknown" without build information.
func (VersionCommand) Run(environment Environment) error {
	version, goVersion := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version, goVersion = info.Main.Version, info.GoVersion
	}
	_, err := fmt.Fprintf(environment.Out, "%s %s %s\n", programName, version, goVersion)
	return err
}
