package settings

import (
	"fmt"

	"gitlab.com/wisterialb/wisterialb/pkg/memory"
)

// minCallsPerLease is the number of platform calls that must be able to time out
// within a lease, so that a router keeps its lease when one response is lost.
const minCallsPerLease = 3

// crossFieldRule is a rule that involves several settings.
type crossFieldRule struct {
	// path is the setting that the fault names.
	path    string
	holds   func(settings Settings) bool
	message string
	remedy  string
}

// crossFieldRules are the rules that involve several settings.
var crossFieldRules = []crossFieldRule{
	{
		path:    "settle_interval",
		holds:   func(settings Settings) bool { return settings.SettleInterval < settings.Horizon },
		message: "is not shorter than horizon, so that grants run out before they are settled",
		remedy:  "write less than horizon, best a tenth of it",
	},
	{
		path: "lease_duration",
		holds: func(settings Settings) bool {
			return settings.LeaseDuration >= minCallsPerLease*settings.Platform.Timeout
		},
		message: fmt.Sprintf("is shorter than %d times platform.timeout, so that one lost answer ends a lease", minCallsPerLease),
		remedy:  fmt.Sprintf("write at least %d times platform.timeout", minCallsPerLease),
	},
	{
		path:    "peer_address",
		holds:   func(settings Settings) bool { return settings.PeerAddress != settings.CallerAddress },
		message: "is the same as caller_address",
		remedy:  "give each of the three addresses a port of its own",
	},
	{
		path: "operator_address",
		holds: func(settings Settings) bool {
			return settings.OperatorAddress != settings.CallerAddress && settings.OperatorAddress != settings.PeerAddress
		},
		message: "is the same as caller_address or peer_address",
		remedy:  "give each of the three addresses a port of its own",
	},
	{
		path:    "stall.between_tokens",
		holds:   func(settings Settings) bool { return settings.Stall.GapTimeout <= settings.Stall.FirstTokenTimeout },
		message: "is longer than stall.first_token",
		remedy:  "write at most stall.first_token",
	},
	{
		path:    "claim_retention",
		holds:   func(settings Settings) bool { return settings.ClaimRetention >= settings.DrainTimeout },
		message: "is shorter than drain_timeout, so that a retry after a shutdown finds no result",
		remedy:  "write at least drain_timeout",
	},
	{
		path: "bounds.body_bytes",
		holds: func(settings Settings) bool {
			return settings.Bounds.MaxBodyBytes+settings.Bounds.MaxHeaderBytes <= memory.NewPlan(settings.Bounds.MemoryBytes).Requests
		},
		message: "is more than bounds.memory_bytes leaves for the requests of all callers together, so that a large one is always refused",
		remedy:  "write less than an eighth of bounds.memory_bytes",
	},
}

// validateRules checks the rules that involve several settings. The report drops
// the fault of a rule whose setting already has a fault.
func (settingsFile settingsFile) validateRules(settings Settings, report *report) {
	for _, rule := range crossFieldRules {
		if !rule.holds(settings) {
			report.add(settingsFile.faultAt(rule.path, rule.message, rule.remedy))
		}
	}
	settingsFile.validateUniqueTokens(settings, report)
}

// validateUniqueTokens checks that no two operators have the same token.
func (settingsFile settingsFile) validateUniqueTokens(settings Settings, report *report) {
	owners := make(map[string]string, len(settings.Operators))
	for i, operator := range settings.Operators {
		owner, duplicate := owners[operator.TokenHash]
		owners[operator.TokenHash] = operator.Name
		if duplicate && operator.TokenHash != "" {
			report.add(settingsFile.faultAt(
				fmt.Sprintf("operators[%d].token_hash", i),
				"is the same as that of "+owner,
				"give each operator a token of its own",
			))
		}
	}
}
