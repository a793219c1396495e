package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"gitlab.com/wisterialb/wisterialb/pkg/settings"
)

// FuzzParse parses arbitrary content: it never panics, each fault has a message
// and a remedy, and content without faults parses to the same settings again.
func FuzzParse(f *testing.F) {
	content, err := os.ReadFile(filepath.Join(examples, "router.yaml"))
	require.NoError(f, err)
	f.Add(content)
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("zone: x\nzone: y\n? [1]\n: 2\n<<: {zone: z}\n"))
	f.Add([]byte("operators: {a: b}\nplatform: []\n--- \nzone: 3"))
	f.Fuzz(func(t *testing.T, content []byte) {
		loaded, faults := settings.Parse(content, t.TempDir())
		for _, found := range faults {
			require.NotEmpty(t, found.Message)
			require.NotEmpty(t, found.Remedy)
		}
		if len(faults) == 0 {
			again, _ := settings.Parse(content, t.TempDir())
			require.Equal(t, loaded, again)
		}
	})
}
