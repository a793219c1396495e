package command

import (
	"strings"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/operator"
)

// The environment variables that stand in for flags.
const (
	addressVariable  = "WISTERIALB_ADDRESS"
	operatorVariable = "WISTERIALB_OPERATOR_TOKEN"
)

// Connection holds the flags that say which routers are asked and by whom.
type Connection struct {
	Address   []string      `help:"Operator address of a router; several are tried in turn. WISTERIALB_ADDRESS is used without it." placeholder:"IP:PORT"`
	TokenFile string        `help:"File with the operator's token. WISTERIALB_OPERATOR_TOKEN is used without it." placeholder:"FILE"`
	Timeout   time.Duration `help:"Bound of each try." default:"10s"`
}

// client returns a client for the routers that the flags name.
func (connection Connection) client(environment Environment) (*operator.Client, error) {
	addresses := connection.Address
	if value := environment.Getenv(addressVariable); len(addresses) == 0 && value != "" {
		addresses = strings.Split(value, ",")
	}
	token, err := connection.token(environment)
	if err != nil {
		return nil, usageError{cause: err}
	}
	client, err := operator.NewClient(operator.ClientConfig{
		Addresses:      addresses,
		Token:          token,
		AttemptTimeout: connection.Timeout,
	})
	if err != nil {
		return nil, usageError{cause: err}
	}
	return client, nil
}

// token reads the operator's token. It is no flag, so that it does not show in
// the list of processes.
func (connection Connection) token(environment Environment) (string, error) {
	if connection.TokenFile == "" {
		return operatorToken.parse(environment.Getenv(operatorVariable))
	}
	return operatorToken.read(connection.TokenFile)
}
