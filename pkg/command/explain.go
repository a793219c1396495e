package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"gitlab.com/wisterialb/wisterialb/pkg/logbook"
	"gitlab.com/wisterialb/wisterialb/platform"
)

// ExplainCommand prints the log entries of one request from collected logs.
type ExplainCommand struct {
	Request string   `arg:"" help:"ID of the request."`
	Logs    []string `arg:"" help:"Log files of the routers." type:"existingfile"`
	JSON    bool     `help:"Print JSON."`
}

// Run prints the log entries of the request. Its error is fault.NotFound when there
// are none.
func (explainCommand ExplainCommand) Run(environment Environment) error {
	logs := make([]io.Reader, 0, len(explainCommand.Logs))
	for _, path := range explainCommand.Logs {
		file, err := os.Open(path)
		if err != nil {
			return usageError{cause: err}
		}
		defer file.Close()
		logs = append(logs, file)
	}
	entries, err := logbook.Explain(explainCommand.Request, logs...)
	if err != nil {
		return err
	}
	if explainCommand.JSON {
		return json.NewEncoder(environment.Out).Encode(entries)
	}
	for _, entry := range entries {
		fmt.Fprintln(environment.Out, entry.Text())
	}
	return nil
}

// PlatformCommand groups the commands for the users' platform.
type PlatformCommand struct {
	Check PlatformCheckCommand `cmd:"" help:"Check the platform's settings and a published configuration."`
}

// PlatformCheckCommand validates files before a router reads them.
type PlatformCheckCommand struct {
	Settings      string `help:"Settings file of the platform." type:"existingfile" placeholder:"FILE"`
	Configuration string `help:"Published configuration as JSON." type:"existingfile" placeholder:"FILE"`
}

// Run validates the given files and prints a summary of each. An invalid file is a
// usage error.
func (platformCheckCommand PlatformCheckCommand) Run(environment Environment) error {
	if platformCheckCommand.Settings != "" {
		settings, err := platform.Load(platformCheckCommand.Settings)
		if err != nil {
			return usageError{cause: err}
		}
		fmt.Fprintf(environment.Out, "settings of %s: callers at %s, store at %s\n", settings.Node, settings.Callers, settings.Store)
	}
	if platformCheckCommand.Configuration == "" {
		return nil
	}
	content, err := os.ReadFile(platformCheckCommand.Configuration)
	if err != nil {
		return usageError{cause: err}
	}
	summary, err := platform.CheckConfiguration(content)
	if err != nil {
		return usageError{cause: err}
	}
	fmt.Fprintln(environment.Out, summary)
	return nil
}
