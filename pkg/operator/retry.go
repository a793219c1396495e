package operator

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/operator/operatorpb"
)

const (
	defaultMaxAttempts = 6
	initialBackoff     = 50 * time.Millisecond
	maxBackoff         = 2 * time.Second
)

// isRetryable reports whether a call can succeed at another router, or at the
// same router later.
func isRetryable(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.ResponseLost, fault.Draining, fault.Overloaded, fault.DeadlineExceeded:
		return true
	default:
		return false
	}
}

// provesNotApplied reports whether a refusal also rules out that an earlier
// attempt with the same operation id took effect. That holds for errors that are
// returned after reading the stored configuration or that don't depend on it.
func provesNotApplied(err error) bool {
	switch fault.KindOf(err) {
	case fault.Invalid, fault.Conflict, fault.NotFound, fault.BudgetExhausted, fault.TooLarge:
		return fault.OutcomeOf(err) == fault.NotRun
	default:
		return false
	}
}

// callWithRetries calls the routers in turn until one succeeds, returns an error
// that isn't retryable, or the attempts run out. Every attempt sends the same
// message, so a change keeps its operation id and takes effect once.
func callWithRetries[Request, Response any](
	ctx context.Context,
	client *Client,
	method func(operatorpb.Operator, context.Context, *Request) (*Response, error),
	request *Request,
) (*Response, error) {
	ctx, err := client.withAuthorization(ctx)
	if err != nil {
		return nil, err
	}
	attempts := 0
	mayHaveApplied := false
	attempt := func() (*Response, error) {
		stub := client.stubs[attempts%len(client.stubs)]
		attempts++
		attemptCtx, cancel := context.WithTimeout(ctx, client.config.AttemptTimeout)
		defer cancel()
		response, err := method(stub, attemptCtx, request)
		if err == nil {
			return response, nil
		}
		if !isRetryable(err) {
			return nil, backoff.Permanent(err)
		}
		mayHaveApplied = mayHaveApplied || fault.OutcomeOf(err) == fault.OutcomeUnknown
		return nil, err
	}
	response, err := backoff.Retry(ctx, attempt,
		backoff.WithBackOff(newBackOff()),
		backoff.WithMaxTries(uint(client.config.MaxAttempts)),
	)
	if err != nil && mayHaveApplied && !provesNotApplied(err) {
		return nil, fault.WithOutcome(err, fault.OutcomeUnknown)
	}
	return response, err
}

func newBackOff() *backoff.ExponentialBackOff {
	exponential := backoff.NewExponentialBackOff()
	exponential.InitialInterval = initialBackoff
	exponential.MaxInterval = maxBackoff
	return exponential
}

// callReadOnly makes a call that changes nothing. Its errors always have the
// outcome not_run, also if the response was lost.
func callReadOnly[Request, Response any](
	ctx context.Context,
	client *Client,
	method func(operatorpb.Operator, context.Context, *Request) (*Response, error),
	request *Request,
) (*Response, error) {
	response, err := callWithRetries(ctx, client, method, request)
	if fault.Is(err, fault.ResponseLost) {
		return nil, fault.New(fault.Config{
			Kind:    fault.Unavailable,
			Message: fault.MessageOf(err),
			Remedy:  "ask again, or name other routers with --address",
			Cause:   err,
		})
	}
	if err != nil {
		return nil, fault.WithOutcome(err, fault.NotRun)
	}
	return response, nil
}
