package command

// DemoCommand runs a small fleet with stand-ins in one process.
type DemoCommand struct {
	Keep bool `help:"Keep the fleet running until the process is told to stop."`
}

// Run runs the command.
func (DemoCommand) Run(Environment) error {
	return notBuiltIn("demo")
}
