package settings

import (
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/upstream"
)

// Defaults returns the defaults of all optional settings. The zone, the addresses,
// the peer key and the operators are required and have no default.
func Defaults() Settings {
	return Settings{
		Platform:       Platform{Kind: PlatformTwirp, Timeout: 2 * time.Second},
		LeaseDuration:  10 * time.Second,
		Horizon:        10 * time.Second,
		SettleInterval: time.Second,
		PollInterval:   time.Second,
		PublishTimeout: 5 * time.Second,
		ClaimRetention: 24 * time.Hour,
		DrainTimeout:   30 * time.Second,
		Policy:         upstream.DefaultPolicy,
		Queue:          Queue{Length: 512, Wait: 30 * time.Second},
		Stall:          Stall{FirstToken: 20 * time.Second, BetweenTokens: 5 * time.Second},
		Bounds:         Bounds{BodyBytes: 4 << 20, HeaderBytes: 32 << 10, Connections: 4096},
		Entry:          Entry{Lifetime: 30 * time.Second, Width: 2},
		LogLevel:       "info",
	}
}

// PlatformTwirp is the Kind of a platform whose services are called over twirp.
const PlatformTwirp = "twirp"
