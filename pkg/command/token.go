package command

import (
	"fmt"
	"os"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// tokenKind says whose bearer token is read, and what to do when there is none.
type tokenKind struct {
	owner string
	// emptyRemedy is for a token that is not given or empty.
	emptyRemedy string
	// fileRemedy is for a file that can't be read.
	fileRemedy string
}

// The kinds of tokens.
var (
	operatorToken = tokenKind{
		owner:       "operator",
		emptyRemedy: fmt.Sprintf("name a file with --token-file, or set %s", operatorVariable),
		fileRemedy:  "name a file that holds the operator's token with --token-file",
	}
	callerToken = tokenKind{
		owner:       "caller",
		emptyRemedy: "name a file that holds the caller's token with --caller-token-file",
		fileRemedy:  "name a file that holds the caller's token with --caller-token-file",
	}
)

// read returns the token in a file.
func (tokenKind tokenKind) read(path string) (string, error) {
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

// parse returns the token without the space around it.
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
