package command_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/command"
)

func ExampleRun() {
	code := command.Run(command.Environment{
		Context: context.Background(),
		Out:     os.Stdout,
		ErrOut:  os.Stderr,
		Getenv:  os.Getenv,
	}, []string{"config", "check", "../../docs/examples/router.yaml"})
	fmt.Println("exit", code)
	// Output:
	// ../../docs/examples/router.yaml is valid: zone sapporo-a, callers 127.0.0.1:8080, peers 127.0.0.1:8081, operators 127.0.0.1:8082
	// exit 0
}

// TestStandinsEndWithTheContext starts each stand-in with a cancelled context: it
// must print its address and close without an error.
func TestStandinsEndWithTheContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, name := range []string{"platform", "engine", "service"} {
		var out, errOut bytes.Buffer
		environment := command.Environment{Context: ctx, Out: &out, ErrOut: &errOut, Getenv: os.Getenv}
		code := command.Run(environment, []string{"standin", name, "--address", "127.0.0.1:0"})
		require.Zero(t, code, errOut.String())
		require.True(t, strings.HasPrefix(out.String(), name+" stand-in on 127.0.0.1:"), out.String())
	}
}

// TestHelp checks that --help of each command prints its usage and exits with
// code 0.
func TestHelp(t *testing.T) {
	commands := []string{
		"router", "standin platform", "standin engine", "standin service", "demo", "config check", "config status",
		"profile publish", "profile change", "profile retire", "profile top-up", "profile lower", "profile list",
		"profile show", "service publish", "service remove", "service list", "caller publish", "caller remove",
		"caller list", "upstream add", "upstream drain", "upstream remove", "upstream list", "upstream states",
		"budget show", "bill list", "bill show", "audit list", "load", "version",
	}
	for _, name := range commands {
		var out, errOut bytes.Buffer
		environment := command.Environment{Context: context.Background(), Out: &out, ErrOut: &errOut, Getenv: os.Getenv}
		code := command.Run(environment, append(strings.Fields(name), "--help"))
		require.Zero(t, code, errOut.String())
		require.Contains(t, out.String(), "Usage: wisterialb "+name)
	}
}
