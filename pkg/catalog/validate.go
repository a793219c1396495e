package catalog

import (
	"fmt"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// Validate returns an error of kind Invalid that names the first mistake, or nil.
// A configuration with a mistake must not replace a valid one.
func (config Config) Validate() error {
	if config.Version == 0 {
		return invalid("the configuration has no version", "publish it with a version above the last one")
	}
	if len(config.Routes) == 0 {
		return invalid("the configuration has no routes", "publish at least one route")
	}
	services := make(map[string]bool, len(config.Services))
	for _, service := range config.Services {
		services[service.Name] = true
	}
	type path struct{ host, prefix string }
	namesByPath := make(map[path]string, len(config.Routes))
	for _, route := range config.Routes {
		if err := route.validate(services); err != nil {
			return err
		}
		key := path{strings.ToLower(route.Host), route.Prefix}
		if other, ok := namesByPath[key]; ok {
			return invalid(fmt.Sprintf("the routes %q and %q have the same host and path", other, route.Name), "remove one of them")
		}
		namesByPath[key] = route.Name
	}
	return validateTeams(config.Teams)
}

func (route Route) validate(services map[string]bool) error {
	switch {
	case route.Host == "":
		return invalid(fmt.Sprintf("route %q has no host", route.Name), "set its host")
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return invalid(fmt.Sprintf("route %q has the path prefix %q", route.Name, route.Prefix), "begin and end it with a slash")
	case route.Timeout <= 0:
		return invalid(fmt.Sprintf("route %q has no timeout", route.Name), "set a timeout above zero")
	}
	totalWeight := 0.0
	for _, share := range route.Shares {
		if !services[share.Service] {
			return invalid(fmt.Sprintf("route %q names the unknown service %q", route.Name, share.Service), "define the service, or name another")
		}
		if share.Weight < 0 {
			return invalid(fmt.Sprintf("route %q has a negative weight for service %q", route.Name, share.Service), "set a weight of zero or more")
		}
		totalWeight += share.Weight
	}
	if totalWeight <= 0 {
		return invalid(fmt.Sprintf("route %q sends its requests to no service", route.Name), "give one of its services a weight above zero")
	}
	return nil
}

func validateTeams(teams []Team) error {
	teamsByKey := make(map[string]string)
	for _, team := range teams {
		if team.Name == "" {
			return invalid("a team has no name", "name each team")
		}
		if team.HasBudget && team.PrepaidTokens < 0 {
			return invalid(fmt.Sprintf("team %q has a negative budget", team.Name), "set a budget of zero or more tokens")
		}
		for _, key := range team.Keys {
			if other, ok := teamsByKey[key]; ok && other != team.Name {
				return invalid(fmt.Sprintf("the teams %q and %q have the same API key", other, team.Name), "give each team keys of its own")
			}
			teamsByKey[key] = team.Name
		}
	}
	return nil
}

func invalid(message, remedy string) error {
	return fault.New(fault.Config{Kind: fault.Invalid, Message: message, Remedy: remedy})
}
