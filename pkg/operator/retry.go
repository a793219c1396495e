package operator

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/operator/operatorpb"
)

const (
	defaultTries = 6
	minBackoff   = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// isTransient reports whether another router, or the same one later, may answer
// otherwise.
func isTransient(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.ResponseLost, fault.Draining, fault.Overloaded, fault.DeadlineExceeded:
		return true
	default:
		return false
	}
}

// provesNotApplied reports whether the refusal holds for earlier tries under the
// same operation id too: the table's state has been consulted or can't matter.
func provesNotApplied(err error) bool {
	switch fault.KindOf(err) {
	case fault.Invalid, fault.Conflict, fault.NotFound, fault.BudgetExhausted, fault.TooLarge:
		return fault.OutcomeOf(err) == fault.NotRun
	default:
		return false
	}
}

// call makes a call to the routers in turn until one gives an answer that
// settles the matter. Every try sends the same message, so a change carries the
// same operation id and takes effect once.
func call[Request, Response any](
	ctx context.Context,
	client *Client,
	method func(operatorpb.Operator, context.Context, *Request) (*Response, error),
	request *Request,
) (*Response, error) {
	ctx, err := client.withToken(ctx)
	if err != nil {
		return nil, err
	}
	tries := 0
	uncertain := false
	operation := func() (*Response, error) {
		stub := client.stubs[tries%len(client.stubs)]
		tries++
		tryCtx, cancel := context.WithTimeout(ctx, client.config.AttemptTimeout)
		defer cancel()
		response, err := method(stub, tryCtx, request)
		if err == nil {
			return response, nil
		}
		if !isTransient(err) {
			return nil, backoff.Permanent(err)
		}
		uncertain = uncertain || fault.OutcomeOf(err) == fault.OutcomeUnknown
		return nil, err
	}
	response, err := backoff.Retry(ctx, operation,
		backoff.WithBackOff(newBackOff()),
		backoff.WithMaxTries(uint(client.config.MaxAttempts)),
	)
	if err != nil && uncertain && !provesNotApplied(err) {
		return nil, fault.WithOutcome(err, fault.OutcomeUnknown)
	}
	return response, err
}

func newBackOff() *backoff.ExponentialBackOff {
	exponential := backoff.NewExponentialBackOff()
	exponential.InitialInterval = minBackoff
	exponential.MaxInterval = maxBackoff
	return exponential
}

// read makes a call that changes nothing, so that a lost answer leaves nothing
// unknown.
func read[Request, Response any](
	ctx context.Context,
	client *Client,
	method func(operatorpb.Operator, context.Context, *Request) (*Response, error),
	request *Request,
) (*Response, error) {
	response, err := call(ctx, client, method, request)
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
