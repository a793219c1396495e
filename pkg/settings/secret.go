package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Secret is a string that formatting and encoding replace by a placeholder.
type Secret string

// maxSecretBytes is the maximum size of a file that holds a secret.
const maxSecretBytes = 4096

// redacted is the placeholder for the value of a secret.
const redacted = "[redacted]"

// String returns the placeholder.
func (Secret) String() string {
	return redacted
}

// GoString returns the placeholder.
func (Secret) GoString() string {
	return redacted
}

// MarshalYAML encodes the placeholder.
func (Secret) MarshalYAML() (any, error) {
	return redacted, nil
}

// MarshalText encodes the placeholder.
func (Secret) MarshalText() ([]byte, error) {
	return []byte(redacted), nil
}

// Reveal returns the value, which must not be printed or logged.
func (secret Secret) Reveal() string {
	return string(secret)
}

// readSecrets returns the settings with the secrets that are given as files read
// from those files.
func (settingsFile settingsFile) readSecrets(settings Settings, report *report) Settings {
	peerKey := settingsFile.readSecret(string(settings.PeerKey), settings.PeerKeyFile, "peer_key", report)
	settings.PeerKey = Secret(peerKey)
	var operators []Operator
	for i, operator := range settings.Operators {
		path := fmt.Sprintf("operators[%d].token_hash", i)
		operator.TokenHash = settingsFile.readSecret(operator.TokenHash, operator.TokenHashFile, path, report)
		operators = append(operators, operator)
	}
	settings.Operators = operators
	return settings
}

// readSecret returns the content of the file, or the value if no file is given.
// It reports a fault at the path if both are given or the file can't be read.
func (settingsFile settingsFile) readSecret(value, file, path string, report *report) string {
	if file == "" {
		return value
	}
	filePath := path + "_file"
	if value != "" {
		report.add(settingsFile.faultAt(filePath, "is set together with "+path, "keep one of the two"))
		return value
	}
	if !filepath.IsAbs(file) {
		file = filepath.Join(settingsFile.directory, file)
	}
	content, err := readSecretFile(file)
	if err != nil {
		report.add(settingsFile.faultAt(filePath, err.Error(), "name a small file that the router can read"))
		report.suppress(path)
		return ""
	}
	return strings.TrimSpace(string(content))
}

// readSecretFile reads a regular file of at most maxSecretBytes bytes.
func readSecretFile(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxSecretBytes {
		return nil, fmt.Errorf("%s is not a regular file of at most %d bytes", file, maxSecretBytes)
	}
	return os.ReadFile(file)
}
