package dispatch

import (
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/upstream"
)

// Config configures an UpstreamDispatcher. The zero value of a field means its
// default.
type Config struct {
	// Upstreams returns the upstreams of a service. It must return the same
	// slice as long as nothing has changed.
	Upstreams func(service string) []configuration.Upstream
	// Leaving reports whether the VM list marks the address as leaving. Nil
	// means that none is.
	Leaving func(address string) bool
	// Policy is the name of a policy of choice; CheckPolicy tells whether it is
	// known. An unknown one is logged and taken as the default.
	Policy string
	// Logger takes one line an event; nil drops them.
	Logger log.Logger
	// Registerer takes the metrics; nil means that they are not published.
	Registerer prometheus.Registerer
	// Exchange holds the bounds on silence; its address is not used.
	Exchange exchange.ClientConfig
	// PlainTimeout bounds the silence of plain services.
	PlainTimeout time.Duration
	// QueueLength bounds the waiting requests of each service.
	QueueLength int
	// MaxWait is the longest time that a request waits for an upstream.
	MaxWait time.Duration
	// Limit configures the concurrency limits of upstreams.
	Limit upstream.LimitConfig
	// Retry configures further attempts.
	Retry RetryConfig
	// PollInterval is the time between two load reports of one upstream.
	PollInterval time.Duration
	// PollRate bounds the polls and probes, in requests a second.
	PollRate float64
	// Seed is that of random choices.
	Seed uint64
}

// RetryConfig configures further attempts after failed ones.
type RetryConfig struct {
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MaxResumes bounds the recoveries of one attempt that bring no progress.
	MaxResumes int
	// Share is how many retries each request of the service allows for.
	Share float64
	// Burst is how many retries the service may save up.
	Burst float64
	// InitialBackoff and MaxBackoff bound the mean delay before a retry.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
}

// Defaults of Config and RetryConfig.
const (
	DefaultPlainTimeout   = 30 * time.Second
	DefaultQueueLength    = 512
	DefaultMaxWait        = 30 * time.Second
	DefaultMaxAttempts    = 3
	DefaultMaxResumes     = 3
	DefaultRetryShare     = 0.1
	DefaultRetryBurst     = 10
	DefaultInitialBackoff = 25 * time.Millisecond
	DefaultMaxBackoff     = 500 * time.Millisecond
)

// CheckPolicy returns an error that names the policies when name isn't one.
func CheckPolicy(name string) error {
	_, err := upstream.FindPolicy(name)
	return err
}

func (config Config) withDefaults() Config {
	if config.Leaving == nil {
		config.Leaving = func(string) bool { return false }
	}
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	if config.Registerer == nil {
		config.Registerer = prometheus.NewRegistry()
	}
	if err := CheckPolicy(config.Policy); err != nil {
		_ = config.Logger.Log("event", "policy_unknown", "err", err)
		config.Policy = upstream.DefaultPolicy
	}
	config.PlainTimeout = positive(config.PlainTimeout, DefaultPlainTimeout)
	config.QueueLength = positive(config.QueueLength, DefaultQueueLength)
	config.MaxWait = positive(config.MaxWait, DefaultMaxWait)
	config.Retry = config.Retry.withDefaults()
	return config
}

func (config RetryConfig) withDefaults() RetryConfig {
	config.MaxAttempts = positive(config.MaxAttempts, DefaultMaxAttempts)
	config.MaxResumes = positive(config.MaxResumes, DefaultMaxResumes)
	config.Share = positive(config.Share, DefaultRetryShare)
	config.Burst = positive(config.Burst, DefaultRetryBurst)
	config.InitialBackoff = positive(config.InitialBackoff, DefaultInitialBackoff)
	config.MaxBackoff = positive(config.MaxBackoff, DefaultMaxBackoff)
	return config
}

// positive returns value, or fallback when value is not above zero.
func positive[T ~int | ~int64 | ~float64](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
