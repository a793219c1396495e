package settings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/settings"
)

const examplesDirectory = "../../docs/examples"

// The example deployments must load without faults and have the size of the real
// ones: three zones and 8 or 9 routers, each with addresses of its own.
func TestExampleDeploymentsAreValid(t *testing.T) {
	for _, deployment := range []string{"lindqvist", "kitahama"} {
		files, err := filepath.Glob(filepath.Join(examplesDirectory, deployment, "*.yaml"))
		require.NoError(t, err)
		zones := make(map[string]bool)
		addresses := make(map[string]bool)
		for _, file := range files {
			routerSettings, err := settings.Load(file)
			require.NoError(t, err)
			zones[routerSettings.Zone] = true
			addresses[routerSettings.CallerAddress] = true
			addresses[routerSettings.PeerAddress] = true
			addresses[routerSettings.OperatorAddress] = true
		}
		require.Contains(t, []int{8, 9}, len(files), deployment)
		require.Len(t, zones, 3, deployment)
		require.Len(t, addresses, 3*len(files), deployment)
	}
}

// The commented-out keys of the example must show the actual defaults. The test
// uncomments them and expects the same settings.
func TestExampleShowsDefaults(t *testing.T) {
	content, err := os.ReadFile(filepath.Join(examplesDirectory, "router.yaml"))
	require.NoError(t, err)
	withDefaults, faults := settings.Parse(content, examplesDirectory)
	require.Empty(t, faults, "the example is accepted")
	lines := strings.Split(string(content), "\n")
	for i, line := range lines {
		body := strings.TrimLeft(line, " ")
		key, value, isKey := strings.Cut(strings.TrimPrefix(body, "# "), ": ")
		if strings.HasPrefix(body, "# ") && isKey && !strings.Contains(key, " ") && !strings.Contains(value, " ") {
			lines[i] = strings.Replace(line, "# ", "", 1)
		}
	}
	withExplicitValues, faults := settings.Parse([]byte(strings.Join(lines, "\n")), examplesDirectory)
	require.Empty(t, faults)
	require.Equal(t, withDefaults, withExplicitValues)
}

// TestFaultScripts runs testdata/faults. Each case is a settings file in YAML with
// the faults that Parse must report.
func TestFaultScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, data *datadriven.TestData) string {
		t.Helper()
		_, faults := settings.Parse([]byte(data.Input), "testdata")
		var output strings.Builder
		for _, settingsFault := range faults {
			fmt.Fprintln(&output, settingsFault)
		}
		if len(faults) == 0 {
			return "valid\n"
		}
		return output.String()
	})
}

// A secret must not reach logs or error messages when the settings that hold it
// are formatted.
func TestSecretIsNotPrinted(t *testing.T) {
	routerSettings, err := settings.Load(filepath.Join(examplesDirectory, "router.yaml"))
	require.NoError(t, err)
	secret := routerSettings.PeerKey.Reveal()
	require.NotEmpty(t, secret)
	for _, format := range []string{"%v", "%+v", "%#v", "%s"} {
		require.NotContains(t, fmt.Sprintf(format, routerSettings), secret)
	}
}
