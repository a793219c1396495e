package dispatch

import (
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
	"gitlab.com/wisterialb/wisterialb/pkg/memory"
	"gitlab.com/wisterialb/wisterialb/pkg/quarantine"
	"gitlab.com/wisterialb/wisterialb/pkg/upstream"
)

// Config configures an UpstreamDispatcher. The zero value of a field means its
// default.
type Config struct {
	// Upstreams returns the upstreams of a service. It must return the same
	// slice until the upstreams change.
	Upstreams func(service string) []configuration.Upstream
	// IsLeaving reports whether the VM list marks the VM at the address as leaving.
	// Nil means that no VM is leaving.
	IsLeaving func(address string) bool
	// Policy is the name of an upstream selection policy; CheckPolicy reports
	// whether it exists. An unknown name is logged and replaced by the default.
	Policy string
	// Logger receives one line per event; nil discards them.
	Logger log.Logger
	// Registerer registers the metrics; nil means that they are not published.
	Registerer prometheus.Registerer
	// Quarantine knows the prompts that crash engines; nil means one that learns from
	// this router alone.
	Quarantine *quarantine.Register
	// Answers limits what is held of all answers; nil sets no limit.
	Answers *memory.Limiter
	// Exchange holds the client timeouts; its address is not used.
	Exchange exchange.ClientConfig
	// PlainTimeout is the inactivity timeout for plain services.
	PlainTimeout time.Duration
	// QueueLength is the maximum number of waiting requests of each service.
	QueueLength int
	// MaxWait is the maximum time that a request waits for an upstream.
	MaxWait time.Duration
	// Limit configures the concurrency limits of upstreams.
	Limit upstream.LimitConfig
	// Retry configures retries and recoveries.
	Retry RetryConfig
	// PollInterval is the time between two polls of one upstream's load report.
	PollInterval time.Duration
	// PollsPerSecond limits the total rate of load report polls and health probes of
	// all upstreams.
	PollsPerSecond float64
	// Seed seeds the random choice of upstreams.
	Seed uint64
}

// RetryConfig configures retries and recoveries. The zero value of a field means
// its default.
type RetryConfig struct {
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts int
	// MaxResumes is the maximum number of consecutive recoveries of one attempt
	// without a new event.
	MaxResumes int
	// Ratio is the number of retries that each request of a service allows; 0.1
	// means one retry for ten requests.
	Ratio float64
	// Burst is the maximum number of unused retries that a service accumulates.
	Burst float64
	// InitialBackoff and MaxBackoff are the minimum and maximum of the mean delay
	// before a retry.
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
	DefaultRetryRatio     = 0.1
	DefaultRetryBurst     = 10
	DefaultInitialBackoff = 25 * time.Millisecond
	DefaultMaxBackoff     = 500 * time.Millisecond
)

// CheckPolicy returns an error that lists the known policies if name is not one
// of them.
func CheckPolicy(name string) error {
	_, err := upstream.FindPolicy(name)
	return err
}

func (config Config) withDefaults() Config {
	if config.IsLeaving == nil {
		config.IsLeaving = func(string) bool { return false }
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
	if config.Quarantine == nil {
		startedAt := time.Now()
		config.Quarantine = quarantine.NewRegister(quarantine.Config{
			Now: func() time.Duration { return time.Since(startedAt) }, Logger: config.Logger,
		})
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
	config.Ratio = positive(config.Ratio, DefaultRetryRatio)
	config.Burst = positive(config.Burst, DefaultRetryBurst)
	config.InitialBackoff = positive(config.InitialBackoff, DefaultInitialBackoff)
	config.MaxBackoff = positive(config.MaxBackoff, DefaultMaxBackoff)
	return config
}

// positive returns value if it is greater than zero, and fallback otherwise.
func positive[T ~int | ~int64 | ~float64](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
