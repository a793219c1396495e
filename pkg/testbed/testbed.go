// Package testbed runs a whole fleet with its stand-ins in one process, drives
// load through it, brings about failures, and audits the ledger against the
// upstreams' record. Tests and measurements share it.
//
// The flow: Start runs the fleet and publishes a caller and a profile for each
// team; Run sends the load while Disturb (disturbance.go) breaks things on a
// seeded schedule; Audit (audit.go) compares ledger, record and results.
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

// pollInterval keeps publishing of the documents short.
const pollInterval = 50 * time.Millisecond

// Config configures Start.
type Config struct {
	// Zones has the zone of each router.
	Zones []string
	// Engines describe the model engines.
	Engines []standin.EngineConfig
	// Services is the number of upstreams of the plain service.
	Services int
	Platform standin.PlatformConfig
	// Teams get a caller and a profile each; Token and Profile are filled in.
	Teams []load.Team
	// LimitTokens is the prepaid limit of each profile.
	LimitTokens int64
	// Logger receives the routers' logs.
	Logger log.Logger
	// Adjust changes the settings of a router before it starts.
	Adjust func(settings settings.Settings) settings.Settings
}

// Testbed is a running fleet.
type Testbed struct {
	Fleet *demo.Fleet
	Teams []load.Team

	config  Config
	callers *standin.Dialer
	mutex   sync.Mutex
	results []load.Result
	// disturbances are in the order of their times.
	disturbances []Disturbance
}

// Start runs a fleet and publishes its documents. Its errors are those of the
// routers and of publishing.
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
	testbed := &Testbed{Fleet: fleet, config: config, callers: &standin.Dialer{}}
	if err := testbed.publish(ctx); err != nil {
		_ = testbed.Close(ctx)
		return nil, err
	}
	return testbed, nil
}

// publish publishes the fleet's own documents and those of the teams.
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

// callerOf returns the name of the team's calling service.
func callerOf(team load.Team) string { return "caller-of-" + team.Name }

func publishTeam(ctx context.Context, client *operator.Client, team load.Team, limit int64) error {
	caller := configuration.Caller{
		Name:      callerOf(team),
		Team:      team.Name,
		Weight:    team.Weight,
		TokenHash: demo.TokenHash(team.Token),
	}
	if err := publishDocument(ctx, client, configuration.KindCaller, caller.Name, caller); err != nil {
		return err
	}
	profile := configuration.Profile{
		Name:        team.Profile,
		LimitTokens: limit,
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

// Run sends the load through the fleet. Entries, teams, names, the dialer and the
// recorder of the configuration are filled in.
func (testbed *Testbed) Run(ctx context.Context, config load.Config, out io.Writer) (load.Report, error) {
	config.Entries = testbed.entries()
	if config.Direct {
		config.Entries = testbed.engines()
	}
	config.Teams = testbed.Teams
	config.Model = demo.ModelName
	config.Service = demo.OrderService
	config.Dial = testbed.callers.DialContext
	config.Recorder = load.LocalRecorder{Engines: testbed.Fleet.Engines, Services: testbed.Fleet.Services}
	config.Observe = testbed.observe
	return load.Run(ctx, config, out)
}

func (testbed *Testbed) observe(result load.Result) {
	testbed.mutex.Lock()
	defer testbed.mutex.Unlock()
	testbed.results = append(testbed.results, result)
}

// Results returns what became of all requests so far.
func (testbed *Testbed) Results() []load.Result {
	testbed.mutex.Lock()
	defer testbed.mutex.Unlock()
	return slices.Clone(testbed.results)
}

// entries returns the addresses of all routers.
func (testbed *Testbed) entries() []string {
	addresses := make([]string, 0, len(testbed.Fleet.Routers))
	for _, node := range testbed.Fleet.Routers {
		addresses = append(addresses, node.CallerAddress())
	}
	return addresses
}

// engines returns the addresses of all engines.
func (testbed *Testbed) engines() []string {
	addresses := make([]string, 0, len(testbed.Fleet.Engines))
	for _, engine := range testbed.Fleet.Engines {
		addresses = append(addresses, engine.Address())
	}
	return addresses
}

// Close shuts the fleet down.
func (testbed *Testbed) Close(ctx context.Context) error {
	http.DefaultClient.CloseIdleConnections()
	return testbed.Fleet.Close(ctx)
}

func broken(message string) error {
	return fault.New(fault.Config{
		Kind:    fault.Internal,
		Message: message,
		Remedy:  "find the cause; a promise of the fleet is broken",
	})
}
