package demo

import (
	"context"
	"encoding/json"
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
)

// The names of the demonstration's documents.
const (
	// ModelName is the model that callers ask for.
	ModelName = "gasket-advice"
	// ModelService is the pool of model engines.
	ModelService = "gasket-advice"
	// OrderService is the pool of the plain service.
	OrderService = "order-desk"
	// ProfileName is the profile that callers run under.
	ProfileName = "home-cooks"
	// callerName is the calling service.
	callerName = "web-chat"
	// CallerToken is the calling service's bearer token.
	CallerToken = "demonstration-caller"
	// ProfileLimit is the prepaid limit in tokens.
	ProfileLimit = 1_000_000
	// bookingTokens is what one call of the order service costs.
	bookingTokens = 25
)

// document is one document to publish.
type document struct {
	kind configuration.Kind
	name string
	body any
}

// Operator returns a client for the operators' protocol of all routers.
func (fleet *Fleet) Operator() (*operator.Client, error) {
	addresses := make([]string, 0, len(fleet.Routers))
	for _, node := range fleet.Routers {
		addresses = append(addresses, node.Settings.OperatorAddress)
	}
	return operator.NewClient(operator.ClientConfig{Addresses: addresses, Token: OperatorToken})
}

// Publish publishes the services, the upstreams, one caller and one profile
// with the limit in tokens.
func (fleet *Fleet) Publish(ctx context.Context, limit int64) error {
	client, err := fleet.Operator()
	if err != nil {
		return err
	}
	for _, document := range fleet.documents(limit) {
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

func (fleet *Fleet) documents(limit int64) []document {
	documents := []document{
		{configuration.KindService, ModelService, configuration.Service{
			Name: ModelService, Protocol: configuration.ProtocolModel, Model: ModelName,
		}},
		{configuration.KindService, OrderService, configuration.Service{
			Name: OrderService, Protocol: configuration.ProtocolPlain, CallTokens: bookingTokens,
		}},
	}
	for index, engine := range fleet.Engines {
		documents = append(documents, fleet.upstream(ModelService, "engine", index, engine.Address()))
	}
	for index, service := range fleet.Services {
		documents = append(documents, fleet.upstream(OrderService, "desk", index, service.Address()))
	}
	return append(documents,
		document{configuration.KindCaller, callerName, configuration.Caller{
			Name: callerName, Team: "kitchen", Weight: 1, TokenHash: operator.HashToken(CallerToken),
		}},
		document{configuration.KindProfile, ProfileName, configuration.Profile{
			Name: ProfileName, LimitTokens: limit, Priority: 5,
			Callers:  []string{callerName},
			Services: []string{ModelService, OrderService},
		}},
	)
}

func (fleet *Fleet) upstream(service, prefix string, index int, address string) document {
	name := fmt.Sprintf("%s-%d", prefix, index+1)
	return document{configuration.KindUpstream, name, configuration.Upstream{
		Name:    name,
		Service: service,
		Address: address,
		Zone:    fleet.config.Zones[index%len(fleet.config.Zones)],
	}}
}
