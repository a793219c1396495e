// Package demo runs a small fleet in one process: a stand-in platform, model
// engines, a plain service and routers on loopback addresses in three zones.
// Tests and measurements use the same fleet.
//
// The flow: StartFleet starts the stand-ins and the routers and publishes the
// documents (documents.go); Run shows what a caller and an operator see
// (run.go).
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
	// peerKey proves the demonstration's routers to each other.
	peerKey = "demonstration-peer-key-not-a-secret"
	// OperatorToken is the demonstration's operator token.
	OperatorToken = "demonstration-operator"
	// operatorName is written to the demonstration's audit trail.
	operatorName = "demo"

	platformTimeout = 2 * time.Second
)

// FleetConfig describes a Fleet.
type FleetConfig struct {
	// Zones has the zone of each router; its length is their number.
	Zones []string
	// Engines describe the model engines.
	Engines []standin.EngineConfig
	// Services is the number of upstreams of the plain service.
	Services int
	// Platform describes the stand-in platform.
	Platform standin.PlatformConfig
	// Logger receives the routers' logs.
	Logger log.Logger
	// Adjust changes the settings of a router before it starts; nil changes
	// nothing.
	Adjust func(index int, settings settings.Settings) settings.Settings
}

// Fleet is a running fleet with its stand-ins.
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
	// Dialer opens all connections of the router.
	Dialer *standin.Dialer
}

// StartFleet starts the stand-ins and the routers. Nothing is published yet.
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

// StartRouter starts the router with an index of FleetConfig.Zones, for the
// first time or again after it has ended.
func (fleet *Fleet) StartRouter(index int) error {
	config, err := fleet.settingsOf(index)
	if err != nil {
		return err
	}
	registry := prometheus.NewRegistry()
	dialer := &standin.Dialer{}
	running, err := router.New(router.Config{
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
	node := &Node{Router: running, Settings: config, Registry: registry, Dialer: dialer}
	if index < len(fleet.Routers) {
		fleet.Routers[index] = node
		return nil
	}
	fleet.Routers = append(fleet.Routers, node)
	return nil
}

// settingsOf returns the settings of the router with an index, which a restart
// keeps.
func (fleet *Fleet) settingsOf(index int) (settings.Settings, error) {
	if index < len(fleet.Routers) {
		return fleet.Routers[index].Settings, nil
	}
	return fleet.routerSettings(index)
}

func (fleet *Fleet) routerSettings(index int) (settings.Settings, error) {
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

// KillRouter ends the router with an index as a crash does. StartRouter restarts
// it.
func (fleet *Fleet) KillRouter(index int) {
	node := fleet.Routers[index]
	node.Dialer.Freeze()
	node.Abort()
	node.Dialer.Kill()
}

// Close shuts the routers down and closes the stand-ins.
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

// freeAddresses returns distinct free ports of a loopback host.
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

// WaitLive waits until every router has a configuration and sees all others.
func (fleet *Fleet) WaitLive(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for !fleet.live() {
		select {
		case <-ctx.Done():
			return fault.New(fault.Config{
				Kind:    fault.Unavailable,
				Message: "the routers did not find each other in time",
				Remedy:  "look at the routers' logs",
				Cause:   ctx.Err(),
			})
		case <-ticker.C:
		}
	}
	return nil
}

func (fleet *Fleet) live() bool {
	for _, node := range fleet.Routers {
		if !node.Ready() || node.LiveMembers() < len(fleet.Routers) {
			return false
		}
	}
	return true
}
