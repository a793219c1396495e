package demo

import (
	"context"
	"encoding/json"
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
)

// The names and values of the documents that Publish publishes.
const (
	// ModelName is the model that callers request.
	ModelName = "gasket-advice"
	// ModelService is the service of the model engines.
	ModelService = "gasket-advice"
	// OrderService is the plain service.
	OrderService = "order-desk"
	// ProfileName is the profile whose budget pays for the requests.
	ProfileName = "home-cooks"
	// callerName is the name of the caller.
	callerName = "web-chat"
	// CallerToken is the bearer token of the caller.
	CallerToken = "demonstration-caller"
	// ProfileLimit is the prepaid limit in tokens.
	ProfileLimit = 1_000_000
	// bookingTokens is the cost of one call of the order service.
	tokensPerBooking = 25
)

// document is a configuration document to publish.
type document struct {
	kind configuration.Kind
	name string
	body any
}

// Operator returns an operator client that knows the addresses of all routers.
// The error is that of operator.NewClient.
func (fleet *Fleet) Operator() (*operator.Client, error) {
	addresses := make([]string, 0, len(fleet.Routers))
	for _, node := range fleet.Routers {
		addresses = append(addresses, node.Settings.OperatorAddress)
	}
	return operator.NewClient(operator.ClientConfig{Addresses: addresses, Token: OperatorToken})
}

// Publish publishes the services, the upstreams, one caller and one profile with
// a limit in tokens. The errors are those of the operator client.
func (fleet *Fleet) Publish(ctx context.Context, limitTokens int64) error {
	client, err := fleet.Operator()
	if err != nil {
		return err
	}
	for _, document := range fleet.documents(limitTokens) {
		if err := publish(ctx, client, document); err != nil {
			return err
		}
	}
	return nil
}

func publish(ctx context.Context, client *operator.Client, document document) error {
	body, err := json.Marshal(document.body)
	if err != nil {
		return err
	}
	_, err = client.Publish(ctx, configuration.Change{
		OperationID: fmt.Sprintf("demo-%s-%s", document.kind, document.name),
		Reason:      "demonstration",
		Kind:        document.kind,
		Name:        document.name,
		Body:        body,
	})
	return err
}

func (fleet *Fleet) documents(limitTokens int64) []document {
	documents := []document{
		{configuration.KindService, ModelService, configuration.Service{
			Name: ModelService, Protocol: configuration.ProtocolModel, Model: ModelName,
		}},
		{configuration.KindService, OrderService, configuration.Service{
			Name: OrderService, Protocol: configuration.ProtocolPlain, CallTokens: tokensPerBooking,
		}},
	}
	for index, engine := range fleet.Engines {
		documents = append(documents, fleet.upstreamDocument(ModelService, "engine", index, engine.Address()))
	}
	for index, service := range fleet.Services {
		documents = append(documents, fleet.upstreamDocument(OrderService, "desk", index, service.Address()))
	}
	return append(documents,
		document{configuration.KindCaller, callerName, configuration.Caller{
			Name: callerName, Team: "kitchen", Weight: 1, TokenHash: operator.HashToken(CallerToken),
		}},
		document{configuration.KindProfile, ProfileName, configuration.Profile{
			Name: ProfileName, LimitTokens: limitTokens, Priority: 5,
			Callers:  []string{callerName},
			Services: []string{ModelService, OrderService},
		}},
	)
}

func (fleet *Fleet) upstreamDocument(service, prefix string, index int, address string) document {
	name := fmt.Sprintf("%s-%d", prefix, index+1)
	return document{configuration.KindUpstream, name, configuration.Upstream{
		Name:    name,
		Service: service,
		Address: address,
		Zone:    fleet.config.Zones[index%len(fleet.config.Zones)],
	}}
}
