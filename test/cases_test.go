// Package test runs the regression cases. Each directory under cases contains a
// script (cmd), its input files and its expected output (expout). Run the tests
// with -update to rewrite expout.
//
// TestCases runs each cmd with testscript and the commands of fixture_test.go.
// Each command appends its output to a transcript, which is compared with expout
// when the script has ended. The fleet runs within the test process.
package test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the expected output of the cases")

const (
	scriptName   = "cmd"
	expectedName = "expout"
)

func TestCases(t *testing.T) {
	root, err := filepath.Abs("cases")
	require.NoError(t, err)
	scripts, err := filepath.Glob(filepath.Join(root, "*", scriptName))
	require.NoError(t, err)
	require.NotEmpty(t, scripts)
	for _, script := range scripts {
		directory := filepath.Dir(script)
		t.Run(filepath.Base(directory), func(t *testing.T) { runCase(t, directory) })
	}
}

func runCase(t *testing.T, directory string) {
	t.Helper()
	fixture := &fixture{}
	examples, err := filepath.Abs(filepath.Join("..", "docs", "examples"))
	require.NoError(t, err)
	testscript.RunT(sequential{t}, testscript.Params{
		Files: []string{filepath.Join(directory, scriptName)},
		Cmds:  fixture.commands(),
		Setup: func(environment *testscript.Env) error {
			environment.Defer(fixture.close)
			environment.Setenv(examplesVariable, examples)
			t.Chdir(environment.WorkDir)
			return os.CopyFS(environment.WorkDir, os.DirFS(directory))
		},
	})
	expected := filepath.Join(directory, expectedName)
	if *update {
		require.NoError(t, os.WriteFile(expected, fixture.transcript.Bytes(), 0o600))
	}
	content, err := os.ReadFile(expected)
	require.NoError(t, err)
	require.Equal(t, string(content), fixture.transcript.String())
}

// sequential is a testscript.T that ignores Parallel, so scripts run one at a
// time: each changes the working directory of the process.
type sequential struct {
	*testing.T
}

func (sequential) Parallel() {}

func (sequential) Verbose() bool { return testing.Verbose() }

func (sequential sequential) Run(name string, function func(t testscript.T)) {
	sequential.T.Run(name, func(t *testing.T) { function(newSequential(t)) })
}

func newSequential(t *testing.T) testscript.T {
	t.Helper()
	return sequential{t}
}
