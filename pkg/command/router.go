package command

import (
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/settings"
)

// RouterCommand runs one router until it is told to stop.
type RouterCommand struct {
	Config string `help:"Settings file of the router." required:"" placeholder:"FILE"`
}

// Run runs the command.
func (router RouterCommand) Run(environment Environment) error {
	_, err := settings.Load(router.Config)
	if err != nil {
		return usageError{cause: err}
	}
	return notBuiltIn("router")
}

func notBuiltIn(name string) error {
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "the command " + name + " is not built in",
		Remedy:  "use a build that has it",
	})
}
