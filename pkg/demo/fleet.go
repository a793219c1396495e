// Package demo runs a fleet in one process: a stand-in platform, stand-in model
// engines, a plain service and routers on loopback addresses, by default in three
// zones. Tests and measurements use the same fleet.
//
// The flow: StartFleet starts the stand-ins and the routers; Publish publishes the
// documents (documents.go); Run does both and prints what a caller and an operator
// see (run.go).
package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/operator"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
	"gitlab.com/wisterialb/wisterialb/pkg/router"
	"gitlab.com/wisterialb/wisterialb/pkg/settings"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

const (
	// peerKey authenticates the routers to each other.
	peerKey = "demonstration-peer-key-not-a-secret"
	// OperatorToken is the bearer token of the operator.
	OperatorToken = "demonstration-operator"
	// operatorName is the operator's name in the audit trail.
	operatorName = "demo"

	platformTimeout = 2 * time.Second
)

// FleetConfig configures StartFleet.
type FleetConfig struct {
	// Zones has the availability zone of each router; one router starts for each.
	Zones []string
	// Engines configures the model engines.
	Engines []standin.EngineConfig
	// Services is the number of upstreams of the plain service.
	Services int
	// Platform configures the stand-in platform.
	Platform standin.PlatformConfig
	// Logger receives the routers' logs.
	Logger log.Logger
	// Adjust changes the settings of a router before it starts; nil changes
	// nothing.
	Adjust func(index int, settings settings.Settings) settings.Settings
}

// Fleet is a running fleet of routers and stand-ins.
type Fleet struct {
	Platform *standin.Platform
	Engines  []*standin.Engine
	Services []*standin.Service
	Routers  []*Node
	config   FleetConfig
}

// Node is one router of a Fleet.
type Node struct {
	*router.Router
	Settings settings.Settings
	Registry *prometheus.Registry
	// Dialer opens all outgoing connections of the router.
	Dialer *standin.Dialer
}

// StartFleet starts the stand-ins and the routers and publishes nothing. The error
// is that of the first part that does not start; the others are closed.
func StartFleet(config FleetConfig) (*Fleet, error) {
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	fleet := &Fleet{config: config}
	if err := fleet.startStandins(); err != nil {
		return nil, errors.Join(err, fleet.Close(context.Background()))
	}
	for index := range config.Zones {
		if err := fleet.StartRouter(index); err != nil {
			return nil, errors.Join(err, fleet.Close(context.Background()))
		}
	}
	return fleet, nil
}

func (fleet *Fleet) startStandins() error {
	var err error
	fleet.Platform, err = standin.NewPlatform(fleet.config.Platform)
	if err != nil {
		return err
	}
	for _, config := range fleet.config.Engines {
		engine, err := standin.NewEngine(config)
		if err != nil {
			return err
		}
		fleet.Engines = append(fleet.Engines, engine)
	}
	for index := range fleet.config.Services {
		service, err := standin.NewService(standin.ServiceConfig{Name: fmt.Sprintf("desk-%d", index+1)})
		if err != nil {
			return err
		}
		fleet.Services = append(fleet.Services, service)
	}
	return nil
}

// StartRouter starts the router with the given index in FleetConfig.Zones, for the
// first time or again after it has stopped. The error is that of router.New or of
// a missing free port.
func (fleet *Fleet) StartRouter(index int) error {
	config, err := fleet.settingsFor(index)
	if err != nil {
		return err
	}
	registry := prometheus.NewRegistry()
	dialer := &standin.Dialer{}
	started, err := router.New(router.Config{
		Settings: config,
		Platform: platform.Dial(platform.ClientConfig{
			Address: config.Platform.Address,
			Timeout: config.Platform.Timeout,
			Name:    config.CallerAddress,
			Dial:    dialer.DialContext,
		}),
		Logger:   log.With(fleet.config.Logger, "router", index+1),
		Registry: registry,
		Dial:     dialer.DialContext,
	})
	if err != nil {
		return err
	}
	node := &Node{Router: started, Settings: config, Registry: registry, Dialer: dialer}
	if index < len(fleet.Routers) {
		fleet.Routers[index] = node
		return nil
	}
	fleet.Routers = append(fleet.Routers, node)
	return nil
}

// settingsFor returns the settings of the router with the given index. A restarted
// router keeps its settings and so its addresses.
func (fleet *Fleet) settingsFor(index int) (settings.Settings, error) {
	if index < len(fleet.Routers) {
		return fleet.Routers[index].Settings, nil
	}
	return fleet.newRouterSettings(index)
}

func (fleet *Fleet) newRouterSettings(index int) (settings.Settings, error) {
	host := fmt.Sprintf("127.0.0.%d", index+1)
	addresses, err := freeAddresses(host, 3)
	if err != nil {
		return settings.Settings{}, err
	}
	config := settings.Defaults()
	config.Zone = fleet.config.Zones[index]
	config.CallerAddress = addresses[0]
	config.PeerAddress = addresses[1]
	config.OperatorAddress = addresses[2]
	config.PeerKey = peerKey
	config.Operators = []settings.Operator{{Name: operatorName, TokenHash: operator.HashToken(OperatorToken)}}
	config.Platform = settings.Platform{
		Kind:    settings.PlatformTwirp,
		Address: fleet.Platform.Address(),
		Timeout: platformTimeout,
	}
	if fleet.config.Adjust != nil {
		config = fleet.config.Adjust(index, config)
	}
	return config, nil
}

// KillRouter stops the router with the given index as a crash does. StartRouter
// restarts it.
func (fleet *Fleet) KillRouter(index int) {
	node := fleet.Routers[index]
	node.Dialer.Freeze()
	node.Abort()
	node.Dialer.Kill()
}

// Close shuts the routers down, closes the stand-ins and returns all their errors.
func (fleet *Fleet) Close(ctx context.Context) error {
	var errs []error
	for _, node := range fleet.Routers {
		_, err := node.Shutdown(ctx)
		errs = append(errs, err)
	}
	for _, engine := range fleet.Engines {
		errs = append(errs, engine.Close())
	}
	for _, service := range fleet.Services {
		errs = append(errs, service.Close())
	}
	if fleet.Platform != nil {
		errs = append(errs, fleet.Platform.Close())
	}
	return errors.Join(errs...)
}

// TokenHash returns the hexadecimal SHA-256 of a bearer token.
func TokenHash(token string) string { return operator.HashToken(token) }

// freeAddresses returns count addresses with distinct free ports of a loopback
// host.
func freeAddresses(host string, count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// WaitLive waits until every router is ready and counts all routers as live. The
// error is fault.Unavailable after 20 seconds or at the end of the context.
func (fleet *Fleet) WaitLive(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !fleet.allLive() {
		select {
		case <-ctx.Done():
			return fault.New(fault.Config{
				Kind:    fault.Unavailable,
				Message: "not all routers became ready and live in time",
				Remedy:  "look at the routers' logs",
				Cause:   ctx.Err(),
			})
		case <-ticker.C:
		}
	}
	return nil
}

func (fleet *Fleet) allLive() bool {
	for _, node := range fleet.Routers {
		if !node.Ready() || node.LiveMemberCount() < len(fleet.Routers) {
			return false
		}
	}
	return true
}
