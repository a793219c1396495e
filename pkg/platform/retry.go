package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// RetryConfig bounds the retries of table calls. Zero fields take defaults.
type RetryConfig struct {
	// CallTimeout bounds one attempt.
	CallTimeout time.Duration
	// InitialDelay and MaxDelay bound the backoff between attempts.
	InitialDelay time.Duration
	MaxDelay     time.Duration
	// MaxTries counts the first attempt as well.
	MaxTries uint
	// RetriesPerSecond and RetryBurst are the retry budget of all calls
	// together; first attempts are free.
	RetriesPerSecond float64
	RetryBurst       int
}

// The defaults of RetryConfig.
const (
	defaultCallTimeout      = 2 * time.Second
	defaultInitialDelay     = 5 * time.Millisecond
	defaultMaxDelay         = 500 * time.Millisecond
	defaultMaxTries         = 6
	defaultRetriesPerSecond = 50
	defaultRetryBurst       = 200
)

func (retryConfig RetryConfig) withDefaults() RetryConfig {
	if retryConfig.CallTimeout <= 0 {
		retryConfig.CallTimeout = defaultCallTimeout
	}
	if retryConfig.InitialDelay <= 0 {
		retryConfig.InitialDelay = defaultInitialDelay
	}
	if retryConfig.MaxDelay <= 0 {
		retryConfig.MaxDelay = defaultMaxDelay
	}
	if retryConfig.MaxTries == 0 {
		retryConfig.MaxTries = defaultMaxTries
	}
	if retryConfig.RetriesPerSecond <= 0 {
		retryConfig.RetriesPerSecond = defaultRetriesPerSecond
	}
	if retryConfig.RetryBurst <= 0 {
		retryConfig.RetryBurst = defaultRetryBurst
	}
	return retryConfig
}

// Retrier repeats attempts that read, decide and write. Because each attempt
// reads first, an attempt after a lost answer finds what was applied.
type Retrier struct {
	config RetryConfig
	budget *rate.Limiter
}

// NewRetrier returns a Retrier with a full retry budget.
func NewRetrier(config RetryConfig) *Retrier {
	config = config.withDefaults()
	return &Retrier{
		config: config,
		budget: rate.NewLimiter(rate.Limit(config.RetriesPerSecond), config.RetryBurst),
	}
}

// Run repeats the attempt while it fails with fault.Conflict, fault.Overloaded
// or fault.Unavailable, within the tries and the retry budget. The delay grows
// exponentially to a cap and is jittered. It returns the last error.
func (retrier *Retrier) Run(ctx context.Context, attempt func(ctx context.Context) error) error {
	operation := func() (struct{}, error) {
		callContext, cancel := context.WithTimeout(ctx, retrier.config.CallTimeout)
		defer cancel()
		err := attempt(callContext)
		if err != nil && !retrier.allows(err) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}
	delays := &backoff.ExponentialBackOff{
		InitialInterval:     retrier.config.InitialDelay,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          backoff.DefaultMultiplier,
		MaxInterval:         retrier.config.MaxDelay,
	}
	_, err := backoff.Retry(ctx, operation, backoff.WithBackOff(delays), backoff.WithMaxTries(retrier.config.MaxTries))
	return asUnavailable(err)
}

func (retrier *Retrier) allows(err error) bool {
	return IsRetryable(err) && retrier.budget.Allow()
}

// IsRetryable reports whether an attempt that reads first may be repeated.
func IsRetryable(err error) bool {
	switch fault.KindOf(asUnavailable(err)) {
	case fault.Conflict, fault.Overloaded, fault.Unavailable:
		return true
	default:
		return false
	}
}

// asUnavailable gives an untyped error, such as the end of a context, the kind
// that says that the call may or may not have been applied.
func asUnavailable(err error) error {
	if err == nil || fault.RemedyOf(err) != "" || fault.KindOf(err) != fault.Internal {
		return err
	}
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "the table service did not answer",
		Remedy:  "read back, then try again",
		Outcome: fault.OutcomeUnknown,
		Cause:   err,
	})
}
