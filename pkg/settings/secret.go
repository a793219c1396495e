package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Secret is a value that is never printed.
type Secret string

// maxSecretBytes bounds a file that holds a secret.
const maxSecretBytes = 4096

// redacted is what a secret prints as.
const redacted = "[redacted]"

// String hides the value.
func (Secret) String() string {
	return redacted
}

// GoString hides the value.
func (Secret) GoString() string {
	return redacted
}

// MarshalYAML hides the value.
func (Secret) MarshalYAML() (any, error) {
	return redacted, nil
}

// MarshalText hides the value.
func (Secret) MarshalText() ([]byte, error) {
	return []byte(redacted), nil
}

// Reveal returns the value for use, never for printing.
func (secret Secret) Reveal() string {
	return string(secret)
}

// readSecrets fills secrets that are given as files and returns the settings
// with them.
func (document document) readSecrets(settings Settings, report *report) Settings {
	peerKey := document.readSecret(string(settings.PeerKey), settings.PeerKeyFile, "peer_key", report)
	settings.PeerKey = Secret(peerKey)
	var operators []Operator
	for i, operator := range settings.Operators {
		path := fmt.Sprintf("operators[%d].token_hash", i)
		operator.TokenHash = document.readSecret(operator.TokenHash, operator.TokenHashFile, path, report)
		operators = append(operators, operator)
	}
	settings.Operators = operators
	return settings
}

// readSecret returns the value, or the content of the file when one is named.
func (document document) readSecret(value, file, path string, report *report) string {
	if file == "" {
		return value
	}
	filePath := path + "_file"
	if value != "" {
		report.add(document.faultAt(filePath, "stands beside "+path, "keep one of the two"))
		return value
	}
	if !filepath.IsAbs(file) {
		file = filepath.Join(document.directory, file)
	}
	content, err := readSecretFile(file)
	if err != nil {
		report.add(document.faultAt(filePath, err.Error(), "name a small file that the router can read"))
		report.hide(path)
		return ""
	}
	return strings.TrimSpace(string(content))
}

// readSecretFile reads a regular file of at most maxSecretBytes.
func readSecretFile(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxSecretBytes {
		return nil, fmt.Errorf("%s is no regular file of at most %d bytes", file, maxSecretBytes)
	}
	return os.ReadFile(file)
}
