package command

import (
	"fmt"
	"os"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// tokenKind describes a kind of bearer token by its owner, with the remedies for
// the errors of reading it.
type tokenKind struct {
	owner string
	// emptyRemedy is the remedy for a missing or empty token.
	emptyRemedy string
	// fileRemedy is the remedy for a file that can't be read.
	fileRemedy string
}

// Kinds of bearer tokens.
var (
	operatorToken = tokenKind{
		owner:       "operator",
		emptyRemedy: fmt.Sprintf("name a file with --token-file, or set %s", operatorAuthVariable),
		fileRemedy:  "name a file that holds the operator's token with --token-file",
	}
	callerToken = tokenKind{
		owner:       "caller",
		emptyRemedy: "name a file that holds the caller's token with --caller-token-file",
		fileRemedy:  "name a file that holds the caller's token with --caller-token-file",
	}
)

// readFile returns the token in the file.
func (tokenKind tokenKind) readFile(path string) (string, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return "", fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: err.Error(),
			Remedy:  tokenKind.fileRemedy,
			Cause:   err,
		})
	}
	return tokenKind.parse(string(content))
}

// parse trims white space around the token. An empty token is an error.
func (tokenKind tokenKind) parse(content string) (string, error) {
	token := strings.TrimSpace(content)
	if token == "" {
		return "", fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "no " + tokenKind.owner + "'s token",
			Remedy:  tokenKind.emptyRemedy,
		})
	}
	return token, nil
}
