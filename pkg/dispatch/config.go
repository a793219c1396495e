package dispatch

import (
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
)

// Config configures an UpstreamDispatcher.
type Config struct {
	// Upstreams returns the upstreams of a service. It should return the same
	// slice as long as nothing has changed.
	Upstreams func(service string) []configuration.Upstream
	// Leaving reports whether the VM list marks the address as leaving. Nil
	// means that none is.
	Leaving func(address string) bool
	// Policy is the name of a policy of choice; empty means the default.
	Policy string
	// Logger takes one line an event; nil drops them.
	Logger log.Logger
	// Registerer takes the metrics; nil means that they are not published.
	Registerer prometheus.Registerer
	// Exchange holds the bounds on silence; its address is not used.
	Exchange exchange.ClientConfig
	// PlainTimeout bounds the silence of plain services.
	PlainTimeout time.Duration
}

// DefaultPlainTimeout bounds the silence of plain services.
const DefaultPlainTimeout = 30 * time.Second

func (config Config) withDefaults() Config {
	if config.Leaving == nil {
		config.Leaving = func(string) bool { return false }
	}
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	if config.PlainTimeout <= 0 {
		config.PlainTimeout = DefaultPlainTimeout
	}
	return config
}
