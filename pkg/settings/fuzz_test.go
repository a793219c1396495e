package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/settings"
)

// FuzzParse parses arbitrary content. Parse must not panic, each fault must have a
// message and a remedy, and valid content must give the same settings when it is
// parsed again.
func FuzzParse(f *testing.F) {
	content, err := os.ReadFile(filepath.Join(examplesDirectory, "router.yaml"))
	require.NoError(f, err)
	f.Add(content)
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("zone: x\nzone: y\n? [1]\n: 2\n<<: {zone: z}\n"))
	f.Add([]byte("operators: {a: b}\nplatform: []\n--- \nzone: 3"))
	f.Fuzz(func(t *testing.T, content []byte) {
		parsed, faults := settings.Parse(content, t.TempDir())
		for _, settingsFault := range faults {
			require.NotEmpty(t, settingsFault.Message)
			require.NotEmpty(t, settingsFault.Remedy)
		}
		if len(faults) == 0 {
			reparsed, _ := settings.Parse(content, t.TempDir())
			require.Equal(t, parsed, reparsed)
		}
	})
}
