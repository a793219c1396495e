package command

import (
	"strings"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/operator"
)

// Environment variables that are used when the flag is not set.
const (
	addressesVariable    = "WISTERIALB_ADDRESS"
	operatorAuthVariable = "WISTERIALB_OPERATOR_TOKEN"
)

// ConnectionFlags holds the routers to connect to and the operator's credentials.
type ConnectionFlags struct {
	Address   []string      `help:"Operator address of a router; may be repeated, addresses are tried in turn. Default: WISTERIALB_ADDRESS." placeholder:"IP:PORT"`
	TokenFile string        `help:"File with the operator's token. Default: the token in WISTERIALB_OPERATOR_TOKEN." placeholder:"FILE"`
	Timeout   time.Duration `help:"Timeout of each attempt." default:"10s"`
}

// newClient returns a client of the routers' operator interface. Its errors are
// usage errors.
func (connectionFlags ConnectionFlags) newClient(environment Environment) (*operator.Client, error) {
	addresses := connectionFlags.Address
	if value := environment.Getenv(addressesVariable); len(addresses) == 0 && value != "" {
		addresses = strings.Split(value, ",")
	}
	token, err := connectionFlags.readToken(environment)
	if err != nil {
		return nil, usageError{cause: err}
	}
	client, err := operator.NewClient(operator.ClientConfig{
		Addresses:      addresses,
		Token:          token,
		AttemptTimeout: connectionFlags.Timeout,
	})
	if err != nil {
		return nil, usageError{cause: err}
	}
	return client, nil
}

// readToken returns the operator's token. There is no flag for the token itself,
// because the process list shows flags.
func (connectionFlags ConnectionFlags) readToken(environment Environment) (string, error) {
	if connectionFlags.TokenFile == "" {
		return operatorToken.parse(environment.Getenv(operatorAuthVariable))
	}
	return operatorToken.readFile(connectionFlags.TokenFile)
}
