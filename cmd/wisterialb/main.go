// Command wisterialb runs and operates a router fleet for prepaid token budgets.
package main

import (
	"os"

	"gitlab.com/wisterialb/wisterialb/pkg/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
