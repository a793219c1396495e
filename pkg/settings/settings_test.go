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

const examples = "../../docs/examples"

// TestDeployments accepts every router of the example deployments and checks
// that each has the size of its users' today: three places, 8 to 9 routers, no
// address twice.
func TestDeployments(t *testing.T) {
	for _, deployment := range []string{"lindqvist", "kitahama"} {
		files, err := filepath.Glob(filepath.Join(examples, deployment, "*.yaml"))
		require.NoError(t, err)
		zones := make(map[string]bool)
		addresses := make(map[string]bool)
		for _, file := range files {
			loaded, err := settings.Load(file)
			require.NoError(t, err)
			zones[loaded.Zone] = true
			addresses[loaded.CallerAddress] = true
			addresses[loaded.PeerAddress] = true
			addresses[loaded.OperatorAddress] = true
		}
		require.Contains(t, []int{8, 9}, len(files), deployment)
		require.Len(t, zones, 3, deployment)
		require.Len(t, addresses, 3*len(files), deployment)
	}
}

// TestExampleShowsDefaults sets every key that the example comments out and
// expects the same settings.
func TestExampleShowsDefaults(t *testing.T) {
	content, err := os.ReadFile(filepath.Join(examples, "router.yaml"))
	require.NoError(t, err)
	plain, faults := settings.Parse(content, examples)
	require.Empty(t, faults, "the example is accepted")
	lines := strings.Split(string(content), "\n")
	for i, line := range lines {
		body := strings.TrimLeft(line, " ")
		key, value, isKey := strings.Cut(strings.TrimPrefix(body, "# "), ": ")
		if strings.HasPrefix(body, "# ") && isKey && !strings.Contains(key, " ") && !strings.Contains(value, " ") {
			lines[i] = strings.Replace(line, "# ", "", 1)
		}
	}
	full, faults := settings.Parse([]byte(strings.Join(lines, "\n")), examples)
	require.Empty(t, faults)
	require.Equal(t, plain, full)
}

// TestFaults reads cases from testdata/faults: settings in YAML and every fault
// that is found in them.
func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, data *datadriven.TestData) string {
		t.Helper()
		_, faults := settings.Parse([]byte(data.Input), "testdata")
		var out strings.Builder
		for _, found := range faults {
			fmt.Fprintln(&out, found)
		}
		if len(faults) == 0 {
			return "valid\n"
		}
		return out.String()
	})
}

func TestSecretIsNotPrinted(t *testing.T) {
	loaded, err := settings.Load(filepath.Join(examples, "router.yaml"))
	require.NoError(t, err)
	secret := loaded.PeerKey.Reveal()
	require.NotEmpty(t, secret)
	for _, format := range []string{"%v", "%+v", "%#v", "%s"} {
		require.NotContains(t, fmt.Sprintf(format, loaded), secret)
	}
}
