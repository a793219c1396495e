// Package testbed runs a complete fleet with its stand-ins in one process, sends
// load through it, causes failures, and audits the ledger against the engines'
// records. Tests and measurements share it.
//
// The flow: Start runs the fleet and publishes a caller and a profile for each
// team; Run sends the load while Disturb (disturbance.go) causes failures in a
// seeded order; Audit (audit.go) compares the ledger, the records and the results.
package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/demo"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/load"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
	"gitlab.com/wisterialb/wisterialb/pkg/settings"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// pollInterval lets routers apply published documents quickly.
const pollInterval = 50 * time.Millisecond

// Config configures Start.
type Config struct {
	// Zones has the zone of each router.
	Zones []string
	// Engines configures the model engines.
	Engines []standin.EngineConfig
	// Services is the number of upstreams of the plain service.
	Services int
	Platform standin.PlatformConfig
	// Teams are the teams for which Start publishes a caller and a profile each;
	// Start sets Token and Profile.
	Teams []load.Team
	// LimitTokens is the prepaid limit of each profile.
	LimitTokens int64
	// Logger receives the routers' logs.
	Logger log.Logger
	// Adjust changes the settings of a router before it starts; nil changes
	// nothing.
	Adjust func(settings settings.Settings) settings.Settings
}

// Testbed is a running fleet.
type Testbed struct {
	Fleet *demo.Fleet
	Teams []load.Team

	config       Config
	callerDialer *standin.Dialer
	mutex        sync.Mutex
	results      []load.Result
	// disturbances are in the order of time.
	disturbances []Disturbance
}

// Start starts a fleet and publishes its documents. The errors are those of the
// stand-ins, the routers and the publication.
func Start(ctx context.Context, config Config) (*Testbed, error) {
	fleet, err := demo.StartFleet(demo.FleetConfig{ //nolint:contextcheck // the fleet outlives the context
		Zones:    config.Zones,
		Engines:  config.Engines,
		Services: config.Services,
		Platform: config.Platform,
		Logger:   config.Logger,
		Adjust: func(_ int, router settings.Settings) settings.Settings {
			router.PollInterval = pollInterval
			if config.Adjust == nil {
				return router
			}
			return config.Adjust(router)
		},
	})
	if err != nil {
		return nil, err
	}
	testbed := &Testbed{Fleet: fleet, config: config, callerDialer: &standin.Dialer{}}
	if err := testbed.publish(ctx); err != nil {
		_ = testbed.Close(ctx)
		return nil, err
	}
	return testbed, nil
}

// publish publishes the documents of the fleet and of the teams.
func (testbed *Testbed) publish(ctx context.Context) error {
	if err := testbed.Fleet.WaitLive(ctx); err != nil {
		return err
	}
	if err := testbed.Fleet.Publish(ctx, testbed.config.LimitTokens); err != nil {
		return err
	}
	client, err := testbed.Fleet.Operator()
	if err != nil {
		return err
	}
	for _, team := range testbed.config.Teams {
		team.Token = "token-of-" + team.Name
		team.Profile = "profile-of-" + team.Name
		testbed.Teams = append(testbed.Teams, team)
		if err := publishTeam(ctx, client, team, testbed.config.LimitTokens); err != nil {
			return err
		}
	}
	return nil
}

// callerName returns the name of the team's caller.
func callerName(team load.Team) string { return "caller-of-" + team.Name }

func publishTeam(ctx context.Context, client *operator.Client, team load.Team, limitTokens int64) error {
	caller := configuration.Caller{
		Name:      callerName(team),
		Team:      team.Name,
		Weight:    team.Weight,
		TokenHash: demo.TokenHash(team.Token),
	}
	if err := publishDocument(ctx, client, configuration.KindCaller, caller.Name, caller); err != nil {
		return err
	}
	profile := configuration.Profile{
		Name:        team.Profile,
		LimitTokens: limitTokens,
		Callers:     []string{caller.Name},
		Services:    []string{demo.ModelService, demo.OrderService},
	}
	return publishDocument(ctx, client, configuration.KindProfile, profile.Name, profile)
}

func publishDocument(ctx context.Context, client *operator.Client, kind configuration.Kind, name string, document any) error {
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	_, err = client.Publish(ctx, configuration.Change{
		OperationID: fmt.Sprintf("testbed-%s-%s", kind, name),
		Reason:      "testbed",
		Kind:        kind,
		Name:        name,
		Body:        body,
	})
	return err
}

// Run sends the load through the fleet, or to the engines if config.Direct is
// set. It sets the addresses, teams, model, service, dialer, recorder and observer
// of the configuration itself. The errors are those of load.Run.
func (testbed *Testbed) Run(ctx context.Context, config load.Config, out io.Writer) (load.Report, error) {
	config.EntryAddresses = testbed.routerAddresses()
	if config.Direct {
		config.EntryAddresses = testbed.engineAddresses()
	}
	config.Teams = testbed.Teams
	config.Model = demo.ModelName
	config.Service = demo.OrderService
	config.Dial = testbed.callerDialer.DialContext
	config.Recorder = load.LocalRecorder{Engines: testbed.Fleet.Engines, Services: testbed.Fleet.Services}
	config.OnResult = testbed.recordResult
	return load.Run(ctx, config, out)
}

func (testbed *Testbed) recordResult(result load.Result) {
	testbed.mutex.Lock()
	defer testbed.mutex.Unlock()
	testbed.results = append(testbed.results, result)
}

// Results returns the results of all requests so far.
func (testbed *Testbed) Results() []load.Result {
	testbed.mutex.Lock()
	defer testbed.mutex.Unlock()
	return slices.Clone(testbed.results)
}

// routerAddresses returns the addresses at which the routers accept callers.
func (testbed *Testbed) routerAddresses() []string {
	addresses := make([]string, 0, len(testbed.Fleet.Routers))
	for _, node := range testbed.Fleet.Routers {
		addresses = append(addresses, node.CallerAddress())
	}
	return addresses
}

// engineAddresses returns the addresses of all engines.
func (testbed *Testbed) engineAddresses() []string {
	addresses := make([]string, 0, len(testbed.Fleet.Engines))
	for _, engine := range testbed.Fleet.Engines {
		addresses = append(addresses, engine.Address())
	}
	return addresses
}

// Close shuts the fleet down and returns its errors.
func (testbed *Testbed) Close(ctx context.Context) error {
	http.DefaultClient.CloseIdleConnections()
	return testbed.Fleet.Close(ctx)
}

func violationError(message string) error {
	return fault.New(fault.Config{
		Kind:    fault.Internal,
		Message: message,
		Remedy:  "find the cause; a guarantee of the fleet is violated",
	})
}
