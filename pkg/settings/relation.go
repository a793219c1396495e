package settings

import "fmt"

// minRenewals is the number of platform calls that must fit into a lease, so
// that a router with one lost answer keeps its lease.
const minRenewals = 3

// relation is a rule on several settings.
type relation struct {
	// path is the setting that the fault is reported at.
	path    string
	holds   func(settings Settings) bool
	message string
	remedy  string
}

// relations is the one table of rules on several settings.
var relations = []relation{
	{
		path:    "settle_interval",
		holds:   func(settings Settings) bool { return settings.SettleInterval < settings.Horizon },
		message: "is not shorter than horizon, so that grants run out before they are settled",
		remedy:  "write less than horizon, best a tenth of it",
	},
	{
		path: "lease_duration",
		holds: func(settings Settings) bool {
			return settings.LeaseDuration >= minRenewals*settings.Platform.Timeout
		},
		message: fmt.Sprintf("is shorter than %d times platform.timeout, so that one lost answer ends a lease", minRenewals),
		remedy:  fmt.Sprintf("write at least %d times platform.timeout", minRenewals),
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
}

// relate checks the settings against each other. A rule on a setting that
// already has a fault is left out.
func (document document) relate(settings Settings, report *report) {
	for _, relation := range relations {
		if !relation.holds(settings) {
			report.add(document.faultAt(relation.path, relation.message, relation.remedy))
		}
	}
	document.relateOperators(settings, report)
}

// relateOperators checks that no two operators share a token.
func (document document) relateOperators(settings Settings, report *report) {
	owners := make(map[string]string, len(settings.Operators))
	for i, operator := range settings.Operators {
		owner, taken := owners[operator.TokenHash]
		owners[operator.TokenHash] = operator.Name
		if taken && operator.TokenHash != "" {
			report.add(document.faultAt(
				fmt.Sprintf("operators[%d].token_hash", i),
				"is the same as that of "+owner,
				"give each operator a token of its own",
			))
		}
	}
}
