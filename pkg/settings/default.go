package settings

import (
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/upstream"
)

// Defaults returns the values of all settings that a file may leave out. The
// zone, the addresses, the peer key and the operators have none.
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
		Queue:          Queue{MaxLength: 512, MaxWait: 30 * time.Second},
		Stall:          Stall{FirstTokenTimeout: 20 * time.Second, GapTimeout: 5 * time.Second},
		Bounds:         Bounds{MaxBodyBytes: 4 << 20, MaxHeaderBytes: 32 << 10, MaxConnections: 4096},
		Entry:          Entry{ResponseLifetime: 30 * time.Second, Width: 2},
		LogLevel:       "info",
	}
}

// PlatformTwirp is the kind of a platform that is reached over twirp.
const PlatformTwirp = "twirp"
