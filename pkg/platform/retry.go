package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// RetryConfig limits the retries of table calls. Zero fields mean defaults.
type RetryConfig struct {
	// CallTimeout bounds each attempt.
	CallTimeout time.Duration
	// InitialDelay and MaxDelay bound the backoff between attempts.
	InitialDelay time.Duration
	MaxDelay     time.Duration
	// MaxTries is the maximum number of attempts, including the first.
	MaxTries uint
	// RetriesPerSecond and RetryBurst limit the retries of all calls together;
	// first attempts do not count.
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

// Retrier repeats attempts that read, decide and write. Because each attempt reads
// first, an attempt after a lost response sees what was applied.
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

// Run repeats the attempt while it fails with fault.Conflict, fault.Overloaded or
// fault.Unavailable, within MaxTries and the retry budget. The delay grows
// exponentially up to MaxDelay, with jitter. It returns the last error.
func (retrier *Retrier) Run(ctx context.Context, attempt func(ctx context.Context) error) error {
	operation := func() (struct{}, error) {
		attemptCtx, cancel := context.WithTimeout(ctx, retrier.config.CallTimeout)
		defer cancel()
		err := attempt(attemptCtx)
		if err != nil && !retrier.mayRetry(err) {
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

func (retrier *Retrier) mayRetry(err error) bool {
	return IsRetryable(err) && retrier.budget.Allow()
}

// IsRetryable reports whether an attempt that reads first may be repeated after
// the error.
func IsRetryable(err error) bool {
	switch fault.KindOf(asUnavailable(err)) {
	case fault.Conflict, fault.Overloaded, fault.Unavailable:
		return true
	default:
		return false
	}
}

// asUnavailable converts an untyped error, such as the end of a context, into
// fault.Unavailable: the call may or may not have been applied.
func asUnavailable(err error) error {
	if err == nil || fault.RemedyOf(err) != "" || fault.KindOf(err) != fault.Internal {
		return err
	}
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "the table service did not respond",
		Remedy:  "read the stored state, then try again",
		Outcome: fault.OutcomeUnknown,
		Cause:   err,
	})
}
