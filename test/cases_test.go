// Package test runs the regression cases: each directory under cases holds a
// script, cmd, the files that it needs, and what it is expected to print,
// expout. Run with -update to write expout anew.
//
// The flow: TestCases hands each cmd to testscript with the commands of
// fixture_test.go; each command adds what it printed to a transcript; when the
// script has ended, the transcript is compared with expout. Everything runs in
// this process.
package test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the expected output of the cases anew")

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

// sequential runs scripts one after the other.
type sequential struct {
	*testing.T
}

func (sequential) Parallel() {}

func (sequential) Verbose() bool { return testing.Verbose() }

func (sequential sequential) Run(name string, function func(t testscript.T)) {
	sequential.T.Run(name, func(t *testing.T) { function(sequentialOf(t)) })
}

func sequentialOf(t *testing.T) testscript.T {
	t.Helper()
	return sequential{t}
}
